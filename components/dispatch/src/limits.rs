//! Time limits, thresholds and budgets of the dispatcher, each with the reason for its value.

use clock::Millis;

/// The limits that differ between deployments. They come from the settings; all others are
/// constants of this module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long a lease is granted for. A shorter lease moves the tasks of lost workers sooner; a
    /// longer one survives the time without a leader, which is one to three seconds.
    pub lease: Millis,
    /// The longest lease that an earlier leader may have granted.
    pub max_lease: Millis,
    /// How long a finished job is kept.
    pub job_retention: Millis,
    /// How much memory the accepted jobs may take in the replicated state, in bytes.
    pub job_memory: u64,
    /// How long a worker may take to stop a run.
    pub stop_time: Millis,
    /// How long a leaving worker is certain to stay if it does not announce a time.
    pub leaving_notice: Millis,
    /// The scheduling mechanisms that are enabled.
    pub mechanisms: Mechanisms,
}

/// Scheduling mechanisms that can be disabled one by one to measure the effect of each. This is no
/// setting for operators: all are enabled by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Packs tasks that take accelerators onto shared workers.
    pub packs_accelerators: bool,
    /// Reserves capacity for waiting gangs and large tasks.
    pub reserves_capacity: bool,
    /// Preempts runs with enough slack for waiting gangs and large tasks.
    pub preempts: bool,
    /// Places a job that must start soon to meet its deadline before more urgent jobs that have
    /// time.
    pub orders_by_slack: bool,
    /// Keeps the tasks of a job in one availability zone.
    pub colocates_jobs: bool,
    /// Moves stragglers and deprioritises slow workers.
    pub moves_stragglers: bool,
    /// Quarantines workers that fail one task after another.
    pub quarantines_workers: bool,
    /// Adapts the timeout of a message to a worker to how long workers take to answer.
    pub adapts_answer_timeouts: bool,
    /// Requests advice on later steps before they open.
    pub prefetches_advice: bool,
    /// Places no new work in availability zones that have just fallen silent.
    pub avoids_silent_zones: bool,
    /// Learns the speeds of machines and prefers the workers that suit a step.
    pub prefers_suitable_speeds: bool,
    /// Serves organisations that use far more than their share by weight after the others.
    pub shares_by_weight: bool,
    /// Refuses jobs whose forecast end lies beyond the time at which they are worth anything.
    pub forecasts_waits: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            packs_accelerators: true,
            reserves_capacity: true,
            preempts: true,
            orders_by_slack: true,
            colocates_jobs: true,
            moves_stragglers: true,
            quarantines_workers: true,
            adapts_answer_timeouts: true,
            prefetches_advice: true,
            avoids_silent_zones: true,
            prefers_suitable_speeds: true,
            shares_by_weight: true,
            forecasts_waits: true,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            lease: Millis(5_000),
            max_lease: Millis(10_000),
            job_retention: Millis(150_000),
            job_memory: u64::MAX,
            stop_time: Millis(200),
            leaving_notice: Millis(2_000),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// By how much a worker's clock may run slow, in percent. The platform allows for two percent,
/// which is rounded up.
pub(crate) const MAX_CLOCK_DRIFT_PERCENT: u64 = 3;
/// Added to the end of a lease before its tasks are considered gone, because stopping them takes a
/// moment.
pub(crate) const LEASE_EXPIRY_MARGIN: Millis = Millis(300);
/// The minimum time for which a renewal waits at a worker that runs something. In a small fleet the
/// lease is renewed, and the progress of its tasks read, at least this often.
const MIN_BUSY_RENEWAL_WAIT: Millis = Millis(500);
/// The time per worker of the fleet, in milliseconds, for which a renewal waits in a larger fleet.
/// The leader's processor bounds how many answers it can process in a second, and the end of a run
/// is reported immediately whatever the wait.
const BUSY_RENEWAL_WAIT_PER_WORKER_MS: u64 = 4;
/// The maximum time for which a renewal waits there. The lease must be renewed well before it ends.
pub(crate) const MAX_BUSY_RENEWAL_WAIT: Millis = Millis(1_500);

/// Returns how long a renewal waits at a worker that runs something, in a fleet of `workers`
/// workers.
pub(crate) fn busy_renewal_wait(workers: usize) -> Millis {
    let scaled = Millis(workers as u64 * BUSY_RENEWAL_WAIT_PER_WORKER_MS);
    scaled.max(MIN_BUSY_RENEWAL_WAIT).min(MAX_BUSY_RENEWAL_WAIT)
}

