//! Tests that clients which send large or unfinished requests, or which do not read, end no process of a cell, and that
//! ordinary callers are answered beside them.
//!
//! The cells have a quarter of the memory and of the descriptors of the smallest machines that the users named, and the
//! crowds are a quarter of those of the users' trial. The tests run one at a time.

#[path = "../platform/cell.rs"]
mod cell;
mod crowd;
mod usage;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use cell::{CONTROL_PORT, Cell, METRICS_PORT, READY_PORT, job_body, job_call};
use crowd::{Crowd, Script};
use rstest::rstest;
use testkit::read_wire;
use usage::{Usage, UsageMonitor};

/// The memory and the descriptors of each machine.
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 1_174;
/// The memory of a machine whose control instance reads configurations of the largest size, which does not get smaller
/// with the machine.
const CONTROL_MEMORY_MB: u64 = 256;
/// How many clients call an entry instance, and how many a control instance.
const CROWD: usize = 375;
const CONTROL_CROWD: usize = 100;
/// How many clients open connections at a listener with the rest of the descriptors of the process.
const CONNECTING_CROWD: usize = 1_300;
/// The maximum size of a body, and that of a configuration.
const MAX_BODY: usize = 262_144;
const MAX_CONFIG: usize = 8 << 20;
/// How many jobs that take much memory are submitted, one after the other.
const LARGE_JOBS: usize = 24;
/// By how many descriptors a process may differ from one moment to the next without any client.
const OWN_DESCRIPTORS: usize = 8;
/// How often an ordinary caller tries.
const TRIES: usize = 5;

/// Keeps the tests from running side by side: each measures the processes that it starts.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A cell on small machines, and the faults that a test has found.
struct SmallCell {
    cell: Cell,
    monitor: UsageMonitor,
    memory_mb: u64,
    jobs: u64,
    faults: Vec<String>,
}

impl SmallCell {
    fn start(memory_mb: u64) -> SmallCell {
        let mut cell = Cell::start_with(1, |n| n.set_machine_limits(memory_mb, DESCRIPTORS));
        for (i, front) in cell.fronts().into_iter().enumerate() {
            let id = format!("00000000000b{i:0>4}");
            cell.wait("every entry instance serves", |_| {
                job_call(front, "POST", &id, &job_body(1)).is_some_and(|a| a.0 == 200)
            });
        }
        let monitor = UsageMonitor::start(&cell);
        SmallCell { cell, monitor, memory_mb, jobs: 0, faults: Vec::new() }
    }

    fn check(&mut self, holds: bool, fault: impl Into<String>) {
        if !holds {
            self.faults.push(fault.into());
        }
    }

    /// Checks that an ordinary caller of the first entry instance is answered.
    fn check_ordinary_job(&mut self, when: &str) {
        self.jobs += 1;
        let (id, front) = (format!("00000000000c{:0>4}", self.jobs), self.cell.fronts()[0]);
        let submit = || job_call(front, "POST", &id, &job_body(1)).is_some_and(|a| a.0 == 200);
        let answered = (0..TRIES).any(|_| submit());
        self.check(answered, format!("an ordinary job {when} is not answered in {TRIES} tries"));
    }

    /// Checks that an operator's change and a worker's announcement are acknowledged.
    fn check_control_calls(&mut self, when: &str) {
        let published = (0..TRIES).any(|_| self.cell.publish());
        self.check(published, format!("a configuration {when} is not accepted in {TRIES} tries"));
        let announced = (0..TRIES).any(|_| self.cell.announce(0, "ready") == Some(200));
        self.check(announced, format!("an announcement {when} is not answered in {TRIES} tries"));
    }

    /// Checks that the first entry instance counts and logs that it turned clients away.
    fn check_turned_away(&mut self) {
        let counted = self.cell.metrics(3).contains("heathvale_clients_turned_away_total{");
        self.check(counted, "the clients that were turned away are not counted");
        let lines = self.cell.lines_about("E945 client_turned_away front");
        eprintln!("{}", lines.lines().take(2).collect::<Vec<_>>().join("\n"));
        self.check(!lines.is_empty(), "the clients that were turned away are not logged");
    }

