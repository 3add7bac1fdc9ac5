//! A retry budget that all gateways share.
//!
//! Load pattern: a zone of engines ends, and each gateway has a few generations to
//! resume at the same moment. Equal shares of the budget leave some gateways short
//! while most of it is unused, so each counts what all of them used lately.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Intervals in which a window is counted.
const BUCKETS: u32 = 20;

/// Requests and retries of one service within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCount {
    /// Requests, without their retries.
    pub requests: u64,
    /// Sends of a request beyond its first.
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
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio.
    pub slack: f64,
}

/// What one gateway counted for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<(Instant, RetryCount)>,
}

impl RetryWindow {
    /// Records a request that is no retry.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Instant) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes one retry if all gateways together have one left.
    ///
    /// `peers` is what the others counted in the same window.
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

    /// Returns what was counted in the window that ends now.
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
        let width = limits.window / BUCKETS;
        let is_current = self
            .buckets
            .back()
            .is_some_and(|(start, _)| now.saturating_duration_since(*start) < width);
        if !is_current {
            self.buckets.push_back((now, RetryCount::default()));
        }
        // A bucket was pushed if there was none.
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }
}
