//! Tests that settings are read from flags and variables, and that all faults are reported together.

use std::collections::BTreeMap;

use errors::{Findings, Place};
use gumdrop::Options;
use settings::{Flags, LogFormat, read};

const PEERS: &str = "a1=za@127.0.0.1:1/127.0.0.1:2+disk,a2=za@127.0.0.1:3/127.0.0.1:4";

fn flags(args: &[&str]) -> Flags {
    Flags::parse_args_default(args).unwrap()
}

fn valid_arguments() -> Vec<&'static str> {
    vec![
        "--name",
        "a2",
        "--peers",
        PEERS,
        "--operators",
        "127.0.0.1:5",
        "--platform",
        "127.0.0.1:6",
    ]
}

fn with(extra: &[&'static str]) -> Flags {
    let args: Vec<&str> = valid_arguments().into_iter().chain(extra.iter().copied()).collect();
    flags(&args)
}

fn places(findings: &Findings) -> Vec<Place> {
    findings.list.iter().map(|f| f.place.clone()).collect()
}

#[test]
fn flags_alone_suffice() {
    let s = read(&with(&[]), &BTreeMap::new()).unwrap();
    assert_eq!(s.own.zone.as_str(), "za");
    assert_eq!(s.peers.len(), 2);
    assert_eq!(s.drain_notice.0, 1_000);
}

#[test]
fn variables_alone_suffice_and_flags_go_before_them() {
    let pairs = [
        ("HEATHVALE_NAME", "a2"),
        ("HEATHVALE_PEERS", PEERS),
        ("HEATHVALE_OPERATORS", "127.0.0.1:5"),
        ("HEATHVALE_PLATFORM", "127.0.0.1:6"),
        ("HEATHVALE_LOG_FORMAT", "json"),
        ("HEATHVALE_SEED", "7"),
    ];
    let variables: BTreeMap<String, String> =
        pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect();
    let s = read(&flags(&[]), &variables).unwrap();
    assert_eq!((s.log_format, s.seed), (LogFormat::Json, 7));
    let s = read(&flags(&["--seed", "8"]), &variables).unwrap();
    assert_eq!(s.seed, 8);
}

#[test]
fn all_missing_settings_are_told_together() {
    let findings = read(&flags(&[]), &BTreeMap::new()).unwrap_err();
    let wanted: Vec<Place> =
        ["name", "peers", "operators", "platform"].map(|f| Place::Flag(f.into())).to_vec();
    assert_eq!(places(&findings), wanted);
}

#[test]
fn faults_of_flags_and_variables_are_told_together() {
    let variables = BTreeMap::from([("HEATHVALE_SEED".to_string(), "x".to_string())]);
    let flags = with(&["--log-format", "xml", "--longest-request-ms", "5", "--data-folder", "d"]);
    let findings = read(&flags, &variables).unwrap_err();
    let found = places(&findings);
    for place in [
        Place::Variable("HEATHVALE_SEED".into()),
        Place::Flag("log-format".into()),
        Place::Flag("longest-request-ms".into()),
        Place::Flag("data-folder".into()),
    ] {
        assert!(found.contains(&place), "{place} is not in {found:?}");
    }
}

/// Tests of a fault in one setting: the flag and value that cause it, and the flag that it is reported for.
macro_rules! faults {
    ($($name:ident: $flag:expr, $value:expr => $place:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut args = valid_arguments();
            match args.iter().position(|a| *a == $flag) {
                Some(at) => args[at + 1] = $value,
                None => args.extend([$flag, $value]),
            }
            let findings = read(&flags(&args), &BTreeMap::new()).unwrap_err();
            assert_eq!(places(&findings)[0], Place::Flag($place.into()), "{findings:?}");
        }
    )*};
}

faults! {
    a_name_that_is_no_peer: "--name", "b9" => "name";
    an_instance_with_a_disk_needs_a_folder: "--name", "a1" => "data-folder";
    an_address_that_is_none: "--operators", "host:5" => "operators";
    a_peer_twice: "--peers", "a2=z@127.0.0.1:1/127.0.0.1:2+disk,a2=z@127.0.0.1:1/127.0.0.1:2+disk" => "peers";
    no_disk_at_all: "--peers", "a2=z@127.0.0.1:1/127.0.0.1:2" => "peers";
    a_level_that_is_none: "--log-level", "loud" => "log-level";
    a_notice_that_is_no_number: "--drain-notice-ms", "soon" => "drain-notice-ms";
}

/// Checks that the page of settings names every flag in the help, and its variable.
#[test]
fn the_page_of_settings_is_complete() {
    let page = include_str!("../../../docs/operators/settings.md");
    let usage = Flags::usage();
    let flags: Vec<&str> = usage
        .split_whitespace()
        .filter_map(|w| w.strip_prefix("--"))
        .filter(|f| !["help", "version"].contains(f))
        .collect();
    assert!(flags.len() >= 10);
    for flag in flags {
        let flag = flag.trim_end_matches(|c: char| !c.is_ascii_alphanumeric());
        let variable = format!("HEATHVALE_{}", flag.replace('-', "_").to_uppercase());
        assert!(page.contains(&format!("`--{flag} ")), "--{flag} is not on the page");
        assert!(page.contains(&variable), "{variable} is not on the page");
    }
}
