//! The replicated log's cost: synced appends, and snapshots at the target's size.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use cell::{Cell, Claim, Command, Proposal, Share};
use clock::Millis;
use consensus::{Committed, FileDisk, Node, NodeConfig, Payload, Replica};
use model::{CellConfig, Incarnation, JobKind, JobSpec, Size};
use storage::DataFolder;

use crate::figure::figure;

const SYNCS: u64 = 400;
const BATCHES: [u64; 2] = [1, 64];
/// The target's state: jobs at work, ended jobs that are kept, and claims of ten minutes.
const ACTIVE_JOBS: u32 = 4_000;
const TASKS_EACH: u32 = 15;
const CLAIMS: u32 = 60_000;

fn job(number: u32) -> JobSpec {
    JobSpec {
        run_time: Millis(60_000),
        ..JobSpec::new(
            &format!("job-with-a-usual-name-{number}"),
            &format!("team{}", number % 88),
            JobKind::Batch,
            TASKS_EACH,
            Size::new(1_000, 2_000, 0),
        )
    }
}

fn create(number: u32) -> Proposal {
    let spec = job(number);
    let shares = vec![Share { zone: "zone-a".into(), first: 0, count: spec.tasks }];
    let key = Some(format!("1796213803120-{number:016x}").as_str().into());
    Proposal { key, at: Millis(1_000_000), command: Command::CreateJob { spec, shares } }
}

fn claim(number: u32) -> Proposal {
    let key = format!("caller-key-{number:016x}").as_str().into();
    let claims = vec![Claim { key, issued: Millis(1_000_000) }];
    Proposal { key: None, at: Millis(1_000_000), command: Command::ClaimRequests { claims } }
}

fn encode(proposal: &Proposal) -> Arc<[u8]> {
    postcard::to_allocvec(proposal).unwrap_or_default().into()
}

/// A cell of one member, whose every commit is one sync of a real file.
fn lone_replica(folder: &std::path::Path) -> Option<Replica> {
    let folder = DataFolder::open(folder).ok()?;
    let incarnation = Incarnation(folder.incarnation());
    let (disk, restored) = FileDisk::open(folder).ok()?;
    let initial_voters = BTreeSet::from(["a".into()]);
    let cfg = NodeConfig::with_fixed_members("a".into(), incarnation, initial_voters, 1);
    let mut replica = Replica::new(Node::new(cfg, restored, Millis::ZERO), Box::new(disk));
    for now in [0, 100, 3_000, 6_000] {
        replica.tick(Millis(now));
        replica.flush().ok()?;
    }
    Some(replica)
}

fn synced_appends(batch: u64) -> Option<()> {
    let dir = tempfile::tempdir().ok()?;
    let mut replica = lone_replica(dir.path())?;
    let data = encode(&create(1));
    let begun = Instant::now();
    let mut committed = 0;
    for _ in 0..SYNCS {
        for _ in 0..batch {
            replica.propose(Millis(6_000), data.clone()).ok()?;
        }
        let flushed = replica.flush().ok()?;
        let commands = flushed.committed.iter().filter(
            |c| matches!(c, Committed::Entry(e) if matches!(e.payload, Payload::Command(_))),
        );
        committed += commands.count();
    }
    let seconds = begun.elapsed().as_secs_f64();
    figure(&format!("log_synced_appends_batch_{batch}"), committed as f64 / seconds, "per_s");
    Some(())
}

fn snapshot() {
    let mut cell = Cell::default();
    let mut index = 0;
    let begun = Instant::now();
    for number in 0..ACTIVE_JOBS {
        index += 1;
        cell.apply(index, &create(number));
    }
    let each = begun.elapsed().as_nanos() as f64 / f64::from(ACTIVE_JOBS) / 1_000.0;
    figure("cell_apply_create_job", each, "us");
    let begun = Instant::now();
    for number in 0..CLAIMS {
        index += 1;
        cell.apply(index, &claim(number));
    }
    let each = begun.elapsed().as_nanos() as f64 / f64::from(CLAIMS) / 1_000.0;
    figure("cell_apply_claim", each, "us");
    let begun = Instant::now();
    let bytes = cell.encode();
    figure("snapshot_encode_target", begun.elapsed().as_secs_f64() * 1_000.0, "ms");
    figure("snapshot_size_target", bytes.len() as f64 / 1_048_576.0, "MB");
    let begun = Instant::now();
    let decoded = Cell::decode(&bytes);
    figure("snapshot_decode_target", begun.elapsed().as_secs_f64() * 1_000.0, "ms");
    assert!(decoded.is_ok_and(|d| d == cell), "a snapshot reads back as it was");
}

fn configuration_change() {
    let text: Arc<str> = "profile = \"packing\"\nupstream_slots = 8\n".repeat(10).into();
    let config = CellConfig::default();
    let command = Command::ApplyConfig { base: 0, text, config };
    let proposal = Proposal { key: Some("k".into()), at: Millis(1), command };
    figure("configuration_change_size", encode(&proposal).len() as f64, "bytes");
}

/// Takes the log's measurements.
pub fn run() {
    for batch in BATCHES {
        if synced_appends(batch).is_none() {
            println!("log_synced_appends_batch_{batch} could not be measured");
        }
    }
    snapshot();
    configuration_change();
}
