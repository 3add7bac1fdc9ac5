//! The event stream of one generation across all its attempts.

mod starting;
mod target;
mod waiting;

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{EngineResponse, is_generation_event};
use cactusbarrow_net::{BodyFraming, Clock, RawEvent, RequestHolding};
use cactusbarrow_policy::{
    AttemptStart, BackendKey, GenerationSize, GenerationTimes, Outcome, Reason, RequestParts,
    ResumeAction, ResumeEvent, ResumePlan, SoftwareId, StreamEnd,
};
use http::HeaderMap;
use tokio_util::sync::CancellationToken;

use super::attempt::{Attempt, AttemptItem, AttemptTarget, OpenResult, RunningAttempt};
use super::copy_manager::Holder;
use crate::request::{AdmittedRequest, draw_shutdown_retry, generation_size};
use crate::stream_origins;
use crate::{prompt_search, quarantine};
use starting::StartingAttempt;
use waiting::EngineWait;

/// Time-out of the first event from a live engine, as a multiple of the latency objective.
const FIRST_EVENT_TIMEOUT_OBJECTIVES: u32 = 2;

/// Time-out between two events from a live engine, as a multiple of the tolerated pause.
const STALL_TIMEOUT_PAUSES: u32 = 2;

/// Tolerated pause between events where the route states none.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_secs(1);

/// Time for which an attempt at a suspected engine stays open beside its successor: an engine
/// declines within it, and two engines must not work on a generation for longer.
const FALLBACK_TIME: Duration = Duration::from_millis(300);

/// The next item that a generation delivers to its caller.
pub(crate) enum GenerationItem {
    /// The next event.
    Event(Bytes),
    /// The generation is complete.
    End,
    /// An engine's response that is not an event stream.
    Response(EngineResponse, Bytes, BodyFraming),
    /// The generation cannot be completed.
    Refused {
        /// Whether the generation may have run.
        outcome: Outcome,
        /// Reason of the refusal.
        reason: Reason,
    },
}

/// Result of opening an attempt beside an earlier one at a suspected engine.
enum OpenBeside<C: Clock> {
    /// The attempt was opened or has failed; the earlier one follows if it may still go on.
    Opened(OpenResult<C>, Option<Box<RunningAttempt<C>>>),
    /// The earlier attempt goes on with this item.
    FallbackGoesOn(Box<RunningAttempt<C>>, AttemptItem),
}

/// A generation with its plan and its current attempt.
pub(crate) struct GenerationStream<C: Clock> {
    req: AdmittedRequest<C>,
    plan: ResumePlan,
    next_start: AttemptStart,
    parts: RequestParts,
    /// Start of the current attempt, until its response has clearly begun.
    starting: Option<StartingAttempt>,
    /// Whether it is recorded that the response of the current attempt has begun.
    is_begun_recorded: bool,
    running: Option<Box<RunningAttempt<C>>>,
    /// Attempt at a suspected engine, which goes on if its successor is declined.
    fallback: Option<Box<RunningAttempt<C>>>,
    /// Wait before the next attempt.
    wait: Option<EngineWait>,
    /// Waits since the last event.
    wait_count: u32,
    /// Holder of the last attempt's copy.
    holder: Option<Holder>,
    head: Option<HeaderMap>,
    /// Software version that brought the first event; any version may bring it.
    software: Option<SoftwareId>,
    last_event: Option<u64>,
    /// What shows that the stream is complete.
    end: StreamEnd,
    attempt_count: u64,
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    /// Start of the current attempt, its last event, or when it was last kept although stalled,
    /// whichever is latest.
    last_progress_at: Instant,
    longest_pause: Duration,
    /// Whether the end of the generation has been reported to the caller.
    is_concluded: bool,
    /// Whether the caller is known to have disconnected.
    is_caller_gone: bool,
}

