//! Histograms of bounded size for durations, by name.

use std::collections::BTreeMap;

use clock::Millis;
use hdrhistogram::Histogram;

/// The largest duration that a histogram records, in microseconds (one hour). Longer ones count as this one.
const MAX_MICROS: u64 = 3_600_000_000;
/// The number of significant digits that a histogram keeps. Each further one takes about ten times the memory.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A statistic with its unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// The name.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
}

impl Figure {
    /// Creates a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Figure {
        Figure { name: name.into(), value, unit }
    }
}

/// Histograms of durations by name. The names are fixed in the code, so their number is bounded.
#[derive(Debug, Default)]
pub struct Timings {
    by_name: BTreeMap<&'static str, Histogram<u64>>,
}

impl Timings {
    /// Records a duration in microseconds.
    pub fn record_micros(&mut self, name: &'static str, micros: u64) {
        let histogram = self.by_name.entry(name).or_insert_with(empty_histogram);
        histogram.saturating_record(micros);
    }

    /// Records a duration in milliseconds.
    pub fn record(&mut self, name: &'static str, span: Millis) {
        self.record_micros(name, span.0.saturating_mul(1_000));
    }

    /// Returns the median, 99th percentile and count of each histogram.
    pub fn figures(&self) -> Vec<Figure> {
        let mut figures = Vec::new();
        for (name, h) in &self.by_name {
            let millis = |q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
            figures.push(Figure::new(format!("{name}_p50"), millis(0.5), "ms"));
            figures.push(Figure::new(format!("{name}_p99"), millis(0.99), "ms"));
            figures.push(Figure::new(format!("{name}_count"), h.len() as f64, "events"));
        }
        figures
    }
}

/// Returns an empty histogram with the bounds that all of them have.
pub(crate) fn empty_histogram() -> Histogram<u64> {
    // The library accepts these constant bounds, so this cannot fail.
    let bounded = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
    bounded.unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}
