//! Keeps the most recent events of a process and copies of those of other instances.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use clock::{Millis, wall_now};
use model::Name;
use serde::{Deserialize, Serialize};

use crate::catalogue::{Kind, Level, find_kind};
use crate::logical_clock::LogicalClock;

/// How many events a process keeps, and how many of its own may wait to be copied. The oldest are dropped
/// first.
const MAX_EVENTS: usize = 20_000;

/// The subject of an event. Fields that do not apply are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// The name of a job.
    pub job: String,
    /// The name of a task.
    pub task: String,
    /// The id or key of a caller's request.
    pub request: String,
}

impl Subject {
    /// Returns the subject of an event about a job.
    pub fn job(job: &impl std::fmt::Display) -> Subject {
        Subject { job: job.to_string(), ..Subject::default() }
    }

    /// Returns the subject of an event about a task and its job.
    pub fn task(task: &model::TaskId) -> Subject {
        let (job, task) = (task.job.to_string(), task.to_string());
        Subject { job, task, ..Subject::default() }
    }

    /// Returns the subject of an event about a request.
    pub fn request(request: &str) -> Subject {
        Subject { request: request.to_string(), ..Subject::default() }
    }
}

/// An event that a process has recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The position in the order of all processes' events, as given by a [`LogicalClock`].
    pub order: u64,
    /// The wall time at which it was recorded.
    pub wall: Millis,
    /// The process that recorded it.
    pub instance: Name,
    /// The kind of event.
    pub kind: &'static Kind,
    /// The description of what happened.
    pub text: String,
    /// The subject.
    pub subject: Subject,
}

/// An event as it is sent to the other instances of the zone, which keep it in case the process that recorded
/// it dies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCopy {
    order: u64,
    wall: Millis,
    instance: Name,
    number: u32,
    text: String,
    subject: Subject,
}

impl From<&Event> for EventCopy {
    fn from(e: &Event) -> EventCopy {
        EventCopy {
            order: e.order,
            wall: e.wall,
            instance: e.instance.clone(),
            number: e.kind.number,
            text: e.text.clone(),
            subject: e.subject.clone(),
        }
    }
}

impl EventCopy {
    /// Returns the event, or `None` if its kind is unknown because it is from a newer version.
    fn into_event(self) -> Option<Event> {
        let EventCopy { order, wall, instance, number, text, subject } = self;
        Some(Event { order, wall, instance, kind: find_kind(number)?, text, subject })
    }
}

/// Criteria for reading events. Fields that are empty or zero match every event.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only events after this position in the order.
    pub after: u64,
    /// Only events about this subject.
    pub subject: Subject,
    /// Only events at or after this wall time.
    pub from: Millis,
    /// Only events at or before this wall time; zero for no limit.
    pub to: Millis,
}

impl Filter {
    /// Returns whether an event matches all criteria.
    pub fn accepts(&self, event: &Event) -> bool {
        let same = |wanted: &str, actual: &str| wanted.is_empty() || wanted == actual;
        event.order > self.after
            && event.wall >= self.from
            && (self.to == Millis::ZERO || event.wall <= self.to)
            && same(&self.subject.job, &event.subject.job)
            && same(&self.subject.task, &event.subject.task)
            && same(&self.subject.request, &event.subject.request)
    }
}

#[derive(Debug, Default)]
struct State {
    /// By order and instance, so that an event that is added twice is kept once.
    events: BTreeMap<(u64, Name), Event>,
    /// The process's own events that have not been copied to other instances yet.
    uncopied: VecDeque<EventCopy>,
}

impl State {
    fn push(&mut self, event: Event) {
        self.events.insert((event.order, event.instance.clone()), event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_first();
        }
    }
}

/// The most recent events of this process, and copies of those of the other instances of its zone.
#[derive(Debug)]
pub struct Journal {
    instance: Name,
    clock: LogicalClock,
    state: Mutex<State>,
}

impl Journal {
    /// Creates an empty journal for the process named `instance`.
    pub fn new(instance: Name) -> Journal {
        Journal { instance, clock: LogicalClock::default(), state: Mutex::default() }
    }

    /// Returns the clock that orders this process's events and messages.
    pub fn clock(&self) -> &LogicalClock {
        &self.clock
    }

    /// Records an event in the journal and writes it to the log as one line.
    pub fn record(&self, kind: &'static Kind, subject: Subject, text: impl Into<String>) {
        let event = Event {
            order: self.clock.next(),
            wall: wall_now(),
            instance: self.instance.clone(),
            kind,
            text: text.into(),
            subject,
        };
        write_line(&event);
        let mut state = self.lock();
        state.uncopied.push_back(EventCopy::from(&event));
        if state.uncopied.len() > MAX_EVENTS {
            state.uncopied.pop_front();
        }
        state.push(event);
    }

    /// Removes and returns up to `max` of the process's own events that have not been copied yet.
    pub fn take_uncopied(&self, max: usize) -> Vec<EventCopy> {
        let mut state = self.lock();
        let n = state.uncopied.len().min(max);
        state.uncopied.drain(..n).collect()
    }

    /// Returns copies of all events kept, for an instance that has lost its own.
    pub fn all_copies(&self) -> Vec<EventCopy> {
        self.lock().events.values().map(EventCopy::from).collect()
    }

    /// Adds copies of another instance's events. They are not copied further.
    pub fn add_copies(&self, copies: Vec<EventCopy>) {
        let mut state = self.lock();
        copies.into_iter().filter_map(EventCopy::into_event).for_each(|e| state.push(e));
    }

    /// Returns the events that match `filter`, in their order.
    pub fn read(&self, filter: &Filter) -> Vec<Event> {
        self.lock().events.values().filter(|e| filter.accepts(e)).cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        // Ignores poisoning: a panic while the lock was held cannot have left the queues half changed.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn write_line(event: &Event) {
    let level = match event.kind.level {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(
        target: "event", level,
        number = event.kind.number,
        name = event.kind.name,
        order = event.order,
        job = event.subject.job.as_str(),
        task = event.subject.task.as_str(),
        request = event.subject.request.as_str();
        "{}", event.text
    );
}
