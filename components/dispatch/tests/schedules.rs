//! Random schedules of a dispatcher over fake workers: answers lost, orders late, workers silent and restarted,
//! leaders replaced. No task may run twice at the same time, start again once its end is committed, or take more than
//! a worker has, and no organisation may have more running than its limit.

mod common;

use clock::Millis;
use common::world::World;
use rstest::rstest;

const SEEDS: u64 = 300;
const STEPS: usize = 250;

fn play(mut world: World) {
    for _ in 0..STEPS {
        world.step();
    }
    // In the end every job that can be done is done, once no limit forbids it.
    world.lift_limits();
    world.workers.values_mut().for_each(|w| w.silent = false);
    let lasting = world.bench.dispatcher.replicated().jobs().iter();
    let lasting: Vec<_> =
        lasting.filter(|(_, j)| j.spec.is_long_running()).map(|(id, _)| *id).collect();
    for id in lasting {
        world.cancel(id);
    }
    for _ in 0..400 {
        world.bench.commit();
        world.perform();
        world.finish_some();
        world.pass(Millis(100));
        world.perform();
    }
    world.bench.commit();
    for (id, job) in world.bench.committed.jobs() {
        assert!(
            job.state.is_final(),
            "{id} is {:?} after all faults have ended: {job:#?}",
            job.state
        );
    }
}

#[rstest]
#[case::without_organisations(World::new)]
#[case::with_organisations(World::with_organisations)]
fn promises_hold_on_random_schedules(#[case] world: fn(u64) -> World) {
    for seed in 0..SEEDS {
        let played = std::panic::catch_unwind(|| play(world(seed)));
        assert!(played.is_ok(), "seed {seed}");
    }
}
