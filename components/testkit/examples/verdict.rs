//! Checks what the worker stand-ins recorded against what callers and operators were told.
//!
//! It prints one line a promise, `checked <what> <count> violations <n>`, and fails on any violation
//! and on too few checked events to mean anything.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use errors::{Error, Result, io};
use gumdrop::Options;
use serde::Deserialize;
use testkit::{Record, RecordKind, read_records};

/// How long a worker that was frozen may take to notice that its leases have run out.
const THAW_GRACE: u64 = 200;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "the folder of the run")]
    run: PathBuf,
    #[options(no_short, default = "1", help = "the fewest events of each kind that mean anything")]
    least: u64,
    #[options(no_short, default = "16000", help = "a worker's processors in thousandths")]
    cpu_milli: u64,
}

/// One answer that a caller got.
#[derive(Debug, Deserialize)]
struct Answer {
    id: String,
    key: Option<String>,
    outcome: String,
    whole: bool,
}

/// What the script did to a process, from its log: `<ms> <kill|freeze|thaw> <name>`.
#[derive(Debug)]
struct Fault {
    at: u64,
    what: String,
    name: String,
}

/// A stretch of time in which a worker ran a task.
#[derive(Clone, Copy, Debug)]
struct Run {
    from: u64,
    to: u64,
}

struct Verdict {
    least: u64,
    failed: bool,
}

impl Verdict {
    fn tell(&mut self, what: &str, count: u64, violations: &[String]) {
        println!("checked {what} {count} violations {}", violations.len());
        violations.iter().take(5).for_each(|v| println!("  {v}"));
        if !violations.is_empty() {
            self.failed = true;
        }
        if count < self.least {
            println!("  only {count} checked, at least {} mean anything", self.least);
            self.failed = true;
        }
    }
}

fn read_lines<T>(path: &Path, parse: impl Fn(&str) -> Option<T>) -> Result<Vec<T>> {
    let text = std::fs::read_to_string(path).map_err(io("read", path))?;
    let bad = |line: &str| Error::Decode { what: "a line", reason: format!("{line:?}") };
    text.lines().map(|line| parse(line).ok_or_else(|| bad(line))).collect()
}

fn files_ending(folder: &Path, ending: &str) -> Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).map_err(io("read", folder))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.retain(|p| p.to_string_lossy().ends_with(ending));
    paths.sort();
    Ok(paths)
}

fn parse_fault(line: &str) -> Option<Fault> {
    let mut words = line.split_whitespace();
    let at = words.next()?.parse().ok()?;
    Some(Fault { at, what: words.next()?.to_string(), name: words.next()?.to_string() })
}

/// Gives when each task ran on a worker, less the times in which the worker was frozen.
fn runs_of(records: &[Record], faults: &[Fault]) -> BTreeMap<String, Vec<Run>> {
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    let mut end_all = |open: &mut BTreeMap<&str, u64>, to: u64| {
        for (task, from) in std::mem::take(open) {
            runs.entry(task.to_string()).or_default().push(Run { from, to });
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
                // Whatever ran ended when the process was killed.
                let killed = faults.iter().filter(|f| f.what == "kill" && f.at <= at);
                let to = killed.map(|f| f.at).max().unwrap_or(at);
                end_all(&mut open, to);
            }
            _ => {}
        }
    }
    end_all(&mut open, u64::MAX);
    let frozen = frozen_times(faults);
    for task_runs in runs.values_mut() {
        *task_runs = task_runs.iter().flat_map(|r| without(*r, &frozen)).collect();
    }
    runs
}

fn frozen_times(faults: &[Fault]) -> Vec<Run> {
    let mut frozen = Vec::new();
    let mut since = None;
    for fault in faults {
        match (fault.what.as_str(), since) {
            ("freeze", _) => since = Some(fault.at),
            ("thaw", Some(from)) => {
                frozen.push(Run { from, to: fault.at + THAW_GRACE });
                since = None;
            }
            _ => {}
        }
    }
    frozen
}

fn without(run: Run, frozen: &[Run]) -> Vec<Run> {
    let mut left = vec![run];
    for f in frozen {
        let cut = |r: Run| {
            let before = Run { from: r.from, to: r.to.min(f.from) };
            let after = Run { from: r.from.max(f.to), to: r.to };
            [before, after].into_iter().filter(|r| r.from < r.to)
        };
        left = left.into_iter().flat_map(cut).collect();
    }
    left
}

struct Evidence {
    records: BTreeMap<String, Vec<Record>>,
    faults: BTreeMap<String, Vec<Fault>>,
    answers: Vec<Answer>,
}

impl Evidence {
    fn read(run: &Path) -> Result<Evidence> {
        let mut records: BTreeMap<String, Vec<Record>> = BTreeMap::new();
        for path in files_ending(run, ".records")? {
            for record in read_records(&path)? {
                records.entry(record.worker.clone()).or_default().push(record);
            }
        }
        let mut faults: BTreeMap<String, Vec<Fault>> = BTreeMap::new();
        for fault in read_lines(&run.join("faults.log"), parse_fault)? {
            faults.entry(fault.name.clone()).or_default().push(fault);
        }
        let mut answers = Vec::new();
        for path in files_ending(run, ".answers")? {
            answers.extend(read_lines(&path, |l| serde_json::from_str(l).ok())?);
        }
        Ok(Evidence { records, faults, answers })
    }

