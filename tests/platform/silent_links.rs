//! Tests of links between instances that stop passing data for good, without a reset, while new connections work.

use std::time::{Duration, Instant};

use crate::cell::{Cell, Node, job_body, job_call};

/// The maximum time until callers are served again. A silent link is detected within two seconds, and an election and the
/// lost answers take some more; the rest is a margin without which a busy machine fails the test.
const SERVED_WITHIN: Duration = Duration::from_secs(20);

/// The instances whose inbound links go silent, in a cell of three control and two entry instances.
#[derive(Clone, Copy, Debug)]
enum SilentLinks {
    Leader,
    Follower,
    Entry,
    All,
}

/// Returns whether every entry instance accepts a job and all these jobs are completed.
fn serves(cell: &mut Cell, ids: &[String; 2]) -> bool {
    let fronts = cell.fronts();
    let taken = |(front, id): (&std::net::SocketAddr, &String)| {
        job_call(*front, "POST", id, &job_body(1)).is_some_and(|a| a.0 == 200)
    };
    fronts.iter().zip(ids).all(taken)
        && ids.iter().all(|id| cell.state(id).as_deref() == Some("completed"))
}

/// Waits until every entry instance serves and returns how long that took. Fails after [`SERVED_WITHIN`].
fn wait_served(cell: &mut Cell, tag: &str) -> Duration {
    let ids = ["a", "b"].map(|front| format!("{:0>16}", format!("{tag}{front}")));
    let began = Instant::now();
    cell.wait(&format!("every entry instance serves ({tag})"), |c| {
        let served = serves(c, &ids);
        assert!(served || began.elapsed() < SERVED_WITHIN, "not served ({tag})\n{}", c.tails());
        served
    });
    began.elapsed()
}

/// Silences links and checks that callers are served again, also after another voter is killed, when every commit needs all
/// remaining voters.
fn run_with_silent_links(silenced: SilentLinks) {
    let mut cell = Cell::start_with(2, Node::put_links_behind_proxy);
    wait_served(&mut cell, "1");
    let leader = cell.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    let silenced_nodes: Vec<usize> = match silenced {
        SilentLinks::Leader => vec![leader],
        SilentLinks::Follower => vec![follower],
        SilentLinks::Entry => vec![3],
        SilentLinks::All => (0..5).collect(),
    };
    silenced_nodes.iter().for_each(|i| cell.nodes[*i].silence_links());
    let first = wait_served(&mut cell, "2");
    // Kills neither the former leader nor the follower whose links may have gone silent.
    cell.nodes[(leader + 2) % 3].kill();
    let second = wait_served(&mut cell, "3");
    assert_eq!(cell.unexpected_exits, Vec::<String>::new());
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    println!("{silenced:?}: served after {first:?}, and with one voter fewer after {second:?}");
}

/// Generates one test for each choice of silenced instances.
macro_rules! silent_links_tests {
    ($($name:ident: $silenced:ident,)*) => {
        $(#[test]
        fn $name() {
            run_with_silent_links(SilentLinks::$silenced);
        })*
    };
}

silent_links_tests! {
    links_to_the_leader_go_silent: Leader,
    links_to_a_follower_go_silent: Follower,
    links_to_an_entry_instance_go_silent: Entry,
    all_links_go_silent: All,
}
