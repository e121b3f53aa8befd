//! The catalogue of event kinds.

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Part of normal operation.
    Info,
    /// An operator should look into it, but not urgently.
    Warn,
    /// An operator should look into it immediately.
    Error,
}

/// A kind of event.
#[derive(Debug, PartialEq, Eq)]
pub struct Kind {
    /// The number, which never changes.
    pub number: u32,
    /// The name that log lines use.
    pub name: &'static str,
    /// The severity.
    pub level: Level,
    /// The meaning, as docs/events.md lists it.
    pub meaning: &'static str,
}

macro_rules! catalogue {
    ($($constant:ident = $number:literal $level:ident $name:literal $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $constant: Kind =
                Kind { number: $number, name: $name, level: Level::$level, meaning: $meaning };
        )*
        /// Every kind of event, in the order of the numbers.
        pub const CATALOGUE: &[&Kind] = &[$(&$constant),*];
    };
}

/// The kinds of events.
pub mod kinds {
    use super::{Kind, Level};
    catalogue! {
        INSTANCE_STARTED = 101 Info "instance_started" "An instance has started and listens.";
        INSTANCE_STOPPING = 102 Info "instance_stopping" "A planned stop began: nothing new is accepted.";
        INSTANCE_STOPPED = 103 Info "instance_stopped" "Everything under way has ended and the instance stops.";
        TAIL_CUT = 104 Warn "tail_cut" "An incomplete record that a crash left was cut from the end of the log.";
        DISK_FAILED = 105 Error "disk_failed" "A write or sync failed, so the process stops.";
        CAUGHT_UP = 106 Info "caught_up" "The instance has caught up with the cell and acts on its state.";
        CELL_FOUNDED = 201 Info "cell_founded" "All founding instances were empty and the cell was bootstrapped.";
        LEADER_ELECTED = 202 Info "leader_elected" "This instance leads the cell.";
        LEADER_RESIGNED = 203 Info "leader_resigned" "This instance no longer leads the cell.";
        MEMBERS_CHANGED = 204 Info "members_changed" "The members of the replicated log changed.";
        SNAPSHOT_INSTALLED = 205 Info "snapshot_installed" "The cell state was replaced by a snapshot from the leader.";
        LOG_COMPACTED = 206 Info "log_compacted" "The log was replaced by a snapshot up to an entry.";
        CONFIG_APPLIED = 301 Info "config_applied" "A configuration version is active on this instance.";
        JOB_CREATED = 302 Info "job_created" "A job was accepted.";
        JOB_CANCELLED = 303 Info "job_cancelled" "A job was cancelled.";
        JOB_ENDED = 304 Info "job_ended" "All tasks of a job have ended.";
        DRAIN_CHANGED = 305 Info "drain_changed" "An instance, upstream or availability zone was taken out of use or back in.";
        SHARE_MOVED = 306 Warn "share_moved" "Tasks of a cut-off zone were given to another zone.";
        EPOCH_GRANTED = 401 Info "epoch_granted" "An instance became the allocator of a zone.";
        EPOCH_RELEASED = 402 Info "epoch_released" "An allocator gave its zone back.";
        EPOCH_OUTDATED = 403 Warn "epoch_outdated" "A worker knows a newer epoch than this allocator.";
        ZONE_LEASE_LOST = 404 Warn "zone_lease_lost" "The leader no longer confirms the allocator: movable tasks are not renewed.";
        ZONE_LEASE_HELD = 405 Info "zone_lease_held" "The leader confirms the allocator.";
        WORKER_REPORTED = 501 Info "worker_reported" "A worker's first report under an epoch came in.";
        WORKER_LOST = 502 Warn "worker_lost" "A worker's lease has surely run out, or the platform took it away.";
        WORKER_ASIDE = 503 Warn "worker_aside" "A worker fails tasks of several jobs and is quarantined for a while.";
        TASK_STARTED = 601 Info "task_started" "A task was given to a worker.";
        TASK_ENDED = 602 Info "task_ended" "A task ended on its worker.";
        TASK_EVICTED = 603 Info "task_evicted" "A task is checkpointed and stopped for urgent work.";
        JOB_HOPELESS = 604 Warn "job_hopeless" "A job can never run; the reason is recorded.";
        TASK_TWICE = 605 Error "task_twice" "A worker reported a task that was placed on another one; it is stopped.";
        REQUEST_REFUSED = 701 Info "request_refused" "A caller's request was refused; it did not run.";
        REQUEST_UNKNOWN = 702 Warn "request_unknown" "A caller was told that its request may have run.";
        ANSWER_CROSSED = 703 Error "answer_crossed" "An upstream's answer was not for the request it came to; it was dropped and the connections closed.";
        UPSTREAM_LEAVING = 704 Info "upstream_leaving" "An upstream is leaving and gets nothing new.";
        LINK_REFUSED = 801 Warn "link_refused" "A test setting refuses the links to some instances.";
        MESSAGE_UNREADABLE = 802 Warn "message_unreadable" "A message from another process could not be read and was dropped.";
        NODE_STARTED = 901 Info "node_started" "A process that finds its cell by itself has started.";
        NODE_STOPPING = 902 Info "node_stopping" "The process was told to stop.";
        NODE_STOPPED = 903 Info "node_stopped" "The process ends.";
        SETTINGS_READ = 904 Info "settings_read" "The settings were read again and applied.";
        SETTINGS_REFUSED = 905 Error "settings_refused" "The settings were read again and are faulty; the previous ones stay active.";
        PROCESS_PANICKED = 906 Error "process_panicked" "The program panicked; the process exits so that it is restarted.";
        LOG_OPENED = 907 Info "log_opened" "The log was read back from the disk.";
        DISK_UNUSABLE = 908 Error "disk_unusable" "The disk cannot be written; the instance does not take part in the log until it can.";
        DISK_USABLE = 909 Info "disk_usable" "The disk can be used again and the instance catches up.";
        PROCESS_AWAY = 910 Warn "process_away" "The process was stalled for a while: its machine was suspended, or it was frozen.";
        LEADER_KNOWN = 911 Info "leader_known" "The process knows a new leader.";
        LEADER_LOST = 912 Warn "leader_lost" "No instance has reported a leader for a while.";
        TERM_BEGUN = 913 Info "term_begun" "This instance leads and its dispatcher begins.";
        TERM_ENDED = 914 Warn "term_ended" "This instance no longer leads; what its dispatcher had not committed is dropped.";
        VOTERS_CHANGED = 915 Info "voters_changed" "The voters or learners changed.";
        LINK_FAILED = 916 Warn "link_failed" "No link to another instance can be opened.";
        LOAD_TOLD = 917 Info "load_told" "The load of the leader, once a second.";
        LEADER_TIMINGS = 918 Info "leader_timings" "Where the leader's processor time went in the last second, and how long commits and answers to starts took.";
        CONFIG_TAKEN = 921 Info "config_taken" "A configuration with a higher version was proposed.";
        CONFIG_FAULTY = 922 Warn "config_faulty" "A configuration was refused or cannot be read.";
        KEY_REFUSED = 923 Warn "key_refused" "A call showed no key of an organisation at a queue that is not public; told once a second at most, with the fingerprint of what was shown.";
        ZONE_DRAINED = 924 Info "zone_drained" "An operator drained an availability zone: nothing new is started there.";
        ZONE_RESTORED = 925 Info "zone_restored" "An operator ended the draining of an availability zone.";
        JOB_ACCEPTED = 931 Info "job_accepted" "A job was proposed; its caller is answered once it is committed.";
        JOB_GIVEN_UP = 932 Info "job_given_up" "A caller cancelled its job.";
        JOB_OVER = 933 Info "job_over" "A job has ended.";
        CALL_REFUSED = 941 Info "call_refused" "A caller was told that nothing was done and when to retry.";
        CALL_UNSURE = 942 Warn "call_unsure" "A caller was told that its call may have been done.";
        REJECTION_REPLACED = 943 Info "rejection_replaced" "A repeated call is answered by what its earlier attempt did, though this attempt was rejected.";
        CALL_LATE = 944 Warn "call_late" "A call was held up on its way, as by a cut, and was not carried out: its caller's time limit has passed, or the job was cancelled or the zone given a later order meanwhile; told once a second at most, with how many were not logged.";
        CLIENT_TURNED_AWAY = 945 Warn "client_turned_away" "A client was turned away to keep the process within its memory and its connections: the cause, what the client waited for and held, and what all clients of the listener hold; told once a second at most for each cause, with how many were not logged.";
        RUN_PLACED = 951 Info "run_placed" "A task was given to a worker.";
        RUN_ENDED = 952 Info "run_ended" "A run has ended on its worker.";
        RUN_NOT_STARTED = 953 Warn "run_not_started" "A run that was given out surely never began.";
        RUN_STRAGGLES = 954 Info "run_straggles" "A run is stopped because it would finish sooner on another worker.";
        RUN_STRAY = 955 Warn "run_stray" "A worker lists a run that is not in the log; it is stopped.";
        ORDER_UNANSWERED = 956 Warn "order_unanswered" "A start got no answer; the task and its capacity stay reserved until its outcome is known.";
        RUN_PREEMPTED = 957 Info "run_preempted" "A run that keeps its progress and has time to spare is stopped for a more urgent gang or large task.";
        RUN_LOST = 958 Warn "run_lost" "A run was on a worker whose incarnation has ended, or whose lease has surely run out.";
        ANNOUNCEMENT_FAULTY = 959 Warn "announcement_faulty" "An announcement names no worker that can be used and is passed over; told once for each fault, then only counted.";
        WORKER_UNCONFIGURED = 960 Info "worker_unconfigured" "A worker belongs to no service of the configuration and is not called until one names it.";
        WORKER_JOINED = 961 Info "worker_joined" "A worker announced itself for the first time.";
        WORKER_LEAVES = 962 Info "worker_leaves" "A worker said that it is leaving and gets nothing new.";
        WORKER_REACHED = 963 Info "worker_reached" "A worker answers, for the first time or again: how many runs it lists, its clock, and the last of its ends that the log holds.";
        WORKER_SILENT = 964 Warn "worker_silent" "A worker does not answer and gets nothing new.";
        WORKER_LAPSED = 965 Warn "worker_lapsed" "A worker's lease has surely run out, with all that it ran.";
        WORKER_GONE = 966 Info "worker_gone" "An incarnation of a worker has ended.";
        WORKER_FAILING = 967 Warn "worker_failing" "A worker fails what it runs and gets nothing for a while.";
        WORKER_SLOW = 968 Warn "worker_slow" "A worker is far slower than others and gets nothing for a while.";
        WORKER_CRASHED = 969 Warn "worker_crashed" "A worker's life is over that had not said it would leave, with runs on it; their tasks are suspect.";
        WORKER_RESIZED = 970 Info "worker_resized" "A worker announced a different capacity than before.";
        ADVICE_ASKED = 971 Info "advice_asked" "An instance is to ask which workers may run a step.";
        ADVICE_MISSING = 972 Warn "advice_missing" "A call for advice got no answer.";
        TASK_WAITS = 973 Warn "task_waits" "A task that lasts has waited for a worker for a while; what stands against each worker is counted by cause.";
        GANG_TORN = 974 Warn "gang_torn" "A member counts as running while others of its gang wait, so that the gang cannot start again; looked for every five seconds.";
        LOSS_WEIGHED = 975 Info "loss_weighed" "The loss of a run with its worker was weighed: how the loss was detected, the age of the run, the evidence against it in hundredths, the evidence in all lost runs of its task, how many of them count from now on, and the losses of unrelated workers around it.";
        REPORT_INCOMPLETE = 976 Info "report_incomplete" "A report may not list all ended runs, and lists runs neither as running nor as ended that should be there: they are not judged before the rest is read.";
        ORGANISATION_ABOVE_SHARE = 980 Info "organisation_above_share" "While steps wait, an organisation uses far more than its share by weight and is served after the others, or no longer does; told at most every five seconds for each.";
        LINES_DROPPED = 981 Warn "lines_dropped" "Log lines were dropped because there were too many.";
        JOB_REFUSED = 990 Info "job_refused" "A job was refused because it would end too late to be worth anything: the forecast, what it was made from, and how many refusals before it were not logged.";
        JOB_REFUSED_FOR_MEMORY = 991 Warn "job_refused_for_memory" "A job was refused because the accepted jobs take up the memory for jobs: what it would take, what the others take, the limit for a job of its size, all in bytes, and how many refusals before it were not logged.";
    }
}

pub use kinds::CATALOGUE;

/// Returns the kind with the given number, if there is one.
pub fn find_kind(number: u32) -> Option<&'static Kind> {
    CATALOGUE.iter().copied().find(|k| k.number == number)
}
