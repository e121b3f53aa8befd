//! Tests of job files and configuration files: every fault is reported with its position.

use errors::Place;
use model::{Class, JobKind, Peer, Profile, Spread, parse_config, parse_jobs};
use proptest::prelude::*;

const GOOD: &str = r#"
[[job]]
name = "watch"
organisation = "portal"
kind = "service"
tasks = 3
cpu_milli = 500
memory_mb = 512
spread = "zone"
class = "urgent"
may_move = false

[[job]]
name = "match"
team = "placement"
kind = "batch"
cpu_milli = 1000
memory_mb = 1024
run_time_ms = 60000
repeatable = false
"#;

#[test]
fn a_valid_file_is_parsed_completely() {
    let jobs = parse_jobs("jobs.toml", GOOD).unwrap();
    assert_eq!(jobs.len(), 2);
    let watch = &jobs[0];
    assert_eq!((watch.kind, watch.tasks, watch.class), (JobKind::Service, 3, Class::Urgent));
    assert_eq!((watch.spread, watch.may_move, watch.repeatable), (Spread::Zone, false, true));
    assert!(!jobs[1].repeatable);
    assert_eq!(jobs[1].tasks, 1);
}

fn places(findings: errors::Findings) -> Vec<(usize, usize, String)> {
    let place = |f: errors::Finding| match f.place {
        Place::File { line, column, .. } => (line, column, f.message),
        other => panic!("{other:?}"),
    };
    findings.list.into_iter().map(place).collect()
}

#[test]
fn all_faults_of_a_file_are_reported_together() {
    let text = "[[job]]\nname = \"bad name\"\nteam = \"t\"\nkind = \"batch\"\ncpu_milli = 0\n\
                memory_mb = \"many\"\ntypo = 1\n\n[[job]]\nname = \"x\"\n";
    let found = places(parse_jobs("jobs.toml", text).unwrap_err());
    let has = |line, column, words: &str| {
        assert!(
            found.iter().any(|f| f.0 == line && f.1 == column && f.2.contains(words)),
            "no {line}:{column} {words} in {found:?}"
        );
    };
    has(7, 1, "unknown key \"typo\"");
    has(6, 13, "memory_mb");
    has(9, 1, "\"organisation\" is missing");
    has(9, 1, "\"kind\" is missing");
    has(9, 1, "\"cpu_milli\" is missing");
}

/// Generates tests of a single fault in a job, from the faulty line and a part of the message.
macro_rules! job_faults {
    ($($name:ident: $line:expr => $words:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = format!(
                "[[job]]\nname = \"n\"\nteam = \"t\"\nkind = \"batch\"\ncpu_milli = 1\n\
                 memory_mb = 1\nrun_time_ms = 1\n{}\n", $line);
            let found = places(parse_jobs("j", &text).unwrap_err());
            assert!(found.iter().any(|f| f.2.contains($words)), "{found:?}");
        }
    )*};
}

job_faults! {
    an_unknown_class: "class = \"vip\"" => "class";
    no_tasks: "tasks = 0" => "\"tasks\" must lie between";
    too_many_tasks: "tasks = 20001" => "\"tasks\" must lie between";
    a_negative_number: "accelerators = -1" => "accelerators";
    a_key_given_twice: "name = \"m\"" => "duplicate key";
    broken_toml: "tasks = = 1" => "";
    a_job_that_is_no_table: "[other]\nx = 1" => "unknown key \"other\"";
}

#[test]
fn an_empty_file_and_a_huge_one_are_faults() {
    assert!(parse_jobs("j", "").is_err());
    let huge = "# x\n".repeat(300_000);
    assert!(parse_jobs("j", &huge).is_err());
}

#[test]
fn a_configuration_takes_defaults_for_what_is_left_out() {
    let config = parse_config("c", "profile = \"packing\"\nupstream_slots = 16\n").unwrap();
    assert_eq!((config.profile, config.upstream_slots), (Profile::Packing, 16));
    assert_eq!(config.instances_per_zone, 2);
}

/// Generates tests of a faulty configuration, from its text and a part of the message.
macro_rules! config_faults {
    ($($name:ident: $text:expr => $words:expr;)*) => {$(
        #[test]
        fn $name() {
            let found = places(parse_config("c", $text).unwrap_err());
            assert!(found.iter().any(|f| f.2.contains($words)), "{found:?}");
        }
    )*};
}

config_faults! {
    an_unknown_key: "slots = 1" => "unknown key";
    no_instance: "instances_per_zone = 0" => "instances_per_zone";
    fewer_slots_than_instances: "upstream_slots = 1" => "upstream_slots";
    fewer_connections_than_slots: "upstream_connections = 4" => "upstream_connections";
    too_many_retries: "retry_percent = 101" => "retry_percent";
    a_lease_too_short: "worker_lease_ms = 10" => "worker_lease_ms";
    two_quotas_of_an_organisation:
        "[[quota]]\norganisation=\"t\"\ncpu_milli=1\nmemory_mb=1\n[[quota]]\norganisation=\"t\"\ncpu_milli=1\nmemory_mb=1"
        => "two quotas";
    two_words_for_one_organisation:
        "[[quota]]\norganisation=\"t\"\nteam=\"t\"\ncpu_milli=1\nmemory_mb=1" => "without \"team\"";
    two_quotas_by_the_earlier_key:
        "[[quota]]\nteam=\"t\"\ncpu_milli=1\nmemory_mb=1\n[[quota]]\nteam=\"t\"\ncpu_milli=1\nmemory_mb=1"
        => "two quotas";
}

/// Generates tests of a peer, from its text and whether that is valid.
macro_rules! peers {
    ($($name:ident: $text:expr => $valid:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(Peer::parse($text).is_ok(), $valid, "{:?}", Peer::parse($text));
        }
    )*};
}

peers! {
    a_peer_with_a_disk: "a=za@127.0.0.1:1/127.0.0.1:2+disk" => true;
    a_peer_without: "a=za@127.0.0.1:1/127.0.0.1:2" => true;
    a_peer_by_ipv6: "a=za@[::1]:1/[::1]:2" => true;
    a_peer_without_zone: "a=@127.0.0.1:1/127.0.0.1:2" => false;
    a_peer_by_host_name: "a=za@host:1/host:2" => false;
    a_peer_without_callers: "a=za@127.0.0.1:1" => false;
}

proptest! {
    #[test]
    fn any_text_is_read_or_gives_findings(text in "[\\[\\]a-z_=\"0-9.\\n {}-]{0,200}") {
        let _ = parse_jobs("j", &text);
        let _ = parse_config("c", &text);
        let _ = Peer::parse(&text);
    }

    /// Parses a valid file with a part cut out or repeated.
    #[test]
    fn a_mangled_file_is_read_or_gives_findings(from in 0usize..GOOD.len(), len in 0usize..80, twice: bool) {
        let to = (from + len).min(GOOD.len());
        let middle = if twice { GOOD[from..to].repeat(2) } else { String::new() };
        let text = [&GOOD[..from], &middle, &GOOD[to..]].concat();
        if let Err(findings) = parse_jobs("j", &text) {
            prop_assert!(!findings.list.is_empty());
        }
    }
}
