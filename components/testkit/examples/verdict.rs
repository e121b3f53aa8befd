//! Checks the records of the simulated workers against the answers that callers and operators got.
//!
//! It prints one line per guarantee, `checked <what> <count> violations <n>`. It fails on any violation,
//! and if fewer events than `--least` were checked for a guarantee.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use errors::{Error, Result, io};
use gumdrop::Options;
use serde::Deserialize;
use testkit::{Record, RecordKind, read_records};

/// The time, in milliseconds, that a resumed worker may take to notice that its leases have expired. A smaller
/// value reports tasks as run twice that the worker was about to stop; a greater one misses real overlaps.
const THAW_GRACE_MS: u64 = 200;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "directory with the records and logs of the run")]
    run: PathBuf,
    #[options(
        no_short,
        default = "1",
        help = "minimum number of checked events for each guarantee"
    )]
    least: u64,
    #[options(no_short, default = "16000", help = "a worker's CPU in thousandths of a core")]
    cpu_milli: u64,
}

/// An answer that a caller received, one line of an `.answers` file.
#[derive(Debug, Deserialize)]
struct Answer {
    id: String,
    key: Option<String>,
    outcome: String,
    whole: bool,
}

/// A fault that the script injected into a process, from its log: `<ms> <kill|freeze|thaw> <name>`.
#[derive(Debug)]
struct InjectedFault {
    at: u64,
    what: String,
    name: String,
}

/// A time interval in milliseconds, for example one in which a worker ran a task.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: u64,
    to: u64,
}

/// Collects the results of all checks.
struct Verdict {
    least: u64,
    failed: bool,
}

impl Verdict {
    /// Prints the result of one check and records whether it failed.
    fn report(&mut self, what: &str, count: u64, violations: &[String]) {
        println!("checked {what} {count} violations {}", violations.len());
        violations.iter().take(5).for_each(|v| println!("  {v}"));
        if !violations.is_empty() {
            self.failed = true;
        }
        if count < self.least {
            println!("  only {count} checked, at least {} are required", self.least);
            self.failed = true;
        }
    }
}

/// Reads a file line by line; a line that `parse` rejects is an error.
fn read_lines<T>(path: &Path, parse: impl Fn(&str) -> Option<T>) -> Result<Vec<T>> {
    let text = std::fs::read_to_string(path).map_err(io("read", path))?;
    let bad = |line: &str| Error::Decode { what: "a line", reason: format!("{line:?}") };
    text.lines().map(|line| parse(line).ok_or_else(|| bad(line))).collect()
}

/// Returns the files in a directory whose names have the given ending, sorted by path.
fn files_ending(folder: &Path, ending: &str) -> Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).map_err(io("read", folder))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.retain(|p| p.to_string_lossy().ends_with(ending));
    paths.sort();
    Ok(paths)
}

fn parse_fault(line: &str) -> Option<InjectedFault> {
    let mut words = line.split_whitespace();
    let at = words.next()?.parse().ok()?;
    Some(InjectedFault { at, what: words.next()?.to_string(), name: words.next()?.to_string() })
}

/// Returns the intervals in which each task ran on a worker, without those in which the worker was frozen.
fn runs_of(records: &[Record], faults: &[InjectedFault]) -> BTreeMap<String, Vec<Interval>> {
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    let mut runs: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    let mut end_all = |open: &mut BTreeMap<&str, u64>, to: u64| {
        for (task, from) in std::mem::take(open) {
            runs.entry(task.to_string()).or_default().push(Interval { from, to });
        }
    };
    for record in records {
        let at = record.at.0;
        match record.kind {
            RecordKind::Start => {
                open.insert(&record.what, at);
            }
            RecordKind::End => {
                if let Some(from) = open.remove(record.what.as_str()) {
                    let mut one = BTreeMap::from([(record.what.as_str(), from)]);
                    end_all(&mut one, at);
                }
            }
            RecordKind::Boot => {
                // All tasks that were running ended when the process was killed.
                let killed = faults.iter().filter(|f| f.what == "kill" && f.at <= at);
                let to = killed.map(|f| f.at).max().unwrap_or(at);
                end_all(&mut open, to);
            }
            _ => {}
        }
    }
    end_all(&mut open, u64::MAX);
    let frozen = frozen_intervals(faults);
    for task_runs in runs.values_mut() {
        *task_runs = task_runs.iter().flat_map(|r| subtract_intervals(*r, &frozen)).collect();
    }
    runs
}

