//! Decides whether a generation can still be completed before its caller leaves.
//!
//! Load pattern: all hosts lose power at the same moment. Callers keep connections
//! that have lost their other end, notice it many seconds later and come back together,
//! with little of their time left. Prompts that are read for callers who cannot be
//! served any more delay everybody else's.

use std::time::{Duration, Instant};

/// Weight of the newest generation in the means.
const NEWEST_WEIGHT: f64 = 0.1;

/// Complete generations that are measured before any request is judged.
const MIN_SAMPLES: u32 = 5;

/// Share of the mean number of events that is assumed for one generation: outputs
/// differ in length, and a short one must not be refused.
const SHORT_OUTPUT: f64 = 0.7;

/// Share of the mean time to the first event that is assumed: an idle engine reads a
/// prompt faster than the mean.
const FAST_READ: f64 = 0.8;

/// How long one complete generation took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationTimes {
    /// When the request arrived.
    pub arrived: Instant,
    /// When its first event was passed on.
    pub first_event: Instant,
    /// When it was complete.
    pub end: Instant,
    /// Events that its caller had before.
    pub events_before: u64,
    /// Number of its last event.
    pub last_event: u64,
}

/// Mean pace of the generations that were completed lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct GenerationPace {
    samples: u32,
    /// Seconds until the first event.
    read: f64,
    /// Events of a whole generation.
    events: f64,
    /// Seconds between two events.
    interval: f64,
}

impl GenerationPace {
    /// Records a complete generation.
    pub fn record(&mut self, times: &GenerationTimes) {
        let delivered = times.last_event.saturating_sub(times.events_before);
        if delivered < 2 {
            return;
        }
        let streaming = times.end.saturating_duration_since(times.first_event);
        let interval = streaming.as_secs_f64() / (delivered - 1) as f64;
        let read = times.first_event.saturating_duration_since(times.arrived);
        let weight = if self.samples == 0 {
            1.0
        } else {
            NEWEST_WEIGHT
        };
        self.samples = self.samples.saturating_add(1);
        self.interval += weight * (interval - self.interval);
        // A returning caller tells the length of its generation, and its prompt may be kept.
        self.events += weight * (times.last_event as f64 - self.events);
        self.read += weight * (read.as_secs_f64() - self.read);
    }

    /// Decides whether a generation may be complete within `time_left`.
    ///
    /// `last_event` is what the caller already has; `is_prompt_kept` tells that an engine
    /// still has the prompt in memory.
    pub fn can_complete(
        &self,
        time_left: Duration,
        last_event: Option<u64>,
        is_prompt_kept: bool,
    ) -> bool {
        if self.samples < MIN_SAMPLES {
            return !time_left.is_zero();
        }
        let read = if is_prompt_kept {
            0.0
        } else {
            FAST_READ * self.read
        };
        let events = SHORT_OUTPUT * self.events - last_event.unwrap_or(0) as f64;
        let needed = read + events.max(0.0) * self.interval;
        time_left.as_secs_f64() > needed
    }
}
