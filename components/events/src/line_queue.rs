//! A bounded queue between the threads that log and the stream that the log is written to.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use errors::{Error, Result};

use crate::catalogue::kinds::LINES_DROPPED;

/// The number of lines that may wait to be written. At about 200 bytes a line, they take less than a megabyte.
const QUEUE_CAPACITY: usize = 4_096;
/// The maximum number of lines written per second. The busiest days seen need about 400, which a much smaller
/// value would drop.
const MAX_LINES_PER_SECOND: u64 = 2_000;
/// How often the lines that have gathered are written. One write for many lines costs far less than a write for
/// each.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// A writer of log lines that never blocks: lines that do not fit into the queue are dropped and counted.
pub struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes the lines to `out`.
    ///
    /// # Errors
    /// [`Error::Refused`] if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> Result<LineQueue> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_counter = dropped.clone();
        thread::Builder::new()
            .name("lines".into())
            .spawn(move || write_lines(&rx, out, &dropped_counter))
            .map_err(|e| Error::Refused(format!("cannot start a thread: {e}")))?;
        Ok(LineQueue { tx, line: Vec::new(), dropped })
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes the queued lines in batches, and a line with the number of lines dropped after each batch that has any.
fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write, dropped: &AtomicU64) {
    let max_lines = MAX_LINES_PER_SECOND * WRITE_INTERVAL.as_millis() as u64 / 1_000;
    while let Ok(first) = rx.recv() {
        let mut lines = first;
        let mut received = 1;
        let mut over_limit = 0;
        thread::sleep(WRITE_INTERVAL);
        while let Ok(line) = rx.try_recv() {
            match received < max_lines {
                true => lines.extend(line),
                false => over_limit += 1,
            }
            received += 1;
        }
        let dropped_lines = over_limit + dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let (number, name) = (LINES_DROPPED.number, LINES_DROPPED.name);
            lines.extend(
                format!("{} WARN E{number} {name} - lines={dropped_lines}\n", clock::wall_now().0)
                    .bytes(),
            );
        }
        // If the stream is closed, there is nowhere left to report the error.
        let _ = out.write_all(&lines);
        let _ = out.flush();
    }
}