/// Returns the intervals in which the process was frozen, each extended by [`THAW_GRACE_MS`].
fn frozen_intervals(faults: &[InjectedFault]) -> Vec<Interval> {
    let mut frozen = Vec::new();
    let mut since = None;
    for fault in faults {
        match (fault.what.as_str(), since) {
            ("freeze", _) => since = Some(fault.at),
            ("thaw", Some(from)) => {
                frozen.push(Interval { from, to: fault.at + THAW_GRACE_MS });
                since = None;
            }
            _ => {}
        }
    }
    frozen
}

/// Returns the parts of `run` outside the `frozen` intervals.
fn subtract_intervals(run: Interval, frozen: &[Interval]) -> Vec<Interval> {
    let mut remaining = vec![run];
    for f in frozen {
        let cut = |r: Interval| {
            let before = Interval { from: r.from, to: r.to.min(f.from) };
            let after = Interval { from: r.from.max(f.to), to: r.to };
            [before, after].into_iter().filter(|r| r.from < r.to)
        };
        remaining = remaining.into_iter().flat_map(cut).collect();
    }
    remaining
}

/// Everything that a run has recorded.
struct Evidence {
    records: BTreeMap<String, Vec<Record>>,
    faults: BTreeMap<String, Vec<InjectedFault>>,
    answers: Vec<Answer>,
}

impl Evidence {
    /// Reads the records, injected faults and answers from the directory of a run.
    fn read(run: &Path) -> Result<Evidence> {
        let mut records: BTreeMap<String, Vec<Record>> = BTreeMap::new();
        for path in files_ending(run, ".records")? {
            for record in read_records(&path)? {
                records.entry(record.worker.clone()).or_default().push(record);
            }
        }
        let mut faults: BTreeMap<String, Vec<InjectedFault>> = BTreeMap::new();
        for fault in read_lines(&run.join("faults.log"), parse_fault)? {
            faults.entry(fault.name.clone()).or_default().push(fault);
        }
        let mut answers = Vec::new();
        for path in files_ending(run, ".answers")? {
            answers.extend(read_lines(&path, |l| serde_json::from_str(l).ok())?);
        }
        Ok(Evidence { records, faults, answers })
    }

    /// Checks that no two workers ran the same task at the same time.
    fn check_no_task_runs_twice(&self, verdict: &mut Verdict) {
        let mut by_task: BTreeMap<String, Vec<(Interval, &str)>> = BTreeMap::new();
        let none = Vec::new();
        for (worker, records) in &self.records {
            let faults = self.faults.get(worker).unwrap_or(&none);
            for (task, runs) in runs_of(records, faults) {
                let placed = runs.into_iter().map(|r| (r, worker.as_str()));
                by_task.entry(task).or_default().extend(placed);
            }
        }
        let mut violations = Vec::new();
        let mut count = 0;
        for (task, mut runs) in by_task {
            count += runs.len() as u64;
            runs.sort_by_key(|(r, _)| r.from);
            for pair in runs.windows(2) {
                let ((a, on_a), (b, on_b)) = (pair[0], pair[1]);
                if b.from < a.to && on_a != on_b {
                    violations.push(format!("{task} on {on_a} {a:?} and on {on_b} {b:?}"));
                }
            }
        }
        verdict.report("task_runs", count, &violations);
    }

    /// Checks that no worker ran more than its CPU, or was sent a task that did not fit.
    fn check_no_overcommit(&self, verdict: &mut Verdict, cpu_milli: u64) {
        let mut violations = Vec::new();
        let mut count = 0;
        for (worker, records) in &self.records {
            let mut taken: BTreeMap<&str, u64> = BTreeMap::new();
            for record in records {
                match record.kind {
                    RecordKind::Start => {
                        count += 1;
                        taken.insert(&record.what, record.amount);
                        let sum: u64 = taken.values().sum();
                        if sum > cpu_milli {
                            violations.push(format!(
                                "{worker} ran tasks of {sum} cpu_milli at {}",
                                record.at
                            ));
                        }
                    }
                    RecordKind::End => {
                        taken.remove(record.what.as_str());
                    }
                    RecordKind::Boot => taken.clear(),
                    RecordKind::Overcommit => {
                        violations.push(format!(
                            "{worker} was sent a task that did not fit: {}",
                            record.what
                        ));
                    }
                    _ => {}
                }
            }
        }
        verdict.report("starts_within_size", count, &violations);
    }

    /// Returns how often each request ran.
    fn ran(&self) -> BTreeMap<&str, u64> {
        let mut ran: BTreeMap<&str, u64> = BTreeMap::new();
        let all = self.records.values().flatten();
        for record in all.filter(|r| r.kind == RecordKind::Request) {
            *ran.entry(record.what.as_str()).or_default() += 1;
        }
        ran
    }