    /// Checks that every process lives and has kept to the limits of its machine.
    fn check_processes(mut self) {
        self.cell.revive();
        self.faults.append(&mut self.cell.unexpected_exits);
        let peaks = self.monitor.peaks();
        eprintln!("peaks: {}", describe(&peaks));
        for (i, peak) in peaks.iter().enumerate() {
            let node = if i < 3 { "control" } else { "entry" };
            let megabytes = peak.memory / 1_000_000;
            let (memory_mb, descriptors) = (self.memory_mb, peak.descriptors);
            let fault = format!("{node} instance {i} took {megabytes} MB of {memory_mb}");
            self.check(megabytes < memory_mb, fault);
            let fault = format!("{node} instance {i} held {descriptors} descriptors");
            self.check(descriptors <= DESCRIPTORS, fault);
        }
        assert!(self.faults.is_empty(), "{}", self.faults.join("\n"));
    }
}

fn describe(peaks: &[Usage]) -> String {
    let text = |u: &Usage| format!("{} kB, {} descriptors", u.memory / 1_000, u.descriptors);
    peaks.iter().map(text).collect::<Vec<_>>().join("; ")
}

/// Returns the head of a request for a job that the client with this number submits.
fn head(method: &str, path: &str, number: usize, framing: &str) -> String {
    format!(
        "{method} {path}{number:016x} HTTP/1.1\r\nhost: h.example\r\ncontent-type: application/json\r\n\
         authorization: Token key-a\r\nx-deadline-ms: 3000\r\n{framing}\r\n\r\n"
    )
}

fn submit_head(number: usize, framing: &str) -> String {
    head("POST", "/q/", 0xd000 + number, framing)
}

fn length(bytes: usize) -> String {
    format!("content-length: {bytes}")
}

const CHUNKED: &str = "transfer-encoding: chunked";

/// Returns a job of `MAX_BODY` bytes, most of which is a field that has no meaning.
fn padded_job() -> Vec<u8> {
    pad(&job_body(1), MAX_BODY)
}

