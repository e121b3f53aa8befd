//! Rejects calls that reach the leader after their callers' time limits, and logs all calls that come too late.
//!
//! A partition may hold a call for seconds and deliver it when it ends. By then its caller has been told that the outcome is
//! unknown and may have cancelled the job, or restored the zone, through another instance. docs/design/platform.md, "Calls that
//! are held up", has the reasons.

use clock::Millis;
use events::kinds;

use crate::call::{Answer, Call, CallTimes};
use crate::dispatcher::Dispatcher;
use crate::input::{Moment, Token};
use crate::limits::{CALLER_RETRY_AFTER, LATE_CALL_LOG_INTERVAL};

/// The late calls of this leader's term.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LateCalls {
    pub(crate) total: u64,
    /// The number of late calls without a log line since the last one with a line.
    not_logged: u64,
    /// The earliest time for the next log line.
    next_line_at: Millis,
}

impl Dispatcher {
    /// Handles an attempt of a call unless its time limit has passed.
    pub(crate) fn on_timed_call(
        &mut self,
        m: Moment,
        token: Token,
        call: Call,
        repeated: bool,
        times: CallTimes,
    ) {
        if m.now > times.deadline {
            self.log_late_call(m, &call.subject(), "time_limit", Some(times.received_at));
            // Nothing was proposed, so this attempt has certainly not been carried out.
            self.reply_now(token, Answer::NotDone { retry_after: CALLER_RETRY_AFTER });
            return;
        }
        match repeated {
            false => self.on_call(m, token, call, Some(times.received_at)),
            true => self.on_repeated_call(m, token, call, Some(times.received_at)),
        }
    }

    /// Counts a late call and logs it with its age, unless one was logged just now.
    pub(crate) fn log_late_call(
        &mut self,
        m: Moment,
        subject: &str,
        cause: &str,
        received_at: Option<Millis>,
    ) {
        self.late_calls.total += 1;
        if m.now < self.late_calls.next_line_at {
            self.late_calls.not_logged += 1;
            return;
        }
        self.late_calls.next_line_at = m.now + LATE_CALL_LOG_INTERVAL;
        let not_logged = std::mem::take(&mut self.late_calls.not_logged);
        let age = received_at.map_or("unknown".into(), |at| m.now.since(at).0.to_string());
        let term = self.term;
        let details = format!("why={cause} age_ms={age} not_logged={not_logged} term={term}");
        self.log_event(&kinds::CALL_LATE, subject, details);
    }
}
