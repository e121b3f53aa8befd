//! Round trips of calls and reports through JSON. Arbitrary text from a worker must not make the decoder panic.

use clock::Millis;
use model::{Epoch, Size, TaskId};
use proptest::prelude::*;
use upstream::{
    EndedTask, Lease, PlatformList, RunningTask, StartTask, SyncReply, SyncRequest, TaskEnding,
    WorkerReport,
};

fn task(index: u32) -> RunningTask {
    RunningTask { task: TaskId { job: "job".into(), index }, generation: 7 }
}

#[test]
fn a_call_reads_back_as_it_was() {
    let start = StartTask {
        task: task(1).task,
        generation: 7,
        size: Size::new(1, 2, 3),
        run_time: Millis(4),
        may_move: true,
    };
    let call = SyncRequest {
        epoch: Epoch(5),
        seq: 6,
        boot: 8,
        lease: Some(Lease { fixed_until: Millis(9), movable_until: Millis(10) }),
        start: vec![start],
        stop: Vec::new(),
        forget: vec![task(2)],
    };
    let text = serde_json::to_string(&call).unwrap();
    assert_eq!(serde_json::from_str::<SyncRequest>(&text).unwrap(), call);
}

#[test]
fn a_report_reads_back_as_it_was() {
    let ended =
        EndedTask { task: task(3), ending: TaskEnding::Failed("why".into()), ran: Millis(1) };
    let report = WorkerReport {
        boot: 1,
        now: Millis(2),
        total: Size::new(3, 4, 5),
        leaving: true,
        running: vec![task(1), task(2)],
        taken: Size::new(1, 1, 0),
        ended: vec![ended],
        used: Size::ZERO,
    };
    let reply = SyncReply::Done(report);
    let text = serde_json::to_string(&reply).unwrap();
    assert_eq!(serde_json::from_str::<SyncReply>(&text).unwrap(), reply);
}

proptest! {
    #[test]
    fn any_text_is_a_reply_or_an_error(text in "[\\[\\]{}\":,a-zA-Z0-9_. -]{0,200}") {
        let _ = serde_json::from_str::<SyncReply>(&text);
        let _ = serde_json::from_str::<PlatformList>(&text);
    }
}