/// Fills a JSON object up to a size with a field that has no meaning.
fn pad(object: &str, size: usize) -> Vec<u8> {
    let rest = object.strip_prefix('{').expect("an object");
    let filler = "x".repeat(size - rest.len() - r#"{"pad":"","#.len());
    format!(r#"{{"pad":"{filler}",{rest}"#).into_bytes()
}

/// Returns a job of `MAX_BODY` bytes with as many steps as fit. The first one needs more than any worker has, and the
/// others come after it.
fn job_of_many_steps() -> Vec<u8> {
    const STEP: &str = r#",{"count":1,"depends_on":[0]}"#;
    let first = r#"{"spec":"{}","steps":[{"count":1,"cpu":1000000}"#;
    let steps = (MAX_BODY - first.len() - 2) / STEP.len();
    let mut job = first.to_owned() + &STEP.repeat(steps) + "]}";
    job += &" ".repeat(MAX_BODY - job.len());
    job.into_bytes()
}

/// Returns a body in chunks of a size, without the last chunk.
fn chunks(size: usize, count: usize) -> Vec<u8> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    chunk.repeat(count).into_bytes()
}

/// Returns a body in chunks of a size, with the last chunk.
fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk =
        |piece: &[u8]| [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
    [body.chunks(size).flat_map(chunk).collect(), b"0\r\n\r\n".to_vec()].concat()
}

/// Returns clients that send a body of `MAX_BODY` bytes but for the last ones.
fn nearly_whole(held_back: usize) -> Script {
    let script = Script::new(|n| submit_head(n, &length(MAX_BODY)), padded_job());
    Script { held_back, ..script }
}

fn endless_chunks(size: usize, count: usize) -> Script {
    Script::new(|n| submit_head(n, CHUNKED), chunks(size, count))
}

/// Returns clients that send a body that no one asked for, but for its last byte.
fn superfluous_body(method: &'static str, path: &'static str) -> Script {
    let head = move |n| head(method, path, n, &length(MAX_BODY));
    Script { held_back: 1, ..Script::new(head, padded_job()) }
}

/// Returns clients that send a head without an end.
fn endless_head(bytes: usize) -> Script {
    let head = |n| head("GET", "/q/", n, "x-more: ").trim_end().to_owned();
    Script::new(head, vec![b'x'; bytes])
}

/// Guards against a crowd that takes the memory or all the connections of an entry instance.
#[rstest]
#[case::bodies_without_their_last_byte(nearly_whole(1))]
#[case::bodies_that_end_byte_by_byte(Script { trickles: true, ..nearly_whole(100) })]
#[case::bodies_in_pieces(Script { piece: 4_096, ..nearly_whole(1) })]
#[case::large_chunks_without_end(endless_chunks(65_536, 3))]
#[case::small_chunks_without_end(endless_chunks(64, 4_000))]
#[case::chunks_of_a_byte_without_end(endless_chunks(1, 20_000))]
#[case::bodies_of_queries(superfluous_body("GET", "/q/"))]
#[case::bodies_of_cancels(superfluous_body("DELETE", "/q/"))]
#[case::bodies_on_unknown_paths(superfluous_body("POST", "/nowhere/"))]
#[case::heads_without_end(endless_head(60_000))]
#[case::connections_without_a_request(Script::new(|_| String::new(), Vec::new()))]
#[case::bodies_of_queries_that_end_byte_by_byte(
    Script { held_back: 100, trickles: true, ..superfluous_body("GET", "/q/") }
)]
fn an_entry_instance_serves_beside(#[case] script: Script) {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let crowd = Crowd::start(&small.cell.fronts()[..1], CROWD, script);
    crowd.settle();
    small.check_ordinary_job("beside the crowd");
    eprintln!("{} connections are open, statuses {:?}", crowd.open(), crowd.statuses());
    // A request that is not whole is refused as not carried out, if it is answered at all.
    let refusals = [400, 404, 408, 410, 413, 429, 431, 503];
    let statuses = crowd.statuses();
    small.check(statuses.iter().all(|s| refusals.contains(s)), format!("{statuses:?}"));
    if statuses.contains(&503) {
        small.check_turned_away();
    }
    drop(crowd);
    small.check_ordinary_job("after the crowd");
    small.check_processes();
}

/// Guards against bodies that are within every limit until all of them end at the same moment.
#[rstest]
#[case::of_the_largest_size(padded_job())]
#[case::of_as_many_steps_as_fit(job_of_many_steps())]
fn whole_jobs_that_end_at_once_take_no_more_than_there_is(#[case] body: Vec<u8>) {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let script = Script::new(|n| submit_head(n, &length(MAX_BODY)), body);
    let script = Script { held_back: 1, ..script };
    let crowd = Crowd::start(&small.cell.fronts(), CROWD, script);
    crowd.settle();
    crowd.finish();
    crowd.settle();
    small.check_ordinary_job("beside the crowd");
    eprintln!("{} connections are open, statuses {:?}", crowd.open(), crowd.statuses());
    drop(crowd);
    small.check_ordinary_job("after the crowd");
    small.check_processes();
}