/// How long a renewal waits at a worker that runs nothing: the longest wait that workers allow.
pub(crate) const IDLE_RENEWAL_WAIT: Millis = Millis(2_000);
/// The pause before an unanswered renewal is sent again to a worker that is in contact.
pub(crate) const RENEWAL_RETRY_IN_CONTACT: Millis = Millis(20);
/// The pause before an unanswered renewal is sent again to a worker that is not in contact.
pub(crate) const RENEWAL_RETRY_NO_CONTACT: Millis = Millis(250);
/// The shortest timeout for the answer to a start or stop. Answers come within some milliseconds,
/// or some tens of milliseconds where the end of a run waits for its processor share.
pub(crate) const MIN_ANSWER_TIMEOUT: Millis = Millis(120);
/// The longest timeout for the answer to a start or stop, and the first one.
pub(crate) const MAX_ANSWER_TIMEOUT: Millis = Millis(400);
/// The pause before an unanswered start or stop is sent again. A longer one lets a lost answer make
/// its job late.
pub(crate) const ORDER_RETRY_DELAY: Millis = Millis(20);
/// The number of unanswered starts after which a run is stopped instead, so that its fate becomes
/// known.
pub(crate) const MAX_START_ATTEMPTS: u32 = 5;
/// How long a ticket must still be valid to be used: the time of a commit and of the message to the
/// worker.
pub(crate) const MIN_TICKET_VALIDITY: Millis = Millis(120);
/// The minimum pause between two calls for advice on one step.
pub(crate) const MIN_ADVICE_INTERVAL: Millis = Millis(60);
/// The pause before a step is examined again after no worker was found to ask about. Examining
/// workers for each of many waiting steps in every plan would take the leader's whole processor,
/// and capacity is freed by the ends of runs, which trigger plans themselves.
pub(crate) const NO_CANDIDATES_PAUSE: Millis = Millis(400);
/// The minimum time for which a step that may use none of the free capacity is not re-examined as
/// one that might start. Capacity that is freed where the step holds no ticket is found this much
/// later, while each examination looks at all workers that have it.
pub(crate) const MIN_REEXAMINE_INTERVAL: Millis = Millis(500);
/// The examination budget: how many workers plans may examine per millisecond, on average. One
/// takes about a microsecond of a whole processor, of which the leader has less than half, so that
/// a backlog never keeps it from processing answers.
pub(crate) const EXAMINATIONS_PER_MS: u64 = 50;
/// The divisor of the leader's time that plans take at most. The rest is for orders and answers,
/// without which nothing that a plan decides is carried out.
pub(crate) const PLAN_TIME_DIVISOR: u64 = 8;
/// The maximum pause after a plan that took long. Quick jobs are to start within 300 ms, which
/// includes two plans, a call for advice and a commit.
pub(crate) const MAX_PLAN_PAUSE: Millis = Millis(60);
/// How many examined workers one examined waiting step counts as.
pub(crate) const EXAMINATIONS_PER_STEP: u64 = 5;
/// The number of examined workers after which a plan makes no more calls for steps that wait for
/// capacity: the examination budget of 20 ms.
pub(crate) const WAITING_EXAMINATION_BUDGET: u64 = EXAMINATIONS_PER_MS * 20;
/// The maximum number of starts in flight to workers that answer. A start is confirmed within 50
/// ms, so 64 suffice for 1,300 starts a second. A leader that sends more than it can process the
/// answers to considers them lost, sends them again and processes even fewer: with 350 workers,
/// that left 68% of a day's jobs not done.
pub(crate) const MAX_STARTS_IN_FLIGHT: usize = 200;
/// The factor by which a call for advice may exceed its expected time before another instance is
/// asked.
pub(crate) const ADVICE_OVERDUE_FACTOR: f64 = 1.5;
/// Added to that time for the way there and back and for waits for a processor share at either end.
pub(crate) const ADVICE_OVERDUE_MARGIN: Millis = Millis(200);
/// How long a step lacks a call for advice, while half-empty workers might run it, before it is
/// placed first. A call takes half a second, and no step is to wait for three seconds.
pub(crate) const ADVICE_AGED_AFTER: Millis = Millis(1_000);
/// The maximum number of such steps that a plan places first.
pub(crate) const MAX_AGED_STEPS: usize = 4;
/// The number of examined workers and steps after which a plan looks for no more such steps: the
/// examination budget of 20 ms.
pub(crate) const AGED_EXAMINATION_BUDGET: u64 = EXAMINATIONS_PER_MS * 20;
/// The divisor that limits calls for such steps: at most one in this many instances is busy with
/// them.
pub(crate) const AGED_CALLERS_DIVISOR: usize = 6;
/// The backoff of an instance whose call for advice got no answer, during which it makes no calls.
pub(crate) const ADVICE_CALLER_BACKOFF: Millis = Millis(1_500);
/// The maximum number of workers in a call for advice; the service accepts no more.
pub(crate) const ADVICE_MAX_WORKERS: usize = 100;
/// How many workers with free capacity are examined at least for a call for advice, if there are as
/// many: four times as many as a call can name, so that the call can name those with the most
/// capacity.
pub(crate) const ADVICE_CANDIDATES_WITH_CAPACITY: usize = 4 * ADVICE_MAX_WORKERS;
/// How many workers are examined at most to find some without free capacity that a call for advice
/// can name. A step may know most workers already, and the next search goes on behind this one.
pub(crate) const ADVICE_FULL_WORKERS_EXAMINED: usize = ADVICE_MAX_WORKERS;
/// The maximum number of workers without free capacity that a long call for advice names. Work that
/// waits for capacity needs its tickets when capacity is freed: a call takes a tenth of the time
/// that a batch task runs, and the capacity would be idle meanwhile.
pub(crate) const ADVICE_MAX_FULL_WORKERS: usize = 30;
/// The longest time of a call for advice that counts as short, in milliseconds. A short call names
/// many workers with free capacity, since a second call would cost more than they do.
pub(crate) const MAX_SHORT_ADVICE_MS: f64 = 60.0;
/// How many workers a short call names if that many have capacity. Of the 28 or so of them that are
/// allowed one is a good choice, and each further one is examined in every plan until the step is
/// placed.
pub(crate) const SHORT_ADVICE_WORKERS: usize = 40;
/// How much more capacity is asked about than is needed, because advice may be stale when it
/// arrives.
pub(crate) const ADVICE_CAPACITY_FACTOR: f64 = 1.5;
/// The factor by which the capacity that a call is expected to find must exceed what it asks about
/// to be ample: other steps take some of it during the half second of the call, and fewer workers
/// may be allowed than expected.
pub(crate) const ADVICE_AMPLE_CAPACITY_FACTOR: f64 = 8.0;
/// The minimum number of workers that a first call names.
pub(crate) const ADVICE_MIN_WORKERS: usize = 10;
/// The minimum time that a long call may spend on the workers that it names, as a fraction of its
/// base time.
pub(crate) const ADVICE_NAMED_FRACTION: f64 = 0.5;
/// The number of jobs with consecutive failed runs from which a worker may be quarantined.
pub(crate) const MIN_FAILED_JOBS_FOR_QUARANTINE: usize = 2;
/// The divisor that limits quarantine: at most one in this many workers of a service is quarantined
/// at a time. Two thirds carry a usual load, and where more than a third fails what it runs the
/// cause is rarely in the workers.
pub(crate) const MAX_QUARANTINED_DIVISOR: usize = 3;
/// How long a worker's failures count without another failure, from the end of its last quarantine.
/// It exceeds the run time of the longest tasks that are not long-running, so that a worker that
/// fails all of these is found.
pub(crate) const FAILURE_RETENTION: Millis = Millis(15_000);
/// How long after its last failure a quarantined worker gets a try where no other worker is left. A
/// run that fails does so immediately, and an answer takes tenths of a second.
pub(crate) const QUARANTINE_RETRY: Millis = Millis(1_000);
/// The maximum wait of a long-running task among other work before it is placed first. A call for
/// advice takes half a second of it. Long-running tasks are few compared with the others, which are
/// delayed by a tenth of a second by this.
pub(crate) const MAX_LONG_RUNNING_WAIT: Millis = Millis(1_000);
/// The same maximum wait for a task that has never run. Nothing is lost by its wait yet, so it
/// waits among the others for as long as its first start may take and still meet the deadline. On a
/// fleet with a quarter more demand than capacity, new long-running tasks would otherwise be placed
/// before all quick jobs.
pub(crate) const MAX_FIRST_RUN_WAIT: Millis = Millis(4_000);
/// The maximum number of steps with overdue tasks that a plan places first: half of those that it
/// reserves capacity for.
pub(crate) const MAX_OVERDUE_STEPS: usize = MAX_RESERVATIONS as usize / 2;
/// The number of examined workers after which a plan reserves no more capacity for such steps: the
/// examination budget of 40 ms.
pub(crate) const OVERDUE_EXAMINATION_BUDGET: u64 = EXAMINATIONS_PER_MS * 40;
/// How long each of these steps keeps its turn if there are more of them; half of them change at
/// the end of a turn. Capacity is freed by the end of a quick task, and a call for advice takes
/// half a second.
pub(crate) const OVERDUE_ROTATION_INTERVAL: Millis = Millis(1_000);
/// How long a worker is quarantined the first time. It is doubled each further time.
pub(crate) const QUARANTINE_TIME: Millis = Millis(4_000);
/// The maximum number of doublings. A longer quarantine delays the next try, without which nothing
/// shows that the worker is healthy again, and a job may be able to run nowhere else.
pub(crate) const MAX_QUARANTINE_DOUBLINGS: u32 = 1;
/// The divisor of the largest worker's capacity from which a task counts as large, so that capacity
/// is reserved for it. A smaller task fits into what the end of any run frees.
pub(crate) const LARGE_TASK_DIVISOR: u64 = 4;
/// The maximum number of steps waiting for the same workers for which a plan reserves capacity.
/// Each scans all workers, and later steps rarely find one that is not reserved already.
pub(crate) const MAX_RESERVATIONS: u32 = 20;
/// The divisor that limits the capacity reserved idle for waiting large tasks: at most one part in
/// this many of the total capacity of the eligible workers. With a quarter, a fleet that is less
/// than half full has as much again for other work.
pub(crate) const MAX_RESERVED_DIVISOR: u64 = 4;
/// The slack that a job must have for one of its runs to be preempted: the stop, a call for advice,
/// the restart from its checkpoint, and a wait for capacity as long as a batch task runs.
pub(crate) const MIN_PREEMPTION_SLACK: Millis = Millis(9_000);
/// The minimum run time of a task for which others are preempted. The stop, its end and the start
/// behind it take half a second, in which capacity is freed by itself for quicker tasks. Without
/// this minimum, quick tasks had 20 runs a second stopped at 80% load and were late as often.
pub(crate) const MIN_PREEMPTOR_RUN_TIME: Millis = Millis(1_500);
/// The slack below which a waiting job is placed before more urgent ones that have more: the time
/// of a call for advice, a commit and the wait for a stop.
pub(crate) const MAX_URGENT_SLACK: Millis = Millis(2_000);
/// How long a gang on a full fleet waits until all of its workers have freed enough capacity. Each of them frees
/// a task's share within about this time, since batch tasks run for some seconds.
pub(crate) const GANG_ASSEMBLY_TIME: Millis = Millis(1_500);
/// The factor of its objective after which hardly anyone waits for a job any more.
pub(crate) const MAX_LATE_FACTOR: u64 = 3;
/// How long after it can no longer be in time a step is served before those that have time. Callers wait for some
/// seconds or come back for the result within minutes, so no job may wait for longer than this behind newer ones.
pub(crate) const LATE_TURN_AFTER: Millis = Millis(30_000);
/// How long the rank of a step is kept, unless it is known to change earlier. Progress of its job, a new configuration,
/// a jump of the wall clock and a change of the shares of organisations show after that time.
pub(crate) const MAX_RANK_AGE: Millis = Millis(250);
/// The backoff of an unhealthy or full worker, during which it gets no work.
pub(crate) const WORKER_BACKOFF: Millis = Millis(700);
/// The minimum time over which the speed of a run is measured.
pub(crate) const MIN_SPEED_WINDOW: Millis = Millis(250);
/// How long a run must make no progress at all to count as stalled. Progress is reported in whole
/// percent, which takes the longest runs a tenth of a second each.
pub(crate) const NO_PROGRESS_WINDOW: Millis = Millis(700);
/// By what factor the remaining time of a run must exceed that elsewhere for the run to be moved.
/// The run times of a step's tasks differ by up to a third.
pub(crate) const STRAGGLER_FACTOR: f64 = 2.0;
/// The minimum age of a run that is moved, as the first part of a run may be slow.
pub(crate) const MIN_STRAGGLER_AGE: Millis = Millis(600);
/// The minimum number of other workers that must run a step to determine its expected speed.
pub(crate) const MIN_COMPARED_WORKERS: usize = 2;
/// The cost of moving or preempting a run besides the stop: two commits and often a call for advice.
pub(crate) const MOVE_COST: Millis = Millis(300);
/// The maximum number of times that a task is moved. A task that is slow on all these workers is
/// slow itself.
pub(crate) const MAX_MOVES_PER_TASK: usize = 2;
/// The fraction of the speed elsewhere, over all its runs, below which a worker counts as slow.
pub(crate) const SLOW_WORKER_SPEED_RATIO: f64 = 0.4;
/// How long a slow worker gets no new work.
pub(crate) const SLOW_WORKER_BACKOFF: Millis = Millis(2_500);
/// How long a worker that runs nothing is silent before it is forgotten.
pub(crate) const SILENT_WORKER_RETENTION: Millis = Millis(20_000);
/// How long a run counts as young, that is, may still crash its worker. Tasks that crash their
/// workers do so as they start or at their first checkpoint, and an end is known half a second
/// later.
pub(crate) const MAX_YOUNG_RUN_AGE: Millis = Millis(2_000);
/// How long a run survives to clear its task of earlier crashes: longer than all but long-running
/// tasks run. The job of a task that crashes its worker later than that is not given up, and the
/// task takes a worker down twice a minute at most.
pub(crate) const SUSPECT_CLEARED_AFTER: Millis = Millis(30_000);
/// The maximum time between workers that fall silent together. A renewal that waits shows a network
/// cut up to two seconds later than a start or stop does.
pub(crate) const SIMULTANEOUS_SILENCE_WINDOW: Millis = Millis(2_500);
/// The divisor of the number of all workers that gives how many must fall silent together to count
/// as such. Some fall silent at any time in a large fleet.
pub(crate) const SIMULTANEOUS_SILENCE_DIVISOR: usize = 100;
/// How far the recorded times of workers that are lost at the same moment lie apart at most, where
/// their connections break: the processing of hundreds of broken connections takes milliseconds.
pub(crate) const LOSS_TIME_RESOLUTION: Millis = Millis(15);
/// How far around the loss of a worker other losses are compared with it.
pub(crate) const LOSS_RETENTION: Millis = Millis(5_000);
/// How long the loss of a worker is kept: a loss is weighed again with those that followed it, once
/// another run of the same task is lost.
pub(crate) const LOSS_HISTORY: Millis = Millis(3 * LOSS_RETENTION.0);
/// The fraction of all workers that faulty tasks take down per second at most, without crashing them
/// at the same age.
pub(crate) const MAX_FAULT_LOSSES_PER_SECOND: f64 = 0.02;
/// How many times as many workers may be lost at one moment as at the moment of a loss that they are
/// compared with.
pub(crate) const MAX_CLUSTER_SIZE_RATIO: usize = 2;
/// The evidence that makes a loss count against a task, as the negative logarithm of the chance that
/// healthy tasks show as much.
pub(crate) const EVIDENCE_PER_CRASH: f64 = 4.0;
/// The evidence taken off for each lost run: what chance yields on average, and as much again, since
/// the pace may be underestimated.
pub(crate) const EVIDENCE_PER_HIT: f64 = 2.0;
/// The most evidence that one loss yields: workers crash now and then for reasons that are not seen
/// elsewhere.
pub(crate) const MAX_EVIDENCE_PER_LOSS: f64 = 8.0;
/// The fraction of the workers lost around a loss from which on they are a series.
pub(crate) const MIN_SERIES_FRACTION: f64 = 0.25;
/// The maximum chance to be hit by one loss of a series. Without a bound, a task at fault among a
/// few workers would crash more of them than are allowed.
pub(crate) const MAX_CHANCE_OF_ONE_LOSS: f64 = 0.022;
/// The divisor of the age of a run that gives by how much younger the other runs may be that the
/// same fault ends.
pub(crate) const MAX_RECURRENCE_AGE_DIVISOR: u64 = 3;
/// The maximum chance of a coincidence for a second loss at the same age to explain both by a fault.
pub(crate) const MAX_CHANCE_OF_RECURRENCE: f64 = 0.05;
/// How far the ages of two lost runs may lie apart for one fault of their task to be the likely
/// cause of both: the resolution of the time of each loss.
pub(crate) const SAME_AGE_TOLERANCE: Millis = Millis(30);
/// The minimum number of tasks that crashed their workers for a step to count as faulty as a whole.
/// With fewer, starting them all takes down at most as many workers, and no healthy job is delayed
/// by the check.
pub(crate) const MIN_SUSPECTS_FOR_FAULTY_STEP: usize = 4;
/// The minimum age of a run, by an answer of its worker, for other tasks of a faulty step to be
/// started beside it. Most tasks that crash their workers do so within milliseconds. Waiting until
/// the run is no longer young would delay a healthy step of five tasks by six seconds; a step whose
/// tasks all crash their workers after a second loses one or two more.
pub(crate) const SEEMS_HEALTHY_AGE: Millis = Millis(500);
/// The maximum number of runs on workers out of contact that other tasks of a faulty step need not
/// wait for. A worker that vanishes without breaking its connections may have crashed all the same,
/// which is known when its lease is over, five seconds later; a faulty step takes down four workers
/// in that time at most.
pub(crate) const MAX_RUNS_OUT_OF_CONTACT: usize = 3;
/// The interval at which jobs that ended long ago are dropped.
pub(crate) const CLEANUP_INTERVAL: Millis = Millis(5_000);
/// How long a long-running task waits before its wait is logged.
pub(crate) const MIN_LOGGED_WAIT: Millis = Millis(2_000);
/// The minimum interval between two wait log lines for one step.
pub(crate) const WAIT_LOG_INTERVAL: Millis = Millis(5_000);
/// The maximum number of wait log lines per second. Each examines all workers.
pub(crate) const MAX_WAIT_LINES_PER_SECOND: usize = 5;
/// The minimum interval between log lines about calls that show no organisation's key.
pub(crate) const KEY_REFUSED_LOG_INTERVAL: Millis = Millis(1_000);
/// The minimum interval between log lines about calls that came too late. A cut delivers all that it held at once.
pub(crate) const LATE_CALL_LOG_INTERVAL: Millis = Millis(1_000);
/// How long the leader knows what a call decided that one handed in before it must not change: that a job was cancelled
/// without having been accepted, or a zone drained. Calls handed in longer ago are refused. Callers wait for seconds; only a
/// frozen instance relays a call that is older.
pub(crate) const LATE_CALL_RETENTION: Millis = Millis(60_000);
/// The time after which callers that could not be served may retry.
pub(crate) const CALLER_RETRY_AFTER: Millis = Millis(300);
/// The half-life of the average of what an organisation uses. Batch and gang tasks run for 2 to 5 s:
/// a shorter one would follow the single gang, a longer one would charge for capacity that was
/// returned several runs ago.
pub(crate) const USAGE_HALF_LIFE: Millis = Millis(3_000);
/// The ratio of average usage to share from which an organisation is served after the others. A gang
/// of 90 cores of an organisation that is entitled to 56, a hundredth of 350 workers of 16 cores,
/// reaches 1.1 by its end after 5 s, and a backlog of gangs more than that.
pub(crate) const ABOVE_SHARE_RATIO: f64 = 1.5;
/// The same ratio for present usage, which shows a burst within tenths of a second, where the
/// average takes seconds. Demand that is no burst changes by up to 27% in waves.
pub(crate) const PRESENT_ABOVE_SHARE_RATIO: f64 = 1.3;
/// The part of the fleet that present usage must exceed the share by to count as above it. A single
/// gang takes 1.6% of 350 workers of 16 cores and is no burst, whatever the ratio of a small
/// organisation.
pub(crate) const MIN_PRESENT_EXCESS: f64 = 0.02;
/// The part of the shares of all others that an organisation may take before it is served after them,
/// if the ratios above allow it more. Even the worst served organisation is to get 0.85 of what the
/// whole does, and usage varies around the bound: with 0.15, an organisation with a tenth of the
/// weights got 0.77 of its share. One with a large share cannot reach the ratios above at all.
pub(crate) const MAX_TAKEN_FROM_OTHERS: f64 = 0.1;
/// The maximum that the average counts above the present usage, as a multiple of the share. An
/// organisation that has used idle capacity for long and now uses nothing is served like the others
/// again within a half-life.
pub(crate) const MAX_USAGE_DEBT: f64 = 2.0;
/// The minimum interval between two records of the usage, each of which is a command in the log.
pub(crate) const USAGE_RECORD_INTERVAL: Millis = Millis(5_000);
/// The minimum interval between two log lines about one organisation and its share.
pub(crate) const SHARE_LOG_INTERVAL: Millis = Millis(5_000);
/// The interval at which the capacity in contact is added up, which visits all workers. Without the
/// loss of a zone, it changes little in that time.
pub(crate) const SHARE_CAPACITY_INTERVAL: Millis = Millis(1_000);
/// How long a leader has had workers in contact before it refuses any job. Workers report within a
/// second of a change of leader; before that, the capacity of a few would be taken for that of the
/// fleet.
pub(crate) const ADMISSION_MEASURE_TIME: Millis = Millis(5_000);
/// The interval at which the capacity in contact and the rate of completed work are measured. Each
/// measurement visits all workers.
pub(crate) const ADMISSION_REFRESH_INTERVAL: Millis = Millis(250);
/// The same interval while no job has any work left.
pub(crate) const ADMISSION_IDLE_REFRESH_INTERVAL: Millis = Millis(1_000);
/// How long a backlog lasts before the rate of completed work is measured: work counts when a run
/// ends, so that a fleet that has just filled up seems to complete nothing.
pub(crate) const BACKLOG_SETTLING_TIME: Millis = Millis(5_000);
/// The half-life of the average rate of completed work: a few times the run time of a gang, since
/// a gang's work counts at its end only.
pub(crate) const EFFICIENCY_HALF_LIFE: Millis = Millis(10_000);
/// The half-life with which the assumed rate returns to the full capacity while nothing waits.
pub(crate) const EFFICIENCY_RECOVERY_HALF_LIFE: Millis = Millis(30_000);
/// The least fraction of the capacity that is assumed to become completed work. At the worst, 54%
/// of the cores were in use while steps waited; less is measured when the work that waits cannot
/// use the workers that are free, which is no reason to refuse other work.
pub(crate) const MIN_EFFICIENCY: f64 = 0.5;
/// By what factor the forecast wait may be too long: declared run times are off by up to half.
pub(crate) const FORECAST_MARGIN: f64 = 1.5;
/// The multiple of its objective after which the result of a job is worth nothing to its caller.
pub(crate) const WORTHLESS_FACTOR: u64 = 3;
/// The shortest forecast wait for which a job is refused. Shorter waits come about without any
/// backlog, by calls for advice and commits.
pub(crate) const MIN_REFUSED_WAIT: Millis = Millis(1_000);
/// The divisor of the capacity that gives how much is assumed to be freed at least, however much
/// long-running tasks take: some of them end.
pub(crate) const FREED_CAPACITY_DIVISOR: u64 = 10;
/// The shortest time after which the caller of a refused job is told to retry. Callers wait in whole
/// seconds, and instances tell a refusal by the leader from a missing leader by this time.
pub const MIN_REFUSAL_RETRY: Millis = Millis(1_000);
/// The longest time after which the caller of a refused job is told to retry. Callers make four
/// attempts, and the forecast for a longer time is uncertain.
pub(crate) const MAX_REFUSAL_RETRY: Millis = Millis(10_000);
/// The size up to which a job may take the last of the memory for jobs, in bytes. A job of some hundred tasks takes less.
pub(crate) const SMALL_JOB_FOOTPRINT: u64 = 64 << 10;
/// The divisor of the memory for jobs that gives what is kept for small ones: jobs of a few kilobytes are still accepted when
/// large ones have taken the rest.
pub(crate) const SMALL_JOB_MEMORY_DIVISOR: u64 = 4;
/// The time over which retries are spread, so that the callers of jobs that were refused together
/// do not return together.
pub(crate) const REFUSAL_RETRY_SPREAD: Millis = Millis(2_000);
/// How many refusals are kept to tell why a job was refused. An entry takes about 300 bytes.
pub(crate) const MAX_KEPT_REFUSALS: usize = 500;
/// The maximum number of log lines about refusals in a [`REFUSAL_LINE_WINDOW`].
pub(crate) const MAX_REFUSAL_LINES_PER_SECOND: usize = 5;
/// The time over which [`MAX_REFUSAL_LINES_PER_SECOND`] is counted.
pub(crate) const REFUSAL_LINE_WINDOW: Millis = Millis(1_000);
/// In how many parts a forecast divides the slack of a job to find out whether it can start in time
/// once earlier work has become late. Work that comes at a higher rate than it can be served always
/// leaves too much for the last part.
pub(crate) const SLACK_PARTS: u64 = 8;
