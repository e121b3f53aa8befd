//! Tests of the gauges that say who waits, by queue and by organisation.

mod common;

use clock::Millis;
use common::organisations::with_key;
use common::{Harness, spec, step, task};
use dispatch::{QueueFigures, Verb};
use model::Size;

const TWO: &str = "org=a:0:1:key-a org=b:0:1:key-b";

/// Guards against waiting work that is counted under another queue or organisation, against requests that include running
/// tasks, and against queues that vanish from the gauges while nothing waits in them.
#[test]
fn waiting_work_is_counted_under_its_queue_and_its_organisation() {
    let mut b = Harness::new(TWO);
    b.join("w1", 1);
    let submit = |b: &mut Harness, key, path| {
        b.call_with(with_key(key), path, Verb::Submit(spec(vec![step(3)])));
        b.commit();
    };
    submit(&mut b, "key-a", "/q/00000000000000aa");
    let (on, order) = b.starts()[0].clone();
    b.started(&on.0, order.task, order.run, Ok(()));
    assert_eq!(order.task.step, task(0xaa, 0, 0).step);
    b.advance(Millis(100));
    submit(&mut b, "key-b", "/bulk/00000000000000bb");
    b.advance(Millis(200));
    let backlog = b.dispatcher.backlog(b.moment());
    let waiting = |wait, tasks: u64, late_jobs| QueueFigures {
        waiting_steps: 1,
        oldest_wait: Millis(wait),
        requested: Size::new(1_000, 1_000, 0).times(tasks),
        late_jobs,
    };
    assert_eq!(backlog.by_queue["q"], waiting(300, 2, 0), "one of its tasks runs");
    assert_eq!(backlog.by_queue["bulk"], waiting(200, 3, 0));
    assert_eq!(backlog.by_queue["mid"], QueueFigures::default());
    assert_eq!(backlog.by_organisation["a"], backlog.by_queue["q"]);
    assert_eq!(backlog.by_organisation["b"], backlog.by_queue["bulk"]);
}

/// Guards against late jobs that are not counted: the objective is 1.5 times the critical path of 800 ms, plus 250 ms.
#[test]
fn a_job_past_its_objective_is_counted_as_late_until_it_ends() {
    let mut b = Harness::new("");
    b.submit(1, spec(vec![step(1)]));
    b.commit();
    b.advance(Millis(1_450));
    assert_eq!(b.dispatcher.backlog(b.moment()).by_queue["q"].late_jobs, 0);
    b.advance(Millis(1));
    assert_eq!(b.dispatcher.backlog(b.moment()).by_queue["q"].late_jobs, 1);
    assert!(b.dispatcher.backlog(b.moment()).by_organisation.is_empty());
    b.call_path("/q/0000000000000001", Verb::Cancel);
    b.commit();
    assert_eq!(b.dispatcher.backlog(b.moment()).by_queue["q"], QueueFigures::default());
}
