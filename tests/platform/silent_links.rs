//! Connections between our own processes that go silent for good, without a reset, while new ones work.

use std::time::{Duration, Instant};

use crate::cell::{Cell, Node, job_body, job_call};

/// Within what time callers are served again: the silence is found within two seconds, and an election
/// and the lost answers take some more. The rest is for a machine that is busy.
const SERVED_WITHIN: Duration = Duration::from_secs(20);

/// Whose inbound links go silent, of a cell of three control and two entry instances.
#[derive(Clone, Copy, Debug)]
enum Hushed {
    Leader,
    Follower,
    Entry,
    All,
}

/// Tells whether every entry instance takes a job and the jobs get done.
fn serves(cell: &mut Cell, ids: &[String; 2]) -> bool {
    let fronts = cell.fronts();
    let taken = |(front, id): (&std::net::SocketAddr, &String)| {
        job_call(*front, "POST", id, &job_body(1)).is_some_and(|a| a.0 == 200)
    };
    fronts.iter().zip(ids).all(taken)
        && ids.iter().all(|id| cell.state(id).as_deref() == Some("completed"))
}

/// Waits until every entry instance serves; fails if that takes longer than it may.
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

/// Lets links go silent and asks that callers are served again, also once another voter is lost, which
/// takes all those that are left to commit anything.
fn hush(whose: Hushed) {
    let mut cell = Cell::start_with(2, Node::put_links_behind_proxy);
    wait_served(&mut cell, "1");
    let leader = cell.leader().expect("somebody leads");
    let follower = (leader + 1) % 3;
    let hushed: Vec<usize> = match whose {
        Hushed::Leader => vec![leader],
        Hushed::Follower => vec![follower],
        Hushed::Entry => vec![3],
        Hushed::All => (0..5).collect(),
    };
    hushed.iter().for_each(|i| cell.nodes[*i].hush_links());
    let first = wait_served(&mut cell, "2");
    // Neither a leader nor the follower whose links went silent is lost.
    cell.nodes[(leader + 2) % 3].kill();
    let second = wait_served(&mut cell, "3");
    assert_eq!(cell.own_ends, Vec::<String>::new());
    assert_eq!(cell.runs.violations(), Vec::<String>::new());
    println!("{whose:?}: served after {first:?}, and with one voter fewer after {second:?}");
}

/// One test for each way.
macro_rules! hushed {
    ($($name:ident: $whose:ident,)*) => {
        $(#[test]
        fn $name() {
            hush(Hushed::$whose);
        })*
    };
}

hushed! {
    links_to_the_leader_go_silent: Leader,
    links_to_a_follower_go_silent: Follower,
    links_to_an_entry_instance_go_silent: Entry,
    all_links_go_silent: All,
}
