//! Tests that a caller receives only the complete answer to its own request: upstreams answer late, truncated, twice or
//! for another request, and each case checks the outcome that the caller receives.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::{Behaviour, Wire, cell, wait_until, whole_answer, write_wire};
use upstream::{WorkerState, headers};

fn answer_with_length(stream: &mut TcpStream, id: &str, length: usize, body: &[u8]) -> bool {
    let head = [(headers::REQUEST, id.to_string()), (headers::BODY_LENGTH, length.to_string())];
    write_wire(stream, "HTTP/1.1 200 OK", &head, body).is_ok()
}

fn answer_for_another_request(stream: &mut TcpStream, _: &Wire) -> bool {
    answer_with_length(stream, "another", 5, b"other")
}

fn answer_without_id(stream: &mut TcpStream, _: &Wire) -> bool {
    write_wire(stream, "HTTP/1.1 200 OK", &[], b"whose?").is_ok()
}

fn answer_with_truncated_body(stream: &mut TcpStream, req: &Wire) -> bool {
    let id = req.header(headers::REQUEST);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n{}: {id}\r\n{}: 9\r\n\r\nhalf",
        headers::REQUEST,
        headers::BODY_LENGTH
    );
    let _ = stream.write_all(head.as_bytes());
    false
}

fn answer_with_shorter_body(stream: &mut TcpStream, req: &Wire) -> bool {
    answer_with_length(stream, req.header(headers::REQUEST), 99, b"short")
}

fn close_immediately(_: &mut TcpStream, _: &Wire) -> bool {
    false
}

fn never_answer(_: &mut TcpStream, _: &Wire) -> bool {
    thread::sleep(Duration::from_secs(12));
    false
}

fn refuse_as_full(stream: &mut TcpStream, req: &Wire) -> bool {
    let id = req.header(headers::REQUEST).to_string();
    let head = [(headers::REQUEST, id), (headers::NOT_RUN, "1".to_string())];
    write_wire(stream, "HTTP/1.1 503 Full", &head, b"").is_ok()
}

fn refuse_as_leaving(stream: &mut TcpStream, req: &Wire) -> bool {
    let id = req.header(headers::REQUEST).to_string();
    let one = || "1".to_string();
    let head = [(headers::REQUEST, id), (headers::NOT_RUN, one()), (headers::LEAVING, one())];
    write_wire(stream, "HTTP/1.1 503 Leaving", &head, b"").is_ok()
}

fn answer_with_failure(stream: &mut TcpStream, req: &Wire) -> bool {
    let id = req.header(headers::REQUEST).to_string();
    let head = [(headers::REQUEST, id), (headers::BODY_LENGTH, "0".to_string())];
    write_wire(stream, "HTTP/1.1 500 Broken", &head, b"").is_ok()
}

/// Answers twice, so that the second copy is still unread when the next request uses the connection.
fn answer_twice(stream: &mut TcpStream, req: &Wire) -> bool {
    whole_answer(stream, req) && whole_answer(stream, req)
}

const REPEATABLE: &[(&str, &str)] = &[(headers::DEADLINE, "4000")];

fn not_repeatable_headers(key: &str) -> Vec<(&'static str, String)> {
    vec![
        (headers::DEADLINE, "4000".to_string()),
        (headers::REPEATABLE, "no".to_string()),
        (headers::KEY, key.to_string()),
        (headers::KEY_ISSUED_AT, clock::wall_now().0.to_string()),
    ]
}

fn call_not_repeatable(instance: &common::Instance, id: &str, key: &str) -> Wire {
    let extra = not_repeatable_headers(key);
    let extra: Vec<(&str, &str)> = extra.iter().map(|(k, v)| (*k, v.as_str())).collect();
    instance.call(id, &extra)
}

/// Generates tests with a single upstream of the given behaviour. Each checks the outcome that the caller receives, first
/// for a repeatable request and then for one that is not repeatable.
macro_rules! outcome_tests {
    ($($name:ident: $behaviour:expr => $repeatable:expr, $not_repeatable:expr;)*) => {$(
        #[test]
        fn $name() {
            let behaviour: Behaviour = $behaviour;
            let (instance, _platform, upstreams) = cell(&[behaviour]);
            let answer = instance.call("r1", REPEATABLE);
            assert_eq!(answer.header(headers::OUTCOME), $repeatable, "{answer:?}");
            assert_eq!(answer.header(headers::REQUEST), "r1");
            assert_eq!(answer.header(headers::BODY_LENGTH), answer.body.len().to_string());
            let before = upstreams[0].runs();
            let answer = call_not_repeatable(&instance, "r2", "k2");
            assert_eq!(answer.header(headers::OUTCOME), $not_repeatable, "{answer:?}");
            assert!(upstreams[0].runs() <= before + 1, "the request was sent more than once");
            if answer.header(headers::OUTCOME) == "refused" {
                assert!(answer.header(headers::RETRY_AFTER_MS).parse::<u64>().unwrap() > 0);
                assert!(answer.header("retry-after").parse::<u64>().unwrap() > 0);
            }
        }
    )*};
}

