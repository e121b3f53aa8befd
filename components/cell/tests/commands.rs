//! Tests of concurrent changes and retries by operators, claims, epochs, and the state's encoding.

use std::sync::Arc;

use cell::{
    CLAIM_SKEW, CLAIM_WINDOW, Cell, Claim, ClaimReply, Command, JobState, Proposal, Reply, Share,
    TaskEnd, TaskOutcome, ZoneCapacity, assign, choose_target_zone,
};
use clock::Millis;
use model::{CellConfig, Epoch, JobKind, JobSpec, RequestKey, Size, Spread, TaskId, ZoneId};
use proptest::prelude::*;

const NOW: Millis = Millis(100_000_000);

fn propose(key: Option<&str>, command: Command) -> Proposal {
    Proposal { key: key.map(RequestKey::from), at: NOW, command }
}

fn config(base: u64, slots: u32) -> Command {
    let config = CellConfig { upstream_slots: slots, ..CellConfig::default() };
    Command::ApplyConfig { base, text: Arc::from(format!("upstream_slots = {slots}")), config }
}

fn spec(name: &str, tasks: u32) -> JobSpec {
    JobSpec {
        run_time: Millis(1_000),
        ..JobSpec::new(name, "team", JobKind::Batch, tasks, Size::new(1_000, 1_000, 0))
    }
}

fn create(name: &str, tasks: u32, zone: &str) -> Command {
    let shares = vec![Share { zone: zone.into(), first: 0, count: tasks }];
    Command::CreateJob { spec: spec(name, tasks), shares }
}

fn accepted(reply: &Reply) -> bool {
    matches!(reply, Reply::Accepted { .. })
}

#[test]
fn racing_operators_with_equal_versions_get_one_winner() {
    let mut cell = Cell::default();
    assert_eq!(cell.apply(7, &propose(Some("a"), config(0, 8))), Reply::Accepted { version: 7 });
    let loser = cell.apply(8, &propose(Some("b"), config(0, 16)));
    assert!(matches!(loser, Reply::Conflict { version: 7, .. }));
    assert_eq!(cell.config.version, 7);
    assert_eq!(cell.config.config.upstream_slots, 8);
}

/// Defines tests that retry a call after the given events.
macro_rules! resends {
    ($($name:ident: $between:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cell = Cell::default();
            let call = propose(Some("key"), config(0, 8));
            let first = cell.apply(3, &call);
            let between: fn(Cell) -> Cell = $between;
            let mut cell = between(cell);
            assert_eq!(cell.apply(90, &call), first, "a resend gets the first answer");
            // A retry under another leader's clock is still the same call.
            let later = Proposal { at: Millis(NOW.0 + 1), ..call };
            assert_eq!(cell.apply(91, &later), first);
        }
    )*};
}

resends! {
    a_resend_at_once: |cell| cell;
    a_resend_after_another_change: |mut cell| {
        assert!(accepted(&cell.apply(4, &propose(Some("other"), config(3, 12)))));
        cell
    };
    a_resend_after_a_snapshot: |cell| Cell::decode(&cell.encode()).unwrap();
    a_resend_after_many_other_calls: |mut cell| {
        for i in 0..500 {
            let key = format!("k{i}");
            cell.apply(10, &propose(Some(&key), create(&key, 1, "za")));
        }
        cell
    };
}

#[test]
fn a_resent_loss_stays_a_loss() {
    let mut cell = Cell::default();
    cell.apply(1, &propose(Some("a"), config(0, 8)));
    let late = propose(Some("b"), config(0, 12));
    let first = cell.apply(2, &late);
    assert_eq!(cell.apply(3, &late), first);
    assert_eq!(cell.config.version, 1);
}

#[test]
fn a_key_of_another_call_is_refused() {
    let mut cell = Cell::default();
    cell.apply(1, &propose(Some("k"), create("a", 1, "za")));
    let reused = cell.apply(2, &propose(Some("k"), create("b", 1, "za")));
    assert!(matches!(reused, Reply::Conflict { .. }));
    assert!(!cell.jobs.contains_key(&"b".into()));
}

