//! A bounded queue between those who log and the stream that is logged to.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use errors::{Error, Result};

use crate::catalogue::kinds::LINES_DROPPED;

/// How many lines may wait. At some two hundred bytes a line that is well under a megabyte.
const WAITING: usize = 4_096;
/// The most lines that are written in a second; the busiest days seen need some four hundred.
const LINES_A_SECOND: u64 = 2_000;
/// How often what has gathered is written. One write for many lines costs far less than one each.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Takes lines and never waits: what does not fit is dropped and counted.
pub struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// [`Error::Refused`] if no thread can be had.
    pub fn start(out: impl Write + Send + 'static) -> Result<LineQueue> {
        let (tx, rx) = sync_channel(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new()
            .name("lines".into())
            .spawn(move || write_all(&rx, out, &counted))
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

fn write_all(rx: &Receiver<Vec<u8>>, mut out: impl Write, dropped: &AtomicU64) {
    let most = LINES_A_SECOND * WRITE_EVERY.as_millis() as u64 / 1_000;
    while let Ok(first) = rx.recv() {
        let mut lines = first;
        let mut taken = 1;
        let mut over = 0;
        thread::sleep(WRITE_EVERY);
        while let Ok(line) = rx.try_recv() {
            match taken < most {
                true => lines.extend(line),
                false => over += 1,
            }
            taken += 1;
        }
        let lost = over + dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let (number, name) = (LINES_DROPPED.number, LINES_DROPPED.name);
            lines.extend(
                format!("{} WARN E{number} {name} - lines={lost}\n", clock::wall_now().0).bytes(),
            );
        }
        // Nobody is left to tell if the stream is closed.
        let _ = out.write_all(&lines);
        let _ = out.flush();
    }
}
