//! The errors that a running program meets.

use std::path::{Path, PathBuf};

use miette::Diagnostic;
use thiserror::Error;

use crate::Findings;

/// The result type of fallible functions in heathvale.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong, in terms a user can act on.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// Written input was faulty.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Findings(#[from] Findings),
    /// A file could not be read or written.
    #[error("cannot {action} {}", path.display())]
    Io {
        /// What was tried, as a verb.
        action: &'static str,
        /// The file or folder concerned.
        path: PathBuf,
        /// The system's answer.
        #[source]
        source: std::io::Error,
    },
    /// A synced record no longer reads back as it was written.
    #[error("{} is damaged at byte {offset}: {reason}", path.display())]
    #[diagnostic(help(
        "move the data folder away and start again: the instance is then readmitted as a learner \
         and copies the state from its peers (docs/operators/repair.md)"
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Where the damaged record starts.
        offset: u64,
        /// What did not match.
        reason: String,
    },
    /// Bytes from outside did not decode.
    #[error("cannot decode {what}: {reason}")]
    Decode {
        /// What was being decoded.
        what: &'static str,
        /// Why it failed.
        reason: String,
    },
    /// A link to another process failed.
    #[error("cannot reach {target}: {reason}")]
    Unreachable {
        /// The process or address.
        target: String,
        /// Why it failed.
        reason: String,
    },
    /// The other side refused a call.
    #[error("refused: {0}")]
    Refused(String),
    /// A check of a demonstration or proof failed.
    #[error("check failed: {0}")]
    Check(String),
}

/// Adds the file and the action to an I/O error.
pub fn io(action: &'static str, path: &Path) -> impl FnOnce(std::io::Error) -> Error {
    let path = path.to_path_buf();
    move |source| Error::Io { action, path, source }
}
