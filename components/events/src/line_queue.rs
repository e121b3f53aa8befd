//! A bounded queue between the threads that log and the stream that the log is written to.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use errors::{Error, Result};

use crate::catalogue::kinds::LINES_DROPPED;

/// The number of lines that may wait to be written. At about 200 bytes a line, they take less than a megabyte.
const QUEUE_CAPACITY: usize = 4_096;
/// How many more may wait if they are more important than [`Importance::Routine`].
const RESERVED_CAPACITY: usize = 512;
/// The maximum number of lines written per second, as docs/OPERATIONS.md states it.
const MAX_LINES_PER_SECOND: u64 = 2_000;
/// How often the lines that have gathered are written. One write for many lines costs far less than a write for
/// each.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum size of a write that consists of several lines: a pipe takes a write of up to this size (`PIPE_BUF`)
/// as a whole or not at all, so that no line is cut.
const MAX_WRITE_BYTES: usize = 4_096;

/// How important a line is when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// A periodic summary of the state, which explains the lines that are missing.
    Summary,
    /// A warning or an error.
    Warning,
    /// Any other line.
    Routine,
}

struct Line {
    importance: Importance,
    text: Vec<u8>,
}

#[derive(Default)]
struct Waiting {
    lines: Vec<Line>,
    dropped: u64,
    /// Whether the queue was dropped, so that no more lines will come.
    closed: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        // Ignores poisoning: a panic while the lock was held cannot have left a line half added.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queue of log lines that never waits for the stream: lines over its bounds are dropped and counted, the least
/// important ones first.
pub struct LineQueue {
    shared: Arc<Shared>,
}

impl LineQueue {
    /// Starts the thread that writes the lines to `out`.
    ///
    /// # Errors
    /// [`Error::Refused`] if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> Result<LineQueue> {
        let shared = Arc::new(Shared::default());
        let writer = shared.clone();
        thread::Builder::new()
            .name("lines".into())
            .spawn(move || write_lines(&writer, out))
            .map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))?;
        Ok(LineQueue { shared })
    }

    /// Adds a line, which includes its line end.
    pub fn push(&self, importance: Importance, text: Vec<u8>) {
        let mut waiting = self.shared.lock();
        let capacity = match importance {
            Importance::Routine => QUEUE_CAPACITY,
            Importance::Summary | Importance::Warning => QUEUE_CAPACITY + RESERVED_CAPACITY,
        };
        if waiting.lines.len() >= capacity {
            waiting.dropped += 1;
            return;
        }
        waiting.lines.push(Line { importance, text });
        if waiting.lines.len() == 1 {
            self.shared.changed.notify_one();
        }
    }
}

impl Drop for LineQueue {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_one();
    }
}

/// Writes the queued lines in batches, and a line with the number of lines dropped after each batch that has any.
fn write_lines(shared: &Shared, mut out: impl Write) {
    let max_lines = (MAX_LINES_PER_SECOND * WRITE_INTERVAL.as_millis() as u64 / 1_000) as usize;
    loop {
        let mut waiting = shared.lock();
        while waiting.lines.is_empty() {
            if waiting.closed {
                return;
            }
            waiting = shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
        }
        drop(waiting);
        thread::sleep(WRITE_INTERVAL);
        let Waiting { lines, mut dropped, .. } = {
            let mut waiting = shared.lock();
            let closed = waiting.closed;
            std::mem::replace(&mut *waiting, Waiting { closed, ..Waiting::default() })
        };
        let total = lines.len();
        let mut kept = most_important(lines, max_lines);
        dropped += (total - kept.len()) as u64;
        if dropped > 0 {
            let (number, name) = (LINES_DROPPED.number, LINES_DROPPED.name);
            let now = clock::wall_now().0;
            kept.push(format!("{now} WARN E{number} {name} - lines={dropped}\n").into_bytes());
        }
        let lost = write_whole(&mut out, &kept);
        shared.lock().dropped += lost;
    }
}

/// Returns the most important lines, in the order in which they were logged.
fn most_important(lines: Vec<Line>, max_lines: usize) -> Vec<Vec<u8>> {
    let mut by_importance: Vec<usize> = (0..lines.len()).collect();
    by_importance.sort_by_key(|i| lines[*i].importance);
    let mut is_kept = vec![false; lines.len()];
    by_importance.into_iter().take(max_lines).for_each(|i| is_kept[i] = true);
    let kept = lines.into_iter().zip(is_kept).filter(|(_, is_kept)| *is_kept);
    kept.map(|(line, _)| line.text).collect()
}

/// Writes lines, as many at a time as a pipe takes as a whole. Returns how many could not be written.
fn write_whole(out: &mut impl Write, lines: &[Vec<u8>]) -> u64 {
    let mut lost = 0;
    let mut rest = lines;
    while !rest.is_empty() {
        let mut size = 0;
        let fits = |line: &&Vec<u8>| {
            size += line.len();
            size <= MAX_WRITE_BYTES
        };
        let count = rest.iter().take_while(fits).count().max(1);
        let (batch, others) = rest.split_at(count);
        if out.write_all(&batch.concat()).and_then(|()| out.flush()).is_err() {
            lost += count as u64;
        }
        rest = others;
    }
    lost
}
