//! Decides how a call to a plain service goes on after each try.

use crate::backend::BackendKey;
use crate::outcome::{Outcome, Reason};

/// Tries beyond the route's attempts that a backend server declines or that do not connect.
const MAX_DECLINED: u32 = 4;

/// How a try at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// The backend server states that it did not run the call.
    NotExecuted,
    /// It answered; `is_failure` is set for an answer that another server may better.
    Answered {
        /// Whether the answer tells of a failure of the backend server.
        is_failure: bool,
    },
    /// The call was sent and no usable answer came.
    Broken,
    /// The call was sent and nothing came for long.
    Stalled,
}

impl CallEvent {
    /// Returns the reason that is logged and counted.
    pub fn reason(self) -> Reason {
        match self {
            Self::Answered { .. } => Reason::BackendError,
            Self::NotConnected => Reason::NotConnected,
            Self::NotExecuted => Reason::NotExecuted,
            Self::Broken => Reason::BrokenAnswer,
            Self::Stalled => Reason::Stalled,
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Send the call to a backend server that has not had it yet.
    Send,
    /// Give the caller the answer that just came.
    Deliver,
    /// Tell the caller that there is no answer.
    Refuse {
        /// Whether the call may have run.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
}

/// The course of one call.
#[derive(Clone, Debug)]
pub struct CallPlan {
    is_repeatable: bool,
    attempts: u32,
    run: u32,
    declined: u32,
    tried: Vec<BackendKey>,
}

impl CallPlan {
    /// Creates the plan of a call that `attempts` backend servers may run.
    pub fn new(is_repeatable: bool, attempts: u32) -> Self {
        Self {
            is_repeatable,
            attempts: if is_repeatable { attempts } else { 1 },
            run: 0,
            declined: 0,
            tried: Vec::new(),
        }
    }

    /// Returns the backend servers that had the call.
    pub fn tried(&self) -> &[BackendKey] {
        &self.tried
    }

    /// Returns whether the call may have run.
    pub fn may_have_run(&self) -> bool {
        self.run > 0
    }

    /// Returns what the caller is told if there is no answer.
    pub fn outcome(&self) -> Outcome {
        Outcome::without_answer(self.may_have_run())
    }

    /// Records that the call goes to a backend server.
    ///
    /// Until its end is known it counts as run.
    pub fn record_send(&mut self, key: BackendKey) {
        self.run += 1;
        self.tried.push(key);
    }

    /// Decides what follows a try; `has_budget` tells whether the service allows a retry.
    pub fn decide(&mut self, event: CallEvent, has_budget: bool) -> CallAction {
        match event {
            CallEvent::Answered { is_failure: false } => return CallAction::Deliver,
            CallEvent::Answered { is_failure: true } if !self.can_run_again(has_budget) => {
                return CallAction::Deliver;
            }
            _ => {}
        }
        let is_declined = matches!(event, CallEvent::NotConnected | CallEvent::NotExecuted);
        if is_declined {
            self.run = self.run.saturating_sub(1);
            self.declined += 1;
        }
        let may_go_on = if is_declined {
            self.declined <= MAX_DECLINED && has_budget
        } else {
            self.can_run_again(has_budget)
        };
        if may_go_on {
            return CallAction::Send;
        }
        self.refuse(event.reason())
    }

    /// Decides when no backend server is left, or the time is over.
    pub fn refuse(&self, reason: Reason) -> CallAction {
        CallAction::Refuse {
            outcome: self.outcome(),
            reason,
        }
    }

    fn can_run_again(&self, has_budget: bool) -> bool {
        self.is_repeatable && self.run < self.attempts && has_budget
    }
}
