//! A leader sends the members of its reserve new entries with its heartbeats, however often it appends some.
//!
//! Guards against a leader whose messages grow with the number of instances with disks: with 20 members in reserve it
//! sent each of them every batch of entries, some hundred a second.

mod common;

use common::Cluster;
use consensus::{Body, Envelope, Timing};
use model::InstanceId;

const VOTERS: usize = 3;
const RESERVES: usize = 6;
/// How long commands are proposed, one each [`STEP_MILLIS`].
const RUN_MILLIS: u64 = 2_000;
const STEP_MILLIS: u64 = 5;

/// Returns whether a message brings entries to one of some members.
fn is_append_to(members: &[InstanceId], message: &Envelope) -> bool {
    let has_entries = matches!(&message.body, Body::Append { entries, .. } if !entries.is_empty());
    has_entries && members.contains(&message.to)
}

#[test]
fn reserve_members_get_entries_at_the_pace_of_heartbeats() {
    let mut c = Cluster::with_reserves(1, VOTERS, RESERVES, 0);
    c.settle();
    let leader = c.leader().unwrap();
    let membership = c.members[leader].replica.as_ref().unwrap().node().membership().clone();
    let reserve: Vec<InstanceId> = membership.learners.into_keys().collect();
    assert_eq!(reserve.len(), RESERVES);
    let proposed_before = c.history.len();
    let mut appends = 0;
    for _ in 0..RUN_MILLIS / STEP_MILLIS {
        c.now += STEP_MILLIS;
        (0..c.members.len()).for_each(|i| c.tick(i));
        c.propose(leader);
        while let Some(message) = c.in_flight.first() {
            appends += usize::from(is_append_to(&reserve, message));
            c.deliver(0);
        }
    }
    let heartbeats = (RUN_MILLIS / Timing::default().heartbeat.0 + 1) as usize;
    assert!(appends <= heartbeats * RESERVES, "{appends} appends in {heartbeats} heartbeats");
    assert!(appends >= heartbeats * RESERVES / 2, "{appends} appends in {heartbeats} heartbeats");
    c.settle();
    let proposals = (RUN_MILLIS / STEP_MILLIS) as usize;
    assert!(c.history.len() - proposed_before >= proposals, "entries are missing");
    c.check_final_state();
}
