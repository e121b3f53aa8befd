//! Every time limit and weight of the dispatcher, with where its figure comes from.

use clock::Millis;

/// The limits that differ between deployments come from the settings; the others are fixed here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long a lease is granted for. Shorter moves the tasks of lost workers sooner; longer rides
    /// out the time without a leader, which is one to three seconds.
    pub lease: Millis,
    /// The longest lease that a leader before this one may have granted.
    pub longest_lease: Millis,
    /// How long a finished job is remembered.
    pub remember: Millis,
    /// How long a worker may take to stop a run.
    pub stop_takes: Millis,
    /// For how long a worker that is leaving surely stays if it does not say so.
    pub leaving_notice: Millis,
    /// Which parts of the decision are in use.
    pub mechanisms: Mechanisms,
}

/// Parts of the decision that can be switched off each by itself, to measure what it is worth. Not a
/// setting for operators: all are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Tasks that take accelerators share workers.
    pub packs_accelerators: bool,
    /// Room is kept free for gangs and large tasks that wait.
    pub keeps_room: bool,
    /// Runs that can afford it are stopped for those.
    pub preempts: bool,
    /// A job that must start soon to be in time goes before more urgent ones that have time.
    pub heeds_slack: bool,
    /// The tasks of a job keep to one availability zone.
    pub keeps_zones: bool,
    /// Stragglers are moved, and slow workers spared.
    pub moves_stragglers: bool,
    /// Workers that fail task after task are set aside.
    pub sets_aside: bool,
    /// How long answers to orders are awaited follows how long they take.
    pub learns_answer_times: bool,
    /// Advice on later steps is asked for before they open.
    pub asks_ahead: bool,
    /// New work keeps out of availability zones that have just fallen silent.
    pub avoids_silent_zones: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            packs_accelerators: true,
            keeps_room: true,
            preempts: true,
            heeds_slack: true,
            keeps_zones: true,
            moves_stragglers: true,
            sets_aside: true,
            learns_answer_times: true,
            asks_ahead: true,
            avoids_silent_zones: true,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            lease: Millis(5_000),
            longest_lease: Millis(10_000),
            remember: Millis(150_000),
            stop_takes: Millis(200),
            leaving_notice: Millis(2_000),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// By how much a worker's clock may run slow, in percent, rounded up from the two percent that the
/// platform allows for.
pub(crate) const CLOCK_DRIFT_PERCENT: u64 = 3;
/// Added to the end of a lease before its tasks are taken for gone: stopping takes a moment.
pub(crate) const LAPSE_SLACK: Millis = Millis(300);
/// How long a renewal waits at a worker that runs something. The lease is renewed, and the progress
/// of its tasks read, at least this often.
const BUSY_WAIT: Millis = Millis(500);
/// By how much each worker makes that longer: the leader's processor bounds how many answers it can
/// take in a second, and ends are told at once whatever the wait.
const BUSY_WAIT_PER_WORKER: u64 = 4;
/// How long it may become: the lease must be renewed well before it ends.
pub(crate) const LONGEST_BUSY_WAIT: Millis = Millis(1_500);

/// Gives how long a renewal waits at a worker that runs something, among so many workers.
pub(crate) fn busy_wait(workers: usize) -> Millis {
    let scaled = Millis(workers as u64 * BUSY_WAIT_PER_WORKER);
    scaled.max(BUSY_WAIT).min(LONGEST_BUSY_WAIT)
}

