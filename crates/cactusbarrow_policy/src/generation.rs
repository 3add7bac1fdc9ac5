//! State machine of one generation at the router: attempts, splicing and resumption.
//!
//! A token is accepted only from the current attempt and only at the next
//! offset. A new attempt starts from exactly the tokens accepted so far, so
//! the caller always receives one consistent generation.

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
    /// Number of tokens that the caller already had when this router took over.
    delivered_at_takeover: usize,
    current: Option<Attempt>,
    standby: Option<Attempt>,
    /// Tokens of the current attempt that are withheld from the caller during a move.
    withheld_tokens: Option<TokenBuffer>,
    move_at: Option<Instant>,
    last_attempt: AttemptNumber,
    /// Number of refusals and failed moves since the last accepted token.
    retries: u32,
    retry_at: Option<Instant>,
    last_progress_at: Instant,
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

    /// Takes over a running generation; `attempt` is read again from its first token on.
    ///
    /// The caller already has `delivered` tokens. If the attempt fails before it delivers as
    /// many, the generation is given up: another attempt could produce different tokens.
    pub fn take_over(
        cfg: GenerationConfig,
        attempt: AttemptNumber,
        delivered: usize,
        now: Instant,
    ) -> Self {
        let mut generation = Self::new(cfg, now);
        generation.last_attempt = attempt;
        generation.delivered_at_takeover = delivered;
        generation.stats.attempts = 1;
        generation.may_have_run = true;
        generation.current = Some(Attempt::new(attempt, cfg.suspicion, now));
        generation
    }

    fn new(cfg: GenerationConfig, now: Instant) -> Self {
        Self {
            cfg,
            accepted: TokenBuffer::new(),
            delivered_at_takeover: 0,
            current: None,
            standby: None,
            withheld_tokens: None,
            move_at: None,
            last_attempt: AttemptNumber::default(),
            retries: 0,
            retry_at: None,
            last_progress_at: now,
            last_reason: Reason::NoBackend,
            may_have_run: false,
            done: false,
            stats: GenerationStats::default(),
        }
    }

    /// Returns whether an engine may have begun to run the generation.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the tokens accepted so far.
    pub fn accepted(&self) -> &TokenBuffer {
        &self.accepted
    }

    /// Returns true once the generation is complete or given up.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> GenerationStats {
        self.stats
    }

    /// Returns the attempt whose tokens are accepted.
    pub fn current_attempt(&self) -> Option<AttemptNumber> {
        self.current.as_ref().map(|attempt| attempt.number)
    }

    /// Marks an attempt as queued for capacity; it is not suspected until it is launched.
    pub fn set_queued(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.attempt_mut(number) {
            attempt.is_queued = true;
        }
    }

    /// Returns when the generation is given up unless another token is accepted.
    pub fn give_up_at(&self) -> Instant {
        let timeout = if self.accepted.is_empty() {
            self.cfg.first_progress_timeout
        } else {
            self.cfg.progress_timeout
        };
        self.last_progress_at + timeout
    }

    /// Returns when [`GenerationEvent::Tick`] is due.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.done {
            return None;
        }
        let deadline = self.give_up_at();
        let suspect = match (&self.current, &self.standby) {
            (Some(current), None) => current.suspect_at(),
            (_, Some(standby)) => standby.suspect_at(),
            (None, None) => self.retry_at,
        };
        [suspect, self.move_at, Some(deadline)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Applies an event and returns the actions to perform.
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
            } => self.on_heartbeat(attempt, engine_alive, now),
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
            attempt.sent_at = now;
            attempt.last_contact_at = now;
        }
    }

    fn on_heartbeat(&mut self, number: AttemptNumber, engine_alive: bool, now: Instant) {
        self.may_have_run = true;
        if let Some(attempt) = self.attempt_mut(number) {
            attempt.last_contact_at = now;
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
            if let Some(withheld) = &mut self.withheld_tokens {
                let next = self.accepted.len() + withheld.len();
                append_contiguous(withheld, next, offset, tokens, &mut self.stats);
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

    /// Starts the attempt to which the generation moves.
    ///
    /// Further tokens of the old attempt are withheld until the new one delivers or fails.
    fn start_move(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) {
        let is_caught_up = self.accepted.len() >= self.delivered_at_takeover;
        if is_caught_up && self.current.is_some() && self.standby.is_none() {
            self.move_at = None;
            self.withheld_tokens = Some(TokenBuffer::new());
            self.standby = Some(self.new_attempt(now, actions));
        }
    }

    /// Aborts a move whose new attempt failed, and schedules the next one after a back-off.
    fn abort_move(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        actions: &mut Vec<GenerationAction>,
    ) {
        if self.withheld_tokens.is_some() {
            self.release_withheld(now, actions);
            self.move_at = Some(now + self.cfg.backoff.delay(self.retries, rng));
            self.retries += 1;
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
        let withheld = self.withheld_tokens.as_ref().map_or(0, TokenBuffer::len);
        if length != self.accepted.len() + withheld {
            self.replace_current(Reason::AgentLost, now, actions);
            return;
        }
        self.release_withheld(now, actions);
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
        self.abort_move(now, rng, actions);
        if let Some(current) = &mut self.current {
            // If the agent was silent, its time-out starts again, so that the next standby is not
            // started at once.
            current.last_contact_at = current.last_contact_at.max(now);
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
        if self.give_up_if_behind(actions) {
            return;
        }
        self.current = None;
        if self.standby.is_some() {
            self.promote_standby(actions);
            return;
        }
        // Once the caller has tokens, the back-off does not grow, since the caller waits for the
        // next token.
        let retry = if self.accepted.is_empty() {
            self.retries
        } else {
            0
        };
        let delay = self.cfg.backoff.delay(retry, rng);
        self.retries += 1;
        self.retry_at = Some(now + delay);
    }

    fn on_tick(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Vec<GenerationAction>) {
        if now >= self.give_up_at() {
            // An attempt that was neither refused nor heard from may have run.
            self.cancel_current(false, actions);
            self.drop_standby(false, actions);
            self.give_up(self.outcome(), self.last_reason, actions);
            return;
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.start_current(now, actions);
            return;
        }
        if self.standby.as_ref().is_some_and(|s| s.is_suspect(now)) {
            self.drop_standby(true, actions);
            self.abort_move(now, rng, actions);
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
        if self.give_up_if_behind(actions) {
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
        if self.give_up_if_behind(actions) {
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
        self.last_progress_at = now;
        self.retries = 0;
        actions.push(GenerationAction::Emit { from, to });
        true
    }

    fn release_withheld(&mut self, now: Instant, actions: &mut Vec<GenerationAction>) {
        if let Some(withheld) = self.withheld_tokens.take() {
            self.accept(self.accepted.len(), &withheld, now, actions);
        }
    }

    fn promote_standby(&mut self, actions: &mut Vec<GenerationAction>) {
        // Withheld tokens are dropped: the new attempt continues after the last accepted token.
        let withheld = self.withheld_tokens.take();
        self.cancel_current(withheld.is_none(), actions);
        self.stats.tokens_dropped += withheld.map_or(0, |withheld| withheld.len() as u64);
        self.current = self.standby.take();
        self.move_at = None;
    }

    fn drop_standby(&mut self, is_suspect: bool, actions: &mut Vec<GenerationAction>) {
        if let Some(attempt) = self.standby.take() {
            self.may_have_run |= !attempt.is_queued;
            actions.push(GenerationAction::Cancel {
                attempt: attempt.number,
                is_suspect,
            });
        }
    }

    fn cancel_current(&mut self, is_suspect: bool, actions: &mut Vec<GenerationAction>) {
        if let Some(attempt) = self.current.take() {
            self.may_have_run |= !attempt.is_queued;
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
        self.last_attempt = self.last_attempt.next();
        self.stats.attempts += 1;
        actions.push(GenerationAction::Start {
            attempt: self.last_attempt,
            prefix: self.accepted.len(),
        });
        Attempt::new(self.last_attempt, self.cfg.suspicion, now)
    }

    /// Gives up the generation if the caller already has more tokens than are accepted.
    fn give_up_if_behind(&mut self, actions: &mut Vec<GenerationAction>) -> bool {
        let is_behind = self.accepted.len() < self.delivered_at_takeover;
        if is_behind {
            self.give_up(Outcome::Failed, Reason::GenerationLost, actions);
        }
        is_behind
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
        if let Some(last) = attempt.last_token_at {
            attempt.timeouts.record_gap(now.duration_since(last));
        }
        attempt.last_token_at = Some(now);
        attempt.last_contact_at = now;
        attempt.engine_dead_since = None;
    }
}

/// Appends the tokens that extend a run ending at `next`, and drops those already in it.
///
/// Tokens that start after `next` are all dropped, since they would leave a gap.
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
