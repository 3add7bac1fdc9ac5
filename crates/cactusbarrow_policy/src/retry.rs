//! Limits on retries: a budget per service and waits between attempts.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    base: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose first wait is at most `base` and no wait is above `max`.
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

/// Allows retries in proportion to the requests that were made.
///
/// Each request earns a fraction of a retry, so retries cannot multiply the
/// load of a service that fails as a whole.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: f64,
    max_saved: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget that earns `earned_per_request` retries and saves at most `max_saved`.
    pub fn new(earned_per_request: f64, max_saved: f64) -> Self {
        Self {
            earned_per_request,
            max_saved,
            saved: max_saved,
        }
    }

    /// Records one request that is not a retry.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.earned_per_request).min(self.max_saved);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
