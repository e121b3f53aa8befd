//! Findings: faults in user input, each with its position.

use std::fmt;
use std::sync::Arc;

use miette::Diagnostic;
use thiserror::Error;

/// The position of a fault, in a form that leads the user to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A command-line flag, without its dashes.
    Flag(Arc<str>),
    /// An environment variable.
    Variable(Arc<str>),
    /// A position in a file; line and column count from one.
    File {
        /// The path of the file as the user gave it.
        path: Arc<str>,
        /// The line, counted from one.
        line: usize,
        /// The column in characters, counted from one.
        column: usize,
    },
    /// A field of a call.
    Field(Arc<str>),
}

impl Place {
    /// Returns the position of byte `offset` in `text`, which was read from `path`.
    pub fn in_text(path: &str, text: &str, offset: usize) -> Place {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
        Place::File { path: path.into(), line, column }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Flag(name) => write!(f, "--{name}"),
            Place::Variable(name) => write!(f, "${name}"),
            Place::File { path, line, column } => write!(f, "{path}:{line}:{column}"),
            Place::Field(name) => write!(f, "field {name}"),
        }
    }
}

/// A fault with its position and, if known, what the user can do about it.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{place}: {message}")]
pub struct Finding {
    /// The position of the fault.
    pub place: Place,
    /// The description of the fault.
    pub message: String,
    /// A suggestion of what to write instead, if there is one.
    #[help]
    pub help: Option<String>,
}

impl Finding {
    /// Creates a finding without a suggestion.
    pub fn new(place: Place, message: impl Into<String>) -> Finding {
        Finding { place, message: message.into(), help: None }
    }

    /// Adds a suggestion of what to write instead.
    pub fn with_help(mut self, help: impl Into<String>) -> Finding {
        self.help = Some(help.into());
        self
    }
}

/// All faults of one input, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Diagnostic)]
#[error("{} found; nothing was started or changed", count(list.len()))]
pub struct Findings {
    /// The faults in the order in which they were found.
    #[related]
    pub list: Vec<Finding>,
}

fn count(n: usize) -> String {
    match n {
        1 => "1 fault".to_string(),
        n => format!("{n} faults"),
    }
}

impl Findings {
    /// Adds one finding.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    /// Returns all findings if there is at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }
}