impl<C: Clock> Drop for GenerationStream<C> {
    fn drop(&mut self) {
        if self.is_concluded {
            return;
        }
        let is_cut = self.req.shared.exit().is_cancelled() && !self.is_caller_gone;
        if is_cut {
            log::warn!(
                request_id = self.request_id(),
                reason = Reason::ShuttingDown.as_str(),
                last_event = self.last_event(),
                elapsed_ms = self.elapsed_ms();
                "generation cut at the exit of the process"
            );
            return;
        }
        log::info!(
            request_id = self.request_id(),
            reason = Reason::CallerGone.as_str(),
            last_event = self.last_event(),
            elapsed_ms = self.elapsed_ms();
            "caller disconnected before its generation ended"
        );
    }
}

impl<C: Clock> GenerationStream<C> {
    pub(crate) fn new(req: AdmittedRequest<C>, can_resume: bool) -> Self {
        Self {
            plan: ResumePlan::new(can_resume, req.max_runs),
            next_start: AttemptStart::ReadPrompt,
            parts: req.request_parts(),
            starting: None,
            is_begun_recorded: false,
            running: None,
            fallback: None,
            wait: None,
            wait_count: 0,
            holder: None,
            head: None,
            software: None,
            last_event: req.caller.last_event_id,
            end: StreamEnd::default(),
            attempt_count: 0,
            first_event_at: None,
            last_event_at: None,
            last_progress_at: req.arrived,
            longest_pause: Duration::ZERO,
            is_concluded: false,
            is_caller_gone: false,
            req,
        }
    }

    pub(crate) fn request_id(&self) -> &str {
        &self.req.caller.request_id
    }

    /// Returns what the request takes of the memory of the process.
    pub(crate) fn holding(&self) -> RequestHolding {
        self.req.holding.clone()
    }

    pub(crate) fn last_event(&self) -> u64 {
        self.last_event.unwrap_or(0)
    }

    pub(crate) fn attempt_count(&self) -> u64 {
        self.attempt_count
    }

    pub(crate) fn first_event_ms(&self) -> u64 {
        let first = self.first_event_at.unwrap_or(self.req.arrived);
        first
            .saturating_duration_since(self.req.arrived)
            .as_millis() as u64
    }

    pub(crate) fn longest_pause_ms(&self) -> u64 {
        self.longest_pause.as_millis() as u64
    }

    pub(crate) fn time_left_ms(&self) -> u64 {
        self.req.time_left().as_millis() as u64
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.req.shared.elapsed_since(self.req.arrived).as_millis() as u64
    }

    /// Records that the end of the generation is reported to the caller.
    pub(crate) fn mark_concluded(&mut self) {
        self.is_concluded = true;
    }

    /// Records that the caller has disconnected, unless the process exits, which ends its connections in any order.
    pub(crate) fn mark_caller_gone(&mut self) {
        self.is_caller_gone = !self.req.shared.exit().is_cancelled();
    }

    /// Records the pace of a complete generation.
    pub(crate) fn record_complete(&self) {
        let shared = &self.req.shared;
        if let Some(first_event) = self.first_event_at {
            let times = GenerationTimes {
                size: self.size(),
                arrived: self.req.arrived,
                first_event,
                end: shared.now(),
                last_event: self.last_event(),
            };
            shared.pace().record(&self.req.route, &times);
        }
    }

    /// Finds the software version that began a stream which the caller resumes; returns false if it
    /// is not known.
    pub(crate) async fn find_origin(&mut self) -> bool {
        let req = &self.req;
        if req.caller.last_event_id.is_none() {
            return true;
        }
        let resumes = req.caller.resumes.as_deref();
        let find = stream_origins::find(&req.shared, resumes, &req.service);
        // A silent store must not keep the caller past its deadline.
        let found = tokio::time::timeout(req.time_left(), find).await;
        let found = found.ok().flatten();
        let source = found.map_or("none", |(_, source)| source.as_str());
        metrics::counter!("gateway_caller_resumes_total", "origin" => source).increment(1);
        log::info!(
            request_id = self.request_id(),
            resumes = resumes.unwrap_or("none"),
            origin = source,
            last_event = self.last_event(),
            elapsed_ms = self.elapsed_ms();
            "caller resumes a stream"
        );
        self.software = found.map(|(software, _)| software);
        found.is_some()
    }

