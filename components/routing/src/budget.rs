//! The retry budget: successes pay for retries, so that retries do not multiply the load during a
//! failure.

/// The cost of a retry, in units. A success earns one unit for each percent of allowed retries.
const RETRY_COST: u64 = 100;
/// The maximum number of retries that can be saved up. It limits the burst of retries when
/// upstreams begin to fail.
const MAX_SAVED_RETRIES: u64 = 20;

/// A budget of retries, as a share of recent successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: u64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries for each hundred successes, and a few to
    /// begin with.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { percent: u64::from(percent), balance: MAX_SAVED_RETRIES * RETRY_COST / 2 }
    }

    /// Changes the percentage and keeps the balance.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Records a success.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Pays for a retry. Returns false if the balance is too low.
    pub fn spend(&mut self) -> bool {
        if self.percent == 0 || self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
