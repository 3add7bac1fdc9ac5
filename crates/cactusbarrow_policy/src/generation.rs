//! The life of one generation at the router: attempts, splicing and resumption.
//!
//! A token is accepted only from the current attempt and only at the next
//! offset. A new attempt starts from exactly the tokens accepted so far, so
//! what the reader gets is always one generation.

use std::time::Instant;

use rand::Rng;

use crate::attempt::Attempt;
use crate::generation_event::{
    AttemptEnd, Favor, FinishReason, GenerationAction, GenerationConfig, GenerationEvent,
    GenerationStats,
};
use crate::ids::AttemptNumber;
use crate::outcome::{Outcome, Reason};
use crate::token_buffer::TokenBuffer;

/// State machine of one generation at the router.
#[derive(Clone, Debug)]
pub struct Generation {
    cfg: GenerationConfig,
    accepted: TokenBuffer,
    required: usize,
    current: Option<Attempt>,
    standby: Option<Attempt>,
    held: Option<TokenBuffer>,
    move_at: Option<Instant>,
    last_number: AttemptNumber,
    refusals: u32,
    retry_at: Option<Instant>,
    progress_at: Instant,
    last_reason: Reason,
    may_have_run: bool,
    done: bool,
    stats: GenerationStats,
}

impl Generation {
    /// Creates a generation and the actions that start its first attempt.
    pub fn start(cfg: GenerationConfig, now: Instant) -> (Self, Vec<GenerationAction>) {
        let mut generation = Self::new(cfg, now);
        let mut actions = Vec::new();
        generation.start_current(now, &mut actions);
        (generation, actions)
    }

    /// Takes over a generation whose attempt is being read from its first token on.
    ///
    /// The reader already has `required` tokens. Unless the attempt delivers as many, the
    /// generation is given up: another attempt could differ from what the reader has.
    pub fn take_over(
        cfg: GenerationConfig,
        attempt: AttemptNumber,
        required: usize,
        now: Instant,
    ) -> Self {
        let mut generation = Self::new(cfg, now);
        generation.last_number = attempt;
        generation.required = required;
        generation.stats.attempts = 1;
        generation.may_have_run = true;
        generation.current = Some(Attempt::new(attempt, cfg.suspicion, now));
        generation
    }

    fn new(cfg: GenerationConfig, now: Instant) -> Self {
        Self {
            cfg,
            accepted: TokenBuffer::new(),
            required: 0,
            current: None,
            standby: None,
            held: None,
            move_at: None,
            last_number: AttemptNumber::default(),
            refusals: 0,
            retry_at: None,
            progress_at: now,
            last_reason: Reason::NoBackend,
            may_have_run: false,
            done: false,
            stats: GenerationStats::default(),
        }
    }

    /// Returns the tokens accepted so far.
    pub fn accepted(&self) -> &TokenBuffer {
        &self.accepted
    }

    /// Returns true once the generation is complete or given up.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the counts so far.
    pub fn stats(&self) -> GenerationStats {
        self.stats
    }

    /// Returns the attempt whose tokens are accepted.
    pub fn current_attempt(&self) -> Option<AttemptNumber> {
        self.current.as_ref().map(|attempt| attempt.number)
    }

    /// Records that an attempt waits for room; it is not suspected until it is launched.
    pub fn set_queued(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.attempt_mut(number) {
            attempt.is_queued = true;
        }
    }

    /// Returns when the generation is given up unless a token comes.
    pub fn give_up_at(&self) -> Instant {
        let patience = if self.accepted.is_empty() {
            self.cfg.first_progress_timeout
        } else {
            self.cfg.progress_timeout
        };
        self.progress_at + patience
    }