/// Guards against jobs with small bodies that take much memory once they are accepted. None of their tasks fits a worker.
#[rstest]
#[case::of_many_tasks(r#"{"spec":"","steps":[{"count":100000,"cpu":1000000}]}"#)]
#[case::of_many_times(
    r#"{"spec":"","steps":[{"count":1,"cpu":1000000}],"repeat_count":20000,
        "start_at_ms":9000000000000,"interval_ms":60000}"#
)]
fn accepted_jobs_take_no_more_than_there_is(#[case] job: &str) {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let fronts = small.cell.fronts();
    let mut statuses = Vec::new();
    for n in 0..LARGE_JOBS {
        let id = format!("{:016x}", 0xe000 + n);
        statuses.extend(job_call(fronts[n % fronts.len()], "POST", &id, job).map(|a| a.0));
    }
    eprintln!("statuses {statuses:?}");
    let first = statuses.first().copied();
    small.check(first == Some(200), format!("the first job got {first:?}"));
    small.check_ordinary_job("after the large jobs");
    if statuses.contains(&503) {
        let lines = |c: &Cell| c.lines_about("E991 job_refused_for_memory");
        small.cell.wait("the refusals are logged", |c| !lines(c).is_empty());
        eprintln!("{}", lines(&small.cell).lines().next().unwrap_or_default());
    }
    for (n, status) in statuses.iter().enumerate().filter(|(_, s)| [200, 503].contains(*s)) {
        let id = format!("{:016x}", 0xe000 + n);
        let state = small.cell.state(&id);
        let fault = format!("job {n} got {status} and is {state:?}");
        small.check(state.is_some() == (*status == 200), fault);
    }
    small.check_processes();
}

/// Guards against answers that are kept for clients that do not read them.
#[test]
fn answers_that_are_not_read_take_no_more_than_there_is() {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let queries = |n| (0..400).map(|i| head("GET", "/q/", n * 400 + i, "x: y")).collect();
    let script = Script { reads: false, ..Script::new(queries, Vec::new()) };
    let crowd = Crowd::start(&small.cell.fronts()[..1], CROWD, script);
    crowd.settle();
    small.check_ordinary_job("beside the crowd");
    drop(crowd);
    small.check_ordinary_job("after the crowd");
    small.check_processes();
}

/// Guards against connections that stay behind after resets.
#[test]
fn connections_that_are_reset_leave_no_descriptors_behind() {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let entry = small.cell.nodes[3].pid().expect("a process");
    let open = || std::fs::read_dir(format!("/proc/{entry}/fd")).map_or(0, Iterator::count);
    let before = open();
    for _ in 0..5 {
        let crowd = Crowd::start(&small.cell.fronts()[..1], CROWD, nearly_whole(1));
        // Bytes that are unread when the clients close make their kernel send resets.
        thread::sleep(Duration::from_millis(200));
        drop(crowd);
    }
    small.check_ordinary_job("after the crowds");
    small.cell.wait("the connections are closed", |_| open() <= before + OWN_DESCRIPTORS);
    small.check_processes();
}

fn publish_head(bytes: usize) -> String {
    format!(
        "POST /Config.Replace HTTP/1.1\r\nhost: c\r\ncontent-type: application/json\r\n{}\r\n\r\n",
        length(bytes)
    )
}

fn announce_head(number: usize, framing: &str) -> String {
    format!(
        "POST /Instances.Heartbeat/i-{number} HTTP/1.1\r\nhost: c\r\n\
         content-type: application/json\r\n{framing}\r\n\r\n"
    )
}

/// Returns clients that send half of a configuration of the largest size.
fn half_a_configuration() -> Script {
    let body = vec![b' '; MAX_CONFIG];
    Script { held_back: MAX_CONFIG / 2, ..Script::new(|_| publish_head(MAX_CONFIG), body) }
}

/// Returns clients that send half of an announcement of the size of a configuration.
fn large_announcements() -> Script {
    let head = |n| announce_head(n, &length(MAX_CONFIG));
    Script { held_back: MAX_CONFIG / 2, ..Script::new(head, vec![b' '; MAX_CONFIG]) }
}

