//! Writing to the standard output, which a reader such as `head` may close early.

use std::fmt::Arguments;
use std::io::Write;

/// Writes text; if nobody reads any more, the program is done.
pub fn write(text: Arguments<'_>) {
    let mut out = std::io::stdout().lock();
    if out.write_fmt(text).and_then(|()| out.flush()).is_err() {
        std::process::exit(0);
    }
}

/// Prints a line like `println!`, without a panic when the reader has gone.
macro_rules! say {
    ($($arg:tt)*) => { $crate::out::write(format_args!("{}\n", format_args!($($arg)*))) };
}
