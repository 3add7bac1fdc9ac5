//! Decides whether a generation can still be completed before its caller leaves.
//!
//! Load pattern: all hosts lose power at the same moment. Callers keep connections
//! that have lost their other end, notice it many seconds later and come back together,
//! with little of their time left. Prompts that are read for callers who cannot be
//! served any more delay everybody else's.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of the newest generation in the means.
const NEWEST_WEIGHT: f64 = 0.1;

/// Complete generations of a route that are measured before any request is judged.
const MIN_SAMPLES: u32 = 5;

/// Age of the newest measurement from which it judges nobody: while all requests of a route
/// are refused nothing new is measured, and the cause may have ended.
const FRESH: Duration = Duration::from_secs(2);

/// Share of the expected number of events that is assumed for one generation: outputs
/// differ in length, and a short one must not be refused.
const SHORT_OUTPUT: f64 = 0.7;

/// Share of the expected time to the first event that is assumed: an idle engine reads a
/// prompt faster than the mean.
const FAST_READ: f64 = 0.8;

/// Routes whose pace is kept, about 100 bytes each; changed configurations bring new ones.
const MAX_ROUTES: usize = 1_024;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt; 0 if not stated.
    pub prompt_tokens: u64,
    /// Largest number of output tokens; 0 if not stated.
    pub output_tokens: u64,
    /// Number of the last event that the caller has; 0 if it has none.
    pub last_event: u64,
}

/// How long one complete generation took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationTimes {
    /// What its caller asked for.
    pub size: GenerationSize,
    /// When the request arrived.
    pub arrived: Instant,
    /// When its first event was passed on.
    pub first_event: Instant,
    /// When it was complete.
    pub end: Instant,
    /// Number of its last event.
    pub last_event: u64,
}

/// Mean pace of one route's generations.
#[derive(Clone, Copy, Debug)]
struct RoutePace {
    samples: u32,
    newest: Instant,
    /// Seconds until the first event for each prompt token.
    read: f64,
    /// Events for each output token that the caller allows.
    events: f64,
    /// Seconds between two events.
    interval: f64,
}

/// Mean pace of the generations that were completed lately, by route.
#[derive(Clone, Debug, Default)]
pub struct GenerationPace {
    routes: HashMap<String, RoutePace>,
}

impl GenerationPace {
    /// Records a complete generation of a route.
    pub fn record(&mut self, route: &str, times: &GenerationTimes) {
        let delivered = times.last_event.saturating_sub(times.size.last_event);
        if delivered < 2 {
            return;
        }
        let streaming = times.end.saturating_duration_since(times.first_event);
        let interval = streaming.as_secs_f64() / (delivered - 1) as f64;
        let read = times.first_event.saturating_duration_since(times.arrived);
        let read = read.as_secs_f64() / times.size.prompt_tokens.max(1) as f64;
        let events = times.last_event as f64 / times.size.output_tokens.max(1) as f64;
        if self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, pace| is_fresh(pace, times.end));
        }
        let pace = self.routes.entry(route.to_owned()).or_insert(RoutePace {
            samples: 0,
            newest: times.end,
            read,
            events,
            interval,
        });
        pace.samples = pace.samples.saturating_add(1);
        pace.newest = times.end;
        pace.read += NEWEST_WEIGHT * (read - pace.read);
        pace.events += NEWEST_WEIGHT * (events - pace.events);
        pace.interval += NEWEST_WEIGHT * (interval - pace.interval);
    }

    /// Decides whether a generation of a route may be complete within `time_left`.
    ///
    /// `is_prompt_kept` tells that an engine still has the prompt in memory.
    pub fn can_complete(
        &self,
        route: &str,
        size: &GenerationSize,
        is_prompt_kept: bool,
        time_left: Duration,
        now: Instant,
    ) -> bool {
        let pace = self.routes.get(route);
        let Some(pace) = pace.filter(|p| p.samples >= MIN_SAMPLES && is_fresh(p, now)) else {
            return !time_left.is_zero();
        };
        let read = if is_prompt_kept {
            0.0
        } else {
            FAST_READ * pace.read * size.prompt_tokens.max(1) as f64
        };
        let events = SHORT_OUTPUT * pace.events * size.output_tokens.max(1) as f64;
        let missing = (events - size.last_event as f64).max(0.0);
        time_left.as_secs_f64() > read + missing * pace.interval
    }
}

fn is_fresh(pace: &RoutePace, now: Instant) -> bool {
    now.saturating_duration_since(pace.newest) < FRESH
}