    /// Searches for the engine with the cached prompt of a generation that another gateway served
    /// in part.
    pub(crate) async fn find_cached_prompt(&self) {
        let req = &self.req;
        let is_continued = req.caller.last_event_id.is_some();
        let now = req.shared.now();
        let is_not_located = |prompt| req.shared.prompts().find(prompt, now).is_none();
        if is_continued && req.prompt().is_some_and(is_not_located) {
            prompt_search::search(&req.shared, &req.service).await;
        }
    }

    /// Returns whether the generation can be complete before its deadline.
    pub(crate) fn can_complete(&self) -> bool {
        let is_cached = self.cached_at().is_some();
        let req = &self.req;
        let pace = req.shared.pace();
        pace.can_complete(
            &req.route,
            &self.size(),
            is_cached,
            req.time_left(),
            req.shared.now(),
        )
    }

    /// Returns the size of the generation as the caller requested it.
    fn size(&self) -> GenerationSize {
        generation_size(&self.req.caller)
    }

    /// Returns the engine that has the prompt cached, as the hash of its instance.
    fn cached_at(&self) -> Option<u64> {
        let shared = &self.req.shared;
        let now = shared.now();
        let engine = shared.prompts().find(self.req.prompt()?, now)?;
        shared.fleet().is_healthy(engine, now).then_some(engine)
    }

    /// Draws the delay after which the caller may retry a generation that was refused for `reason`.
    pub(crate) fn retry_after(&self, reason: Reason) -> Duration {
        if reason == Reason::ShuttingDown {
            return draw_shutdown_retry(&self.req.shared);
        }
        let backoff_wait = self.req.backoff_wait(&[]);
        let limit_wait = || self.req.limit_wait(self.plan.excluded());
        backoff_wait
            .or_else(limit_wait)
            .unwrap_or_else(|| self.req.retry_after())
    }

    /// Takes the response headers of the first engine that sent an event.
    pub(crate) fn take_head(&mut self) -> HeaderMap {
        self.head.take().unwrap_or_default()
    }

    /// Waits for the next item, across as many attempts as the plan allows.
    pub(crate) async fn next(&mut self) -> GenerationItem {
        loop {
            if self.req.time_left().is_zero() {
                return self.refusal(Reason::RouteTimeout);
            }
            let until = self.next_event_deadline();
            let Some(running) = &mut self.running else {
                match self.start_attempt().await {
                    Some(GenerationItem::Refused { .. }) if self.resume_fallback() => continue,
                    Some(item) => return item,
                    None => continue,
                }
            };
            let RunningAttempt { attempt, copies } = &mut **running;
            let has_read_prompt = attempt.has_read_prompt();
            let refused = quarantine::wait_until_refused(&self.req.shared, &self.parts);
            let received = tokio::select! {
                biased;
                received = attempt.next(until) => received,
                () = refused, if !has_read_prompt && self.last_event_at.is_none() => {
                    return self.refusal(Reason::QuarantinedPrompt);
                }
                event = copies.next_event(), if has_read_prompt => {
                    copies.handle(event, &self.req.caller.request_id, self.plan.excluded());
                    continue;
                }
            };
            if let Some(item) = self.handle_item(received) {
                return item;
            }
        }
    }

