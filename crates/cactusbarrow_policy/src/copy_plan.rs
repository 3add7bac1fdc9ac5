//! Decides when a running generation gets a new copy of its memory.
//!
//! Load pattern: zones of engines fail one after the other, a few seconds apart. If the
//! engine that holds the copy fails first and the one that runs the generation next, no
//! memory is left from which the generation could be resumed.

use std::time::{Duration, Instant};

/// Settings of [`CopyPlan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyConfig {
    /// Wait after a failed copy.
    pub retry_wait: Duration,
    /// Number of consecutive failures after which no more copies are made.
    pub max_failures: u32,
    /// Age at which a copy is renewed: engines drop copies that are not renewed.
    pub renew_after: Duration,
}

impl Default for CopyConfig {
    fn default() -> Self {
        Self {
            retry_wait: Duration::from_millis(300),
            max_failures: 3,
            renew_after: Duration::from_millis(800),
        }
    }
}

/// State of the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The engine keeps the copy up to date by itself.
    Automatic,
    /// A new copy or a renewal is due at `at`.
    Due { at: Instant, is_renewal: bool },
    /// A copy or a renewal is in progress.
    Copying { is_renewal: bool },
    /// No more copies are made, because too many failed in a row.
    GivenUp,
}

/// Next step for the copy of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// Do nothing yet.
    Wait,
    /// Copy the whole memory to another engine, which has no part of it yet.
    CopyElsewhere,
    /// Bring the copy up to date at its current holder.
    Renew,
}

/// Schedules the copies for one attempt at a generation.
#[derive(Clone, Debug)]
pub struct CopyPlan {
    cfg: CopyConfig,
    state: State,
    failures: u32,
}

impl CopyPlan {
    /// Creates the plan of an attempt whose engine keeps a copy up to date by itself.
    pub fn new(cfg: CopyConfig) -> Self {
        Self {
            cfg,
            state: State::Automatic,
            failures: 0,
        }
    }

    /// Records that the engine that holds the copy was lost or drains.
    pub fn record_holder_lost(&mut self, now: Instant) {
        if self.state != State::GivenUp {
            self.state = State::Due {
                at: now,
                is_renewal: false,
            };
        }
    }

    /// Returns when [`CopyPlan::poll`] returns the next action; `None` if none is scheduled.
    pub fn next_due(&self) -> Option<Instant> {
        match self.state {
            State::Due { at, .. } => Some(at),
            State::Automatic | State::Copying { .. } | State::GivenUp => None,
        }
    }

    /// Decides what to do at `now`; an action must be followed by
    /// [`CopyPlan::record_result`].
    pub fn poll(&mut self, now: Instant) -> CopyAction {
        match self.state {
            State::Due { at, is_renewal } if at <= now => {
                self.state = State::Copying { is_renewal };
                if is_renewal {
                    CopyAction::Renew
                } else {
                    CopyAction::CopyElsewhere
                }
            }
            _ => CopyAction::Wait,
        }
    }

    /// Records whether the copy or renewal in progress succeeded.
    pub fn record_result(&mut self, is_success: bool, now: Instant) {
        if is_success {
            self.failures = 0;
            self.state = State::Due {
                at: now + self.cfg.renew_after,
                is_renewal: true,
            };
            return;
        }
        self.failures += 1;
        self.state = if self.failures >= self.cfg.max_failures {
            State::GivenUp
        } else {
            State::Due {
                at: now + self.cfg.retry_wait,
                is_renewal: false,
            }
        };
    }
}