#[test]
fn a_resend_to_a_leader_that_would_choose_other_zones_is_the_same_call() {
    let mut cell = Cell::default();
    let first = cell.apply(1, &propose(Some("k"), create("a", 2, "za")));
    assert_eq!(cell.apply(2, &propose(Some("k"), create("a", 2, "zb"))), first);
    assert_eq!(cell.jobs[&"a".into()].zone_of(0), Some(&ZoneId::from("za")));
}

/// Defines tests that claim one key at different times: (issued, cell's time) => expected reply.
macro_rules! claims {
    ($($name:ident: [$(($issued:expr, $at:expr) => $reply:ident),*];)*) => {$(
        #[test]
        fn $name() {
            let mut cell = Cell::default();
            $(
                let claim = Claim { key: "k".into(), issued: Millis($issued) };
                let command = Command::ClaimRequests { claims: vec![claim] };
                let proposal = Proposal { key: None, at: Millis($at), command };
                let reply = cell.apply(1, &proposal);
                assert_eq!(reply, Reply::Claims(vec![ClaimReply::$reply]));
            )*
        }
    )*};
}

const W: u64 = CLAIM_WINDOW.0;

claims! {
    a_first_claim_is_granted: [(1_000, 1_000) => Granted];
    a_second_claim_is_taken: [(1_000, 1_000) => Granted, (1_000, 1_001) => Taken];
    a_second_claim_with_a_later_time_is_taken: [(1_000, 1_000) => Granted, (5_000, 5_000) => Taken];
    a_key_at_the_window_s_end_is_still_known: [(1_000, 1_000) => Granted, (1_000, 1_000 + W) => Taken];
    a_key_beyond_the_window_is_too_old: [(1_000, 1_000) => Granted, (1_000, 1_001 + W) => TooOld];
    a_key_never_seen_beyond_the_window_is_too_old: [(1_000, 1_001 + W) => TooOld];
    a_key_from_the_future_is_refused: [(1_001 + CLAIM_SKEW.0, 1_000) => TooNew];
    a_leader_s_clock_that_steps_back_forgets_nothing:
        [(W + 5_000, W + 5_000) => Granted, (1_000, 1_000) => Taken, (W + 5_000, 1_000) => Taken];
}

#[test]
fn one_of_two_racing_grants_wins() {
    let mut cell = Cell::default();
    let grant = |holder: &str| Command::GrantEpoch {
        zone: "za".into(),
        holder: holder.into(),
        after: Epoch(0),
    };
    assert!(accepted(&cell.apply(5, &propose(None, grant("a")))));
    assert!(!accepted(&cell.apply(6, &propose(None, grant("b")))));
    assert_eq!(cell.zones.epoch(&"za".into()), Epoch(5));
}

fn drain_zone(zone: &str, on: bool) -> Command {
    Command::DrainZone { zone: zone.into(), on }
}

fn cell_with_zone(zone: &str) -> Cell {
    let mut cell = Cell::default();
    let grant = Command::GrantEpoch { zone: zone.into(), holder: "a".into(), after: Epoch(0) };
    cell.apply(1, &propose(None, grant));
    cell
}

/// Guards against a repeated order that counts as a change: it would be logged and applied again, and the operator could not
/// tell when the zone was drained.
#[test]
fn a_repeated_order_for_a_zone_is_acknowledged_and_changes_nothing() {
    let mut cell = cell_with_zone("za");
    let reply = cell.apply(2, &propose(Some("first"), drain_zone("za", true)));
    assert_eq!(reply, Reply::Accepted { version: 2 });
    let drained = cell.drained_zones.clone();
    let reply = cell.apply(3, &propose(Some("second"), drain_zone("za", true)));
    assert_eq!(reply, Reply::Accepted { version: 2 });
    assert_eq!(cell.drained_zones, drained);
    assert!(cell.drained_zones.contains(&"za".into()));
    let reply = cell.apply(4, &propose(None, drain_zone("za", false)));
    assert_eq!(reply, Reply::Accepted { version: 4 });
    assert!(cell.drained_zones.is_empty());
    assert_eq!(
        cell.apply(5, &propose(None, drain_zone("za", false))),
        Reply::Accepted { version: 4 }
    );
}

