//! Tests of the catalogue, its page, the order of events and the journal.

use std::collections::BTreeSet;

use events::{CATALOGUE, Filter, Journal, Level, LogicalClock, Subject, kinds};

#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u32> = CATALOGUE.iter().map(|k| k.number).collect();
    let names: BTreeSet<&str> = CATALOGUE.iter().map(|k| k.name).collect();
    assert_eq!((numbers.len(), names.len()), (CATALOGUE.len(), CATALOGUE.len()));
}

#[test]
fn the_page_lists_each_event_once_and_as_the_code_has_it() {
    let page = include_str!("../../../docs/events.md");
    let rows: Vec<&str> =
        page.lines().filter(|l| l.starts_with("| ") && !l.contains("number")).collect();
    let wanted: Vec<String> = CATALOGUE
        .iter()
        .map(|k| {
            let level = match k.level {
                Level::Info => "info",
                Level::Warn => "warn",
                Level::Error => "error",
            };
            format!("| {} | {level} | {} | {} |", k.number, k.name, k.meaning)
        })
        .collect();
    assert_eq!(rows, wanted);
}

#[test]
fn what_follows_a_message_comes_after_it() {
    let (receiver, sender) = (LogicalClock::default(), LogicalClock::default());
    // The message comes from a process whose clock is far ahead.
    sender.observe(u64::MAX / 2);
    let sent = sender.next();
    receiver.observe(sent);
    assert!(receiver.next() > sent);
}

#[test]
fn a_journal_filters_and_keeps_copies() {
    let (a, b) = (Journal::new("a".into()), Journal::new("b".into()));
    a.record(&kinds::JOB_CREATED, Subject::job(&"x"), "one");
    a.record(&kinds::JOB_CREATED, Subject::job(&"y"), "two");
    b.add_copies(a.take_uncopied(10));
    assert!(a.take_uncopied(10).is_empty(), "each event is copied once");
    let filter = Filter { subject: Subject::job(&"y"), ..Filter::default() };
    let found = b.read(&filter);
    assert_eq!(found.len(), 1);
    assert_eq!((&*found[0].instance, found[0].text.as_str()), ("a", "two"));
    let later = Filter { after: found[0].order, ..Filter::default() };
    assert!(a.read(&later).is_empty());
}

#[test]
fn a_journal_that_was_lost_is_made_whole_from_another_once() {
    let (a, b) = (Journal::new("a".into()), Journal::new("b".into()));
    a.record(&kinds::JOB_CREATED, Subject::job(&"x"), "one");
    b.record(&kinds::JOB_ENDED, Subject::job(&"x"), "two");
    b.add_copies(a.take_uncopied(10));
    // The first process has died. Its successor receives the events that both knew, and keeps each once even if
    // it receives the copies twice.
    let restarted = Journal::new("a".into());
    restarted.add_copies(b.all_copies());
    restarted.add_copies(b.all_copies());
    let texts: Vec<String> =
        restarted.read(&Filter::default()).into_iter().map(|e| e.text).collect();
    assert_eq!(texts, ["one", "two"]);
    assert!(restarted.take_uncopied(10).is_empty(), "copies are not copied further");
}
