//! Tests that log lines are written completely and in order, and that lines over the limit are dropped and
//! counted without blocking the writer.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use events::LineQueue;

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
    let mut queue = LineQueue::start(out.clone()).unwrap();
    for i in 0..20 {
        queue.write_all(format!("line {i}\n").as_bytes()).unwrap();
        queue.flush().unwrap();
    }
    let text = out.wait_for("line 19\n");
    let wanted: String = (0..20).map(|i| format!("line {i}\n")).collect();
    assert_eq!(text, wanted);
}

#[test]
fn what_is_too_much_is_dropped_and_counted() {
    let out = SharedOutput::default();
    let mut queue = LineQueue::start(out.clone()).unwrap();
    for i in 0..20_000 {
        queue.write_all(format!("line {i}\n").as_bytes()).unwrap();
        queue.flush().unwrap();
    }
    let text = out.wait_for("lines_dropped");
    assert!(text.starts_with("line 0\n"));
    assert!(text.contains("E981 lines_dropped - lines="));
    assert!(text.lines().count() < 10_000);
}
