//! The errors that can occur while a program runs.

use std::path::{Path, PathBuf};

use miette::Diagnostic;
use thiserror::Error;

use crate::Findings;

/// The result type of fallible functions in heathvale.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error, described in terms that a user can act on.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// User input had faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Findings(#[from] Findings),
    /// A file could not be read or written.
    #[error("cannot {action} {}", path.display())]
    Io {
        /// The attempted action, as a verb.
        action: &'static str,
        /// The affected file or folder.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A record that was synced to disk does not read back as it was written.
    #[error("{} is damaged at byte {offset}: {reason}", path.display())]
    #[diagnostic(help(
        "move the data folder away and start again: the instance is then readmitted as a learner \
         and copies the state from its peers (docs/operators/repair.md)"
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// The offset at which the damaged record starts.
        offset: u64,
        /// The check that failed.
        reason: String,
    },
    /// Bytes from outside the process could not be decoded.
    #[error("cannot decode {what}: {reason}")]
    Decode {
        /// What was being decoded.
        what: &'static str,
        /// The reason for the failure.
        reason: String,
    },
    /// A connection to another process failed.
    #[error("cannot reach {target}: {reason}")]
    Unreachable {
        /// The process or address that was called.
        target: String,
        /// The reason for the failure.
        reason: String,
    },
    /// The remote process refused a call.
    #[error("refused: {0}")]
    Refused(String),
    /// A check of a demonstration or test tool failed.
    #[error("check failed: {0}")]
    Check(String),
}

/// Adds the file and the action to an I/O error.
pub fn io(action: &'static str, path: &Path) -> impl FnOnce(std::io::Error) -> Error {
    let path = path.to_path_buf();
    move |source| Error::Io { action, path, source }
}