/// Guards against a misspelled name that is acknowledged while the zone that was meant goes on.
#[test]
fn an_unknown_zone_is_refused_with_the_names_of_the_known_ones() {
    let mut cell = cell_with_zone("za");
    let grant = Command::GrantEpoch { zone: "zb".into(), holder: "b".into(), after: Epoch(0) };
    cell.apply(2, &propose(None, grant));
    let Reply::Conflict { reason, .. } = cell.apply(3, &propose(None, drain_zone("zc", true)))
    else {
        panic!("an unknown zone was drained");
    };
    assert!(reason.ends_with("za, zb"), "{reason}");
    assert!(cell.drained_zones.is_empty());
}

/// Guards against an upgrade on which an instance cannot read its own snapshot.
#[test]
fn a_state_encoded_before_zones_could_be_drained_decodes() {
    let cell = cell_with_zone("za");
    let current = cell.encode();
    // The drained zones are encoded last; an empty set takes a zero version and a zero length.
    let older = current.strip_suffix(&[0, 0]).unwrap();
    assert_eq!(Cell::decode(older).unwrap(), cell);
    assert_eq!(Cell::decode(&current).unwrap(), cell);
}

#[test]
fn an_older_epoch_ends_and_claims_nothing() {
    let mut cell = Cell::default();
    let grant = |after| Command::GrantEpoch { zone: "za".into(), holder: "a".into(), after };
    cell.apply(1, &propose(None, grant(Epoch(0))));
    cell.apply(2, &propose(Some("j"), create("j", 2, "za")));
    cell.apply(3, &propose(None, grant(Epoch(1))));
    let task = TaskId { job: "j".into(), index: 0 };
    let end = |epoch| Command::EndTasks {
        zone: "za".into(),
        epoch,
        ended: vec![TaskEnd { task: task.clone(), outcome: TaskOutcome::Done }],
    };
    let claim = |epoch| Command::ClaimTasks { zone: "za".into(), epoch, tasks: vec![task.clone()] };
    assert!(!accepted(&cell.apply(4, &propose(None, end(Epoch(1))))));
    assert!(!accepted(&cell.apply(5, &propose(None, claim(Epoch(1))))));
    assert!(cell.jobs[&"j".into()].done.is_empty());
    assert!(accepted(&cell.apply(6, &propose(None, end(Epoch(3))))));
    assert!(cell.jobs[&"j".into()].done.contains(&0));
}

#[test]
fn a_zone_ends_no_task_that_it_does_not_hold() {
    let mut cell = Cell::default();
    let grant = Command::GrantEpoch { zone: "zb".into(), holder: "b".into(), after: Epoch(0) };
    cell.apply(1, &propose(None, grant));
    cell.apply(2, &propose(Some("j"), create("j", 1, "za")));
    let ended =
        vec![TaskEnd { task: TaskId { job: "j".into(), index: 0 }, outcome: TaskOutcome::Done }];
    cell.apply(3, &propose(None, Command::EndTasks { zone: "zb".into(), epoch: Epoch(1), ended }));
    assert_eq!(cell.jobs[&"j".into()].state, JobState::Active);
}

#[test]
fn a_cancelled_job_moves_nowhere() {
    let mut cell = Cell::default();
    cell.apply(1, &propose(Some("j"), create("j", 1, "za")));
    cell.apply(2, &propose(Some("c"), Command::CancelJob { name: "j".into() }));
    let to_zb =
        Command::MoveShare { job: "j".into(), share: 0, from: "za".into(), to: "zb".into() };
    assert!(!accepted(&cell.apply(3, &propose(None, to_zb))));
}

fn capacity(zone: &str, free: u64, largest: u64) -> ZoneCapacity {
    ZoneCapacity {
        zone: zone.into(),
        free: Size::new(free, free, 0),
        largest: Size::new(largest, largest, 0),
    }
}