/// Guards against a crowd that takes the memory of the control instances, and with it the cell.
#[rstest]
#[case::half_configurations(half_a_configuration())]
#[case::large_announcements(large_announcements())]
#[case::announcements_in_chunks_of_a_byte(Script::new(|n| announce_head(n, CHUNKED), chunks(1, 20_000)))]
fn a_control_instance_serves_beside(#[case] script: Script) {
    let _alone = alone();
    let mut small = SmallCell::start(CONTROL_MEMORY_MB);
    let controls: Vec<_> = small.cell.nodes[..3].iter().map(|n| n.addr(CONTROL_PORT)).collect();
    let crowd = Crowd::start(&controls, CONTROL_CROWD, script);
    crowd.settle();
    small.check_control_calls("beside the crowd");
    small.check_ordinary_job("beside the crowd");
    let largest = (0..TRIES).any(|_| small.cell.publish_padded(MAX_CONFIG));
    small.check(largest, "a configuration of the largest size is not accepted beside the crowd");
    eprintln!("{} connections are open, statuses {:?}", crowd.open(), crowd.statuses());
    drop(crowd);
    small.check_control_calls("after the crowd");
    small.check_processes();
}

/// Guards against copies of a large configuration that are kept for clients that do not read them.
#[test]
fn readers_of_a_large_configuration_take_no_more_than_there_is() {
    let _alone = alone();
    let mut small = SmallCell::start(CONTROL_MEMORY_MB);
    let published = (0..TRIES).any(|_| small.cell.publish_padded(MAX_CONFIG));
    small.check(published, "a configuration of the largest size is not accepted");
    let controls: Vec<_> = small.cell.nodes[..3].iter().map(|n| n.addr(CONTROL_PORT)).collect();
    let read = |_| "GET /Config.Read HTTP/1.1\r\nhost: c\r\n\r\n".to_owned();
    let script = Script { reads: false, ..Script::new(read, Vec::new()) };
    let crowd = Crowd::start(&controls, CONTROL_CROWD, script);
    crowd.settle();
    small.check_control_calls("beside the crowd");
    drop(crowd);
    small.check_control_calls("after the crowd");
    small.check_processes();
}

/// Guards against a crowd that keeps an entry instance from serving again after a loss of the leader, or from stopping.
#[test]
fn a_crowd_hinders_neither_a_new_leader_nor_a_stop() {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let crowd = Crowd::start(&small.cell.fronts()[..1], CROWD, nearly_whole(1));
    crowd.settle();
    for i in [0, 1] {
        small.cell.nodes[i].kill();
    }
    crowd.settle();
    for i in [0, 1] {
        small.cell.nodes[i].start();
    }
    let front = small.cell.fronts()[0];
    small.cell.wait("the entry instance serves again", |_| {
        job_call(front, "POST", "00000000000000f1", &job_body(1)).is_some_and(|a| a.0 == 200)
    });
    small.cell.nodes[3].signal("TERM");
    let code = small.cell.nodes[3].wait_end();
    small.check(code == Some(0), format!("the entry instance stopped with {code:?}"));
    small.cell.nodes[3].start();
    small.cell.wait("the entry instance serves again", |_| {
        job_call(front, "POST", "00000000000000f2", &job_body(1)).is_some_and(|a| a.0 == 200)
    });
    drop(crowd);
    small.check_processes();
}

/// Guards against a crowd on one listener that takes the descriptors of the whole process.
#[rstest]
#[case::the_control_address(0, CONTROL_PORT)]
#[case::the_metrics_address(3, METRICS_PORT)]
#[case::the_readiness_address(3, READY_PORT)]
fn connections_to_one_address_leave_descriptors_to_the_others(
    #[case] node: usize,
    #[case] port: u16,
) {
    let _alone = alone();
    let mut small = SmallCell::start(MEMORY_MB);
    let script = Script::new(|_| String::new(), Vec::new());
    let crowd = Crowd::start(&[small.cell.nodes[node].addr(port)], CONNECTING_CROWD, script);
    crowd.settle();
    small.check_ordinary_job("beside the crowd");
    let readable = (0..TRIES).any(|_| small.cell.metrics(node).contains("heathvale_"));
    small.check(readable, "the metrics are not readable beside the crowd");
    drop(crowd);
    small.check_processes();
}

