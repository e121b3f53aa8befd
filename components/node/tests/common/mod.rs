//! The parts of a configuration that the random schedules share.

use clock::Millis;
use workload::{Queue, Service};

/// Returns the queue at `h/q/`, for callers of any organisation.
pub fn queue() -> Queue {
    Queue {
        name: "q".into(),
        host: "h".into(),
        path_prefix: "/q/".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_latency: Millis(250),
        advice: None,
        public: false,
    }
}

/// Returns the service of the queue.
pub fn service() -> Service {
    Service { name: "s".into(), checks_capacity: false, max_connections: 8 }
}