    /// Returns when [`GenerationEvent::Tick`] is due.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.done {
            return None;
        }
        let patience = self.give_up_at();
        let suspect = match (&self.current, &self.standby) {
            (Some(current), None) => current.suspect_at(),
            (_, Some(standby)) => standby.suspect_at(),
            (None, None) => self.retry_at,
        };
        [suspect, self.move_at, Some(patience)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Applies an event and returns what to do.
    pub fn handle(
        &mut self,
        event: GenerationEvent<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<GenerationAction> {
        let mut actions = Vec::new();
        if self.done {
            return actions;
        }
        match event {
            GenerationEvent::Launched { attempt } => self.on_launched(attempt, now),
            GenerationEvent::AgentHeartbeat {
                attempt,
                engine_alive,
            } => self.on_alive(attempt, engine_alive, now),
            GenerationEvent::Tokens {
                attempt,
                offset,
                tokens,
            } => self.on_tokens(attempt, offset, tokens, now, &mut actions),
            GenerationEvent::MoveRequested { attempt } => {
                if self.is_current(attempt) {
                    self.move_at = Some(now);
                    self.start_move(now, &mut actions);
                }
            }
            GenerationEvent::Ended {
                attempt,
                length,
                end,
            } => self.on_ended(attempt, length, end, now, rng, &mut actions),
            GenerationEvent::Tick => self.on_tick(now, rng, &mut actions),
        }
        actions
    }

    fn on_launched(&mut self, number: AttemptNumber, now: Instant) {
        if let Some(attempt) = self.attempt_mut(number) {
            attempt.is_queued = false;
            attempt.started = now;
            attempt.last_heard = now;
        }
    }

    fn on_alive(&mut self, number: AttemptNumber, engine_alive: bool, now: Instant) {
        self.may_have_run = true;
        if let Some(attempt) = self.attempt_mut(number) {
            attempt.last_heard = now;
            attempt.engine_dead_since = match engine_alive {
                true => None,
                false => attempt.engine_dead_since.or(Some(now)),
            };
        }
    }

    fn on_tokens(
        &mut self,
        number: AttemptNumber,
        offset: usize,
        tokens: &TokenBuffer,
        now: Instant,
        actions: &mut Vec<GenerationAction>,
    ) {
        self.may_have_run = true;
        if self.is_current(number) {
            self.record_arrival(number, now);
            if let Some(held) = &mut self.held {
                let next = self.accepted.len() + held.len();
                append_contiguous(held, next, offset, tokens, &mut self.stats);
                return;
            }
            if self.accept(offset, tokens, now, actions) && self.standby.is_some() {
                self.stats.false_suspicions += 1;
                self.drop_standby(false, actions);
            }
            return;
        }
        let is_standby = self.standby.as_ref().is_some_and(|s| s.number == number);
        if !is_standby || offset != self.accepted.len() || tokens.is_empty() {
            self.stats.tokens_dropped += tokens.len() as u64;
            return;
        }
        self.promote_standby(actions);
        self.record_arrival(number, now);
        self.accept(offset, tokens, now, actions);
    }

    /// Prepares the attempt that a planned move leads to; tokens of the old one are held.
    fn start_move(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) {
        let is_whole = self.accepted.len() >= self.required;
        if is_whole && self.current.is_some() && self.standby.is_none() {
            self.move_at = None;
            self.held = Some(TokenBuffer::new());
            self.standby = Some(self.new_attempt(now, actions));
        }
    }

    /// Ends a planned move whose attempt failed, and plans the next try.
    fn end_move(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<GenerationAction>) {
        if self.held.is_some() {
            self.release_held(now, actions);
            self.move_at = Some(now + self.cfg.backoff.delay(self.refusals, rng));
            self.refusals += 1;
        }
    }

    fn on_ended(
        &mut self,
        number: AttemptNumber,
        length: usize,
        end: AttemptEnd,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<GenerationAction>,
    ) {
        let is_standby = self.standby.as_ref().is_some_and(|s| s.number == number);
        if !is_standby && !self.is_current(number) {
            return;
        }
        let was_sent = !matches!(end, AttemptEnd::Refused(_) | AttemptEnd::Shed(_));
        self.may_have_run |= was_sent;
        if is_standby {
            self.on_standby_ended(number, length, end, now, rng, actions);
            return;
        }
        match end {
            AttemptEnd::Finished(reason) => self.on_finished(length, reason, now, actions),
            AttemptEnd::Rejected(reason) => self.give_up(Outcome::Failed, reason, actions),
            AttemptEnd::Shed(reason) => {
                let outcome = self.outcome();
                self.give_up(outcome, reason, actions);
            }
            AttemptEnd::Lost(reason) => self.replace_current(reason, now, actions),
            AttemptEnd::Refused(reason) => self.on_refused(reason, now, rng, actions),
        }
    }

    fn on_finished(
        &mut self,
        length: usize,
        reason: FinishReason,
        now: Instant,
        actions: &mut Vec<GenerationAction>,
    ) {
        let held = self.held.as_ref().map_or(0, TokenBuffer::len);
        if length != self.accepted.len() + held {
            self.replace_current(Reason::AgentLost, now, actions);
            return;
        }
        self.release_held(now, actions);
        self.drop_standby(false, actions);
        self.done = true;
        actions.push(GenerationAction::Finish(reason));
    }

    fn on_standby_ended(
        &mut self,
        number: AttemptNumber,
        length: usize,
        end: AttemptEnd,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<GenerationAction>,
    ) {
        if matches!(end, AttemptEnd::Finished(_)) && length == self.accepted.len() {
            self.promote_standby(actions);
            self.on_ended(number, length, end, now, rng, actions);
            return;
        }
        self.standby = None;
        self.end_move(now, rng, actions);
        if let Some(current) = &mut self.current {
            // The suspected attempt gets one more interval before the next standby.
            current.last_heard = current.last_heard.max(now);
        } else {
            self.on_refused(Reason::NoBackend, now, rng, actions);
        }
    }

    fn on_refused(
        &mut self,
        reason: Reason,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<GenerationAction>,
    ) {
        self.last_reason = reason;
        if self.give_up_if_short(actions) {
            return;
        }
        self.current = None;
        if self.standby.is_some() {
            self.promote_standby(actions);
            return;
        }
        // A reader that has tokens waits for the next: its attempts are not spread out.
        let step = if self.accepted.is_empty() {
            self.refusals
        } else {
            0
        };
        let wait = self.cfg.backoff.delay(step, rng);
        self.refusals += 1;
        self.retry_at = Some(now + wait);
    }

    fn on_tick(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<GenerationAction>) {
        if now >= self.give_up_at() {
            let outcome = self.outcome();
            self.give_up(outcome, self.last_reason, actions);
            return;
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.start_current(now, actions);
            return;
        }
        if self.standby.as_ref().is_some_and(|s| s.is_suspect(now)) {
            self.drop_standby(true, actions);
            self.end_move(now, rng, actions);
        }
        if self.move_at.is_some_and(|at| now >= at) {
            self.start_move(now, actions);
        }
        let is_suspect = self.current.as_ref().is_some_and(|a| a.is_suspect(now));
        if is_suspect && self.standby.is_none() {
            self.on_suspected(now, actions);
        }
    }

    fn on_suspected(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) {
        self.stats.suspicions += 1;
        self.last_reason = Reason::Stalled;
        if self.give_up_if_short(actions) {
            return;
        }
        match self.cfg.favor {
            Favor::Latency => self.standby = Some(self.new_attempt(now, actions)),
            Favor::Resources => {
                self.cancel_current(true, actions);
                self.start_current(now, actions);
            }
        }
    }

    fn replace_current(
        &mut self,
        reason: Reason,
        now: Instant,
        actions: &mut Vec<GenerationAction>,
    ) {
        self.last_reason = reason;
        if self.give_up_if_short(actions) {
            return;
        }
        self.cancel_current(false, actions);
        if self.standby.is_some() {
            self.promote_standby(actions);
        } else {
            self.start_current(now, actions);
        }
    }

    fn accept(
        &mut self,
        offset: usize,
        tokens: &TokenBuffer,
        now: Instant,
        actions: &mut Vec<GenerationAction>,
    ) -> bool {
        let from = self.accepted.len();
        append_contiguous(&mut self.accepted, from, offset, tokens, &mut self.stats);
        let to = self.accepted.len();
        if to == from {
            return false;
        }
        self.progress_at = now;
        self.refusals = 0;
        actions.push(GenerationAction::Emit { from, to });
        true
    }

    fn release_held(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) {
        if let Some(held) = self.held.take() {
            self.accept(self.accepted.len(), &held, now, actions);
        }
    }

    fn promote_standby(&mut self, actions: &mut Vec<GenerationAction>) {
        // Held tokens of the old attempt go: the new one continues what the reader has.
        let held = self.held.take();
        self.cancel_current(held.is_none(), actions);
        self.stats.tokens_dropped += held.map_or(0, |held| held.len() as u64);
        self.current = self.standby.take();
        self.move_at = None;
    }

    fn drop_standby(&mut self, is_suspect: bool, actions: &mut Vec<GenerationAction>) {
        if let Some(attempt) = self.standby.take() {
            actions.push(GenerationAction::Cancel {
                attempt: attempt.number,
                is_suspect,
            });
        }
    }

    fn cancel_current(&mut self, is_suspect: bool, actions: &mut Vec<GenerationAction>) {
        if let Some(attempt) = self.current.take() {
            actions.push(GenerationAction::Cancel {
                attempt: attempt.number,
                is_suspect,
            });
        }
    }

    fn start_current(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) {
        self.retry_at = None;
        self.current = Some(self.new_attempt(now, actions));
    }

    fn new_attempt(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) -> Attempt {
        self.last_number = self.last_number.next();
        self.stats.attempts += 1;
        actions.push(GenerationAction::Start {
            attempt: self.last_number,
            prefix: self.accepted.len(),
        });
        Attempt::new(self.last_number, self.cfg.suspicion, now)
    }

    /// Gives up a generation of which fewer tokens are here than its reader has.
    fn give_up_if_short(&mut self, actions: &mut Vec<GenerationAction>) -> bool {
        let is_short = self.accepted.len() < self.required;
        if is_short {
            self.give_up(Outcome::Failed, Reason::GenerationLost, actions);
        }
        is_short
    }

    fn give_up(&mut self, outcome: Outcome, reason: Reason, actions: &mut Vec<GenerationAction>) {
        self.cancel_current(false, actions);
        self.drop_standby(false, actions);
        self.done = true;
        actions.push(GenerationAction::GiveUp(outcome, reason));
    }

    fn outcome(&self) -> Outcome {
        if !self.accepted.is_empty() {
            Outcome::Failed
        } else if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    fn is_current(&self, number: AttemptNumber) -> bool {
        self.current_attempt() == Some(number)
    }

    fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.current
            .iter_mut()
            .chain(self.standby.iter_mut())
            .find(|attempt| attempt.number == number)
    }

    fn record_arrival(&mut self, number: AttemptNumber, now: Instant) {
        let Some(attempt) = self.attempt_mut(number) else {
            return;
        };
        if let Some(last) = attempt.last_token {
            attempt.suspicion.record_gap(now.duration_since(last));
        }
        attempt.last_token = Some(now);
        attempt.last_heard = now;
        attempt.engine_dead_since = None;
    }
}

/// Appends the tokens that extend a run ending at `next`, and drops those already there.
///
/// A run that starts after `next` is dropped whole: it would leave a gap.
fn append_contiguous(
    run: &mut TokenBuffer,
    next: usize,
    offset: usize,
    tokens: &TokenBuffer,
    stats: &mut GenerationStats,
) {
    let repeated = next.saturating_sub(offset).min(tokens.len());
    if offset > next {
        stats.tokens_dropped += tokens.len() as u64;
        return;
    }
    stats.tokens_dropped += repeated as u64;
    run.extend_from(tokens, repeated);
}