/// Sends a request in pieces with a pause after each, and returns the status of the answer.
fn send_in_pieces(small: &SmallCell, pieces: &[&[u8]], pause: Duration) -> Option<u32> {
    let mut stream = TcpStream::connect(small.cell.fronts()[0]).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    for piece in pieces {
        stream.write_all(piece).ok()?;
        thread::sleep(pause);
    }
    read_wire(&mut stream).map(|answer| answer.status())
}

/// Guards against limits that a single request of a legal size meets without any load. All have 262,144 bytes.
#[rstest]
#[case::in_one_piece(length(MAX_BODY), padded_job(), MAX_BODY, 0)]
#[case::in_pieces_of_4096(length(MAX_BODY), padded_job(), 4_096, 0)]
#[case::in_pieces_of_64(length(MAX_BODY), padded_job(), 64, 0)]
#[case::in_chunks_of_a_byte(CHUNKED.into(), chunked(&padded_job(), 1), MAX_BODY, 0)]
#[case::in_chunks_of_64(CHUNKED.into(), chunked(&padded_job(), 64), MAX_BODY, 0)]
#[case::in_chunks_of_65536(CHUNKED.into(), chunked(&padded_job(), 65_536), MAX_BODY, 0)]
#[case::over_five_seconds(length(MAX_BODY), padded_job(), MAX_BODY / 10, 500)]
#[case::of_as_many_steps_as_fit(length(MAX_BODY), job_of_many_steps(), MAX_BODY, 0)]
fn a_body_of_the_largest_size_is_served(
    #[case] framing: String,
    #[case] body: Vec<u8>,
    #[case] piece: usize,
    #[case] pause_ms: u64,
) {
    let _alone = alone();
    let small = SmallCell::start(MEMORY_MB);
    let head = submit_head(1, &framing);
    let pieces: Vec<&[u8]> = std::iter::once(head.as_bytes()).chain(body.chunks(piece)).collect();
    let status = send_in_pieces(&small, &pieces, Duration::from_millis(pause_ms));
    assert_eq!(status, Some(200));
    small.check_processes();
}

/// Guards against limits on heads below those of the configuration: 16,384 bytes in three seconds.
#[rstest]
#[case::of_the_largest_size(16_384, 1)]
#[case::over_two_and_a_half_seconds(400, 6)]
fn a_legal_head_is_served(#[case] size: usize, #[case] parts: usize) {
    let _alone = alone();
    let small = SmallCell::start(MEMORY_MB);
    let head = submit_head(2, &length(job_body(1).len()));
    let filler = size - head.len() - "x: \r\n".len();
    let head = head.replace("\r\n\r\n", &format!("\r\nx: {}\r\n\r\n", "y".repeat(filler)));
    let mut pieces: Vec<&[u8]> = head.as_bytes().chunks(head.len().div_ceil(parts)).collect();
    let body = job_body(1);
    pieces.push(body.as_bytes());
    let pause = Duration::from_millis(if parts > 1 { 2_500 / parts as u64 } else { 0 });
    assert_eq!(send_in_pieces(&small, &pieces, pause), Some(200));
    small.check_processes();
}

/// Guards against limits that end a connection between two calls of its caller.
#[test]
fn a_connection_that_is_idle_for_four_seconds_is_served() {
    let _alone = alone();
    let small = SmallCell::start(MEMORY_MB);
    let front = small.cell.fronts()[0];
    let mut stream = TcpStream::connect(front).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout is set");
    let body = job_body(1);
    for number in 0..2 {
        let request = submit_head(16 + number, &length(body.len())) + &body;
        stream.write_all(request.as_bytes()).expect("the connection is open");
        let answer = read_wire(&mut stream).expect("an answer");
        assert_eq!(answer.status(), 200);
        if number == 0 {
            thread::sleep(Duration::from_secs(4));
        }
    }
    small.check_processes();
}
