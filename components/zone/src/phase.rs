//! How tasks and workers stand, for operators.

/// How a task stands, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It waits until it is certain that it runs nowhere.
    Unaccounted,
    /// It waits for room.
    Waiting,
    /// It has a worker, which has not reported it yet.
    Starting,
    /// Its worker reports it.
    Running,
    /// It has ended; the cell does not know yet.
    Ending,
}

/// How a worker stands, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerPhase {
    /// It has not reported under this epoch.
    Unknown,
    /// It takes tasks.
    Open,
    /// It takes no new tasks: the platform or an operator is taking it out.
    Draining,
    /// It fails tasks and gets none for a while.
    Aside,
    /// It does not answer.
    Silent,
}
