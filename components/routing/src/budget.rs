//! The retry budget: retries are paid for by successes, so that they never multiply a failure.

/// What one success pays for one percent of retries, in units; a retry costs [`RETRY_COST`].
const RETRY_COST: u64 = 100;
/// The most retries that can be saved up.
const MOST_SAVED: u64 = 20;

/// Retries allowed as a share of recent successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    saved: u64,
}

impl RetryBudget {
    /// Allows `percent` retries for each hundred successes, and a few to begin with.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { percent: u64::from(percent), saved: MOST_SAVED * RETRY_COST / 2 }
    }

    /// Changes the share and keeps what is saved.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Notes a success.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(MOST_SAVED * RETRY_COST);
    }

    /// Pays for a retry; gives false if there is nothing to pay with.
    pub fn spend(&mut self) -> bool {
        if self.percent == 0 || self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }
}
