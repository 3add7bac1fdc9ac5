//! One attempt as the router sees it.

use std::time::Instant;

use crate::ids::AttemptNumber;
use crate::suspicion::{SuspicionConfig, SuspicionTimeouts};

/// One attempt of a generation, and how long its silence is tolerated.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: AttemptNumber,
    pub(crate) started: Instant,
    pub(crate) last_token: Option<Instant>,
    pub(crate) last_heard: Instant,
    pub(crate) engine_dead_since: Option<Instant>,
    pub(crate) is_queued: bool,
    pub(crate) suspicion: SuspicionTimeouts,
}

impl Attempt {
    /// Creates an attempt that was sent at `now`.
    pub(crate) fn new(number: AttemptNumber, cfg: SuspicionConfig, now: Instant) -> Self {
        Self {
            number,
            started: now,
            last_token: None,
            last_heard: now,
            engine_dead_since: None,
            is_queued: false,
            suspicion: SuspicionTimeouts::new(cfg),
        }
    }

    /// Returns whether it is suspected.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_at().is_some_and(|at| now >= at)
    }

    /// Returns when the attempt is suspected; `None` while it waits for room.
    pub(crate) fn suspect_at(&self) -> Option<Instant> {
        if self.is_queued {
            return None;
        }
        let silence = self.last_heard + self.suspicion.agent_timeout();
        let dead = self
            .engine_dead_since
            .map_or(silence, |since| since + self.suspicion.engine_timeout());
        let stall = match self.last_token {
            Some(at) => at + self.suspicion.token_timeout(),
            None => self.started + self.suspicion.first_token_timeout(),
        };
        Some(silence.min(dead).min(stall))
    }
}
