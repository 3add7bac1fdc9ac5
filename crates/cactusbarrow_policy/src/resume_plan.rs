//! Decides how a generation is resumed at another engine.
//!
//! Load pattern: most engines of one zone fail at the same moment, each with generations in
//! progress. Resuming from a copy in another zone reads only the tokens that the copy lacks;
//! reading the whole prompt again is the fallback.

use crate::backend::BackendKey;
use crate::outcome::{Outcome, Reason};

/// Maximum number of attempts without an event in between that engines decline or refuse to
/// connect; they do not count as runs.
const MAX_DECLINED_ATTEMPTS: u32 = 6;

/// Result of one attempt at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeEvent {
    /// The connection was refused, so nothing was sent.
    NotConnected,
    /// Connecting took too long, so nothing was sent; the engine may be sound and go on.
    Unreached,
    /// Another incarnation of the engine responds than was chosen, so nothing was sent; its entry may
    /// arrive soon.
    Restarted,
    /// The engine states that it did not run the request.
    NotExecuted,
    /// The engine responded with a status that any other engine would return, too, unless one has
    /// already begun the response.
    Rejected,
    /// The engine failed the request.
    Failed,
    /// The stream broke off, or its events do not continue the previous ones.
    Broken,
    /// The stream ended in order, but nothing else shows that it is complete.
    Unconfirmed,
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
            Self::NotConnected | Self::Unreached => Reason::NotConnected,
            Self::Restarted => Reason::OtherIncarnation,
            Self::NotExecuted => Reason::NotExecuted,
            Self::Rejected | Self::Failed => Reason::BackendError,
            Self::Broken | Self::Unconfirmed => Reason::BrokenResponse,
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

    /// Returns whether the request reached the engine, which counts against the retry budget.
    pub fn has_arrived(self) -> bool {
        !matches!(self, Self::NotConnected | Self::Unreached | Self::Restarted)
    }

    /// Returns whether the engine has not run the request.
    fn is_declined(self) -> bool {
        !self.has_arrived() || self == Self::NotExecuted
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
    /// Wait, then start an attempt from the prompt.
    Wait {
        /// Whether the attempt needs a retry from the budget first.
        needs_retry: bool,
        /// Reason for the refusal if no engine can be waited for.
        reason: Reason,
    },
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
            Self::Wait { .. } => "wait",
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
    /// Whether an event was delivered, so that the response cannot be refused any more.
    is_started: bool,
    holder: Option<BackendKey>,
    excluded: Vec<BackendKey>,
    /// Excluded engines that were left only on a suspicion.
    suspected: Vec<BackendKey>,
    /// Excluded engines that were not reached, or only in another incarnation.
    unreached: Vec<BackendKey>,
    /// Excluded engines that stated that they did not run the generation.
    full: Vec<BackendKey>,
}

impl ResumePlan {
    /// Creates the plan of a generation that `max_runs` engines may run.
    pub fn new(can_resume: bool, max_runs: u32) -> Self {
        Self {
            can_resume,
            max_runs,
            runs: 0,
            declined: 0,
            is_started: false,
            holder: None,
            excluded: Vec::new(),
            suspected: Vec::new(),
            unreached: Vec::new(),
            full: Vec::new(),
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

    /// Returns the engines that get no other attempt, also after a wait.
    ///
    /// A response that has begun also waits for engines that are full.
    pub fn lasting_exclusions(&self) -> Vec<BackendKey> {
        let is_lasting = |key: &&BackendKey| {
            let is_silent = self.suspected.contains(key) || self.unreached.contains(key);
            let is_awaited = self.is_started && self.full.contains(key);
            !is_silent && !is_awaited
        };
        self.excluded.iter().filter(is_lasting).copied().collect()
    }

    /// Allows another attempt, after a wait, at all engines that may be able to run the generation by
    /// then.
    pub fn readmit_after_wait(&mut self) {
        self.readmit_suspected();
        let (unreached, full) = (&self.unreached, &self.full);
        self.excluded
            .retain(|key| !unreached.contains(key) && !full.contains(key));
        self.unreached.clear();
        self.full.clear();
    }

    /// Returns what follows if no engine can be chosen, for this `reason`.
    pub fn decide_without_engine(&self, reason: Reason) -> ResumeAction {
        if self.is_started || (reason == Reason::NoBackend && !self.unreached.is_empty()) {
            return ResumeAction::Wait {
                needs_retry: false,
                reason,
            };
        }
        self.refuse(reason)
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

    /// Records that the last attempt was given up because an earlier one goes on.
    ///
    /// It may have been sent, so it counts as a run.
    pub fn record_withdrawn(&mut self) {
        self.suspected.extend(self.excluded.last());
    }

    /// Records that an event was delivered.
    pub fn record_progress(&mut self) {
        self.declined = 0;
        self.is_started = true;
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
    /// `has_progress` tells whether the attempt delivered an event, `has_budget` whether the retry
    /// budget of the service allows another attempt. A response that has begun waits for an engine
    /// where one that has not is refused.
    pub fn decide(
        &mut self,
        event: ResumeEvent,
        has_progress: bool,
        has_budget: bool,
    ) -> ResumeAction {
        if event == ResumeEvent::Rejected && !self.is_started {
            return ResumeAction::Deliver;
        }
        let reason = event.reason();
        if event.is_suspicion() {
            self.suspected.extend(self.excluded.last());
        }
        if event.is_declined() {
            self.runs = self.runs.saturating_sub(1);
            self.record_declined(event);
        } else if !self.allows_another_run() {
            return self.refuse(reason);
        }
        if !has_budget {
            return self.wait_or_refuse(Reason::RetryBudget, true);
        }
        if event.is_declined() && self.declined > MAX_DECLINED_ATTEMPTS {
            return self.wait_or_refuse(reason, false);
        }
        // Copying begins with the first event, so an attempt that was declined left no copy.
        let holder = self.holder.take();
        let holder = holder.filter(|_| has_progress && !event.is_declined());
        match holder {
            Some(holder) => ResumeAction::Start(AttemptStart::FromCopy(holder)),
            None => ResumeAction::Start(AttemptStart::ReadPrompt),
        }
    }

    fn record_declined(&mut self, event: ResumeEvent) {
        let engine = self.excluded.last();
        match event {
            ResumeEvent::Unreached | ResumeEvent::Restarted => self.unreached.extend(engine),
            ResumeEvent::NotExecuted => {
                self.full.extend(engine);
                self.declined += 1;
            }
            _ => self.declined += 1,
        }
    }

    fn wait_or_refuse(&self, reason: Reason, needs_retry: bool) -> ResumeAction {
        if self.is_started {
            return ResumeAction::Wait {
                needs_retry,
                reason,
            };
        }
        self.refuse(reason)
    }

    fn refuse(&self, reason: Reason) -> ResumeAction {
        ResumeAction::Refuse {
            outcome: self.outcome(),
            reason,
        }
    }
}
