//! Counters, gauges and latency histograms of one process, told in the usual text form.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard};

use hdrhistogram::Histogram;

use crate::histogram::empty;

/// The quantiles that are told of each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

#[derive(Debug, Default)]
struct Kept {
    /// By name and label; names and labels are fixed in the code, so their number is bounded.
    counters: BTreeMap<(&'static str, &'static str), u64>,
    gauges: BTreeMap<&'static str, u64>,
    seconds: BTreeMap<&'static str, Histogram<u64>>,
    /// By name and service; operators configure the services, so their number is bounded.
    by_service: BTreeMap<(&'static str, Arc<str>), u64>,
    /// By name, then by the value of a label; operators configure what these name, so their number is bounded.
    labelled_gauges: BTreeMap<&'static str, (&'static str, BTreeMap<Arc<str>, u64>)>,
}

/// The figures of one process.
#[derive(Debug, Default)]
pub struct Registry(Mutex<Kept>);

impl Registry {
    fn lock(&self) -> MutexGuard<'_, Kept> {
        // A panic while the lock was held cannot leave a figure half written.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds to a counter; `kind` tells what of. Gives the new count.
    pub fn add(&self, name: &'static str, kind: &'static str, n: u64) -> u64 {
        let mut kept = self.lock();
        let count = kept.counters.entry((name, kind)).or_default();
        *count += n;
        *count
    }

    /// Adds to a counter that is kept for each service.
    pub fn add_for_service(&self, name: &'static str, service: &Arc<str>, n: u64) {
        *self.lock().by_service.entry((name, service.clone())).or_default() += n;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Sets a gauge that is kept for each service. Services that are not named are told of no more.
    pub fn set_by_service(&self, name: &'static str, values: BTreeMap<Arc<str>, u64>) {
        self.set_labelled(name, "service", values);
    }

    /// Sets a gauge that is kept for each organisation. Those that are not named are told of no more.
    pub fn set_by_organisation(&self, name: &'static str, values: BTreeMap<Arc<str>, u64>) {
        self.set_labelled(name, "organisation", values);
    }

    fn set_labelled(
        &self,
        name: &'static str,
        label: &'static str,
        values: BTreeMap<Arc<str>, u64>,
    ) {
        self.lock().labelled_gauges.insert(name, (label, values));
    }

    /// Notes how long something took, in milliseconds. The name must end in `_seconds`.
    pub fn record_ms(&self, name: &'static str, ms: u64) {
        let mut kept = self.lock();
        let histogram = kept.seconds.entry(name).or_insert_with(empty);
        histogram.saturating_record(ms.saturating_mul(1_000));
    }

    /// Writes all figures in the text form that scrapers read.
    pub fn text(&self) -> String {
        let kept = self.lock();
        let mut out = String::new();
        write_counters(&mut out, "kind", &kept.counters);
        write_counters(&mut out, "service", &kept.by_service);
        for (name, (label, values)) in &kept.labelled_gauges {
            let _ = writeln!(out, "# TYPE {name} gauge");
            for (named, value) in values {
                let named = named.escape_default();
                let _ = writeln!(out, "{name}{{{label}=\"{named}\"}} {value}");
            }
        }
        for (name, value) in &kept.gauges {
            let _ = writeln!(out, "# TYPE {name} gauge\n{name} {value}");
        }
        for (name, h) in &kept.seconds {
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

/// Writes counters by a label of theirs; the type stands once before all of one name.
fn write_counters<V: AsRef<str>>(
    out: &mut String,
    label: &str,
    counters: &BTreeMap<(&'static str, V), u64>,
) {
    let mut last = "";
    for ((name, value), n) in counters {
        if *name != last {
            last = name;
            let _ = writeln!(out, "# TYPE {name} counter");
        }
        let value = value.as_ref().escape_default();
        let _ = writeln!(out, "{name}{{{label}=\"{value}\"}} {n}");
    }
}
