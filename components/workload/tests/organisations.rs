//! Tests of organisations: API keys, limits, and the ownership of jobs in the replicated state.

mod common;

use clock::Millis;
use common::{join, step, submit, task};
use model::Size;
use rstest::rstest;
use workload::{
    Command, Credential, End, EndKind, JobId, KeyDigest, Organisation, Organisations,
    ReplicatedState, WorkerId,
};

fn organisation(name: &str, limit: Size) -> Organisation {
    Organisation { name: name.into(), weight: 1.0, limit }
}

fn assign_owner(job: u64, name: &str) -> Command {
    Command::AssignOwner { job: JobId(job), organisation: name.into() }
}

fn started(run: u32) -> Command {
    Command::Started { worker: WorkerId::from("w"), runs: vec![(task(0), run)] }
}

/// Returns a state in which the first task of a job of organisation `a` is running.
fn running() -> ReplicatedState {
    let mut replicated = ReplicatedState::default();
    let commands = [join("w"), assign_owner(1, "a"), submit(1, vec![step(2)]), started(1)];
    commands.iter().for_each(|c| replicated.apply(c));
    replicated
}

#[rstest]
#[case::no_limit(Size::ZERO, Size::new(9_000, 0, 0), u64::MAX)]
#[case::by_processor(Size::new(4_500, 0, 0), Size::new(1_000, 0, 0), 3)]
#[case::by_memory(Size::new(9_000, 250, 0), Size::new(1_000, 50, 0), 2)]
#[case::full(Size::new(2_000, 0, 0), Size::new(2_000, 0, 0), 0)]
#[case::above_a_lowered_limit(Size::new(2_000, 0, 0), Size::new(8_000, 0, 0), 0)]
fn tasks_fit_below_every_limit(#[case] limit: Size, #[case] used: Size, #[case] tasks: u64) {
    let task = Size::new(1_000, 100, 0);
    assert_eq!(organisation("a", limit).tasks_within_limit(&used, &task), tasks);
}

#[test]
fn a_key_belongs_to_one_organisation() {
    let mut all = Organisations::default();
    assert!(all.add(organisation("a", Size::ZERO)) && all.add(organisation("b", Size::ZERO)));
    assert!(!all.add(organisation("a", Size::ZERO)));
    assert!(all.add_key(KeyDigest::of("k"), &"a".into()));
    assert!(
        all.add_key(KeyDigest::of("k"), &"a".into()),
        "the same organisation may list it twice"
    );
    assert!(!all.add_key(KeyDigest::of("k"), &"b".into()));
    let holder = |key| all.holder(&Credential::Key(KeyDigest::of(key))).map(|n| &**n);
    assert_eq!((holder("k"), holder("K")), (Some("a"), None));
}

#[test]
fn a_digest_shows_neither_the_key_nor_the_whole_digest() {
    let digest = KeyDigest::of("a-secret-key");
    let shown = format!("{digest} {digest:?} {:?}", Credential::Key(digest));
    assert!(!shown.contains("secret"));
    assert_eq!(digest.to_string().len(), 8);
}

#[rstest]
#[case::done(Command::Ended {
    worker: WorkerId::from("w"),
    ends: vec![End { number: 1, task: task(0), run: 1, kind: EndKind::Done, checkpoint: "".into() }],
    at: Millis(20),
})]
#[case::not_started(Command::NotStarted { worker: WorkerId::from("w"), runs: vec![(task(0), 1)] })]
#[case::lapsed(Command::Lapsed { worker: WorkerId::from("w"), saved: vec![] })]
#[case::worker_gone(Command::WorkerGone { worker: WorkerId::from("w"), saved: vec![] })]
fn a_run_counts_from_its_start_until_it_has_certainly_ended(#[case] over: Command) {
    let mut replicated = running();
    assert_eq!(replicated.ownership().used("a"), Size::new(1_000, 100, 0));
    replicated.apply(&over);
    assert_eq!(replicated.ownership().used("a"), Size::ZERO);
}

#[test]
fn a_cancelled_job_counts_while_its_runs_may_be_alive() {
    let mut replicated = running();
    replicated.apply(&Command::Cancel { id: JobId(1), at: Millis(20) });
    replicated.apply(&Command::Forget { before: Millis(1_000_000) });
    assert_eq!(replicated.ownership().used("a"), Size::new(1_000, 100, 0));
}

