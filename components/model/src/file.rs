//! A parser for job files and configuration files that reports all faults at once, with line and column.

use std::ops::Range;

use clock::Millis;
use errors::{Finding, Findings, Place};
use serde::Deserialize;

use crate::config::Quota;
use crate::{CellConfig, Class, JobKind, JobSpec, Profile, Size, Spread};

/// The maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 1 << 20;

type Table<'a> = toml::de::DeTable<'a>;

/// A file being read, with the findings so far. It converts byte ranges into positions.
struct Source<'a> {
    path: &'a str,
    text: &'a str,
    findings: Findings,
}

impl<'a> Source<'a> {
    fn new(path: &'a str, text: &'a str) -> Source<'a> {
        Source { path, text, findings: Findings::default() }
    }

    fn fault(&mut self, span: Range<usize>, message: String) {
        let place = Place::in_text(self.path, self.text, span.start);
        self.findings.push(Finding::new(place, message));
    }

    /// Parses the whole text as a table, or records why this failed.
    fn root(&mut self) -> Option<Table<'a>> {
        if self.text.len() > MAX_FILE_BYTES {
            self.fault(0..0, format!("the file is larger than {MAX_FILE_BYTES} bytes"));
            return None;
        }
        match Table::parse(self.text) {
            Ok(table) => Some(table.into_inner()),
            Err(e) => {
                self.fault(e.span().unwrap_or(0..0), e.message().to_string());
                None
            }
        }
    }

    /// Records a fault for every key of `table` that is not in `known`.
    fn unknown_keys(&mut self, table: &Table<'a>, known: &[&str]) {
        for key in table.keys() {
            if !known.contains(&key.get_ref().as_ref()) {
                let message = format!("unknown key \"{}\"", key.get_ref());
                self.fault(key.span(), format!("{message}; known are {}", known.join(", ")));
            }
        }
    }

    /// Reads `key`, or returns `default` if it is missing. Without a default the key is required.
    fn field<T>(
        &mut self,
        table: &Table<'a>,
        at: &Range<usize>,
        key: &str,
        default: Option<T>,
    ) -> Option<T>
    where
        T: for<'d> Deserialize<'d>,
    {
        let Some((_, value)) = table.iter().find(|(k, _)| k.get_ref().as_ref() == key) else {
            if default.is_none() {
                self.fault(at.clone(), format!("the key \"{key}\" is missing"));
            }
            return default;
        };
        match T::deserialize(toml::de::ValueDeserializer::from(value.clone())) {
            Ok(v) => Some(v),
            Err(e) => {
                self.fault(value.span(), format!("\"{key}\": {}", e.message()));
                None
            }
        }
    }

    /// Records each `(key, message)` at the position of its key, or at `at` if the key is missing.
    fn faults_at(
        &mut self,
        table: &Table<'a>,
        at: &Range<usize>,
        faults: Vec<(&'static str, String)>,
    ) {
        for (key, message) in faults {
            let entry = table.iter().find(|(k, _)| k.get_ref().as_ref() == key);
            let span = entry.map_or_else(|| at.clone(), |(_, v)| v.span());
            self.fault(span, format!("\"{key}\" {message}"));
        }
    }
}

/// The former name of the key "organisation". Files that use it are still accepted.
const FORMER_ORGANISATION_KEY: &str = "team";

const JOB_KEYS: &[&str] = &[
    "name",
    "organisation",
    FORMER_ORGANISATION_KEY,
    "kind",
    "tasks",
    "cpu_milli",
    "memory_mb",
    "accelerators",
    "run_time_ms",
    "class",
    "deadline_ms",
    "spread",
    "may_move",
    "repeatable",
];

const CONFIG_KEYS: &[&str] = &[
    "profile",
    "upstream_slots",
    "upstream_connections",
    "instances_per_zone",
    "queue_limit_ms",
    "retry_percent",
    "worker_lease_ms",
    "quota",
];

/// Parses a job file, which has one `[[job]]` table for each service, batch job or gang job.
///
/// # Errors
/// Returns all faults of the file together.
pub fn parse_jobs(path: &str, text: &str) -> Result<Vec<JobSpec>, Findings> {
    let mut src = Source::new(path, text);
    let mut jobs = Vec::new();
    if let Some(root) = src.root() {
        src.unknown_keys(&root, &["job"]);
        for (table, span) in tables(&mut src, &root, "job") {
            jobs.extend(job(&mut src, &table, &span));
        }
        if jobs.is_empty() && src.findings.list.is_empty() {
            src.fault(0..0, "the file declares no [[job]]".into());
        }
    }
    src.findings.into_result(jobs)
}

/// Parses a configuration file. Missing keys take their defaults.
///
/// # Errors
/// Returns all faults of the file together.
pub fn parse_config(path: &str, text: &str) -> Result<CellConfig, Findings> {
    let mut src = Source::new(path, text);
    let mut config = CellConfig::default();
    if let Some(root) = src.root() {
        src.unknown_keys(&root, CONFIG_KEYS);
        config = read_config(&mut src, &root);
        src.faults_at(&root, &(0..0), config.faults());
    }
    src.findings.into_result(config)
}

type FoundTable<'a> = (Table<'a>, Range<usize>);

