//! Collects the answers of a load and prints them.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

use errors::Result;
use hdrhistogram::Histogram;
use model::Class;

/// The number of significant digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 2;

/// The answer to one request.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) id: String,
    /// The idempotency key, if the request must not run more than once.
    pub(super) key: Option<String>,
    pub(super) class: Class,
    pub(super) outcome: String,
    /// Whether the answer was complete and for this request. It is written out as `whole`.
    pub(super) valid: bool,
    /// How long the answer took, in microseconds.
    pub(super) micros: u64,
}

/// The number of requests sent and all answers so far.
#[derive(Default)]
pub(super) struct Tally {
    pub(super) sent: u64,
    pub(super) answers: Vec<Answer>,
}

impl Tally {
    /// Writes each answer as one line of JSON.
    ///
    /// # Errors
    /// [`errors::Error::Io`] if the file cannot be written.
    pub(super) fn write_answers(&self, path: &Path) -> Result<()> {
        let mut file = std::fs::File::create(path).map_err(errors::io("create", path))?;
        for a in &self.answers {
            let line = serde_json::json!({
                "id": a.id, "key": a.key, "outcome": a.outcome, "whole": a.valid, "micros": a.micros,
            });
            writeln!(file, "{line}").map_err(errors::io("write", path))?;
        }
        Ok(())
    }

    /// Prints the counts by class and outcome, and the latencies of successful requests.
    pub(super) fn print(&self, started: Instant) {
        let seconds = started.elapsed().as_secs_f64();
        let done = self.answers.iter().filter(|a| a.outcome == "done").count();
        outln!("sent {} answered {} in {seconds:.1} s", self.sent, self.answers.len());
        outln!("goodput {:.1} requests/s", done as f64 / seconds);
        let mut outcomes: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for a in &self.answers {
            *outcomes.entry((a.class.as_str(), a.outcome.as_str())).or_default() += 1;
        }
        for ((class, outcome), n) in outcomes {
            outln!("  {class:<7} {outcome:<14} {n}");
        }
        let invalid = self.answers.iter().filter(|a| !a.valid).count();
        outln!("answers not whole or for another request: {invalid}");
        Class::ALL.into_iter().for_each(|class| self.print_latencies(class));
    }

    fn print_latencies(&self, class: Class) {
        let Ok(mut histogram) = Histogram::<u64>::new(HISTOGRAM_DIGITS) else { return };
        let of_class = self.answers.iter().filter(|a| a.class == class && a.outcome == "done");
        of_class.for_each(|a| histogram.record(a.micros).unwrap_or_default());
        if histogram.is_empty() {
            return;
        }
        let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
        let (p50, p90, p99, max) = (ms(0.5), ms(0.9), ms(0.99), ms(1.0));
        outln!(
            "  {:<7} done in p50 {p50:.1} p90 {p90:.1} p99 {p99:.1} max {max:.1} ms",
            class.as_str()
        );
    }
}
