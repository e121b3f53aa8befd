//! Torn tails are truncated, damaged frames before the end are refused, and no input makes the reader panic.

use std::fs;

use errors::Error;
use proptest::prelude::*;
use storage::{DataFolder, FRAME_HEADER, FrameLog, Tail, encode_frame, load, save, scan_frames};

/// A fault applied to the bytes of a log of three frames.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// Truncates the given number of bytes.
    Truncate(usize),
    /// Flips a bit of the byte at the given offset.
    Flip(usize),
    /// Appends the given number of zero bytes.
    Append(usize),
}

fn log_bytes() -> (Vec<u8>, usize) {
    let frames = [encode_frame(b"first"), encode_frame(b"second"), encode_frame(b"third!")];
    let last = frames[0].len() + frames[1].len();
    (frames.concat(), last)
}

fn faulty_log(fault: Fault) -> Vec<u8> {
    let (mut bytes, _) = log_bytes();
    match fault {
        Fault::None => {}
        Fault::Truncate(n) => bytes.truncate(bytes.len() - n),
        Fault::Flip(at) => bytes[at] ^= 0x10,
        Fault::Append(n) => bytes.extend(std::iter::repeat_n(0, n)),
    }
    bytes
}

/// Tests that opening a log yields the given number of valid frames, or is refused if it is `None`.
macro_rules! opens {
    ($($name:ident: $fault:expr => $frames:expr;)*) => {$(
        #[test]
        fn $name() {
            let dir = tempfile::tempdir().unwrap();
            let path = dir.path().join("log");
            fs::write(&path, faulty_log($fault)).unwrap();
            let expected: Option<usize> = $frames;
            match (FrameLog::open(&path), expected) {
                (Ok(opened), Some(n)) => assert_eq!(opened.payloads.len(), n),
                (Err(Error::Damaged { .. }), None) => {
                    // The damaged file must stay unchanged so that it can be repaired.
                    assert_eq!(fs::read(&path).unwrap(), faulty_log($fault));
                }
                (got, _) => panic!("expected {expected:?}, got {got:?}"),
            }
        }
    )*};
}

opens! {
    a_whole_log_is_read: Fault::None => Some(3);
    a_torn_payload_is_cut: Fault::Truncate(1) => Some(2);
    a_torn_header_is_cut: Fault::Truncate(6 + FRAME_HEADER - 3) => Some(2);
    a_lost_last_frame_leaves_no_trace: Fault::Truncate(6 + FRAME_HEADER) => Some(2);
    a_scrambled_last_frame_is_cut: Fault::Flip(5 + 6 + 2 * FRAME_HEADER + FRAME_HEADER) => Some(2);
    zeros_behind_the_end_are_cut: Fault::Append(40) => Some(3);
    a_damaged_first_payload_is_refused: Fault::Flip(FRAME_HEADER) => None;
    a_damaged_first_length_is_refused: Fault::Flip(4) => None;
    a_damaged_first_checksum_is_refused: Fault::Flip(8) => None;
    a_damaged_middle_is_refused: Fault::Flip(5 + 2 * FRAME_HEADER) => None;
}

#[test]
fn appends_go_on_behind_a_cut_tail() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    fs::write(&path, faulty_log(Fault::Truncate(2))).unwrap();
    let mut opened = FrameLog::open(&path).unwrap();
    assert!(opened.truncated_bytes > 0);
    opened.log.append(b"fourth").unwrap();
    let again = FrameLog::open(&path).unwrap();
    let payloads: Vec<&[u8]> = again.payloads.iter().map(Vec::as_slice).collect();
    assert_eq!(payloads, [b"first".as_slice(), b"second", b"fourth"]);
}

#[test]
fn a_replaced_log_holds_only_the_replacement() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let mut log = FrameLog::open(&path).unwrap().log;
    log.append(b"old").unwrap();
    log.replace(b"new").unwrap();
    log.append(b"newer").unwrap();
    let again = FrameLog::open(&path).unwrap();
    assert_eq!(again.payloads, [b"new".to_vec(), b"newer".to_vec()]);
    assert_eq!(again.truncated_bytes, 0);
}

#[test]
fn a_damaged_snapshot_is_refused_and_a_missing_one_is_none() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("snapshot");
    assert!(load(&path).unwrap().is_none());
    save(&path, b"state").unwrap();
    assert_eq!(load(&path).unwrap().unwrap(), b"state");
    let mut bytes = fs::read(&path).unwrap();
    bytes[FRAME_HEADER] ^= 1;
    fs::write(&path, &bytes).unwrap();
    assert!(matches!(load(&path), Err(Error::Damaged { .. })));
}

#[test]
fn a_second_process_cannot_take_the_folder() {
    let dir = tempfile::tempdir().unwrap();
    let first = DataFolder::open(dir.path()).unwrap();
    assert!(matches!(DataFolder::open(dir.path()), Err(Error::Refused(_))));
    let incarnation = first.incarnation();
    drop(first);
    assert_eq!(DataFolder::open(dir.path()).unwrap().incarnation(), incarnation);
}

#[test]
fn an_emptied_folder_gets_another_incarnation() {
    let dir = tempfile::tempdir().unwrap();
    let first = DataFolder::open(dir.path()).unwrap().incarnation();
    fs::remove_dir_all(dir.path()).unwrap();
    assert_ne!(DataFolder::open(dir.path()).unwrap().incarnation(), first);
}

proptest! {
    #[test]
    fn any_bytes_are_scanned_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let found = scan_frames(&bytes);
        prop_assert!(found.valid_len <= bytes.len());
    }

    #[test]
    fn what_is_cut_anywhere_keeps_every_frame_before(cut in 0usize..53) {
        let (bytes, _) = log_bytes();
        let found = scan_frames(&bytes[..bytes.len() - cut.min(bytes.len())]);
        prop_assert!(matches!(found.tail, Tail::Clean | Tail::Torn));
        let expected = [b"first".as_slice(), b"second", b"third!"];
        for (payload, expected) in found.payloads.iter().zip(expected) {
            prop_assert_eq!(payload.as_slice(), expected);
        }
    }

    #[test]
    fn payloads_come_back_as_they_went(payloads in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..64), 0..8)) {
        let bytes: Vec<u8> = payloads.iter().flat_map(|p| encode_frame(p)).collect();
        let found = scan_frames(&bytes);
        prop_assert_eq!(found.tail, Tail::Clean);
        prop_assert_eq!(found.payloads, payloads);
    }
}
