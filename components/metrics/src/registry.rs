//! Counters, gauges and latency histograms of one process, written in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard};

use hdrhistogram::Histogram;

use crate::histogram::empty_histogram;

/// The quantiles that are reported for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

#[derive(Debug, Default)]
struct Metrics {
    /// By name and kind; both are fixed in the code, so their number is bounded.
    counters: BTreeMap<(&'static str, &'static str), u64>,
    gauges: BTreeMap<&'static str, u64>,
    seconds: BTreeMap<&'static str, Histogram<u64>>,
    /// By name and service; operators configure the services, so their number is bounded.
    by_service: BTreeMap<(&'static str, Arc<str>), u64>,
    /// By name: the label, and the gauges by the label's value. Operators configure the services, queues and organisations
    /// that these values name, so their number is bounded.
    labelled_gauges: BTreeMap<&'static str, (&'static str, BTreeMap<Arc<str>, u64>)>,
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Registry(Mutex<Metrics>);

impl Registry {
    fn lock(&self) -> MutexGuard<'_, Metrics> {
        // Ignores poisoning: a panic while the lock was held cannot have left a metric half written.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds `n` to the counter with this name and this value of the label `kind`, and returns the new count.
    pub fn add(&self, name: &'static str, kind: &'static str, n: u64) -> u64 {
        let mut metrics = self.lock();
        let count = metrics.counters.entry((name, kind)).or_default();
        *count += n;
        *count
    }

    /// Adds `n` to the counter of a service.
    pub fn add_for_service(&self, name: &'static str, service: &Arc<str>, n: u64) {
        *self.lock().by_service.entry((name, service.clone())).or_default() += n;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Sets a gauge for each service. Services that `values` does not contain are no longer reported.
    pub fn set_by_service(&self, name: &'static str, values: BTreeMap<Arc<str>, u64>) {
        self.set_labelled(name, "service", values);
    }

    /// Sets a gauge for each organisation. Organisations that `values` does not contain are no longer reported.
    pub fn set_by_organisation(&self, name: &'static str, values: BTreeMap<Arc<str>, u64>) {
        self.set_labelled(name, "organisation", values);
    }

    /// Sets a gauge for each queue. Queues that `values` does not contain are no longer reported.
    pub fn set_by_queue(&self, name: &'static str, values: BTreeMap<Arc<str>, u64>) {
        self.set_labelled(name, "queue", values);
    }

    fn set_labelled(
        &self,
        name: &'static str,
        label: &'static str,
        values: BTreeMap<Arc<str>, u64>,
    ) {
        self.lock().labelled_gauges.insert(name, (label, values));
    }

    /// Records a duration in milliseconds. The name must end in `_seconds`, because durations are reported in
    /// seconds.
    pub fn record_ms(&self, name: &'static str, ms: u64) {
        let mut metrics = self.lock();
        let histogram = metrics.seconds.entry(name).or_insert_with(empty_histogram);
        histogram.saturating_record(ms.saturating_mul(1_000));
    }

    /// Returns all metrics in the text format that scrapers read.
    pub fn text(&self) -> String {
        let metrics = self.lock();
        let mut out = String::new();
        write_counters(&mut out, "kind", &metrics.counters);
        write_counters(&mut out, "service", &metrics.by_service);
        for (name, (label, values)) in &metrics.labelled_gauges {
            let _ = writeln!(out, "# TYPE {name} gauge");
            for (label_value, value) in values {
                let label_value = label_value.escape_default();
                let _ = writeln!(out, "{name}{{{label}=\"{label_value}\"}} {value}");
            }
        }
        for (name, value) in &metrics.gauges {
            let _ = writeln!(out, "# TYPE {name} gauge\n{name} {value}");
        }
        for (name, h) in &metrics.seconds {
            let _ = writeln!(out, "# TYPE {name} summary");
            for q in QUANTILES {
                let seconds = h.value_at_quantile(q) as f64 / 1e6;
                let _ = writeln!(out, "{name}{{quantile=\"{q}\"}} {seconds}");
            }
            let sum = h.mean() * h.len() as f64 / 1e6;
            let _ = writeln!(out, "{name}_sum {sum}\n{name}_count {}", h.len());
        }
        out
    }
}

/// Writes counters with one label. The type is written once, before the first counter of a name.
fn write_counters<V: AsRef<str>>(
    out: &mut String,
    label: &str,
    counters: &BTreeMap<(&'static str, V), u64>,
) {
    let mut last_name = "";
    for ((name, value), n) in counters {
        if *name != last_name {
            last_name = name;
            let _ = writeln!(out, "# TYPE {name} counter");
        }
        let value = value.as_ref().escape_default();
        let _ = writeln!(out, "{name}{{{label}=\"{value}\"}} {n}");
    }
}
