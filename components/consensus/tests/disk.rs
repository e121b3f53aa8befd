//! State restored from a member's disk after clean and interrupted writes.

use std::fs;
use std::path::Path;

use consensus::{Disk, Entry, FileDisk, HardState, Payload, Record, Restored, Snapshot};
use proptest::prelude::*;
use rstest::rstest;
use storage::DataFolder;

fn open(path: &Path) -> (FileDisk, Restored) {
    FileDisk::open(DataFolder::open(path).unwrap()).unwrap()
}

fn entry(index: u64, term: u64) -> Record {
    let payload = Payload::Command([index as u8, term as u8].into());
    Record::Entry(Entry { index, term, payload })
}

fn vote(term: u64) -> Record {
    Record::HardState(HardState { term, voted_for: Some("a".into()) })
}

fn snapshot(last_index: u64) -> Snapshot {
    Snapshot { last_index, last_term: 1, data: [7; 9].into(), ..Snapshot::default() }
}

fn indexes(restored: &Restored) -> Vec<(u64, u64)> {
    restored.entries.iter().map(|e| (e.index, e.term)).collect()
}

#[rstest]
#[case::one_sync(vec![vec![vote(1), entry(1, 1), entry(2, 1)]], 1, &[(1, 1), (2, 1)])]
#[case::several_syncs(
    vec![vec![vote(1), entry(1, 1)], vec![entry(2, 1)], vec![vote(2)]], 2, &[(1, 1), (2, 1)]
)]
#[case::a_replaced_entry(
    vec![vec![entry(1, 1), entry(2, 1), entry(3, 1)], vec![entry(2, 2)]], 0, &[(1, 1), (2, 2)]
)]
#[case::only_a_vote(vec![vec![vote(4)]], 4, &[])]
fn records_come_back(
    #[case] syncs: Vec<Vec<Record>>,
    #[case] term: u64,
    #[case] entries: &[(u64, u64)],
) {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    for records in syncs {
        disk.append(&records).unwrap();
    }
    drop(disk);
    let (_, restored) = open(dir.path());
    assert_eq!(restored.hard.term, term);
    assert_eq!(indexes(&restored), entries);
}

#[test]
fn a_snapshot_takes_the_place_of_what_it_holds() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    disk.append(&[vote(1), entry(1, 1), entry(2, 1), entry(3, 1)]).unwrap();
    disk.install(&snapshot(2), &[vote(1), entry(3, 1)]).unwrap();
    disk.append(&[entry(4, 1)]).unwrap();
    drop(disk);
    let (_, restored) = open(dir.path());
    assert_eq!(restored.snapshot, snapshot(2));
    assert_eq!(indexes(&restored), [(3, 1), (4, 1)]);
}

/// A crash after the snapshot was saved and before the log was replaced leaves the old log.
#[rstest]
#[case::that_ends_behind_the_snapshot(2, &[(3, 1)])]
#[case::that_ends_with_it(3, &[])]
#[case::that_ends_before_it(9, &[])]
fn an_old_log_behind_a_new_snapshot(#[case] last_index: u64, #[case] entries: &[(u64, u64)]) {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    disk.append(&[vote(1), entry(1, 1), entry(2, 1), entry(3, 1)]).unwrap();
    let log = dir.path().join("cell.log");
    let before = fs::read(&log).unwrap();
    disk.install(&snapshot(last_index), &[vote(1)]).unwrap();
    drop(disk);
    fs::write(&log, before).unwrap();
    let (_, restored) = open(dir.path());
    assert_eq!(restored.snapshot.last_index, last_index);
    assert_eq!(restored.hard.term, 1);
    assert_eq!(indexes(&restored), entries);
}

#[test]
fn an_unfinished_snapshot_is_passed_over() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    disk.append(&[vote(1), entry(1, 1)]).unwrap();
    drop(disk);
    fs::write(dir.path().join("cell.new"), b"half a snaps").unwrap();
    let (_, restored) = open(dir.path());
    assert_eq!(indexes(&restored), [(1, 1)]);
    assert_eq!(restored.snapshot, Snapshot::default());
}

#[test]
fn a_torn_sync_is_cut_and_told() {
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path());
    disk.append(&[vote(1), entry(1, 1)]).unwrap();
    disk.append(&[entry(2, 1), entry(3, 1)]).unwrap();
    drop(disk);
    let log = dir.path().join("cell.log");
    let bytes = fs::read(&log).unwrap();
    fs::write(&log, &bytes[..bytes.len() - 1]).unwrap();
    let (disk, restored) = open(dir.path());
    assert!(disk.truncated_bytes() > 0);
    assert_eq!(indexes(&restored), [(1, 1)], "neither entry of the torn sync is there");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// An intact frame with arbitrary content is decoded or refused with an error.
    #[test]
    fn any_framed_bytes_give_records_or_an_error(payload in proptest::collection::vec(any::<u8>(), 0..200)) {
        let dir = tempfile::tempdir().unwrap();
        drop(open(dir.path()));
        fs::write(dir.path().join("cell.log"), storage::encode_frame(&payload)).unwrap();
        let _ = FileDisk::open(DataFolder::open(dir.path()).unwrap());
        fs::write(dir.path().join("cell.snapshot"), storage::encode_frame(&payload)).unwrap();
        let _ = FileDisk::open(DataFolder::open(dir.path()).unwrap());
    }

    #[test]
    fn any_bytes_give_a_message_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<consensus::Envelope>(&bytes);
        let _ = postcard::from_bytes::<Snapshot>(&bytes);
    }
}