outcome_tests! {
    a_whole_answer: whole_answer => "done", "done";
    an_answer_for_another_request: answer_for_another_request => "may-have-run", "may-have-run";
    an_answer_without_an_id: answer_without_id => "may-have-run", "may-have-run";
    an_answer_cut_in_the_body: answer_with_truncated_body => "may-have-run", "may-have-run";
    an_answer_shorter_than_told: answer_with_shorter_body => "may-have-run", "may-have-run";
    a_connection_closed_at_once: close_immediately => "may-have-run", "may-have-run";
    no_answer_in_time: never_answer => "may-have-run", "may-have-run";
    an_upstream_that_is_full: refuse_as_full => "refused", "refused";
    an_upstream_that_is_leaving: refuse_as_leaving => "refused", "refused";
    an_upstream_that_fails: answer_with_failure => "failed", "failed";
}

/// Generates tests with one faulty upstream beside a healthy one. The healthy one completes every request that is
/// repeatable or that did not run at the faulty one.
macro_rules! retry_tests {
    ($($name:ident: $behaviour:expr => $not_repeatable:expr;)*) => {$(
        #[test]
        fn $name() {
            let behaviour: Behaviour = $behaviour;
            let (instance, _platform, _upstreams) = cell(&[behaviour, whole_answer]);
            for i in 0..8 {
                let id = format!("r{i}");
                let answer = instance.call(&id, REPEATABLE);
                assert_eq!(answer.header(headers::OUTCOME), "done", "{answer:?}");
                assert_eq!(answer.body, format!("ran:{id}").as_bytes());
            }
            let allowed: &[&str] = $not_repeatable;
            let answer = call_not_repeatable(&instance, "r9", "k9");
            assert!(allowed.contains(&answer.header(headers::OUTCOME)), "{answer:?}");
        }
    )*};
}

retry_tests! {
    beside_one_that_closes: close_immediately => &["done", "may-have-run"];
    beside_one_that_answers_others: answer_for_another_request => &["done", "may-have-run"];
    beside_one_that_is_full: refuse_as_full => &["done"];
    beside_one_that_is_leaving: refuse_as_leaving => &["done"];
}

#[test]
fn a_not_repeatable_request_that_may_have_run_is_sent_nowhere_else() {
    let (instance, _platform, upstreams) =
        cell(&[close_immediately, close_immediately, close_immediately]);
    for i in 0..5 {
        let answer = call_not_repeatable(&instance, &format!("r{i}"), &format!("k{i}"));
        assert_eq!(answer.header(headers::OUTCOME), "may-have-run", "{answer:?}");
        let runs: u32 = upstreams.iter().map(|u| u.runs()).sum();
        assert_eq!(runs, i + 1);
    }
}

#[test]
fn a_refused_retry_does_not_hide_a_try_that_may_have_run() {
    let (instance, _platform, upstreams) = cell(&[close_immediately, refuse_as_full]);
    let mut may_have_run_count = 0;
    for i in 0..8 {
        let before = upstreams[0].runs();
        let answer = instance.call(&format!("r{i}"), REPEATABLE);
        if upstreams[0].runs() > before {
            assert_eq!(answer.header(headers::OUTCOME), "may-have-run", "{answer:?}");
            may_have_run_count += 1;
        }
    }
    assert!(
        may_have_run_count > 0,
        "no request was sent to the upstream that closes its connections"
    );
}

#[test]
fn a_doubled_answer_is_never_given_to_the_next_request() {
    let (instance, _platform, _upstreams) = cell(&[answer_twice]);
    for i in 0..20 {
        let id = format!("r{i}");
        let answer = instance.call(&id, REPEATABLE);
        if answer.header(headers::OUTCOME) == "done" {
            assert_eq!(
                answer.body,
                format!("ran:{id}").as_bytes(),
                "the answer belongs to another request"
            );
        }
    }
}

#[test]
fn a_resent_key_runs_once_also_after_a_kill() {
    let (mut instance, _platform, upstreams) = cell(&[whole_answer]);
    assert_eq!(call_not_repeatable(&instance, "r1", "key").header(headers::OUTCOME), "done");
    let again = call_not_repeatable(&instance, "r2", "key");
    assert_eq!(again.header(headers::OUTCOME), "may-have-run");
    instance.kill_and_restart();
    let again = call_not_repeatable(&instance, "r3", "key");
    assert_eq!(again.header(headers::OUTCOME), "may-have-run");
    assert_eq!(upstreams[0].runs(), 1);
}

#[test]
fn a_key_that_is_too_old_or_from_the_future_does_not_run() {
    let (instance, _platform, upstreams) = cell(&[whole_answer]);
    let day = 24 * 3_600 * 1_000;
    let now = clock::wall_now().0;
    for (issued, outcome) in [(now - day, "may-have-run"), (now + day, "refused")] {
        let issued = issued.to_string();
        let extra =
            [(headers::REPEATABLE, "no"), (headers::KEY, "k"), (headers::KEY_ISSUED_AT, &issued)];
        assert_eq!(instance.call("r", &extra).header(headers::OUTCOME), outcome);
    }
    assert_eq!(upstreams[0].runs(), 0);
}

#[test]
fn an_upstream_listed_as_leaving_gets_nothing_new() {
    let (instance, platform, upstreams) = cell(&[whole_answer, whole_answer]);
    platform.change(|list| list.workers[0].state = WorkerState::Leaving);
    wait_until("the instance has applied the platform list", || {
        instance.operate(&["status", "--upstreams"]).1.contains("w0 leaving")
    });
    let before = upstreams[0].runs();
    for i in 0..20 {
        assert_eq!(instance.call(&format!("r{i}"), REPEATABLE).header(headers::OUTCOME), "done");
    }
    assert_eq!(upstreams[0].runs(), before);
}
