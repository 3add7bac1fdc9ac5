//! Decides how a generation is resumed at another engine.
//!
//! Load pattern: most engines of one zone fail at the same moment, each with generations in
//! progress. Resuming from a copy in another zone reads only the tokens that the copy lacks;
//! reading the whole prompt again is the fallback.

use crate::backend::BackendKey;
use crate::outcome::{Outcome, Reason};

/// Maximum number of attempts without an event in between that an engine declines or that do not
/// connect; they do not count as runs.
const MAX_DECLINED_ATTEMPTS: u32 = 6;

/// Result of one attempt at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeEvent {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The engine states that it did not run the request.
    NotExecuted,
    /// The engine responded with a status that any other engine would return, too.
    Rejected,
    /// The engine failed the request.
    Failed,
    /// The stream broke off, or its events do not continue the previous ones.
    Broken,
    /// The engine sends nothing and does not respond to probes; it may be sound and go on.
    Silent,
    /// The engine is alive, but this stream makes no progress; it may go on.
    Stalled,
    /// The engine was silent and is gone.
    Gone,
}

impl ResumeEvent {
    /// Returns the reason for logs and metrics.
    pub fn reason(self) -> Reason {
        match self {
            Self::NotConnected => Reason::NotConnected,
            Self::NotExecuted => Reason::NotExecuted,
            Self::Rejected | Self::Failed => Reason::BackendError,
            Self::Broken => Reason::BrokenResponse,
            Self::Silent => Reason::Silent,
            Self::Stalled => Reason::Stalled,
            Self::Gone => Reason::EngineLost,
        }
    }

    /// Returns whether the engine may still complete the attempt.
    pub fn is_suspicion(self) -> bool {
        matches!(self, Self::Silent | Self::Stalled)
    }

    /// Returns whether the engine may have ended while it ran the attempt.
    pub fn may_be_engine_loss(self) -> bool {
        matches!(self, Self::Broken | Self::Silent | Self::Gone)
    }

    fn is_declined(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotExecuted)
    }
}

/// State from which an attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// From the prompt, at any engine.
    ReadPrompt,
    /// From a copy, at the engine that holds it.
    FromCopy(BackendKey),
}

/// Next step of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeAction {
    /// Start an attempt.
    Start(AttemptStart),
    /// Deliver the engine's response to the caller.
    Deliver,
    /// Refuse the generation, or abort a stream that has already begun.
    Refuse {
        /// Whether the generation may have run.
        outcome: Outcome,
        /// Reason for the refusal.
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

/// Attempts at one generation and the decisions on further ones.
#[derive(Clone, Debug)]
pub struct ResumePlan {
    can_resume: bool,
    max_runs: u32,
    runs: u32,
    declined: u32,
    holder: Option<BackendKey>,
    excluded: Vec<BackendKey>,
    /// Excluded engines that were left only on a suspicion.
    suspected: Vec<BackendKey>,
}

impl ResumePlan {
    /// Creates the plan of a generation that `max_runs` engines may run.
    pub fn new(can_resume: bool, max_runs: u32) -> Self {
        Self {
            can_resume,
            max_runs,
            runs: 0,
            declined: 0,
            holder: None,
            excluded: Vec::new(),
            suspected: Vec::new(),
        }
    }

    /// Returns the engines that must not get another attempt.
    pub fn excluded(&self) -> &[BackendKey] {
        &self.excluded
    }

    /// Allows another attempt at the engines that were left only on a suspicion, for when no
    /// other engine can run the generation; returns whether there are any.
    pub fn readmit_suspected(&mut self) -> bool {
        let suspected = std::mem::take(&mut self.suspected);
        self.excluded.retain(|key| !suspected.contains(key));
        !suspected.is_empty()
    }

    /// Returns whether the generation may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the outcome that is reported to the caller if there is no response.
    pub fn outcome(&self) -> Outcome {
        Outcome::without_response(self.may_have_run())
    }

    /// Records that an attempt is sent to `engine`, which copies its memory to `holder`.
    pub fn record_start(&mut self, engine: BackendKey, holder: Option<BackendKey>) {
        self.runs += 1;
        self.holder = holder;
        self.excluded.push(engine);
    }

    /// Records that an event was delivered.
    pub fn record_progress(&mut self) {
        self.declined = 0;
    }

    /// Records which engine now holds the copy.
    pub fn record_holder(&mut self, holder: Option<BackendKey>) {
        self.holder = holder;
    }

    /// Returns whether another engine may run the generation after one has run it.
    ///
    /// Without that, an attempt at an engine that is only suspected must be kept.
    pub fn allows_another_run(&self) -> bool {
        self.can_resume && self.runs < self.max_runs
    }

    /// Decides what follows the end of an attempt.
    ///
    /// `has_progress` tells whether any event was delivered, `has_budget` whether the retry
    /// budget of the service allows another attempt.
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
        if event.is_suspicion() {
            self.suspected.extend(self.excluded.last());
        }
        if event.is_declined() {
            self.runs = self.runs.saturating_sub(1);
            self.declined += 1;
        }
        if !has_budget {
            return self.refuse(Reason::RetryBudget);
        }
        let can_continue = if event.is_declined() {
            self.declined <= MAX_DECLINED_ATTEMPTS
        } else {
            self.allows_another_run()
        };
        if !can_continue {
            return self.refuse(reason);
        }
        // Copying begins with the first event, so an attempt that was declined left no copy.
        let holder = self.holder.take();
        let holder = holder.filter(|_| has_progress && !event.is_declined());
        match holder {
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
