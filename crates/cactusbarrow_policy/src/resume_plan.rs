//! Decides how a generation goes on at another engine.
//!
//! Load pattern: most engines of one zone end at the same moment, each with
//! generations that are halfway. Going on from a copy in another zone reads only
//! what the copy lacks; reading the prompt again is the fall-back.

use crate::backend::BackendKey;
use crate::outcome::{Outcome, Reason};

/// Tries that an engine declines or that do not connect, beyond the route's attempts.
const MAX_DECLINED: u32 = 6;

/// How an attempt at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeEvent {
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// The engine states that it did not run the request.
    NotExecuted,
    /// The engine answered with a status that another engine would give, too.
    Rejected,
    /// The engine failed the request.
    Failed,
    /// The stream broke, or brought what cannot follow the events before.
    Broken,
    /// The engine fell silent.
    Silent,
    /// The engine lives and this stream stands still.
    Stalled,
}

impl ResumeEvent {
    /// Returns the reason that is logged and counted.
    pub fn reason(self) -> Reason {
        match self {
            Self::NotConnected => Reason::NotConnected,
            Self::NotExecuted => Reason::NotExecuted,
            Self::Rejected | Self::Failed => Reason::BackendError,
            Self::Broken => Reason::BrokenAnswer,
            Self::Silent => Reason::Silent,
            Self::Stalled => Reason::Stalled,
        }
    }

    fn is_declined(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotExecuted)
    }
}

/// Where an attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// At any engine, by reading the prompt.
    ReadPrompt,
    /// At the engine that holds a copy.
    FromCopy(BackendKey),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeAction {
    /// Start an attempt.
    Start(AttemptStart),
    /// Pass on the engine's answer.
    Deliver,
    /// Tell the caller that there is no answer, or break off the one that has begun.
    Refuse {
        /// Whether the generation may have run.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
}

impl ResumeAction {
    /// Returns a short name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start(AttemptStart::ReadPrompt) => "read_prompt",
            Self::Start(AttemptStart::FromCopy(_)) => "from_copy",
            Self::Deliver => "deliver",
            Self::Refuse { .. } => "refuse",
        }
    }
}

/// The course of one generation.
#[derive(Clone, Debug)]
pub struct ResumePlan {
    can_resume: bool,
    attempts: u32,
    run: u32,
    declined: u32,
    copy: Option<BackendKey>,
    excluded: Vec<BackendKey>,
}

impl ResumePlan {
    /// Creates the plan of a generation that `attempts` engines may run.
    pub fn new(can_resume: bool, attempts: u32) -> Self {
        Self {
            can_resume,
            attempts,
            run: 0,
            declined: 0,
            copy: None,
            excluded: Vec::new(),
        }
    }

    /// Returns the engines that get no further attempt.
    pub fn excluded(&self) -> &[BackendKey] {
        &self.excluded
    }

    /// Returns whether the generation may have run.
    pub fn may_have_run(&self) -> bool {
        self.run > 0
    }

    /// Returns what the caller is told if there is no answer.
    pub fn outcome(&self) -> Outcome {
        Outcome::without_answer(self.may_have_run())
    }

    /// Records that an attempt goes to `engine`, which copies its memory to `copy`.
    pub fn record_start(&mut self, engine: BackendKey, copy: Option<BackendKey>) {
        self.run += 1;
        self.copy = copy;
        self.excluded.push(engine);
    }

    /// Records which engine keeps a copy now.
    pub fn record_copy(&mut self, holder: Option<BackendKey>) {
        self.copy = holder;
    }

    /// Decides what follows the end of an attempt.
    ///
    /// `has_progress` tells whether any event was delivered, `has_budget` whether the
    /// service allows a retry.
    pub fn decide(
        &mut self,
        event: ResumeEvent,
        has_progress: bool,
        has_budget: bool,
    ) -> ResumeAction {
        if event == ResumeEvent::Rejected {
            return ResumeAction::Deliver;
        }
        let reason = event.reason();
        if event.is_declined() {
            self.run = self.run.saturating_sub(1);
            self.declined += 1;
        }
        if !has_budget {
            return self.refuse(Reason::RetryBudget);
        }
        let may_go_on = if event.is_declined() {
            self.declined <= MAX_DECLINED
        } else {
            self.can_resume && self.run < self.attempts
        };
        if !may_go_on {
            return self.refuse(reason);
        }
        // Copies begin with the first event; an attempt that was declined left none.
        let copy = self.copy.take();
        let copy = copy.filter(|_| has_progress && !event.is_declined());
        match copy {
            Some(holder) => ResumeAction::Start(AttemptStart::FromCopy(holder)),
            None => ResumeAction::Start(AttemptStart::ReadPrompt),
        }
    }

    fn refuse(&self, reason: Reason) -> ResumeAction {
        ResumeAction::Refuse {
            outcome: self.outcome(),
            reason,
        }
    }
}
