//! Timings by name, in histograms of bounded size.

use std::collections::BTreeMap;

use clock::Millis;
use hdrhistogram::Histogram;

/// The largest timing that is told apart, in thousandths of a millisecond.
const LARGEST: u64 = 3_600_000_000;
/// How many significant digits a histogram keeps.
const DIGITS: u8 = 2;

/// One figure with its unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// What it tells of.
    pub name: String,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: &'static str,
}

impl Figure {
    /// Makes a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Figure {
        Figure { name: name.into(), value, unit }
    }
}

/// Histograms by name. The names are fixed in the code, so their number is bounded.
#[derive(Debug, Default)]
pub struct Timings {
    by_name: BTreeMap<&'static str, Histogram<u64>>,
}

impl Timings {
    /// Notes a timing in thousandths of a millisecond.
    pub fn record_micros(&mut self, name: &'static str, micros: u64) {
        let histogram = self.by_name.entry(name).or_insert_with(empty);
        histogram.saturating_record(micros);
    }

    /// Notes a timing in milliseconds.
    pub fn record(&mut self, name: &'static str, span: Millis) {
        self.record_micros(name, span.0.saturating_mul(1_000));
    }

    /// Gives the median, 99th percentile and count of each.
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

pub(crate) fn empty() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    let bounded = Histogram::new_with_bounds(1, LARGEST, DIGITS);
    bounded.unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}
