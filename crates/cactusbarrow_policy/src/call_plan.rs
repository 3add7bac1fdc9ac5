//! Decides what follows each attempt at a call to a plain service.

use crate::backend::BackendKey;
use crate::outcome::{Outcome, Reason};

/// Maximum number of attempts that backend servers decline or refuse to connect; they do not
/// count as runs.
const MAX_DECLINED_ATTEMPTS: u32 = 4;

/// Result of one attempt at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// The connection was refused, so nothing was sent.
    NotConnected,
    /// Connecting took too long, so nothing was sent; the backend server may be sound and go on.
    Unreached,
    /// The backend server states that it did not run the call.
    NotExecuted,
    /// It responded; another backend server may respond better if `is_failure` is set.
    Responded {
        /// Whether the response reports a failure of the backend server.
        is_failure: bool,
    },
    /// The call was sent, and the response was missing or unusable.
    Broken,
    /// The call was sent, no data came for too long, and another backend server takes over.
    Stalled,
}

impl CallEvent {
    /// Returns the reason for logs and metrics.
    pub fn reason(self) -> Reason {
        match self {
            Self::Responded { .. } => Reason::BackendError,
            Self::NotConnected | Self::Unreached => Reason::NotConnected,
            Self::NotExecuted => Reason::NotExecuted,
            Self::Broken => Reason::BrokenResponse,
            Self::Stalled => Reason::Stalled,
        }
    }
}

/// Next step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Send the call to a backend server that has not received it yet.
    Send,
    /// Deliver the response just received to the caller.
    Deliver,
    /// Refuse the call, since there is no response.
    Refuse {
        /// Whether the call may have run.
        outcome: Outcome,
        /// Reason for the refusal.
        reason: Reason,
    },
}

/// Attempts at one call and the decisions on further ones.
#[derive(Clone, Debug)]
pub struct CallPlan {
    is_repeatable: bool,
    max_runs: u32,
    runs: u32,
    declined: u32,
    excluded: Vec<BackendKey>,
    /// Excluded backend servers to which connecting took too long.
    unreached: Vec<BackendKey>,
}

impl CallPlan {
    /// Creates the plan of a call that `max_runs` backend servers may run, or only one if it
    /// is not repeatable.
    pub fn new(is_repeatable: bool, max_runs: u32) -> Self {
        Self {
            is_repeatable,
            max_runs: if is_repeatable { max_runs } else { 1 },
            runs: 0,
            declined: 0,
            excluded: Vec::new(),
            unreached: Vec::new(),
        }
    }

    /// Returns the backend servers to which the call was sent.
    pub fn excluded(&self) -> &[BackendKey] {
        &self.excluded
    }

    /// Returns the backend servers that get no other attempt, also after a wait.
    pub fn lasting_exclusions(&self) -> Vec<BackendKey> {
        let is_lasting = |key: &&BackendKey| !self.unreached.contains(key);
        self.excluded.iter().filter(is_lasting).copied().collect()
    }

    /// Allows another attempt at the backend servers to which connecting took too long; returns
    /// whether there are any.
    pub fn readmit_unreached(&mut self) -> bool {
        let unreached = std::mem::take(&mut self.unreached);
        self.excluded.retain(|key| !unreached.contains(key));
        !unreached.is_empty()
    }

    /// Returns whether the call may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the outcome that is reported to the caller if there is no response.
    pub fn outcome(&self) -> Outcome {
        Outcome::without_response(self.may_have_run())
    }

    /// Records that the call is sent to a backend server.
    ///
    /// The attempt counts as run until its result is known.
    pub fn record_send(&mut self, key: BackendKey) {
        self.runs += 1;
        self.excluded.push(key);
    }

    /// Returns whether another backend server may run the call after one may have run it.
    ///
    /// Without that, the response of one that is silent must be waited for.
    pub fn allows_another_run(&self) -> bool {
        self.is_repeatable && self.runs < self.max_runs
    }

    /// Decides what follows an attempt.
    ///
    /// `has_budget` tells whether the retry budget of the service allows another one.
    pub fn decide(&mut self, event: CallEvent, has_budget: bool) -> CallAction {
        match event {
            CallEvent::Responded { is_failure: false } => return CallAction::Deliver,
            CallEvent::Responded { is_failure: true }
                if !(self.allows_another_run() && has_budget) =>
            {
                return CallAction::Deliver;
            }
            CallEvent::Unreached => {
                self.runs = self.runs.saturating_sub(1);
                self.unreached.extend(self.excluded.last());
                return CallAction::Send;
            }
            _ => {}
        }
        let is_declined = matches!(event, CallEvent::NotConnected | CallEvent::NotExecuted);
        if is_declined {
            self.runs = self.runs.saturating_sub(1);
            self.declined += 1;
        }
        let can_continue = if is_declined {
            self.declined <= MAX_DECLINED_ATTEMPTS && has_budget
        } else {
            self.allows_another_run() && has_budget
        };
        if can_continue {
            return CallAction::Send;
        }
        self.refuse(event.reason())
    }

    /// Returns the refusal for when no backend server is left or the time is over.
    pub fn refuse(&self, reason: Reason) -> CallAction {
        CallAction::Refuse {
            outcome: self.outcome(),
            reason,
        }
    }
}
