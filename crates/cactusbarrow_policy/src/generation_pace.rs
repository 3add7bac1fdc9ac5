//! Decides whether a generation can still be completed before its caller times out.
//!
//! Load pattern: all hosts lose power at the same moment. Callers notice the half-open
//! connections many seconds later and reconnect together, with little of their time left.
//! Reading prompts for callers that can no longer be served in time delays all others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of the newest generation in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;

/// Number of complete generations of a route that are measured before anything is concluded from them.
const MIN_SAMPLES: u32 = 5;

/// Age of a route's newest measurement from which no request is refused: while all requests
/// of a route are refused nothing new is measured, and the cause may have ended.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(2);

/// Share of the expected number of events that a generation is assumed to need: outputs
/// differ in length, and a short one must not be refused.
const MIN_OUTPUT_SHARE: f64 = 0.7;

/// Share of the expected time to the first event that is assumed to be needed: an idle
/// engine reads a prompt faster than the average.
const MIN_READ_TIME_SHARE: f64 = 0.8;

/// Number of recorded routes from which stale ones are removed: each takes about 100 bytes,
/// and configuration changes keep introducing new ones.
const ROUTES_BEFORE_CLEANUP: usize = 1_024;

/// Size of a requested generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt; 0 if not stated.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens; 0 if not stated.
    pub output_tokens: u64,
    /// Number of the last event that the caller has received; 0 if it has none.
    pub last_event: u64,
}

/// Times of one complete generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationTimes {
    /// Size that its caller requested.
    pub size: GenerationSize,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time at which its first event was delivered.
    pub first_event: Instant,
    /// Time at which it was complete.
    pub end: Instant,
    /// Number of its last event.
    pub last_event: u64,
}

/// Moving averages over the complete generations of one route.
#[derive(Clone, Copy, Debug)]
struct RoutePace {
    samples: u32,
    newest: Instant,
    /// Time to the first event for each prompt token, in seconds.
    read_secs_per_token: f64,
    /// Number of events for each requested output token.
    events_per_token: f64,
    /// Time between two events, in seconds.
    event_interval_secs: f64,
}

/// Average pace of the recently completed generations, by route.
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
        let event_interval_secs = streaming.as_secs_f64() / (delivered - 1) as f64;
        let read = times.first_event.saturating_duration_since(times.arrived);
        let read_secs_per_token = read.as_secs_f64() / times.size.prompt_tokens.max(1) as f64;
        let events_per_token = times.last_event as f64 / times.size.output_tokens.max(1) as f64;
        if self.routes.len() >= ROUTES_BEFORE_CLEANUP {
            self.routes.retain(|_, pace| is_fresh(pace, times.end));
        }
        let pace = self.routes.entry(route.to_owned()).or_insert(RoutePace {
            samples: 0,
            newest: times.end,
            read_secs_per_token,
            events_per_token,
            event_interval_secs,
        });
        pace.samples = pace.samples.saturating_add(1);
        pace.newest = times.end;
        // A resumed generation mostly finds its prompt cached.
        if times.size.last_event == 0 {
            pace.read_secs_per_token +=
                NEWEST_WEIGHT * (read_secs_per_token - pace.read_secs_per_token);
        }
        pace.events_per_token += NEWEST_WEIGHT * (events_per_token - pace.events_per_token);
        pace.event_interval_secs +=
            NEWEST_WEIGHT * (event_interval_secs - pace.event_interval_secs);
    }

    /// Returns whether a generation of a route can be expected to complete within `time_left`.
    ///
    /// `is_prompt_cached` tells whether an engine still has the prompt cached.
    pub fn can_complete(
        &self,
        route: &str,
        size: &GenerationSize,
        is_prompt_cached: bool,
        time_left: Duration,
        now: Instant,
    ) -> bool {
        let pace = self.routes.get(route);
        let Some(pace) = pace.filter(|p| p.samples >= MIN_SAMPLES && is_fresh(p, now)) else {
            return !time_left.is_zero();
        };
        let read = if is_prompt_cached {
            0.0
        } else {
            MIN_READ_TIME_SHARE * pace.read_secs_per_token * size.prompt_tokens.max(1) as f64
        };
        let events = MIN_OUTPUT_SHARE * pace.events_per_token * size.output_tokens.max(1) as f64;
        let missing = (events - size.last_event as f64).max(0.0);
        time_left.as_secs_f64() > read + missing * pace.event_interval_secs
    }
}

fn is_fresh(pace: &RoutePace, now: Instant) -> bool {
    now.saturating_duration_since(pace.newest) < MAX_MEASUREMENT_AGE
}
