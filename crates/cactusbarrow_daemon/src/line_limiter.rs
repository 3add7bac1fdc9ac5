//! Rate limit of log lines per call site.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Source location of a log statement: module path and line number.
pub type CallSite = (&'static str, u32);

/// Whether a log line is written or dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// The line is written.
    Write {
        /// Number of lines of the same call site dropped since its last written line.
        dropped: u64,
    },
    /// The line exceeds the rate limit of its call site.
    Drop,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

/// Token buckets that limit the rate and the burst of log lines per call site.
#[derive(Debug)]
pub struct LineLimiter {
    lines_per_second: f64,
    burst: f64,
    buckets: HashMap<CallSite, TokenBucket>,
}

impl LineLimiter {
    /// Creates a limiter that allows each call site `lines_per_second` and bursts of `burst` lines.
    pub fn new(lines_per_second: f64, burst: f64) -> Self {
        Self {
            lines_per_second,
            burst,
            buckets: HashMap::new(),
        }
    }

    /// Decides whether a line of `call_site` is written at time `now`.
    pub fn decide(&mut self, call_site: CallSite, now: Instant) -> LineVerdict {
        let bucket = self.buckets.entry(call_site).or_insert(TokenBucket {
            tokens: self.burst,
            refilled_at: now,
            dropped: 0,
        });
        let elapsed: Duration = now.saturating_duration_since(bucket.refilled_at);
        bucket.tokens =
            (bucket.tokens + elapsed.as_secs_f64() * self.lines_per_second).min(self.burst);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.dropped += 1;
            return LineVerdict::Drop;
        }
        bucket.tokens -= 1.0;
        LineVerdict::Write {
            dropped: std::mem::take(&mut bucket.dropped),
        }
    }
}
