//! Rejects submissions of jobs that were cancelled after they were handed in.
//!
//! A cancel of an unknown id is acknowledged, as there is no such job. A submission that was handed in before may still be on
//! its way, and its caller no longer wants the job. The replicated state keeps the id; this module knows when it was
//! withdrawn, by the leader's monotonic clock. A caller who submits the job again after its cancel is served.

use std::collections::BTreeMap;

use clock::Millis;
use workload::{Command, JobId};

use crate::call::Answer;
use crate::dispatcher::Dispatcher;
use crate::input::Moment;
use crate::limits::{LATE_CALL_RETENTION, MIN_REFUSAL_RETRY};

/// When ids were withdrawn, as far as this leader knows.
#[derive(Clone, Debug)]
pub(crate) struct WithdrawalTimes {
    /// When this leader's term began. The withdrawals of earlier terms came before.
    term_began: Millis,
    /// The times of this term's withdrawals, by their numbers.
    by_number: BTreeMap<u64, Millis>,
    /// The latest withdrawal that was dropped for lack of space.
    dropped_until: Option<Millis>,
}

impl WithdrawalTimes {
    /// Creates the record of a leader that takes over. If there is no space left, the previous leader may have dropped
    /// withdrawals just now.
    pub(crate) fn new(now: Millis, is_full: bool) -> WithdrawalTimes {
        let dropped_until = is_full.then_some(now);
        WithdrawalTimes { term_began: now, by_number: BTreeMap::new(), dropped_until }
    }

    /// Returns when an id was withdrawn, or a somewhat later time.
    fn at(&self, number: u64) -> Millis {
        self.by_number.get(&number).copied().unwrap_or(self.term_began)
    }

    /// Returns whether a job that was handed in at `received_at` may have been withdrawn without being kept.
    fn may_be_forgotten(&self, now: Millis, received_at: Millis) -> bool {
        let dropped = self.dropped_until.is_some_and(|at| received_at <= at);
        dropped || now.since(received_at) >= LATE_CALL_RETENTION
    }
}

impl Dispatcher {
    /// Keeps the id of a job that is cancelled without having been accepted.
    pub(crate) fn withdraw(&mut self, m: Moment, id: JobId) {
        let withdrawals = self.replicated.withdrawals();
        let times = &mut self.withdrawal_times;
        match (withdrawals.number(id), withdrawals.oldest()) {
            (Some(number), _) => drop(times.by_number.remove(&number)),
            (None, Some(oldest)) if withdrawals.is_full() => {
                times.dropped_until = times.dropped_until.max(Some(times.at(oldest)));
                times.by_number.remove(&oldest);
            }
            _ => {}
        }
        self.propose(Command::Withdraw { id });
        let number = self.replicated.withdrawals().last_number();
        self.withdrawal_times.by_number.insert(number, m.now);
    }

    /// Returns a refusal if a job was, or may have been, cancelled after it was handed in. `received_at` is not known of calls
    /// that an instance of an earlier version relays.
    pub(crate) fn refuse_withdrawn(
        &mut self,
        m: Moment,
        id: JobId,
        received_at: Option<Millis>,
    ) -> Option<Answer> {
        let number = self.replicated.withdrawals().number(id);
        let withdrawn_at = number.map(|number| self.withdrawal_times.at(number));
        let cause = match (withdrawn_at, received_at) {
            (Some(_), None) => "withdrawn",
            (Some(at), Some(received_at)) if received_at <= at => "withdrawn",
            (_, Some(received_at))
                if self.withdrawal_times.may_be_forgotten(m.now, received_at) =>
            {
                "too_old"
            }
            _ => return None,
        };
        self.log_late_call(m, &id.to_string(), cause, received_at);
        // The caller is answered at once: another attempt of the same call would fare no better.
        Some(Answer::NotDone { retry_after: MIN_REFUSAL_RETRY })
    }

    /// Drops the ids that were withdrawn so long ago that no submission from before is accepted any more.
    pub(crate) fn forget_withdrawn(&mut self, m: Moment) {
        let is_old = |at: Millis| m.now.since(at) >= LATE_CALL_RETENTION;
        let withdrawals = self.replicated.withdrawals();
        let (oldest, last) = (withdrawals.oldest(), withdrawals.last_number());
        let times = &mut self.withdrawal_times;
        let is_old_number = |number: &u64| is_old(times.at(*number));
        let up_to = oldest.and_then(|oldest| (oldest..=last).take_while(is_old_number).last());
        // The ids of jobs that were submitted again are no longer among the withdrawn ones.
        times.by_number.retain(|_, at| !is_old(*at));
        if let Some(up_to) = up_to {
            self.propose(Command::ForgetWithdrawn { up_to });
        }
    }
}
