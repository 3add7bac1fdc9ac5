//! Back-off between retries, and a budget that limits them per service.

use std::time::Duration;

use rand::Rng;

/// Exponential back-off with jitter over the upper half of each wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    base: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a back-off whose first wait is at most `base` and no wait exceeds `max`.
    pub const fn new(base: Duration, max: Duration) -> Self {
        Self { base, max }
    }

    /// Draws the wait before retry number `retry`, counted from 0.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let ceiling = self.base.saturating_mul(1 << retry.min(16)).min(self.max);
        let share = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        ceiling.mul_f64(0.5 + share / 2.0)
    }
}

/// Limits retries to a fraction of the requests.
///
/// Each request earns a fraction of a retry, so retries cannot multiply the
/// load on a service that fails for all requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: f64,
    max_balance: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget that earns `earned_per_request` retries, up to `max_balance`.
    pub fn new(earned_per_request: f64, max_balance: f64) -> Self {
        Self {
            earned_per_request,
            max_balance,
            balance: max_balance,
        }
    }

    /// Records one request that is not a retry.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.earned_per_request).min(self.max_balance);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
