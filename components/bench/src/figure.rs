//! Printing figures.

use clock::Millis;
use hdrhistogram::Histogram;

/// Prints one figure.
pub fn figure(name: &str, value: f64, unit: &str) {
    println!("figure {name} {value:.3} {unit}");
}

/// Waiting times of one class.
pub struct Waits(Histogram<u64>);

impl Default for Waits {
    fn default() -> Self {
        // Two digits are always accepted.
        Waits(Histogram::new(2).unwrap_or_else(|_| unreachable!("two digits are valid")))
    }
}

impl Waits {
    /// Notes a wait.
    pub fn note(&mut self, wait: Millis) {
        // The histogram grows as it needs to.
        let _ = self.0.record(wait.0);
    }

    /// Prints the median and 99th percentile.
    pub fn print(&self, name: &str) {
        if self.0.is_empty() {
            return;
        }
        figure(&format!("{name}_p50"), self.0.value_at_quantile(0.5) as f64, "ms");
        figure(&format!("{name}_p99"), self.0.value_at_quantile(0.99) as f64, "ms");
    }
}

/// Gives what this process holds in memory, in kilobytes; zero where the system does not tell.
pub fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
