//! Measures the cost of the replicated log: synced appends, and snapshots at the target size.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use cell::{Cell, Claim, Command, Proposal, Share};
use clock::Millis;
use consensus::{Committed, FileDisk, Node, NodeConfig, Payload, Replica};
use model::{CellConfig, Incarnation, JobKind, JobSpec, Size};
use storage::DataFolder;

use crate::figure::figure;

/// The number of synced flushes for each batch size.
const FLUSHES: u64 = 400;
/// The numbers of commands in one flush.
const BATCH_SIZES: [u64; 2] = [1, 64];
/// The number of active jobs at the target size.
const ACTIVE_JOBS: u32 = 4_000;
/// The number of tasks of a job.
const TASKS_PER_JOB: u32 = 15;
/// The number of request claims at the target size, which are those of ten minutes.
const CLAIMS: u32 = 60_000;

fn job(number: u32) -> JobSpec {
    JobSpec {
        run_time: Millis(60_000),
        ..JobSpec::new(
            &format!("job-with-a-usual-name-{number}"),
            &format!("team{}", number % 88),
            JobKind::Batch,
            TASKS_PER_JOB,
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

/// Returns a replica that is the only member of its cell, so that each commit is one sync of a real file.
fn single_member_replica(folder: &std::path::Path) -> Option<Replica> {
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

/// Measures commits per second with `batch` commands in each flush. Returns `None` if the disk fails.
fn synced_appends(batch: u64) -> Option<()> {
    let dir = tempfile::tempdir().ok()?;
    let mut replica = single_member_replica(dir.path())?;
    let data = encode(&create(1));
    let started_at = Instant::now();
    let mut committed = 0;
    for _ in 0..FLUSHES {
        for _ in 0..batch {
            replica.propose(Millis(6_000), data.clone()).ok()?;
        }
        let flushed = replica.flush().ok()?;
        let commands = flushed.committed.iter().filter(
            |c| matches!(c, Committed::Entry(e) if matches!(e.payload, Payload::Command(_))),
        );
        committed += commands.count();
    }
    let seconds = started_at.elapsed().as_secs_f64();
    figure(&format!("log_synced_appends_batch_{batch}"), committed as f64 / seconds, "per_s");
    Some(())
}

/// Measures applying commands, and encoding and decoding a snapshot at the target size.
fn snapshot() {
    let mut cell = Cell::default();
    let mut index = 0;
    let started_at = Instant::now();
    for number in 0..ACTIVE_JOBS {
        index += 1;
        cell.apply(index, &create(number));
    }
    let mean_us = started_at.elapsed().as_nanos() as f64 / f64::from(ACTIVE_JOBS) / 1_000.0;
    figure("cell_apply_create_job", mean_us, "us");
    let started_at = Instant::now();
    for number in 0..CLAIMS {
        index += 1;
        cell.apply(index, &claim(number));
    }
    let mean_us = started_at.elapsed().as_nanos() as f64 / f64::from(CLAIMS) / 1_000.0;
    figure("cell_apply_claim", mean_us, "us");
    let started_at = Instant::now();
    let bytes = cell.encode();
    figure("snapshot_encode_target", started_at.elapsed().as_secs_f64() * 1_000.0, "ms");
    figure("snapshot_size_target", bytes.len() as f64 / 1_048_576.0, "MB");
    let started_at = Instant::now();
    let decoded = Cell::decode(&bytes);
    figure("snapshot_decode_target", started_at.elapsed().as_secs_f64() * 1_000.0, "ms");
    assert!(decoded.is_ok_and(|d| d == cell), "a decoded snapshot equals the original");
}

/// Measures the encoded size of a configuration change.
fn configuration_change() {
    let text: Arc<str> = "profile = \"packing\"\nupstream_slots = 8\n".repeat(10).into();
    let config = CellConfig::default();
    let command = Command::ApplyConfig { base: 0, text, config };
    let proposal = Proposal { key: Some("k".into()), at: Millis(1), command };
    figure("configuration_change_size", encode(&proposal).len() as f64, "bytes");
}

/// Runs all measurements of the log and prints their figures.
pub fn run() {
    for batch in BATCH_SIZES {
        if synced_appends(batch).is_none() {
            println!("log_synced_appends_batch_{batch} could not be measured");
        }
    }
    snapshot();
    configuration_change();
}
