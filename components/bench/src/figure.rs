//! Output of figures.

use clock::Millis;
use hdrhistogram::Histogram;

/// Prints one figure as a line.
pub fn figure(name: &str, value: f64, unit: &str) {
    println!("figure {name} {value:.3} {unit}");
}

/// A histogram of waiting times in milliseconds.
pub struct Waits(Histogram<u64>);

impl Default for Waits {
    fn default() -> Self {
        // Zero to five significant digits are valid, so this does not fail.
        Waits(Histogram::new(2).unwrap_or_else(|_| unreachable!("two digits are valid")))
    }
}

impl Waits {
    /// Records a waiting time.
    pub fn note(&mut self, wait: Millis) {
        // The histogram resizes itself, so recording does not fail.
        let _ = self.0.record(wait.0);
    }

    /// Prints the median and the 99th percentile, or nothing if no time was recorded.
    pub fn print(&self, name: &str) {
        if self.0.is_empty() {
            return;
        }
        figure(&format!("{name}_p50"), self.0.value_at_quantile(0.5) as f64, "ms");
        figure(&format!("{name}_p99"), self.0.value_at_quantile(0.99) as f64, "ms");
    }
}

/// Returns the resident memory of this process in kilobytes, or zero if the system does not report it.
pub fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
