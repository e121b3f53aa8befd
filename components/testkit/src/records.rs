//! The records that a simulated worker writes, which are checked after a run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use clock::{Millis, wall_now};
use errors::{Error, Result, io};
use serde::{Deserialize, Serialize};

/// The kind of event on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// The worker's process started; all tasks of an earlier process have ended.
    Boot,
    /// A task started.
    Start,
    /// A task ended by itself or was stopped.
    End,
    /// A request started to run.
    Request,
    /// A request's answer was sent.
    Answer,
    /// A start was refused because the task did not fit into the free capacity.
    Overcommit,
}

/// One event on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The wall-clock time. Times of different workers compare, since all of them run on one machine.
    pub at: Millis,
    /// The name of the worker.
    pub worker: String,
    /// The kind of event.
    pub kind: RecordKind,
    /// The task and its generation, or the request's key or id.
    pub what: String,
    /// The CPU of the task (or, at boot, of the worker) in thousandths of a core, or the number of requests in flight.
    pub amount: u64,
}

/// A writer that appends records to a file as JSON lines.
#[derive(Debug)]
pub struct Recorder {
    worker: String,
    file: Option<File>,
}

impl Recorder {
    /// Opens a recorder that appends to the file at `path`, or one that discards records without a path.
    ///
    /// # Errors
    /// [`Error::Io`] if the file cannot be opened.
    pub fn open(worker: &str, path: Option<&Path>) -> Result<Recorder> {
        let open =
            |p: &Path| OpenOptions::new().create(true).append(true).open(p).map_err(io("open", p));
        let file = path.map(open).transpose()?;
        Ok(Recorder { worker: worker.to_string(), file })
    }

    /// Appends a record with the current time. Write errors are ignored.
    pub fn note(&mut self, kind: RecordKind, what: &str, amount: u64) {
        let Some(file) = &mut self.file else { return };
        let worker = self.worker.clone();
        let record = Record { at: wall_now(), worker, kind, what: what.to_string(), amount };
        if let Ok(mut line) = serde_json::to_vec(&record) {
            line.push(b'\n');
            // Each line is a single write, so that a killed process leaves only complete lines.
            let _ = file.write_all(&line);
        }
    }
}

/// Reads all records from a file.
///
/// # Errors
/// [`Error::Io`] or [`Error::Decode`] if the file cannot be read or a line is not a record.
pub fn read_records(path: &Path) -> Result<Vec<Record>> {
    let text = std::fs::read_to_string(path).map_err(io("read", path))?;
    let decode = |line: &str| {
        serde_json::from_str(line)
            .map_err(|e| Error::Decode { what: "a record", reason: e.to_string() })
    };
    text.lines().map(decode).collect()
}
