//! Reads the files that are named on the command line.

use std::path::Path;

use errors::{Result, io};

/// Returns the content of a text file.
///
/// # Errors
/// [`errors::Error::Io`] with the file's name if the file cannot be read.
pub fn read_text(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(io("read", Path::new(path)))
}