fn tables<'a>(src: &mut Source<'a>, root: &Table<'a>, key: &str) -> Vec<FoundTable<'a>> {
    let Some((_, value)) = root.iter().find(|(k, _)| k.get_ref().as_ref() == key) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    match value.get_ref() {
        toml::de::DeValue::Array(items) => {
            for item in items.iter() {
                match item.get_ref() {
                    toml::de::DeValue::Table(t) => found.push((t.clone(), item.span())),
                    _ => src.fault(item.span(), format!("write [[{key}]] tables")),
                }
            }
        }
        _ => src.fault(value.span(), format!("write [[{key}]] tables")),
    }
    found
}

fn job<'a>(src: &mut Source<'a>, t: &Table<'a>, at: &Range<usize>) -> Option<JobSpec> {
    let before = src.findings.list.len();
    src.unknown_keys(t, JOB_KEYS);
    let name = src.field::<String>(t, at, "name", None);
    let organisation = organisation(src, t, at);
    let kind = src.field::<JobKind>(t, at, "kind", None);
    let tasks = src.field(t, at, "tasks", Some(1u32));
    let cpu_milli = src.field::<u64>(t, at, "cpu_milli", None);
    let memory_mb = src.field::<u64>(t, at, "memory_mb", None);
    let accelerators = src.field(t, at, "accelerators", Some(0u64));
    let run_time = src.field(t, at, "run_time_ms", Some(0u64));
    let class = src.field(t, at, "class", Some(Class::Normal));
    let deadline = src.field(t, at, "deadline_ms", Some(0u64));
    let spread = src.field(t, at, "spread", Some(Spread::None));
    let may_move = src.field(t, at, "may_move", Some(true));
    let repeatable = src.field(t, at, "repeatable", Some(true));
    let spec = JobSpec {
        name: name?.as_str().into(),
        organisation: organisation?.as_str().into(),
        kind: kind?,
        tasks: tasks?,
        size: Size::new(cpu_milli?, memory_mb?, accelerators?),
        run_time: Millis(run_time?),
        class: class?,
        deadline: Millis(deadline?),
        spread: spread?,
        may_move: may_move?,
        repeatable: repeatable?,
    };
    src.faults_at(t, at, spec.faults());
    (src.findings.list.len() == before).then_some(spec)
}

/// Reads the name of an organisation from its key, or from the former key if only that is present.
fn organisation<'a>(src: &mut Source<'a>, t: &Table<'a>, at: &Range<usize>) -> Option<String> {
    let has = |key: &str| t.iter().any(|(k, _)| k.get_ref().as_ref() == key);
    let key = match (has("organisation"), has(FORMER_ORGANISATION_KEY)) {
        (true, true) => {
            src.fault(
                at.clone(),
                format!("write \"organisation\" without \"{FORMER_ORGANISATION_KEY}\""),
            );
            return None;
        }
        (false, true) => FORMER_ORGANISATION_KEY,
        (_, false) => "organisation",
    };
    src.field(t, at, key, None)
}

fn read_config<'a>(src: &mut Source<'a>, root: &Table<'a>) -> CellConfig {
    let d = CellConfig::default();
    let at = &(0..0);
    let millis = |src: &mut Source<'a>, key: &str, default: Millis| {
        Millis(src.field(root, at, key, Some(default.0)).unwrap_or(default.0))
    };
    let queue_limit = millis(src, "queue_limit_ms", d.queue_limit);
    let worker_lease = millis(src, "worker_lease_ms", d.worker_lease);
    let number = |src: &mut Source<'a>, key: &str, default: u32| {
        src.field(root, at, key, Some(default)).unwrap_or(default)
    };
    CellConfig {
        upstream_slots: number(src, "upstream_slots", d.upstream_slots),
        upstream_connections: number(src, "upstream_connections", d.upstream_connections),
        instances_per_zone: number(src, "instances_per_zone", d.instances_per_zone),
        retry_percent: number(src, "retry_percent", d.retry_percent),
        profile: src.field(root, at, "profile", Some(Profile::Waiting)).unwrap_or_default(),
        queue_limit,
        worker_lease,
        quotas: quotas(src, root),
    }
}

const QUOTA_KEYS: &[&str] =
    &["organisation", FORMER_ORGANISATION_KEY, "cpu_milli", "memory_mb", "accelerators"];

fn quotas<'a>(src: &mut Source<'a>, root: &Table<'a>) -> Vec<Quota> {
    let mut quotas: Vec<Quota> = Vec::new();
    for (t, at) in tables(src, root, "quota") {
        src.unknown_keys(&t, QUOTA_KEYS);
        let organisation = organisation(src, &t, &at);
        let cpu_milli = src.field::<u64>(&t, &at, "cpu_milli", None);
        let memory_mb = src.field::<u64>(&t, &at, "memory_mb", None);
        let accelerators = src.field(&t, &at, "accelerators", Some(0u64));
        let (Some(organisation), Some(c), Some(m), Some(a)) =
            (organisation, cpu_milli, memory_mb, accelerators)
        else {
            continue;
        };
        if quotas.iter().any(|q| *q.organisation == *organisation) {
            src.fault(at, format!("the organisation \"{organisation}\" has two quotas"));
            continue;
        }
        quotas.push(Quota { organisation: organisation.as_str().into(), size: Size::new(c, m, a) });
    }
    quotas
}
