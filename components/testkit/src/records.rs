//! What a worker stand-in writes down of itself, so that a check can be made afterwards.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

use clock::{Millis, wall_now};
use errors::{Error, Result, io};
use serde::{Deserialize, Serialize};

/// What happened on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// The worker's process started; whatever ran before is gone.
    Boot,
    /// A task started.
    Start,
    /// A task ended or was stopped.
    End,
    /// A request began to run.
    Request,
    /// A request's answer was sent.
    Answer,
    /// A start was refused because it would not fit.
    Overcommit,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The wall clock; all stand-ins run on one machine.
    pub at: Millis,
    /// The worker.
    pub worker: String,
    /// What happened.
    pub kind: RecordKind,
    /// The task with its job's version, or the request's key or id.
    pub what: String,
    /// What it was about: a task's processors in thousandths, or the requests under way.
    pub amount: u64,
}

/// Writes records to a file, one JSON object a line.
#[derive(Debug)]
pub struct Recorder {
    worker: String,
    file: Option<File>,
}

impl Recorder {
    /// Opens a recorder. Without a path nothing is written.
    ///
    /// # Errors
    /// [`Error::Io`] if the file cannot be opened.
    pub fn open(worker: &str, path: Option<&Path>) -> Result<Recorder> {
        let open =
            |p: &Path| OpenOptions::new().create(true).append(true).open(p).map_err(io("open", p));
        let file = path.map(open).transpose()?;
        Ok(Recorder { worker: worker.to_string(), file })
    }

    /// Writes a record down.
    pub fn note(&mut self, kind: RecordKind, what: &str, amount: u64) {
        let Some(file) = &mut self.file else { return };
        let worker = self.worker.clone();
        let record = Record { at: wall_now(), worker, kind, what: what.to_string(), amount };
        if let Ok(mut line) = serde_json::to_vec(&record) {
            line.push(b'\n');
            // One write for each line, so that a kill leaves whole lines.
            let _ = file.write_all(&line);
        }
    }
}

/// Reads the records in a file.
///
/// # Errors
/// [`Error::Io`] or [`Error::Decode`] if the file is not what a recorder wrote.
pub fn read_records(path: &Path) -> Result<Vec<Record>> {
    let text = std::fs::read_to_string(path).map_err(io("read", path))?;
    let decode = |line: &str| {
        serde_json::from_str(line)
            .map_err(|e| Error::Decode { what: "a record", reason: e.to_string() })
    };
    text.lines().map(decode).collect()
}
