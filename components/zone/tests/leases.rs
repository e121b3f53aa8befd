//! Random fault schedules over a zone: no task runs twice, no worker is overcommitted, and no task is lost.

mod common;

use common::{World, spec};
use model::JobKind;
use rand::Rng;

/// The faults that a family of schedules may inject.
#[derive(Clone, Copy, Default)]
struct Faults {
    lost_calls: bool,
    dead_workers: bool,
    frozen_holders: bool,
    dead_holders: bool,
    partitioned_holders: bool,
    partitioned_links: bool,
}

const STEPS: usize = 600;

fn load(w: &mut World) {
    w.create(spec("service", JobKind::Service, 4, 500));
    w.create(spec("batch", JobKind::Batch, 12, 1_000));
    let mut fixed = spec("fixed", JobKind::Service, 3, 700);
    fixed.may_move = false;
    w.create(fixed);
    let mut once = spec("once", JobKind::Batch, 4, 800);
    once.repeatable = false;
    w.create(once);
    w.create(spec("gang", JobKind::Gang, 4, 1_500));
}

fn run(seed: u64, faults: Faults) -> (u64, usize) {
    let mut w = World::new(seed, 5);
    load(&mut w);
    for _ in 0..STEPS {
        fault(&mut w, faults);
    }
    w.settle("the end of all batch and gang work", |w| {
        let over = |name: &str| {
            let job = &w.cell.jobs[&name.into()];
            job.done.len() + job.failed.len() == job.spec.tasks as usize
        };
        over("batch")
            && over("once")
            && over("gang")
            && w.running_of("service").len() == 4
            && w.running_of("fixed").len() == 3
    });
    let once = w.starts.iter().filter(|(t, _)| t.task.job.as_str() == "once");
    for (task, starts) in once {
        assert_eq!(*starts, 1, "{task:?} is not repeatable");
    }
    let batch = &w.cell.jobs[&"batch".into()];
    assert_eq!(batch.done.len(), 12, "{:?}", batch.failed);
    assert_eq!(w.overcommits(), 0, "a start was sent to a worker without the free capacity for it");
    assert_eq!(w.duplicate_events, 0);
    (w.checks, w.holders.len())
}

fn fault(w: &mut World, f: Faults) {
    let roll = w.rng.random_range(0..1000);
    let worker = w.rng.random_range(0..w.workers.len());
    let current = w.current;
    match roll {
        0..500 => w.deliver(),
        500..860 => {
            let span = w.rng.random_range(5..80);
            w.step(span);
            w.take_over_if_due();
        }
        860..880 if f.dead_workers => w.kill_worker(worker),
        880..910 => w.boot(worker),
        910..920 if f.frozen_holders => freeze(w, current),
        920..935 => w.holders.iter_mut().flatten().for_each(|h| h.frozen = false),
        935..943 if f.dead_holders => w.holders[current] = None,
        943..951 if f.partitioned_holders => {
            if let Some(h) = w.holders[current].as_mut() {
                h.partitioned = true;
            }
        }
        951..955 => w.peer_reachable = !w.peer_reachable,
        955..963 => w.holders.iter_mut().flatten().for_each(|h| h.partitioned = false),
        963..980 if f.partitioned_links || f.lost_calls => {
            w.partitioned.insert((current, worker));
        }
        980..1000 if f.lost_calls => w.partitioned.clear(),
        980..985 => w.partitioned.clear(),
        _ => {}
    }
}

fn freeze(w: &mut World, holder: usize) {
    if let Some(h) = w.holders[holder].as_mut() {
        h.frozen = true;
    }
    // Half of the pauses are longer than any lease.
    let long = w.rng.random_range(0..2) == 0;
    for _ in 0..if long { 150 } else { 5 } {
        w.step(60);
        w.deliver();
        w.deliver();
        w.take_over_if_due();
    }
}

macro_rules! family {
    ($name:ident, $seeds:expr, $faults:expr) => {
        #[test]
        fn $name() {
            let (mut checks, mut holders) = (0, 0);
            for seed in $seeds {
                let (c, h) = run(seed, $faults);
                checks += c;
                holders += h;
            }
            assert!(checks > 10_000, "only {checks} checks were made");
            assert!(holders >= $seeds.len());
        }
    };
}

family!(calls_lost_and_late, 0..150, Faults { lost_calls: true, ..Faults::default() });
family!(
    workers_killed_and_restarted,
    1_000..1_150,
    Faults { dead_workers: true, lost_calls: true, ..Faults::default() }
);
family!(
    allocators_paused_longer_than_any_lease,
    2_000..2_150,
    Faults { frozen_holders: true, lost_calls: true, ..Faults::default() }
);
family!(
    allocators_killed_and_replaced,
    3_000..3_150,
    Faults { dead_holders: true, lost_calls: true, ..Faults::default() }
);
family!(
    allocators_cut_off_from_the_cell,
    4_000..4_150,
    Faults { partitioned_holders: true, lost_calls: true, ..Faults::default() }
);
family!(
    everything_together,
    5_000..5_600,
    Faults {
        lost_calls: true,
        dead_workers: true,
        frozen_holders: true,
        dead_holders: true,
        partitioned_holders: true,
        partitioned_links: true,
    }
);
