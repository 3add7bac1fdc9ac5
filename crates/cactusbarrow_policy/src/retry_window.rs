//! Retry budget that all gateways share.
//!
//! Load pattern: a zone of engines fails, and each gateway has a few generations to resume
//! at the same moment. Equal shares of the budget would leave some gateways without retries
//! while most of the budget is unused, so each counts the recent retries of all gateways.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of intervals into which a window is divided for counting.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Requests and retries of one service within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCount {
    /// Number of requests, without their retries.
    pub requests: u64,
    /// Number of attempts beyond the first of each request.
    pub retries: u64,
}

impl std::ops::AddAssign for RetryCount {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.retries += other.retries;
    }
}

/// Limits of [`RetryWindow`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Length of the window.
    pub window: Duration,
    /// Number of retries allowed for each request in the window.
    pub ratio: f64,
    /// Number of retries allowed in addition to the ratio.
    pub slack: f64,
}

/// Requests and retries that one gateway counted for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<(Instant, RetryCount)>,
}

impl RetryWindow {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Instant) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes one retry from the budget, if one is left; returns whether it was taken.
    ///
    /// `peers` is the sum of the other gateways' counts in the same window.
    pub fn try_retry(&mut self, limits: &RetryLimits, peers: RetryCount, now: Instant) -> bool {
        let mut all = self.count(limits, now);
        all += peers;
        let allowed = limits.ratio * all.requests as f64 + limits.slack;
        if (all.retries + 1) as f64 > allowed {
            return false;
        }
        self.bucket(limits, now).retries += 1;
        true
    }

    /// Returns the counts of the window that ends at `now`.
    pub fn count(&mut self, limits: &RetryLimits, now: Instant) -> RetryCount {
        while let Some((start, _)) = self.buckets.front()
            && now.saturating_duration_since(*start) >= limits.window
        {
            self.buckets.pop_front();
        }
        let mut sum = RetryCount::default();
        for (_, count) in &self.buckets {
            sum += *count;
        }
        sum
    }

    fn bucket(&mut self, limits: &RetryLimits, now: Instant) -> &mut RetryCount {
        let width = limits.window / BUCKETS_PER_WINDOW;
        let is_current = self
            .buckets
            .back()
            .is_some_and(|(start, _)| now.saturating_duration_since(*start) < width);
        if !is_current {
            self.buckets.push_back((now, RetryCount::default()));
        }
        // There is at least one bucket, because one was pushed if there was none.
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }
}