    /// Returns when the stream is considered stalled although its engine is alive.
    fn next_event_deadline(&self) -> Instant {
        let running = self.running.as_ref();
        let has_read_prompt = running.is_some_and(|running| running.attempt.has_read_prompt());
        let timeout = match (self.last_event_at, has_read_prompt) {
            (None, _) => self.req.objective * FIRST_EVENT_TIMEOUT_OBJECTIVES,
            // The engine first has to read the prompt, or the part that the copy lacks.
            (Some(_), false) => self.req.objective,
            (Some(_), true) => {
                self.req.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE) * STALL_TIMEOUT_PAUSES
            }
        };
        (self.last_progress_at + timeout).min(self.req.deadline)
    }

    /// Handles an item of the current attempt; returns the caller's next item, if there is one.
    fn handle_item(&mut self, received: AttemptItem) -> Option<GenerationItem> {
        let event = match received {
            AttemptItem::Event(event) => match self.accept_event(event) {
                Ok(bytes) => return Some(GenerationItem::Event(bytes)),
                Err(event) => event,
            },
            // A generation has at least one event.
            AttemptItem::End if self.last_event.is_none() => ResumeEvent::Broken,
            AttemptItem::End if !self.is_complete() => ResumeEvent::Unconfirmed,
            AttemptItem::End => {
                self.store_head();
                self.record_begun();
                if let Some(running) = &self.running {
                    running.copies.release();
                }
                return Some(GenerationItem::End);
            }
            AttemptItem::Failed(event) => self.judge_running(event)?,
        };
        let mut has_progress = false;
        if let Some(running) = self.running.take() {
            has_progress = running.attempt.has_read_prompt();
            self.holder = self.usable_holder(&running).cloned();
            let key = self.holder.as_ref().map(|holder| holder.key);
            self.plan.record_holder(key);
            if event.is_suspicion() {
                self.fallback = Some(running);
            }
        }
        self.handle_attempt_end(event, has_progress)
    }

    /// Returns whether the end of the current attempt's stream is that of the generation.
    fn is_complete(&mut self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        let end = running.attempt.end();
        if !end.has_events && self.last_event_at.is_some() {
            self.end.record_break();
        }
        let shared = &self.req.shared;
        let (service, excluded) = (&self.req.service, self.plan.excluded());
        let is_only_engine = excluded.len() == 1
            && !shared
                .fleet()
                .may_recover(service, self.software, excluded, shared.now());
        self.end.is_complete(end, is_only_engine)
    }

    /// Returns to the attempt at the suspected engine, if there is one, because no other engine
    /// accepted the generation.
    fn resume_fallback(&mut self) -> bool {
        let Some(mut running) = self.fallback.take() else {
            return false;
        };
        running.attempt.keep(ResumeEvent::Stalled);
        self.starting = None;
        self.last_progress_at = self.req.shared.now();
        self.running = Some(running);
        true
    }

    /// Decides whether the running attempt ends; returns `None` if it is kept.
    fn judge_running(&mut self, event: ResumeEvent) -> Option<ResumeEvent> {
        if !event.is_suspicion() {
            return Some(event);
        }
        let key = self.running.as_ref()?.attempt.key;
        let verdict = self.judge(key, event);
        if verdict.is_none()
            && let Some(running) = &mut self.running
        {
            running.attempt.keep(event);
            if event == ResumeEvent::Stalled {
                self.last_progress_at = self.req.shared.now();
            }
        }
        verdict
    }

    /// Decides whether a suspicion ends an attempt; returns `None` if the attempt is kept.
    ///
    /// A suspected engine may be sound and go on, so it is left only for a healthy one that may
    /// run the generation next. The retry for that is then taken from the budget.
    fn judge(&self, key: BackendKey, suspicion: ResumeEvent) -> Option<ResumeEvent> {
        let shared = &self.req.shared;
        if shared.fleet().is_gone(key, shared.now()) {
            return Some(ResumeEvent::Gone);
        }
        let is_left = self.plan.allows_another_run()
            && self.has_healthy_successor()
            && shared.try_retry(&self.req.service);
        is_left.then_some(suspicion)
    }

    /// Accepts an event if its id follows the last one.
    fn accept_event(&mut self, event: RawEvent) -> Result<Bytes, ResumeEvent> {
        let expected = self.last_event.map(|last| last + 1);
        // Bytes that are no events of the generation have no ids.
        let next = event
            .id
            .filter(|id| expected.is_none_or(|expected| *id == expected));
        let Some(id) = next else {
            log::warn!(
                request_id = self.request_id(),
                expected = expected,
                received = event.id;
                "event id does not follow the last one"
            );
            return Err(ResumeEvent::Broken);
        };
        if !is_generation_event(&event.bytes) {
            log::warn!(
                request_id = self.request_id(),
                received = id;
                "event has other bytes than those of an event"
            );
            return Err(ResumeEvent::Broken);
        }
        self.last_event = Some(id);
        self.record_delivery();
        self.plan.record_progress();
        self.wait_count = 0;
        let now = self.req.shared.now();
        self.last_progress_at = now;
        self.record_attempt_event(now);
        if let Some(at) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_duration_since(at));
        } else {
            self.first_event_at = Some(now);
            self.store_head();
            self.record_origin();
        }
        Ok(event.bytes)
    }

    /// Records that the current attempt delivers an event; an earlier one that did has broken off.
    fn record_delivery(&mut self) {
        let running = self.running.as_mut();
        let is_first = running.is_some_and(|running| running.attempt.record_delivery());
        if is_first && self.last_event_at.is_some() {
            self.end.record_break();
        }
        self.end.record_event();
    }

    /// Records which software version brought the first event.
    fn record_origin(&mut self) {
        let Some(running) = &self.running else {
            return;
        };
        let software = running.attempt.software;
        self.software = Some(software);
        let caller = &self.req.caller;
        let first = match caller.last_event_id {
            None => Some(&caller.request_id),
            Some(_) => caller.resumes.as_ref(),
        };
        if let Some(request_id) = first {
            stream_origins::record(&self.req.shared, request_id, &self.req.service, software);
        }
    }

    fn store_head(&mut self) {
        if let Some(running) = &self.running
            && self.head.is_none()
        {
            self.head = Some(running.attempt.head.headers.clone());
        }
    }

    /// Starts the next attempt; returns the caller's last item if there is none.
    async fn start_attempt(&mut self) -> Option<GenerationItem> {
        // The parts of a prompt to which a response has begun are not at fault.
        let may_be_deadly = self.last_event_at.is_none();
        if let Some(wait) = self.wait.take() {
            return self.wait_for_engine(wait).await;
        }
        if may_be_deadly {
            quarantine::settle(&self.req.shared, &self.parts).await;
        }
        if may_be_deadly && self.quarantine_time_left().is_some() {
            return Some(self.refusal(Reason::QuarantinedPrompt));
        }
        if self.last_event_at.is_none() && !self.req.ends_before_exit() {
            return Some(self.refusal(Reason::ShuttingDown));
        }
        self.wait_for_stored_version().await;
        let mut target = self.choose_target();
        if target.is_none() && self.fallback.is_none() && self.plan.readmit_suspected() {
            target = self.choose_target();
        }
        let Some(target) = target else {
            return self.decide_without_engine();
        };
        self.attempt_count += 1;
        log::info!(
            request_id = self.request_id(),
            instance = &*target.entry.instance,
            peer:% = target.entry.address,
            zone = &*target.entry.zone,
            software = &*target.entry.software.0,
            copy = target.holder.as_ref().map_or("none", |h| &*h.entry.instance),
            from_copy = target.resume_from.is_some(),
            kept = target.is_cached,
            shared_parts = self.req.caller.shared_parts.join(","),
            last_event = self.last_event(),
            attempt = self.attempt_count,
            elapsed_ms = self.elapsed_ms();
            "generation placed"
        );
        let holder = target.holder.as_ref().map(|holder| holder.key);
        self.plan.record_start(target.key, holder);
        let timeout = self
            .req
            .time_left()
            .min(self.req.objective * FIRST_EVENT_TIMEOUT_OBJECTIVES);
        let fallback = self.fallback.take();
        self.record_attempt_start(target.entry.clone());
        let refused = quarantine::wait_until_refused(&self.req.shared, &self.parts);
        let result = tokio::select! {
            biased;
            result = self.open_beside(fallback, target, timeout) => result,
            () = refused, if may_be_deadly => {
                return Some(self.refusal(Reason::QuarantinedPrompt));
            }
        };
        match result {
            OpenBeside::Opened(opened, fallback) => {
                self.fallback = fallback;
                self.handle_opened(opened)
            }
            OpenBeside::FallbackGoesOn(running, item) => {
                self.plan.record_withdrawn();
                self.fallback = Some(running);
                self.resume_fallback();
                self.handle_item(item)
            }
        }
    }

    /// Handles the result of opening an attempt; returns the caller's next item, if there is one.
    fn handle_opened(&mut self, opened: OpenResult<C>) -> Option<GenerationItem> {
        let event = match opened {
            OpenResult::Streaming(running) => {
                self.fallback = None;
                self.last_progress_at = self.req.shared.now();
                self.running = Some(running);
                return None;
            }
            OpenResult::Responded(head, body, framing) => {
                let event = if head.status.is_server_error() {
                    ResumeEvent::Failed
                } else {
                    ResumeEvent::Rejected
                };
                let item = self.handle_attempt_end(event, false);
                return match item {
                    Some(GenerationItem::Refused { .. }) if self.last_event_at.is_none() => {
                        Some(GenerationItem::Response(head, body, framing))
                    }
                    item => item,
                };
            }
            OpenResult::Failed(event) => event,
            OpenResult::Expired => return Some(self.refusal(Reason::RouteTimeout)),
        };
        self.handle_attempt_end(event, false)
    }

    /// Opens an attempt unless an earlier one at a suspected engine goes on; the earlier one is
    /// returned unless it has ended or [`FALLBACK_TIME`] has passed.
    async fn open_beside(
        &self,
        fallback: Option<Box<RunningAttempt<C>>>,
        target: AttemptTarget,
        timeout: Duration,
    ) -> OpenBeside<C> {
        let key = target.key;
        let judge = |suspicion| self.judge(key, suspicion);
        let open = Attempt::open(&self.req, target, self.last_event, timeout, judge);
        let mut open = pin!(open);
        if let Some(mut earlier) = fallback {
            let item = tokio::select! {
                biased;
                opened = &mut open => return OpenBeside::Opened(opened, Some(earlier)),
                item = earlier.attempt.next_while_suspected() => Some(item),
                () = tokio::time::sleep(FALLBACK_TIME) => None,
            };
            if let Some(item @ (AttemptItem::Event(_) | AttemptItem::End)) = item {
                return OpenBeside::FallbackGoesOn(earlier, item);
            }
        }
        OpenBeside::Opened(open.await, None)
    }

    /// Asks the plan what follows the end of an attempt; returns the caller's last item if there
    /// is no other attempt.
    ///
    /// `has_progress` tells whether the attempt delivered an event.
    fn handle_attempt_end(
        &mut self,
        event: ResumeEvent,
        has_progress: bool,
    ) -> Option<GenerationItem> {
        self.record_attempt_end(event);
        // A request that never arrived is not repeated, so it takes nothing from the retry budget.
        // A suspected engine is left only with a retry that was taken from the budget.
        let needs_no_budget = !event.has_arrived() || event.is_suspicion();
        let has_budget = needs_no_budget || self.req.shared.try_retry(&self.req.service);
        let action = self.plan.decide(event, has_progress, has_budget);
        metrics::counter!("gateway_retries_total", "kind" => "generation", "reason" => event.reason().as_str())
            .increment(1);
        log::info!(
            request_id = self.request_id(),
            cause = event.reason().as_str(),
            last_event = self.last_event(),
            next = action.name(),
            retry_budget = has_budget,
            elapsed_ms = self.elapsed_ms();
            "attempt of a generation ended"
        );
        self.apply(action)
    }

    /// Applies a decision of the plan; returns the caller's last item if there is no other attempt.
    fn apply(&mut self, action: ResumeAction) -> Option<GenerationItem> {
        match action {
            ResumeAction::Start(start) => {
                self.next_start = start;
                None
            }
            ResumeAction::Wait {
                needs_retry,
                reason,
            } => {
                if !self.resume_fallback() {
                    self.wait = Some(EngineWait {
                        needs_retry,
                        reason,
                    });
                }
                None
            }
            ResumeAction::Deliver => Some(self.refusal(Reason::BackendError)),
            ResumeAction::Refuse { outcome, reason } => {
                Some(GenerationItem::Refused { outcome, reason })
            }
        }
    }

    /// Returns the token that is cancelled when the generation must be answered, since the process
    /// exits.
    pub(crate) fn exit(&self) -> CancellationToken {
        self.req.shared.exit().clone()
    }

    /// Returns the refusal of the generation as it stands.
    pub(crate) fn refusal(&self, reason: Reason) -> GenerationItem {
        GenerationItem::Refused {
            outcome: self.plan.outcome(),
            reason,
        }
    }
}
