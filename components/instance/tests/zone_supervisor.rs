//! Tests that the leader grants zones and moves tasks only when earlier leases have certainly expired.

use cell::{Cell, Command, Proposal, Share, ZoneCapacity};
use clock::Millis;
use instance::{ZoneDecision, ZoneRequest, ZoneSupervisor};
use model::{Epoch, InstanceId, JobKind, JobSpec, Size};
use zone::{ZONE_LEASE_DURATION, lease_expiry_bound, share_move_delay, takeover_delay};

const START: Millis = Millis(1_000_000);

fn apply(cell: &mut Cell, index: u64, command: Command) {
    cell.apply(index, &Proposal { key: None, at: Millis(0), command });
}

fn grant(cell: &mut Cell, index: u64, zone: &str, holder: &str) {
    let after = cell.zones.epoch(&zone.into());
    let (zone, holder) = (zone.into(), holder.into());
    apply(cell, index, Command::GrantEpoch { zone, holder, after });
}

fn request(zone: &str, epoch: u64, applied: u64) -> ZoneRequest {
    let size = Size::new(100_000, 100_000, 0);
    ZoneRequest {
        zone: zone.into(),
        epoch: Epoch(epoch),
        asked_at: Millis(7),
        applied,
        capacity: Some((size, size)),
    }
}

fn id(name: &str) -> InstanceId {
    name.into()
}

/// Defines tests of one request after the zone was granted to "a" under epoch 5 and confirmed at
/// START: the sender, the epoch under which it allocates, the delay since START, and the decision.
macro_rules! requests {
    ($($name:ident: $who:expr, $epoch:expr, $later:expr => $reply:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut cell = Cell::default();
            grant(&mut cell, 5, "za", "a");
            let mut supervisor = ZoneSupervisor::new(START - Millis(60_000));
            assert_eq!(supervisor.handle_request(START, &cell, &id("a"), &request("za", 5, 5)), ZoneDecision::Confirm);
            let reply = supervisor.handle_request(START + $later, &cell, &id($who), &request("za", $epoch, 5));
            assert!(matches!(reply, ZoneDecision::$reply { .. }), "{reply:?}");
        }
    )*};
}

requests! {
    the_holder_goes_on: "a", 5, Millis(500) => Confirm;
    the_holder_goes_on_after_a_long_silence: "a", 5, Millis(60_000) => Confirm;
    the_holder_restarted_gets_a_new_epoch: "a", 0, Millis(500) => Grant;
    the_holder_under_an_older_epoch_waits: "a", 4, Millis(500) => Wait;
    another_waits_at_once: "b", 0, Millis(1) => Wait;
    another_waits_while_the_lease_may_hold: "b", 0, ZONE_LEASE_DURATION => Wait;
    another_waits_through_the_drift: "b", 0, takeover_delay() => Wait;
    another_takes_over_after_that: "b", 0, takeover_delay() + Millis(1) => Grant;
}

#[test]
fn a_new_leader_waits_as_if_the_old_one_had_just_confirmed() {
    let mut cell = Cell::default();
    grant(&mut cell, 5, "za", "a");
    let mut supervisor = ZoneSupervisor::new(START);
    let at = START + takeover_delay();
    assert_eq!(
        supervisor.handle_request(at, &cell, &id("b"), &request("za", 0, 5)),
        ZoneDecision::Wait
    );
    let at = at + Millis(1);
    assert!(matches!(
        supervisor.handle_request(at, &cell, &id("b"), &request("za", 0, 5)),
        ZoneDecision::Grant(_)
    ));
}

#[test]
fn nobody_is_confirmed_while_a_change_of_the_zone_is_under_way() {
    let mut cell = Cell::default();
    grant(&mut cell, 5, "za", "a");
    let mut supervisor = ZoneSupervisor::new(START);
    supervisor.record_proposal(&"za".into(), 6);
    assert_eq!(
        supervisor.handle_request(START, &cell, &id("a"), &request("za", 5, 5)),
        ZoneDecision::Wait
    );
    cell.skip(6);
    assert_eq!(
        supervisor.handle_request(START, &cell, &id("a"), &request("za", 5, 6)),
        ZoneDecision::Confirm
    );
}

#[test]
fn an_instance_that_has_not_applied_the_newest_grant_gets_none() {
    let mut cell = Cell::default();
    grant(&mut cell, 5, "za", "a");
    let mut supervisor = ZoneSupervisor::new(Millis(0));
    assert_eq!(
        supervisor.handle_request(START, &cell, &id("b"), &request("za", 0, 4)),
        ZoneDecision::Wait
    );
}

