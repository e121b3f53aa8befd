//! Writes to the standard output, which a reader such as `head` may close early.

use std::fmt::Arguments;
use std::io::Write;

/// Writes text and exits the process with code 0 if the reader has closed the stream.
pub fn write(text: Arguments<'_>) {
    let mut out = std::io::stdout().lock();
    if out.write_fmt(text).and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

/// Prints a line like `println!`, but does not panic if the reader has closed the stream.
macro_rules! outln {
    ($($arg:tt)*) => { $crate::output::write(format_args!("{}\n", format_args!($($arg)*))) };
}