#[test]
fn a_job_goes_where_a_worker_is_large_enough() {
    let mut job = spec("j", 4);
    job.kind = JobKind::Gang;
    job.size = Size::new(8_000, 8_000, 0);
    let capacities = [capacity("za", 90_000, 4_000), capacity("zb", 10_000, 16_000)];
    let shares = assign(&job, &capacities).unwrap();
    assert_eq!(shares, [Share { zone: "zb".into(), first: 0, count: 4 }]);
    assert_eq!(choose_target_zone(&job, &"zb".into(), &capacities), None);
}

#[test]
fn a_service_spread_over_zones_is_cut_evenly() {
    let mut job = spec("s", 7);
    job.kind = JobKind::Service;
    job.spread = Spread::Zone;
    let capacities =
        [capacity("za", 9_000, 9_000), capacity("zb", 9_000, 9_000), capacity("zc", 9_000, 9_000)];
    let mut counts: Vec<u32> = assign(&job, &capacities).unwrap().iter().map(|s| s.count).collect();
    counts.sort_unstable();
    assert_eq!(counts, [2, 2, 3]);
}

fn any_command() -> impl Strategy<Value = Command> {
    let name = prop_oneof![Just("a"), Just("b"), Just("c")];
    let zone = prop_oneof![Just("za"), Just("zb")];
    prop_oneof![
        (0u64..60, 2u32..20).prop_map(|(base, slots)| config(base, slots)),
        (name.clone(), zone.clone()).prop_map(|(n, z)| create(n, 3, z)),
        name.clone().prop_map(|n| Command::CancelJob { name: n.into() }),
        (zone.clone(), 0u64..60).prop_map(|(z, after)| Command::GrantEpoch {
            zone: z.into(),
            holder: "i".into(),
            after: Epoch(after),
        }),
        (name.clone(), zone.clone(), 0u32..4, 0u64..60).prop_map(|(n, z, index, epoch)| {
            let task = TaskId { job: n.into(), index };
            let ended = vec![TaskEnd { task, outcome: TaskOutcome::Done }];
            Command::EndTasks { zone: z.into(), epoch: Epoch(epoch), ended }
        }),
        (zone, any::<bool>()).prop_map(|(z, on)| drain_zone(z, on)),
        (name, 0u64..200_000).prop_map(|(n, issued)| Command::ClaimRequests {
            claims: vec![Claim { key: n.into(), issued: Millis(issued) }],
        }),
    ]
}

proptest! {
    /// Every instance computes the same state, whether it applies all commands or starts from a
    /// snapshot taken between any two of them.
    #[test]
    fn a_snapshot_between_any_two_commands_changes_nothing(
        commands in proptest::collection::vec((any_command(), 0u64..4), 1..60),
        at in 0usize..60,
    ) {
        let mut whole = Cell::default();
        let mut cut = Cell::default();
        for (i, (command, key)) in commands.iter().enumerate() {
            let key = (*key > 0).then(|| RequestKey::from(format!("k{key}").as_str()));
            let proposal = Proposal { key, at: Millis(i as u64 * 1_000), command: command.clone() };
            if i == at {
                cut = Cell::decode(&cut.encode()).unwrap();
            }
            let index = i as u64 + 1;
            prop_assert_eq!(whole.apply(index, &proposal), cut.apply(index, &proposal));
        }
        prop_assert_eq!(whole, cut);
    }

    /// The configuration's version never decreases, whatever is proposed.
    #[test]
    fn the_configuration_never_goes_back(
        commands in proptest::collection::vec(any_command(), 1..80),
    ) {
        let mut cell = Cell::default();
        let mut last = 0;
        for (i, command) in commands.into_iter().enumerate() {
            cell.apply(i as u64 + 1, &Proposal { key: None, at: NOW, command });
            prop_assert!(cell.config.version >= last);
            last = cell.config.version;
        }
    }

    #[test]
    fn any_bytes_decode_to_a_state_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        let _ = Cell::decode(&bytes);
        let _ = postcard::from_bytes::<Proposal>(&bytes);
    }
}