    /// Checks that no request that is not repeatable ran more than once.
    fn check_at_most_once(&self, verdict: &mut Verdict) {
        let ran = self.ran();
        let keyed = ran.iter().filter(|(name, _)| name.starts_with("key:"));
        let violations: Vec<String> = keyed
            .clone()
            .filter(|(_, n)| **n > 1)
            .map(|(name, n)| format!("{name} ran {n} times"))
            .collect();
        verdict.report("not_repeatable_requests", keyed.count() as u64, &violations);
    }

    /// Checks that answers are complete, that refused requests did not run, and that done ones did.
    fn check_answers_match_runs(&self, verdict: &mut Verdict) {
        let ran = self.ran();
        let name = |a: &Answer| match &a.key {
            Some(key) => format!("key:{key}"),
            None => a.id.clone(),
        };
        let incomplete: Vec<String> = self
            .answers
            .iter()
            .filter(|a| !a.whole)
            .map(|a| format!("{} has no complete answer", a.id))
            .collect();
        verdict.report("answers_whole", self.answers.len() as u64, &incomplete);
        // A resent request has several answers. It counts as refused only if every one of them is a refusal.
        let mut outcomes: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        for a in &self.answers {
            outcomes.entry(name(a)).or_default().insert(&a.outcome);
        }
        let refused: Vec<&String> = outcomes
            .iter()
            .filter(|(_, o)| o.iter().all(|o| *o == "refused"))
            .map(|s| s.0)
            .collect();
        let refused_but_ran: Vec<String> = refused
            .iter()
            .filter(|n| ran.contains_key(n.as_str()))
            .map(|n| format!("{n} was refused but ran"))
            .collect();
        verdict.report("refused_did_not_run", refused.len() as u64, &refused_but_ran);
        let done: Vec<&String> =
            outcomes.iter().filter(|(_, o)| o.contains("done")).map(|s| s.0).collect();
        let done_but_never_ran: Vec<String> = done
            .iter()
            .filter(|n| !ran.contains_key(n.as_str()))
            .map(|n| format!("{n} was answered as done but never ran"))
            .collect();
        verdict.report("done_did_run", done.len() as u64, &done_but_never_ran);
    }
}

/// Checks the configuration versions sampled on each instance, `<ms> <instance> <version>`: none may decrease, all
/// must end at the newest accepted version, and no version may be accepted twice.
fn check_configuration_versions(run: &Path, verdict: &mut Verdict) -> Result<()> {
    let parse = |line: &str| {
        let mut words = line.split_whitespace();
        let _: u64 = words.next()?.parse().ok()?;
        Some((words.next()?.to_string(), words.next()?.parse::<u64>().ok()?))
    };
    let seen = read_lines(&run.join("config.log"), parse)?;
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for (instance, version) in &seen {
        let before = last.insert(instance, *version).unwrap_or(0);
        if *version < before {
            violations.push(format!("{instance} went back from version {before} to {version}"));
        }
    }
    verdict.report("configuration_never_older", seen.len() as u64, &violations);
    let accepted = read_lines(&run.join("accepted.log"), |l| l.parse::<u64>().ok())?;
    let newest = accepted.iter().max().copied().unwrap_or(0);
    let behind: Vec<String> = last
        .iter()
        .filter(|(_, version)| **version != newest)
        .map(|(instance, version)| {
            format!("{instance} ends at version {version} instead of {newest}")
        })
        .collect();
    verdict.report("configuration_in_force", last.len() as u64, &behind);
    let unique: BTreeSet<&u64> = accepted.iter().collect();
    let twice = accepted.len() - unique.len();
    let duplicates: Vec<String> =
        (0..twice).map(|_| "one version was accepted from two operators".to_string()).collect();
    verdict.report("configurations_accepted", accepted.len() as u64, &duplicates);
    Ok(())
}

/// Runs all checks and returns whether they passed.
fn check(flags: &Flags) -> Result<bool> {
    let evidence = Evidence::read(&flags.run)?;
    let mut verdict = Verdict { least: flags.least, failed: false };
    evidence.check_no_task_runs_twice(&mut verdict);
    evidence.check_no_overcommit(&mut verdict, flags.cpu_milli);
    evidence.check_at_most_once(&mut verdict);
    evidence.check_answers_match_runs(&mut verdict);
    check_configuration_versions(&flags.run, &mut verdict)?;
    Ok(!verdict.failed)
}

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match check(&flags) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("verdict: {e}");
            ExitCode::FAILURE
        }
    }
}
