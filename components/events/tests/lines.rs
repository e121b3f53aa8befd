//! Tests that log lines are written completely and in order, and that lines over the limit are dropped and
//! counted without blocking the writer.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use events::{Importance, LineQueue};

/// The largest write that a pipe takes as a whole.
const PIPE_BUF: usize = 4_096;

/// A stream whose content the test can read while it is written.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).to_string()
    }

    /// Waits until the text contains `part`, for at most a minute, and returns the text.
    fn wait_for(&self, part: &str) -> String {
        let started = Instant::now();
        while !self.text().contains(part) && started.elapsed() < Duration::from_secs(60) {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.text()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_come_out_in_order() {
    let out = SharedOutput::default();
    let queue = LineQueue::start(out.clone()).unwrap();
    for i in 0..20 {
        queue.push(Importance::Routine, format!("line {i}\n").into_bytes());
    }
    let text = out.wait_for("line 19\n");
    let wanted: String = (0..20).map(|i| format!("line {i}\n")).collect();
    assert_eq!(text, wanted);
}

#[test]
fn what_is_too_much_is_dropped_and_counted() {
    let out = SharedOutput::default();
    let queue = LineQueue::start(out.clone()).unwrap();
    for i in 0..20_000 {
        queue.push(Importance::Routine, format!("line {i}\n").into_bytes());
    }
    let text = out.wait_for("lines_dropped");
    assert!(text.starts_with("line 0\n"));
    assert!(text.contains("E981 lines_dropped - lines="));
    assert!(text.lines().count() < 10_000);
}

/// Guards against the loss of the lines that tell the state of a process in the seconds with the most lines.
#[test]
fn summaries_and_warnings_are_kept_among_too_many_routine_lines() {
    let out = SharedOutput::default();
    let queue = LineQueue::start(out.clone()).unwrap();
    for i in 0..20_000 {
        queue.push(Importance::Routine, format!("line {i}\n").into_bytes());
    }
    queue.push(Importance::Warning, b"a warning\n".to_vec());
    queue.push(Importance::Summary, b"a summary\n".to_vec());
    let text = out.wait_for("lines_dropped");
    assert!(text.contains("a warning\na summary\n"), "{text}");
}

/// A stream that takes no more of a write than a pipe takes as a whole, and loses the rest.
#[derive(Clone, Default)]
struct CutOutput(SharedOutput);

impl Write for CutOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.write(&bytes[..bytes.len().min(PIPE_BUF)])?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are cut in the middle where the stream takes only a part of a large write.
#[test]
fn no_line_is_torn_by_a_stream_that_cuts_large_writes() {
    let out = CutOutput::default();
    let queue = LineQueue::start(out.clone()).unwrap();
    for i in 0..190 {
        queue.push(Importance::Routine, format!("{i:099}\n").into_bytes());
    }
    queue.push(Importance::Summary, b"the last line\n".to_vec());
    let text = out.0.wait_for("the last line\n");
    let wanted: String = (0..190).map(|i| format!("{i:099}\n")).collect();
    assert_eq!(text, wanted + "the last line\n");
}