#[test]
fn the_owner_of_a_job_that_is_known_never_changes() {
    let mut replicated = running();
    replicated.apply(&assign_owner(1, "b"));
    assert_eq!(replicated.ownership().owner(JobId(1)).map(|o| &**o), Some("a"));
}

#[test]
fn the_owner_of_a_job_that_was_never_accepted_is_forgotten() {
    let mut replicated = running();
    replicated.apply(&assign_owner(7, "b"));
    replicated.apply(&Command::Forget { before: Millis(0) });
    assert_eq!(replicated.ownership().owner(JobId(7)), None);
    assert_eq!(replicated.ownership().owner(JobId(1)).map(|o| &**o), Some("a"));
}

#[test]
fn a_snapshot_keeps_owners_and_one_from_before_has_none() {
    let replicated = running();
    let bytes = replicated.encode().unwrap();
    assert_eq!(ReplicatedState::decode(&bytes).unwrap(), replicated);
    // An earlier version wrote the same encoding without its last part.
    let ownership = postcard::to_allocvec(replicated.ownership()).unwrap();
    let before = &bytes[..bytes.len() - ownership.len()];
    let read = ReplicatedState::decode(before).unwrap();
    assert_eq!(read.jobs(), replicated.jobs());
    assert_eq!(read.ownership().owner(JobId(1)), None);
}

fn usage_recorded(at: u64, of_a: u64) -> Command {
    Command::UsageRecorded {
        at: Millis(at),
        usage: vec![("a".into(), Size::new(of_a, 10, 0)), ("b".into(), Size::new(7, 1, 0))],
    }
}

#[test]
fn the_usage_that_was_recorded_last_replaces_the_one_before() {
    let mut replicated = running();
    replicated.apply(&usage_recorded(10, 1));
    replicated.apply(&Command::UsageRecorded {
        at: Millis(20),
        usage: vec![("a".into(), Size::new(2, 10, 0))],
    });
    let recorded = replicated.ownership().recorded_usage().unwrap();
    assert_eq!((recorded.at, recorded.usage.len()), (Millis(20), 1));
    assert_eq!(recorded.usage["a"], Size::new(2, 10, 0));
}

/// A snapshot of an earlier version has no recorded usage, and one of a cell without a backlog neither: both must be
/// what that version writes.
#[rstest]
#[case::nothing_else(vec![])]
#[case::drained_zones(vec![Command::DrainZone { zone: "z".into(), drained: true }])]
fn a_snapshot_holds_the_recorded_usage_behind_all_else(#[case] commands: Vec<Command>) {
    let mut replicated = running();
    commands.iter().for_each(|c| replicated.apply(c));
    let before = replicated.encode().unwrap();
    let earlier = ReplicatedState::decode(&before).unwrap();
    assert_eq!((earlier.ownership().recorded_usage(), &earlier), (None, &replicated));
    replicated.apply(&usage_recorded(10, 1));
    let bytes = replicated.encode().unwrap();
    assert!(bytes.starts_with(&before));
    assert_eq!(ReplicatedState::decode(&bytes).unwrap(), replicated);
}

/// The counts are not encoded, and a member that read a snapshot must hold the same as one that applied the log.
#[test]
fn the_open_steps_of_an_organisation_are_counted_also_after_a_snapshot() {
    let mut replicated = running();
    let open = |r: &ReplicatedState| (r.ownership().open_steps("a"), r.ownership().open_steps("b"));
    assert_eq!(open(&replicated), (1, 0), "the second task of its step waits");
    replicated.apply(&assign_owner(2, "b"));
    replicated.apply(&submit(2, vec![step(1), step(1)]));
    assert_eq!(open(&replicated), (1, 2));
    let read = ReplicatedState::decode(&replicated.encode().unwrap()).unwrap();
    assert_eq!((open(&read), &read), ((1, 2), &replicated));
    replicated.apply(&Command::Cancel { id: JobId(2), at: Millis(20) });
    assert_eq!(open(&replicated), (1, 0));
}