#[test]
fn a_drained_instance_gets_no_zone() {
    let mut cell = Cell::default();
    apply(&mut cell, 1, Command::Drain { target: "a".into(), on: true });
    let mut supervisor = ZoneSupervisor::new(Millis(0));
    assert_eq!(
        supervisor.handle_request(START, &cell, &id("a"), &request("za", 0, 1)),
        ZoneDecision::Wait
    );
    assert!(matches!(
        supervisor.handle_request(START, &cell, &id("b"), &request("za", 0, 1)),
        ZoneDecision::Grant(_)
    ));
}

/// Guards against a drained zone that loses its allocator: without one, the leases of its running tasks would expire.
#[test]
fn the_allocator_of_a_drained_zone_is_confirmed_but_no_new_job_goes_there() {
    let mut cell = Cell::default();
    grant(&mut cell, 1, "za", "a");
    grant(&mut cell, 2, "zb", "b");
    apply(&mut cell, 3, Command::DrainZone { zone: "za".into(), on: true });
    let mut supervisor = ZoneSupervisor::new(START);
    let confirmed = supervisor.handle_request(START, &cell, &id("a"), &request("za", 1, 3));
    assert_eq!(confirmed, ZoneDecision::Confirm);
    supervisor.handle_request(START, &cell, &id("b"), &request("zb", 2, 3));
    let usable: Vec<ZoneCapacity> = supervisor.usable_capacities(&cell);
    assert_eq!(usable.iter().map(|c| c.zone.as_str()).collect::<Vec<_>>(), ["zb"]);
    apply(&mut cell, 4, Command::DrainZone { zone: "za".into(), on: false });
    assert_eq!(supervisor.usable_capacities(&cell).len(), 2);
}

fn job(name: &str, may_move: bool) -> Command {
    let spec = JobSpec {
        may_move,
        ..JobSpec::new(name, "t", JobKind::Service, 2, Size::new(1_000, 1_000, 0))
    };
    let shares = vec![Share { zone: "za".into(), first: 0, count: 2 }];
    Command::CreateJob { spec, shares }
}

fn cell_with_silent_zone() -> (Cell, ZoneSupervisor, Millis) {
    let mut cell = Cell::default();
    grant(&mut cell, 1, "za", "a");
    grant(&mut cell, 2, "zb", "b");
    apply(&mut cell, 3, job("moves", true));
    apply(&mut cell, 4, job("stays", false));
    let mut supervisor = ZoneSupervisor::new(START);
    supervisor.handle_request(START, &cell, &id("a"), &request("za", 1, 4));
    let lease = cell.config.config.worker_lease;
    (cell, supervisor, START + share_move_delay(lease))
}

#[test]
fn movable_tasks_of_a_silent_zone_move_and_others_stay() {
    let (cell, mut supervisor, leases_expired_at) = cell_with_silent_zone();
    supervisor.handle_request(
        leases_expired_at + Millis(20_000),
        &cell,
        &id("b"),
        &request("zb", 2, 4),
    );
    let moves = supervisor.share_moves(leases_expired_at + Millis(20_000), &cell);
    let [Command::MoveShare { job, from, to, .. }] = &moves[..] else { panic!("{moves:?}") };
    assert_eq!((job.as_str(), from.as_str(), to.as_str()), ("moves", "za", "zb"));
}

#[test]
fn nothing_moves_before_the_leases_have_surely_run_out() {
    let (cell, mut supervisor, leases_expired_at) = cell_with_silent_zone();
    supervisor.handle_request(leases_expired_at, &cell, &id("b"), &request("zb", 2, 4));
    assert!(supervisor.share_moves(leases_expired_at, &cell).is_empty());
    // The workers' leases may expire a full lease after the zone's lease.
    let lease = cell.config.config.worker_lease;
    let least = lease_expiry_bound(Millis::ZERO, ZONE_LEASE_DURATION)
        + lease_expiry_bound(Millis::ZERO, lease);
    assert!(leases_expired_at.since(START) >= least);
}

#[test]
fn nothing_moves_while_any_instance_of_the_zone_is_heard() {
    let (cell, mut supervisor, leases_expired_at) = cell_with_silent_zone();
    let at = leases_expired_at + Millis(20_000);
    supervisor.handle_request(at, &cell, &id("b"), &request("zb", 2, 4));
    supervisor.handle_request(at, &cell, &id("a2"), &request("za", 0, 0));
    assert!(supervisor.share_moves(at, &cell).is_empty());
}

#[test]
fn rooms_are_those_last_told() {
    let (_, supervisor, _) = cell_with_silent_zone();
    let capacities: Vec<ZoneCapacity> = supervisor.zone_capacities();
    assert_eq!(capacities.len(), 1);
}
