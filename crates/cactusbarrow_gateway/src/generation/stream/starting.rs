//! Relates the end of an attempt's engine to the start of its response.

use std::time::{Duration, Instant};

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{BackendEntry, ResumeEvent};

use super::GenerationStream;
use crate::quarantine::{self, BrokenAttempt};

/// Time after its first event in which the end of an attempt's engine is still related to the start of
/// the response.
const STARTING_TIME: Duration = Duration::from_millis(500);

/// An attempt whose response has not clearly begun.
pub(super) struct StartingAttempt {
    engine: BackendEntry,
    sent_at: Instant,
    first_event_at: Option<Instant>,
}

impl<C: Clock> GenerationStream<C> {
    /// Returns for how long prompts like this one are refused; `None` if they are not.
    pub(crate) fn quarantine_time_left(&self) -> Option<Duration> {
        quarantine::time_left(&self.req.shared, &self.parts)
    }

    /// Records that an attempt starts at an engine.
    pub(super) fn record_attempt_start(&mut self, engine: BackendEntry) {
        self.starting = Some(StartingAttempt {
            engine,
            sent_at: self.req.shared.now(),
            first_event_at: None,
        });
        self.is_begun_recorded = false;
    }

    /// Records an event of the current attempt.
    pub(super) fn record_attempt_event(&mut self, now: Instant) {
        let Some(starting) = &mut self.starting else {
            return;
        };
        let first_event_at = *starting.first_event_at.get_or_insert(now);
        if now.saturating_duration_since(first_event_at) >= STARTING_TIME {
            self.record_begun();
        }
    }

    /// Records once for each attempt that its response has clearly begun.
    pub(super) fn record_begun(&mut self) {
        self.starting = None;
        if !std::mem::replace(&mut self.is_begun_recorded, true) {
            quarantine::record_begun(&self.req.shared, &self.parts);
        }
    }

    /// Records the end of the current attempt, which may be that of its engine.
    pub(super) fn record_attempt_end(&mut self, event: ResumeEvent) {
        if let Some(starting) = self.starting.take()
            && event.may_be_engine_loss()
        {
            let attempt = BrokenAttempt {
                request_id: self.req.caller.request_id.clone(),
                engine: starting.engine,
                parts: self.parts.clone(),
                sent_at: starting.sent_at,
                counts_unconfirmed: true,
            };
            quarantine::record_broken(&self.req.shared, attempt);
        }
    }
}
