//! Workers that are cut off for longer than the leader remembers them.

mod common;

use clock::Millis;
use common::fleet::{Fleet, Kind};
use common::{mix, step};
use model::Size;
use workload::StepSpec;

/// Longer than the leader remembers a worker that runs nothing.
const LONG_OUTAGE: Millis = Millis(26_500);

/// [`common::wait_checker`] counts the free capacity of all workers that can be reached, whether or not the leader knows
/// them. So the workers that the leader has forgotten must announce themselves again, as every worker of the platform
/// does all the time.
#[test]
fn workers_that_were_forgotten_are_used_again_once_they_are_back() {
    let mut f = Fleet::new(1, 3);
    f.allow_all();
    f.join("w", 4, Size::new(8_000, 16_000, 0));
    f.advance(Millis(500));
    let all = f.workers(|_| true);
    all.iter().for_each(|id| f.set_silent(id, true));
    f.advance(LONG_OUTAGE);
    let is_known = |f: &Fleet, id| f.harness.dispatcher.replicated().worker(id).is_some();
    assert!(all.iter().all(|id| !is_known(&f, id)), "all of them are forgotten");
    all.iter().for_each(|id| f.set_silent(id, false));
    mix::gang(&mut f);
    f.submit_job(Kind::Quick, "q", vec![StepSpec { estimate: Millis(300), ..step(4) }]);
    f.advance(Millis(2_900));
    assert!(all.iter().all(|id| is_known(&f, id)), "all of them are known again");
    assert_eq!((f.waits(Kind::Gang).len(), f.waits(Kind::Quick).len()), (1, 1));
}
