//! Torn tails are cut, damaged middles are refused, and no bytes make a reader panic.

use std::fs;

use errors::Error;
use proptest::prelude::*;
use storage::{DataFolder, FRAME_HEADER, FrameLog, Tail, encode_frame, load, save, scan_frames};

/// What is done to the bytes of a log of three frames.
#[derive(Clone, Copy, Debug)]
enum Harm {
    None,
    /// Cut so many bytes off the end.
    Cut(usize),
    /// Flip a bit so many bytes from the start.
    Flip(usize),
    /// Add bytes behind the end.
    Append(usize),
}

fn log_bytes() -> (Vec<u8>, usize) {
    let frames = [encode_frame(b"first"), encode_frame(b"second"), encode_frame(b"third!")];
    let last = frames[0].len() + frames[1].len();
    (frames.concat(), last)
}

fn harmed(harm: Harm) -> Vec<u8> {
    let (mut bytes, _) = log_bytes();
    match harm {
        Harm::None => {}
        Harm::Cut(n) => bytes.truncate(bytes.len() - n),
        Harm::Flip(at) => bytes[at] ^= 0x10,
        Harm::Append(n) => bytes.extend(std::iter::repeat_n(0, n)),
    }
    bytes
}

/// What opening the log is to give: the number of whole frames, or nothing if it is refused.
macro_rules! opens {
    ($($name:ident: $harm:expr => $frames:expr;)*) => {$(
        #[test]
        fn $name() {
            let dir = tempfile::tempdir().unwrap();
            let path = dir.path().join("log");
            fs::write(&path, harmed($harm)).unwrap();
            let wanted: Option<usize> = $frames;
            match (FrameLog::open(&path), wanted) {
                (Ok(opened), Some(n)) => assert_eq!(opened.payloads.len(), n),
                (Err(Error::Damaged { .. }), None) => {
                    // The file is left as it is, for whoever repairs it.
                    assert_eq!(fs::read(&path).unwrap(), harmed($harm));
                }
                (got, _) => panic!("wanted {wanted:?}, got {got:?}"),
            }
        }
    )*};
}

opens! {
    a_whole_log_is_read: Harm::None => Some(3);
    a_torn_payload_is_cut: Harm::Cut(1) => Some(2);
    a_torn_header_is_cut: Harm::Cut(6 + FRAME_HEADER - 3) => Some(2);
    a_lost_last_frame_leaves_no_trace: Harm::Cut(6 + FRAME_HEADER) => Some(2);
    a_scrambled_last_frame_is_cut: Harm::Flip(5 + 6 + 2 * FRAME_HEADER + FRAME_HEADER) => Some(2);
    zeros_behind_the_end_are_cut: Harm::Append(40) => Some(3);
    a_damaged_first_payload_is_refused: Harm::Flip(FRAME_HEADER) => None;
    a_damaged_first_length_is_refused: Harm::Flip(4) => None;
    a_damaged_first_checksum_is_refused: Harm::Flip(8) => None;
    a_damaged_middle_is_refused: Harm::Flip(5 + 2 * FRAME_HEADER) => None;
}

#[test]
fn appends_go_on_behind_a_cut_tail() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    fs::write(&path, harmed(Harm::Cut(2))).unwrap();
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
        let wanted = [b"first".as_slice(), b"second", b"third!"];
        for (payload, wanted) in found.payloads.iter().zip(wanted) {
            prop_assert_eq!(payload.as_slice(), wanted);
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
