//! Decides when a running generation gets a new copy of its memory.
//!
//! Load pattern: zones of engines end one after the other, a few seconds apart. The
//! engine that keeps the copy ends first, then the one that runs the generation, and
//! nothing is left to go on from.

use std::time::{Duration, Instant};

/// Tuning of [`CopyPlan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyConfig {
    /// Wait after a copy that failed.
    pub retry_wait: Duration,
    /// Copies in a row that may fail.
    pub max_failures: u32,
    /// Age at which a copy is brought up to date: engines drop one that nobody renews.
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

/// What happens to the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The engine keeps it up to date by itself.
    Automatic,
    /// A new one is due.
    Due { at: Instant, is_renewal: bool },
    /// One is being made.
    Copying { is_renewal: bool },
    /// None is made any more.
    GivenUp,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// Nothing.
    Wait,
    /// Copy the memory to an engine that has none of it yet.
    CopyElsewhere,
    /// Bring the copy up to date where it is.
    Renew,
}

/// The copies of one attempt of a generation.
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

    /// Records that the engine with the copy is lost or leaves.
    pub fn record_holder_lost(&mut self, now: Instant) {
        if self.state != State::GivenUp {
            self.state = State::Due {
                at: now,
                is_renewal: false,
            };
        }
    }

    /// Returns when [`CopyPlan::poll`] has something to do, if ever.
    pub fn next_due(&self) -> Option<Instant> {
        match self.state {
            State::Due { at, .. } => Some(at),
            State::Automatic | State::Copying { .. } | State::GivenUp => None,
        }
    }

    /// Decides what to do now; an action has to be followed by its result.
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

    /// Records how a copy went.
    pub fn record_result(&mut self, is_made: bool, now: Instant) {
        if is_made {
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