/// How long it waits at a worker that runs nothing: the most that workers allow.
pub(crate) const IDLE_WAIT: Millis = Millis(2_000);
/// The pause before a renewal that got no answer is sent again to a worker that answered before.
pub(crate) const RENEW_AGAIN: Millis = Millis(20);
/// The same for one that did not.
pub(crate) const RENEW_RETRY: Millis = Millis(250);
/// How long the answer to an order is awaited at least: answers come within some milliseconds, or tens of
/// them where an end waits for its share of a processor.
pub(crate) const SHORTEST_ANSWER: Millis = Millis(120);
/// How long it is awaited at most, and at first.
pub(crate) const LONGEST_ANSWER: Millis = Millis(400);
/// The pause before a start or stop that got no answer is sent again. A lost answer must not make
/// its job late.
pub(crate) const ORDER_RETRY: Millis = Millis(20);
/// After how many starts without an answer a run is stopped instead, so that its fate gets known.
pub(crate) const START_TRIES: u32 = 5;
/// A ticket is used only if it holds for this long yet: a commit and the way to the worker.
pub(crate) const TICKET_MARGIN: Millis = Millis(120);
/// The least pause between two calls for advice on one step.
pub(crate) const ADVICE_PAUSE: Millis = Millis(60);
/// The pause after nobody was found to ask about. Looking through all workers for each of many steps
/// that wait would take the leader's whole processor, and room comes with the ends that are planned on.
pub(crate) const NO_PROSPECTS_PAUSE: Millis = Millis(400);
/// For how long at least a step for which no room was found is not looked at as one that might start. Room
/// that comes where no ticket is at hand is found this late, while each look goes through all workers.
pub(crate) const LOOK_FOR_ROOM_AGAIN: Millis = Millis(500);
/// How many such steps a plan looks at again: half of the looks that it may take, so that the other half is
/// left to steps that were not looked at yet.
pub(crate) const MOST_LOOKS_AGAIN: usize = MOST_SCANS as usize / 2;
/// How many looks at a worker a plan may take in a millisecond, on average: each takes about a microsecond
/// of a whole processor, of which the leader has less than half, so that a backlog never keeps it from
/// taking in answers.
pub(crate) const LOOKS_A_MS: u64 = 50;
/// How many looks at a worker a look at a step that waits counts as.
pub(crate) const LOOKS_A_STEP: u64 = 5;
/// How many starts may be on their way to workers that answer. A start is confirmed within 50 ms, so 64
/// do for 1,300 starts a second; a leader that sends more than it can take in the answers to believes
/// them lost, sends them again, and takes in even fewer: that ended a day of 350 workers with 68% of its
/// jobs not done.
pub(crate) const MOST_ORDERS: usize = 200;
/// For how many steps a plan looks through all workers for some to ask about. At 350 workers that takes
/// most of a millisecond of a whole processor each time, and a backlog has hundreds of steps.
pub(crate) const MOST_SCANS: u32 = 10;
/// How many times longer than it costs a call for advice may take before somebody else is asked.
pub(crate) const ADVICE_LATE: f64 = 1.5;
/// How much longer still: the ways there and back, and a wait for a processor share at either end.
pub(crate) const ADVICE_SLACK: Millis = Millis(200);
/// How long a step lacks a call for advice, beside workers that are half empty and may run it, until it goes first. A call
/// takes half a second, and nothing is to stand for three.
pub(crate) const AGED_AFTER: Millis = Millis(1_000);
/// How many such steps a plan puts first.
pub(crate) const MOST_AGED: usize = 4;
/// At the workers of how many such steps a plan looks.
pub(crate) const MOST_LOOKS_AT_AGED: usize = 20;
/// What part of all instances may be busy with calls for such steps, as one in so many.
pub(crate) const AGED_PART: usize = 6;
/// For how long an instance makes no calls for advice after one of its calls got no answer.
pub(crate) const HELPER_REST: Millis = Millis(1_500);
/// The most workers that one call for advice may name; the service takes no more.
pub(crate) const ADVICE_MOST_WORKERS: usize = 100;
/// How many workers without room a call for advice that takes long names at most. Work that waits for
/// room needs tickets at hand when it comes: a call takes a tenth of the time that a batch task runs,
/// and the room would be idle for so long.
pub(crate) const ADVICE_MOST_FULL: usize = 30;
/// A call for advice that takes no longer than this is short: it names many workers with room, since a
/// second call would cost more than they do.
pub(crate) const ADVICE_SHORT_MS: f64 = 60.0;
/// How many workers a short call names where those do: among the 28 or so that are allowed there is a good
/// one, and each more is looked at in every plan until the step is placed.
pub(crate) const ADVICE_SHORT_WORKERS: usize = 40;
/// How much more room is asked for than is needed, as advice may be gone stale when it comes.
pub(crate) const ADVICE_ROOM_FACTOR: f64 = 1.5;
/// How many workers a first call names at least.
pub(crate) const ADVICE_LEAST_WORKERS: usize = 10;
/// What part of the time that a long call takes whomever it names it may take for those that it names at least.
pub(crate) const ADVICE_NAMED_PART: f64 = 0.5;
/// From how many jobs on of which runs have failed in a row a worker may be set aside.
pub(crate) const FAILED_JOBS_IN_A_ROW: usize = 2;
/// What part of a service's workers may be set aside at once, as one in so many: two thirds carry a usual load, and
/// where more than a third fails what it runs the cause is rarely in the workers.
pub(crate) const MOST_ASIDE_PART: usize = 3;
/// After what time without another failure those of a worker are forgotten, counted from when it last stood
/// aside: longer than the longest tasks that are not meant to last run, so that one that fails them all is found.
pub(crate) const FAILS_FADE: Millis = Millis(15_000);
/// After what time without a failure a worker that is set aside gets a try where nothing else is left: a run that
/// fails does so at once, and an answer takes tenths of a second.
pub(crate) const TRY_AGAIN: Millis = Millis(1_000);
/// How long a task that lasts waits among other work before it comes first. A call for advice takes half a second of
/// it, and tasks that last are few beside the others, which wait for a tenth of a second by that.
pub(crate) const LASTING_PATIENCE: Millis = Millis(1_000);
/// The same for one that has never run: nobody has lost anything by it yet, so it waits among the others for as long as
/// its first start may take and be in time. On a fleet that is asked for a quarter more than it has, new tasks that last
/// would otherwise come before all quick jobs.
pub(crate) const FIRST_RUN_PATIENCE: Millis = Millis(4_000);
/// How many steps with such tasks a plan puts first: half of those that it keeps room free for.
pub(crate) const MOST_OWED: usize = MOST_ROOMS_MADE as usize / 2;
/// After how many looks at a worker a plan keeps no more room free for such steps: as many as it may take in 40 ms.
pub(crate) const MOST_LOOKS_FOR_OWED: u64 = LOOKS_A_MS * 40;
/// How long each has its turn if there are more, and half of them change places: room comes with the end of a quick
/// task, and a call for advice takes half a second.
pub(crate) const OWED_TURN: Millis = Millis(1_000);
/// For how long a worker is set aside first; doubled each time it happens again.
pub(crate) const SET_ASIDE: Millis = Millis(4_000);
/// How often that is doubled at most. Without a try nobody learns that a worker is well again, and a
/// job may be able to run nowhere else.
pub(crate) const MOST_DOUBLINGS: u32 = 1;
/// From what part of the largest worker on a task counts as large, so that room is kept free for it:
/// as one in so many. A smaller one fits into what any end leaves.
pub(crate) const LARGE_PART: u64 = 4;
/// For how many steps that wait for the same workers a plan keeps room free. Each looks through all workers,
/// and later ones rarely find one that is not waited for already.
pub(crate) const MOST_ROOMS_MADE: u32 = 20;
/// What part of the room of all workers that steps seek may stand idle for large tasks that wait, as one in so
/// many: a quarter, so that on a fleet that is less than half full as much again is there for the others.
pub(crate) const MOST_KEPT_PART: u64 = 4;
/// How much time a job must have to spare for one of its runs to be stopped for another: the stop, a call
/// for advice, the restart from its progress, and a wait for room as long as a batch task runs.
pub(crate) const PREEMPT_SLACK: Millis = Millis(9_000);
/// How long a task must run for others to be stopped for it: the stop, its end and the start behind it
/// take half a second, in which room comes by itself for quicker ones. Without it quick tasks had 20 runs
/// a second stopped at 80% load, and were late as often.
pub(crate) const SHORTEST_PREEMPTOR: Millis = Millis(1_500);
/// With how little time to spare a job that waits goes before more urgent ones that have more: a call for
/// advice, a commit and the wait for a stop.
pub(crate) const LAST_CALL: Millis = Millis(2_000);
/// For how long an unhealthy or full worker gets nothing.
pub(crate) const REST: Millis = Millis(700);
/// The least time over which the speed of a run is measured.
pub(crate) const SPEED_WINDOW: Millis = Millis(250);
/// For how long a run must not come on at all to count as standing still. Progress is told in whole
/// percent, which the longest runs take a tenth of a second for.
pub(crate) const STANDSTILL: Millis = Millis(700);
/// How many times longer than elsewhere a run must yet take to be moved. The tasks of a step differ by
/// up to a third.
pub(crate) const STRAGGLER_FACTOR: f64 = 2.0;
/// How old a run must be to be moved: the first part of a run may be slow, as it starts.
pub(crate) const YOUNGEST_STRAGGLER: Millis = Millis(600);
/// How many other workers must run a step to tell how fast it should be.
pub(crate) const FEWEST_OTHERS: usize = 2;
/// What moving a run takes beside the stop: two commits and often a call for advice.
pub(crate) const MOVE_COST: Millis = Millis(300);
/// How often a task is moved at most; if it is slow everywhere, the task is.
pub(crate) const MOST_MOVES: usize = 2;
/// Below what share of the speed elsewhere, over all its runs, a worker counts as slow.
pub(crate) const SLOW_SHARE: f64 = 0.4;
/// For how long a slow worker gets nothing new.
pub(crate) const SLOW_REST: Millis = Millis(2_500);
/// After what silence a worker that runs nothing is forgotten.
pub(crate) const FORGET_WORKER: Millis = Millis(20_000);
/// For how long a run is young: it may yet end its worker. Tasks that end their workers do so as they start, or at
/// their first checkpoint, and an end is known half a second later.
pub(crate) const YOUNG_RUN: Millis = Millis(2_000);
/// After what time a run clears its task of the crashes before: longer than all but lasting tasks run. A task
/// that ends its worker later than that is not given up, and takes a worker down twice a minute at most.
pub(crate) const CLEARED_AFTER: Millis = Millis(30_000);
/// Workers that fall silent within this time fall silent together: a renewal that waits tells of a cut up to two
/// seconds after an order does.
pub(crate) const TOGETHER: Millis = Millis(2_500);
/// What part of the workers that must be, as one in so many: some fall silent at any time in a large fleet.
pub(crate) const TOGETHER_ONE_IN: usize = 100;
/// What part of all workers tasks at fault take down in a second at most, as each is understood after three or four.
pub(crate) const MOST_BY_TASKS_A_SECOND: f64 = LOST_TOGETHER_A_SECOND / 2.0;
/// What part of all workers must be lost in a second, while they are being lost together, for that to have another cause
/// than tasks at fault: each of these is understood after three or four workers, which are down for seconds each time.
pub(crate) const LOST_TOGETHER_A_SECOND: f64 = 0.4;
/// The shortest and the longest time between two losses that come together: it takes milliseconds to take in hundreds of
/// broken connections, and machines that go down for one reason do so within a tenth of a second of each other.
pub(crate) const LOST_TOGETHER_GAP: (Millis, Millis) = (Millis(15), Millis(100));
/// For how long losses tell how often workers are lost.
pub(crate) const LOSS_RATE_WINDOW: Millis = Millis(5_000);
/// How likely it must be that one of many workers is hit as often as workers are lost for that to excuse a loss: for less,
/// a fault is the likelier cause.
pub(crate) const LIKELY_HIT: f64 = 0.5;
/// How unlikely it must be that chance has hit a run for the loss of its worker to count fully against it.
pub(crate) const SURELY_NOT_BY_CHANCE: f64 = 0.01;
/// From how many tasks on that crashed their workers a step may seem to be at fault as a whole. With fewer, starting
/// them all takes down as many workers at most, and no job that is well waits for it.
pub(crate) const FEWEST_SUSPECTS: usize = 4;
/// How old a run must be, by an answer of its worker, for others of a step at fault to be started beside it: most tasks that
/// end their workers do so within milliseconds. Waiting until it is old altogether would let a step of five that is at
/// fault in nothing wait for six seconds; a step whose tasks all end their workers after a second loses one or two more.
pub(crate) const SEEMS_WELL: Millis = Millis(500);
/// For how many runs on workers of which nothing is heard the other tasks of a step at fault need not wait. A worker that
/// vanishes without breaking its connections may have crashed all the same, which is known when its lease is over,
/// five seconds later, so that a step at fault takes down four workers in that time at most.
pub(crate) const MOST_UNHEARD: usize = 3;
/// How often jobs that ended long ago are dropped.
pub(crate) const FORGET_EVERY: Millis = Millis(5_000);
/// How long a task that lasts waits before a line tells of it.
pub(crate) const LONG_WAIT: Millis = Millis(2_000);
/// How often such a line is repeated at most for one step.
pub(crate) const WAIT_TOLD_AGAIN: Millis = Millis(5_000);
/// How many such lines are written in a second at most. Each looks at all workers.
pub(crate) const MOST_WAIT_LINES: usize = 5;
/// How often a line tells of a call that shows no key of an organisation, at most.
pub(crate) const KEY_TOLD_AGAIN: Millis = Millis(1_000);
/// When callers come back that could not be served.
pub(crate) const COME_BACK: Millis = Millis(300);
