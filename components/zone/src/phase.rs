//! The phases of tasks and workers, as shown to operators.

/// The phase of a task, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task may have been started by an earlier epoch, and waits until it is certain that it runs nowhere.
    Unaccounted,
    /// The task waits for free capacity.
    Waiting,
    /// The task is placed on a worker that has not reported it yet.
    Starting,
    /// The task's worker reports it as running.
    Running,
    /// The task has ended, but the cell has not recorded that yet.
    Ending,
}

/// The phase of a worker, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerPhase {
    /// The worker has not reported under this epoch.
    Unknown,
    /// The worker takes new tasks.
    Open,
    /// The worker takes no new tasks, because it is leaving, or an operator has drained it or its zone.
    Draining,
    /// The worker has failed tasks and gets none for a while.
    Quarantined,
    /// The worker does not answer calls.
    Silent,
}
