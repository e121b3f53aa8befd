//! Sets up logging, as text for people or as JSON lines for programs.

use std::fmt::Write;

use clock::wall_now;
use errors::{Error, Result};
use log::LevelFilter;

use crate::catalogue::kinds::PROCESS_PANICKED;
use crate::catalogue::{Kind, Level};
use crate::line_queue::{Importance, LineQueue};
use log::kv::{Key, Value, VisitSource};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Starts logging to the standard error stream.
///
/// # Errors
/// [`Error::Refused`] if logging was already started.
pub fn start_logging(instance: &str, format: LogFormat, level: LevelFilter) -> Result<()> {
    let instance = instance.to_string();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("event", level)
        .level_for("heathvale", level)
        .format(move |out, message, record| {
            let line = match format {
                LogFormat::Text => text_line(&instance, message, record),
                LogFormat::Json => json_line(&instance, message, record),
            };
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|e| Error::Refused(e.to_string()))
}

/// Starts logging decisions to the standard output stream, one line each, through a queue that never blocks.
/// A line holds `wall time, level, E<number>, name, subject, details`.
///
/// # Errors
/// [`Error::Refused`] if logging was already started or the thread that writes cannot be started.
pub fn start_logging_to_stdout(level: LevelFilter) -> Result<()> {
    let queue = LineQueue::start(std::io::stdout())?;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(DECISION_TARGET, level)
        .level_for(SUMMARY_TARGET, level)
        .chain(fern::Output::call(move |record| {
            let line = format!("{} {} {}\n", wall_now().0, record.level(), record.args());
            queue.push(importance(record), line.into_bytes());
        }))
        .apply()
        .map_err(|e| Error::Refused(e.to_string()))
}

/// Installs a panic hook that logs each panic with its location and exits the process. Without it, the other
/// threads would keep a process alive that no longer does its work.
pub fn exit_on_panic() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let location = panic.location().map(ToString::to_string).unwrap_or_default();
        let what = panic.payload_as_str().unwrap_or_default();
        let thread = std::thread::current().name().unwrap_or_default().to_string();
        log_decision(&PROCESS_PANICKED, &location, &format!("thread={thread} what={what:?}"));
        previous_hook(panic);
        // Gives the queue time to write the line.
        std::thread::sleep(std::time::Duration::from_millis(300));
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

/// The exit code of a process that panicked, the same as that of Rust's runtime.
const PANIC_EXIT_CODE: i32 = 101;

/// The log target of decisions.
const DECISION_TARGET: &str = "decision";
/// The log target of periodic summaries.
const SUMMARY_TARGET: &str = "summary";

fn importance(record: &log::Record<'_>) -> Importance {
    match record.level() {
        _ if record.target() == SUMMARY_TARGET => Importance::Summary,
        log::Level::Error | log::Level::Warn => Importance::Warning,
        _ => Importance::Routine,
    }
}

/// Logs a decision as one line with its subject and the inputs that it was based on.
pub fn log_decision(kind: &'static Kind, subject: &str, details: &str) {
    log_line(DECISION_TARGET, kind, subject, details);
}

/// Logs a periodic summary as one line, which is the last to be dropped when there are too many lines.
pub fn log_summary(kind: &'static Kind, subject: &str, details: &str) {
    log_line(SUMMARY_TARGET, kind, subject, details);
}

fn log_line(target: &str, kind: &'static Kind, subject: &str, details: &str) {
    let level = match kind.level {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(target: target, level, "E{} {} {subject} {details}", kind.number, kind.name);
}

/// A visitor that calls a function with each key and value of a log record.
struct PairVisitor<F: FnMut(&str, String)>(F);

impl<'kvs, F: FnMut(&str, String)> VisitSource<'kvs> for PairVisitor<F> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        (self.0)(key.as_str(), value.to_string());
        Ok(())
    }
}

fn visit(record: &log::Record<'_>, f: impl FnMut(&str, String)) {
    // The visitor never fails.
    let _ = record.key_values().visit(&mut PairVisitor(f));
}

fn text_line(
    instance: &str,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
) -> String {
    let mut line = format!("{} {} {instance}", wall_now().0, record.level());
    let mut tail = String::new();
    visit(record, |key, value| match key {
        "number" => {
            let _ = write!(line, " E{value}");
        }
        "name" => {
            let _ = write!(line, " {value}:");
        }
        "order" => {}
        _ if value.is_empty() => {}
        _ => {
            let _ = write!(tail, " {key}={value}");
        }
    });
    let _ = write!(line, " {message}{tail}");
    line
}

fn json_line(
    instance: &str,
    message: &std::fmt::Arguments<'_>,
    record: &log::Record<'_>,
) -> String {
    let mut map = serde_json::Map::new();
    map.insert("wall_ms".into(), wall_now().0.into());
    map.insert("level".into(), record.level().as_str().into());
    map.insert("instance".into(), instance.into());
    map.insert("text".into(), message.to_string().into());
    visit(record, |key, value| {
        if value.is_empty() {
            return;
        }
        let number = value.parse::<u64>().ok().filter(|_| key == "number" || key == "order");
        map.insert(key.into(), number.map_or_else(|| value.clone().into(), Into::into));
    });
    serde_json::Value::Object(map).to_string()
}
