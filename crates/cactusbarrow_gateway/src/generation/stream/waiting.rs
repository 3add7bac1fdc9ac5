//! Waits until an engine may be able to run the generation.
//!
//! Load pattern: all engines that are left fall silent for a second, or are full, while started
//! generations have to move.

use std::time::Duration;

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{AttemptStart, Backoff, Reason};

use super::{GenerationItem, GenerationStream};
use crate::quarantine;

/// Back-off between attempts while no engine runs the generation.
const WAIT_BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(800));

/// A wait before the next attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineWait {
    /// Whether the attempt needs a retry from the budget first.
    pub(super) needs_retry: bool,
    /// Reason for the refusal if no engine can be waited for.
    pub(super) reason: Reason,
}

impl<C: Clock> GenerationStream<C> {
    /// Waits before the next attempt; returns the caller's last item if no engine can be waited
    /// for.
    pub(super) async fn wait_for_engine(&mut self, wait: EngineWait) -> Option<GenerationItem> {
        if !self.may_engine_recover() {
            return Some(self.refusal(wait.reason));
        }
        if self.wait_count == 0 {
            log::info!(
                request_id = self.request_id(),
                cause = wait.reason.as_str(),
                last_event = self.last_event(),
                elapsed_ms = self.elapsed_ms();
                "generation waits for an engine"
            );
        }
        let shared = &self.req.shared;
        let delay = WAIT_BACKOFF.delay(self.wait_count, &mut *shared.rng());
        self.wait_count += 1;
        let has_not_begun = self.last_event_at.is_none();
        let refused = quarantine::wait_until_refused(shared, &self.parts);
        tokio::select! {
            () = tokio::time::sleep(delay.min(self.req.time_left())) => {}
            () = refused, if has_not_begun => {
                return Some(self.refusal(Reason::QuarantinedPrompt));
            }
            () = shared.wait_until_too_late(self.req.deadline), if has_not_begun => {
                return Some(self.refusal(Reason::ShuttingDown));
            }
        }
        if wait.needs_retry && !shared.try_retry(&self.req.service) {
            self.wait = Some(wait);
            return None;
        }
        self.plan.readmit_after_wait();
        self.next_start = AttemptStart::ReadPrompt;
        None
    }

    fn may_engine_recover(&self) -> bool {
        let shared = &self.req.shared;
        let now = shared.now();
        let service = &self.req.service;
        let excluded = self.plan.lasting_exclusions();
        let fleet = shared.fleet();
        fleet.may_recover(service, self.software, &excluded, now)
    }
}