    fn no_task_twice(&self, verdict: &mut Verdict) {
        let mut by_task: BTreeMap<String, Vec<(Run, &str)>> = BTreeMap::new();
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
        verdict.tell("task_runs", count, &violations);
    }

    fn no_worker_overcommitted(&self, verdict: &mut Verdict, cpu_milli: u64) {
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
                            violations.push(format!("{worker} ran {sum} at {}", record.at));
                        }
                    }
                    RecordKind::End => {
                        taken.remove(record.what.as_str());
                    }
                    RecordKind::Boot => taken.clear(),
                    RecordKind::Overcommit => {
                        violations.push(format!("{worker} was sent too much: {}", record.what));
                    }
                    _ => {}
                }
            }
        }
        verdict.tell("starts_within_size", count, &violations);
    }

    fn ran(&self) -> BTreeMap<&str, u64> {
        let mut ran: BTreeMap<&str, u64> = BTreeMap::new();
        let all = self.records.values().flatten();
        for record in all.filter(|r| r.kind == RecordKind::Request) {
            *ran.entry(record.what.as_str()).or_default() += 1;
        }
        ran
    }

    fn once_at_most(&self, verdict: &mut Verdict) {
        let ran = self.ran();
        let keyed = ran.iter().filter(|(name, _)| name.starts_with("key:"));
        let violations: Vec<String> = keyed
            .clone()
            .filter(|(_, n)| **n > 1)
            .map(|(name, n)| format!("{name} ran {n} times"))
            .collect();
        verdict.tell("not_repeatable_requests", keyed.count() as u64, &violations);
    }

    fn answers_are_true(&self, verdict: &mut Verdict) {
        let ran = self.ran();
        let name = |a: &Answer| match &a.key {
            Some(key) => format!("key:{key}"),
            None => a.id.clone(),
        };
        let whole: Vec<String> = self
            .answers
            .iter()
            .filter(|a| !a.whole)
            .map(|a| format!("{} was not answered whole", a.id))
            .collect();
        verdict.tell("answers_whole", self.answers.len() as u64, &whole);
        // A resent request has several answers: it did not run only if every answer says so.
        let mut said: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        for a in &self.answers {
            said.entry(name(a)).or_default().insert(&a.outcome);
        }
        let refused: Vec<&String> =
            said.iter().filter(|(_, o)| o.iter().all(|o| *o == "refused")).map(|s| s.0).collect();
        let lies: Vec<String> = refused
            .iter()
            .filter(|n| ran.contains_key(n.as_str()))
            .map(|n| format!("{n} was refused and ran"))
            .collect();
        verdict.tell("refused_did_not_run", refused.len() as u64, &lies);
        let done: Vec<&String> =
            said.iter().filter(|(_, o)| o.contains("done")).map(|s| s.0).collect();
        let invented: Vec<String> = done
            .iter()
            .filter(|n| !ran.contains_key(n.as_str()))
            .map(|n| format!("{n} was answered and never ran"))
            .collect();
        verdict.tell("done_did_run", done.len() as u64, &invented);
    }
}

/// The versions seen on each instance over time: `<ms> <instance> <version>`; none may go back.
fn configuration(run: &Path, verdict: &mut Verdict) -> Result<()> {
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
            violations.push(format!("{instance} went back from {before} to {version}"));
        }
    }
    verdict.tell("configuration_never_older", seen.len() as u64, &violations);
    let accepted = read_lines(&run.join("accepted.log"), |l| l.parse::<u64>().ok())?;
    let newest = accepted.iter().max().copied().unwrap_or(0);
    let behind: Vec<String> = last
        .iter()
        .filter(|(_, version)| **version != newest)
        .map(|(instance, version)| format!("{instance} ends with {version}, not {newest}"))
        .collect();
    verdict.tell("configuration_in_force", last.len() as u64, &behind);
    let unique: BTreeSet<&u64> = accepted.iter().collect();
    let twice = accepted.len() - unique.len();
    let doubles: Vec<String> =
        (0..twice).map(|_| "two operators won under one version".to_string()).collect();
    verdict.tell("configurations_accepted", accepted.len() as u64, &doubles);
    Ok(())
}

fn check(flags: &Flags) -> Result<bool> {
    let evidence = Evidence::read(&flags.run)?;
    let mut verdict = Verdict { least: flags.least, failed: false };
    evidence.no_task_twice(&mut verdict);
    evidence.no_worker_overcommitted(&mut verdict, flags.cpu_milli);
    evidence.once_at_most(&mut verdict);
    evidence.answers_are_true(&mut verdict);
    configuration(&flags.run, &mut verdict)?;
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
