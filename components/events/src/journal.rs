//! The last events of one process.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use clock::{Millis, wall_now};
use model::Name;
use serde::{Deserialize, Serialize};

use crate::catalogue::{Kind, Level, find_kind};
use crate::logical_clock::LogicalClock;

/// How many events a process keeps.
const KEPT: usize = 20_000;

/// What an event is about. Fields that do not apply are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// A job's name.
    pub job: String,
    /// A task's name.
    pub task: String,
    /// A caller's request id or key.
    pub request: String,
}

impl Subject {
    /// About a job.
    pub fn job(job: &impl std::fmt::Display) -> Subject {
        Subject { job: job.to_string(), ..Subject::default() }
    }

    /// About a task.
    pub fn task(task: &model::TaskId) -> Subject {
        let (job, task) = (task.job.to_string(), task.to_string());
        Subject { job, task, ..Subject::default() }
    }

    /// About a request.
    pub fn request(request: &str) -> Subject {
        Subject { request: request.to_string(), ..Subject::default() }
    }
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its place in the order of all processes' events.
    pub order: u64,
    /// The wall clock.
    pub wall: Millis,
    /// The process that noted it.
    pub instance: Name,
    /// What kind it is.
    pub kind: &'static Kind,
    /// What happened, in words.
    pub text: String,
    /// What it is about.
    pub subject: Subject,
}

/// An event as it travels to the other instances of the zone, which keep it for the case that its
/// own process dies.
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
    /// Gives the event, unless its kind is from a newer version.
    fn event(self) -> Option<Event> {
        let EventCopy { order, wall, instance, number, text, subject } = self;
        Some(Event { order, wall, instance, kind: find_kind(number)?, text, subject })
    }
}

/// Which events are asked for. Empty fields ask for all.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only events behind this place in the order.
    pub after: u64,
    /// Only events about these.
    pub subject: Subject,
    /// Only events from this wall time on.
    pub from: Millis,
    /// Only events up to this wall time; zero for no end.
    pub to: Millis,
}

impl Filter {
    /// Tells whether an event is asked for.
    pub fn accepts(&self, event: &Event) -> bool {
        let same = |asked: &str, is: &str| asked.is_empty() || asked == is;
        event.order > self.after
            && event.wall >= self.from
            && (self.to == Millis::ZERO || event.wall <= self.to)
            && same(&self.subject.job, &event.subject.job)
            && same(&self.subject.task, &event.subject.task)
            && same(&self.subject.request, &event.subject.request)
    }
}

#[derive(Debug, Default)]
struct Kept {
    /// By order and instance, so that an event that comes twice is kept once.
    events: BTreeMap<(u64, Name), Event>,
    /// Own events that no copy was made of yet.
    uncopied: VecDeque<EventCopy>,
}

impl Kept {
    fn push(&mut self, event: Event) {
        self.events.insert((event.order, event.instance.clone()), event);
        if self.events.len() > KEPT {
            self.events.pop_first();
        }
    }
}

/// The last events of this process, and copies of those of its zone's other instances.
#[derive(Debug)]
pub struct Journal {
    instance: Name,
    clock: LogicalClock,
    kept: Mutex<Kept>,
}

impl Journal {
    /// Makes an empty journal for the process named `instance`.
    pub fn new(instance: Name) -> Journal {
        Journal { instance, clock: LogicalClock::default(), kept: Mutex::default() }
    }

    /// Gives the clock that orders this process's events and messages.
    pub fn clock(&self) -> &LogicalClock {
        &self.clock
    }

    /// Notes an event: into the journal, and as one line into the log.
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
        let mut kept = self.lock();
        kept.uncopied.push_back(EventCopy::from(&event));
        if kept.uncopied.len() > KEPT {
            kept.uncopied.pop_front();
        }
        kept.push(event);
    }

    /// Gives up to `most` own events that no copy was made of yet.
    pub fn take_uncopied(&self, most: usize) -> Vec<EventCopy> {
        let mut kept = self.lock();
        let n = kept.uncopied.len().min(most);
        kept.uncopied.drain(..n).collect()
    }

    /// Gives copies of all that is kept, for an instance that has lost its own.
    pub fn all_copies(&self) -> Vec<EventCopy> {
        self.lock().events.values().map(EventCopy::from).collect()
    }

    /// Keeps copies of another instance's events.
    pub fn add_copies(&self, copies: Vec<EventCopy>) {
        let mut kept = self.lock();
        copies.into_iter().filter_map(EventCopy::event).for_each(|e| kept.push(e));
    }

    /// Gives the events that `filter` asks for, in their order.
    pub fn read(&self, filter: &Filter) -> Vec<Event> {
        self.lock().events.values().filter(|e| filter.accepts(e)).cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Kept> {
        // A panic while the lock was held cannot leave the queues half changed.
        self.kept.lock().unwrap_or_else(|e| e.into_inner())
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
