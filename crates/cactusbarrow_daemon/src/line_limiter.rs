//! Bounds the volume of logs per kind of line.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Tells kinds of lines apart: the module and line of the source that writes them.
pub type LineKind = (&'static str, u32);

/// What happens to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// Write it; `dropped` lines of its kind were left out before it.
    Write {
        /// Number of lines that were left out.
        dropped: u64,
    },
    /// Leave it out.
    Drop,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    tokens: f64,
    filled: Instant,
    dropped: u64,
}

/// Allows each kind of line a rate and a burst.
#[derive(Debug)]
pub struct LineLimiter {
    per_second: f64,
    burst: f64,
    kinds: HashMap<LineKind, Kind>,
}

impl LineLimiter {
    /// Creates a limiter of `per_second` lines of each kind, and `burst` at once.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            kinds: HashMap::new(),
        }
    }

    /// Decides whether a line of a kind is written now.
    pub fn decide(&mut self, kind: LineKind, now: Instant) -> LineVerdict {
        let entry = self.kinds.entry(kind).or_insert(Kind {
            tokens: self.burst,
            filled: now,
            dropped: 0,
        });
        let elapsed: Duration = now.saturating_duration_since(entry.filled);
        entry.tokens = (entry.tokens + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        entry.filled = now;
        if entry.tokens < 1.0 {
            entry.dropped += 1;
            return LineVerdict::Drop;
        }
        entry.tokens -= 1.0;
        LineVerdict::Write {
            dropped: std::mem::take(&mut entry.dropped),
        }
    }
}
