//! Tests of the text format, read line by line as a scraper would.

use std::collections::BTreeMap;

use metrics::Registry;

/// Parses lines of the form `name{labels} value`; panics on any other line that is not a comment.
fn parse(text: &str) -> BTreeMap<String, f64> {
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    let read = |l: &str| {
        let (name, value) = l.rsplit_once(' ').expect("a name and a value");
        assert!(name.starts_with(|c: char| c.is_ascii_lowercase()), "{name}");
        (name.to_string(), value.parse().expect("a number"))
    };
    lines.map(read).collect()
}

#[test]
fn every_figure_is_told_with_its_type_and_can_be_read() {
    let registry = Registry::default();
    registry.add("calls_total", "accepted", 2);
    registry.add("calls_total", "accepted", 1);
    registry.add("calls_total", "refused", 1);
    registry.add_for_service("crashes_total", &"layout".into(), 1);
    registry.add_for_service("crashes_total", &"layout".into(), 1);
    registry.add_for_service("crashes_total", &"\"photo\"".into(), 1);
    registry.set("workers", 48);
    for ms in [10, 20, 1_000] {
        registry.record_ms("commit_seconds", ms);
    }
    let text = registry.text();
    let figures = parse(&text);
    assert_eq!(figures["calls_total{kind=\"accepted\"}"], 3.0);
    assert_eq!(figures["calls_total{kind=\"refused\"}"], 1.0);
    assert_eq!(figures["crashes_total{service=\"layout\"}"], 2.0);
    assert_eq!(figures["crashes_total{service=\"\\\"photo\\\"\"}"], 1.0);
    assert_eq!(text.matches("# TYPE crashes_total counter").count(), 1);
    assert_eq!(figures["workers"], 48.0);
    assert_eq!(figures["commit_seconds_count"], 3.0);
    assert!((figures["commit_seconds{quantile=\"0.5\"}"] - 0.02).abs() < 0.001);
    assert!((figures["commit_seconds_sum"] - 1.03).abs() < 0.02);
    assert_eq!(text.matches("# TYPE calls_total counter").count(), 1);
}

#[test]
fn a_gauge_of_services_tells_of_those_named_last_and_of_no_others() {
    let registry = Registry::default();
    registry.add_for_service("crashes_total", &"layout".into(), 1);
    let set = |values: &[(&str, u64)]| {
        let values = values.iter().map(|(service, value)| ((*service).into(), *value));
        registry.set_by_service("workers_aside", values.collect());
        registry.text()
    };
    let text = set(&[("layout", 3), ("\"photo\"", 0)]);
    let figures = parse(&text);
    assert_eq!(figures["workers_aside{service=\"layout\"}"], 3.0);
    assert_eq!(figures["workers_aside{service=\"\\\"photo\\\"\"}"], 0.0);
    assert_eq!(figures["crashes_total{service=\"layout\"}"], 1.0);
    assert_eq!(text.matches("# TYPE workers_aside gauge").count(), 1);
    let text = set(&[("layout", 0)]);
    assert_eq!(parse(&text)["workers_aside{service=\"layout\"}"], 0.0);
    assert_eq!(text.matches("workers_aside{").count(), 1);
    assert_eq!(set(&[]).matches("workers_aside{").count(), 0);
}

/// Guards against gauges of queues that are reported under another label or stay after their queue is gone.
#[test]
fn a_gauge_of_queues_is_labelled_by_queue_and_holds_no_old_ones() {
    let registry = Registry::default();
    registry.set_by_queue("waiting_steps", [("quick".into(), 3), ("batch".into(), 0)].into());
    let figures = parse(&registry.text());
    assert_eq!(figures["waiting_steps{queue=\"quick\"}"], 3.0);
    assert_eq!(figures["waiting_steps{queue=\"batch\"}"], 0.0);
    registry.set_by_queue("waiting_steps", [("batch".into(), 1)].into());
    assert_eq!(registry.text().matches("waiting_steps{").count(), 1);
}
