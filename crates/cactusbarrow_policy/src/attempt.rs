//! State of one attempt of a generation at the router.

use std::time::Instant;

use crate::ids::AttemptNumber;
use crate::suspicion::{SuspicionConfig, SuspicionTimeouts};

/// One attempt of a generation, with the time-outs after which it is suspected.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) sent_at: Instant,
    pub(crate) last_token_at: Option<Instant>,
    pub(crate) last_contact_at: Instant,
    pub(crate) engine_dead_since: Option<Instant>,
    pub(crate) is_queued: bool,
    pub(crate) timeouts: SuspicionTimeouts,
}

impl Attempt {
    /// Creates an attempt that was sent at `now`.
    pub(crate) fn new(number: AttemptNumber, cfg: SuspicionConfig, now: Instant) -> Self {
        Self {
            number,
            sent_at: now,
            last_token_at: None,
            last_contact_at: now,
            engine_dead_since: None,
            is_queued: false,
            timeouts: SuspicionTimeouts::new(cfg),
        }
    }

    /// Returns true if the attempt is suspected to have failed.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_at().is_some_and(|at| now >= at)
    }

    /// Returns when the attempt becomes suspect; `None` while it is queued for capacity.
    pub(crate) fn suspect_at(&self) -> Option<Instant> {
        if self.is_queued {
            return None;
        }
        let agent_deadline = self.last_contact_at + self.timeouts.agent_timeout();
        let engine_deadline = self.engine_dead_since.map_or(agent_deadline, |since| {
            since + self.timeouts.engine_timeout()
        });
        let token_deadline = match self.last_token_at {
            Some(at) => at + self.timeouts.token_timeout(),
            None => self.sent_at + self.timeouts.first_token_timeout(),
        };
        Some(agent_deadline.min(engine_deadline).min(token_deadline))
    }
}
