//! The course of one generation over all its attempts.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::EngineResponse;
use cactusbarrow_net::{Clock, RawEvent};
use cactusbarrow_policy::{
    AttemptStart, BackendEntry, BackendKey, BackendWork, GenerationSize, GenerationTimes, Outcome,
    PlacementRequest, Reason, ResumeAction, ResumeEvent, ResumePlan, stable_hash,
};
use http::HeaderMap;

use super::attempt::{Attempt, Opened, Received, Running, Target};
use super::copies::Holder;
use crate::prompt_search;
use crate::request::Admitted;

/// Waits for the first event at a live engine, in latency objectives.
const FIRST_EVENT_OBJECTIVES: u32 = 2;

/// Pauses between events at a live engine, in tolerated pauses.
const STALL_PAUSES: u32 = 2;

/// Tolerated pause where the route states none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

/// What a generation brings its caller next.
pub(crate) enum Step {
    /// The next event.
    Event(Bytes),
    /// The generation is complete.
    End,
    /// An engine's answer that is no stream.
    Answer(EngineResponse, Bytes),
    /// There is nothing more.
    Refused {
        /// Whether the generation may have run.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
}

/// A generation, its plan and its present attempt.
pub(crate) struct Course<C: Clock> {
    req: Admitted<C>,
    plan: ResumePlan,
    next_start: AttemptStart,
    running: Option<Box<Running<C>>>,
    /// Keeps the copy that the last attempt left.
    holder: Option<Holder>,
    head: Option<HeaderMap>,
    last_event: Option<u64>,
    engines: u64,
    first_event_at: Option<Instant>,
    event_at: Option<Instant>,
    /// Start of the present attempt or its last event, whichever is later.
    progress_at: Instant,
    longest_pause: Duration,
    /// Whether the caller was told how its generation ended.
    is_concluded: bool,
}

impl<C: Clock> Drop for Course<C> {
    fn drop(&mut self) {
        if self.is_concluded {
            return;
        }
        log::info!(
            request_id = self.request_id(),
            reason = Reason::CallerGone.as_str(),
            last_event = self.last_event(),
            elapsed_ms = self.elapsed_ms();
            "caller left its generation"
        );
    }
}

impl<C: Clock> Course<C> {
    pub(crate) fn new(req: Admitted<C>, can_resume: bool) -> Self {
        Self {
            plan: ResumePlan::new(can_resume, req.attempts),
            next_start: AttemptStart::ReadPrompt,
            running: None,
            holder: None,
            head: None,
            last_event: req.caller.last_event_id,
            engines: 0,
            first_event_at: None,
            event_at: None,
            progress_at: req.arrived,
            longest_pause: Duration::ZERO,
            is_concluded: false,
            req,
        }
    }

    pub(crate) fn request_id(&self) -> &str {
        &self.req.caller.request_id
    }

    pub(crate) fn last_event(&self) -> u64 {
        self.last_event.unwrap_or(0)
    }

    pub(crate) fn engines(&self) -> u64 {
        self.engines
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

    /// Records that the caller is told how its generation ended.
    pub(crate) fn conclude(&mut self) {
        self.is_concluded = true;
    }

    /// Records the duration and the pace of a whole generation.
    pub(crate) fn record_complete(&self) {
        let shared = &self.req.shared;
        let took = shared.elapsed_since(self.req.arrived);
        shared.shutdown().record_generation(took);
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

    /// Looks for the prompt of a caller that has been served in part elsewhere.
    pub(crate) async fn find_prompt(&self) {
        let req = &self.req;
        let has_begun = req.caller.last_event_id.is_some();
        let now = req.shared.now();
        let is_unknown = |prompt| req.shared.prompts().find(prompt, now).is_none();
        if has_begun && req.prompt().is_some_and(is_unknown) {
            prompt_search::search(&req.shared, &req.service).await;
        }
    }

    /// Returns whether the caller still has the time for the whole generation.
    pub(crate) fn can_complete(&self) -> bool {
        let is_kept = self.kept_at().is_some();
        let req = &self.req;
        let pace = req.shared.pace();
        pace.can_complete(
            &req.route,
            &self.size(),
            is_kept,
            req.time_left(),
            req.shared.now(),
        )
    }

    /// Returns what the caller asked for when it came.
    fn size(&self) -> GenerationSize {
        let caller = &self.req.caller;
        GenerationSize {
            prompt_tokens: caller.prompt_tokens,
            output_tokens: caller.output_tokens,
            last_event: caller.last_event_id.unwrap_or(0),
        }
    }

    /// Returns the engine that still has the prompt in memory, by the hash of its instance.
    fn kept_at(&self) -> Option<u64> {
        let shared = &self.req.shared;
        let now = shared.now();
        let engine = shared.prompts().find(self.req.prompt()?, now)?;
        shared.fleet().is_usable(engine, now).then_some(engine)
    }

    /// Draws when the caller may come back after a refusal.
    pub(crate) fn retry_after(&self) -> Duration {
        self.req.retry_after()
    }

    /// Returns the head of the first engine that delivered an event.
    pub(crate) fn take_head(&mut self) -> HeaderMap {
        self.head.take().unwrap_or_default()
    }

    /// Waits for the next step, over as many engines as it takes.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            if self.req.time_left().is_zero() {
                return self.refused(Reason::RouteTimeout);
            }
            let until = self.next_event_due();
            let Some(running) = &mut self.running else {
                match self.start().await {
                    Some(step) => return step,
                    None => continue,
                }
            };
            let Running { attempt, copies } = &mut **running;
            let has_started = attempt.has_started();
            let received = tokio::select! {
                biased;
                received = attempt.next(until) => received,
                news = copies.news(), if has_started => {
                    copies.handle(news, &self.req.caller.request_id, self.plan.excluded());
                    continue;
                }
            };
            if let Some(step) = self.take(received) {
                return step;
            }
        }
    }

    /// Returns when a live engine has been silent on this stream for too long.
    fn next_event_due(&self) -> Instant {
        let running = self.running.as_ref();
        let has_started = running.is_some_and(|running| running.attempt.has_started());
        let patience = match (self.event_at, has_started) {
            (None, _) => self.req.objective * FIRST_EVENT_OBJECTIVES,
            // The prompt, or what the copy lacks, has to be read first.
            (Some(_), false) => self.req.objective,
            (Some(_), true) => self.req.pause_objective.unwrap_or(DEFAULT_PAUSE) * STALL_PAUSES,
        };
        (self.progress_at + patience).min(self.req.deadline)
    }

    /// Takes what the present attempt brought; returns a step if it gives the caller one.
    fn take(&mut self, received: Received) -> Option<Step> {
        let event = match received {
            Received::Event(event) => match self.accept(event) {
                Ok(bytes) => return Some(Step::Event(bytes)),
                Err(event) => event,
            },
            Received::End => {
                self.keep_head();
                if let Some(running) = &self.running {
                    running.copies.release();
                }
                return Some(Step::End);
            }
            Received::Ended(event) => event,
        };
        if let Some(running) = self.running.take() {
            self.holder = running.copies.holder().cloned();
            let key = self.holder.as_ref().map(|holder| holder.key);
            self.plan.record_copy(key);
        }
        self.decide(event)
    }

    /// Takes an event if it follows the last one.
    fn accept(&mut self, event: RawEvent) -> Result<Bytes, ResumeEvent> {
        if let Some(id) = event.id {
            let expected = self.last_event.map_or(id, |last| last + 1);
            if id != expected {
                log::warn!(
                    request_id = self.request_id(),
                    expected = expected,
                    received = id;
                    "event does not follow the one before"
                );
                return Err(ResumeEvent::Broken);
            }
            self.last_event = Some(id);
        }
        let now = self.req.shared.now();
        self.progress_at = now;
        if let Some(at) = self.event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_duration_since(at));
        } else {
            self.first_event_at = Some(now);
            self.keep_head();
        }
        Ok(event.bytes)
    }

    fn keep_head(&mut self) {
        if let Some(running) = &self.running
            && self.head.is_none()
        {
            self.head = Some(running.attempt.head.headers.clone());
        }
    }

    /// Starts the next attempt; returns a step if there will be none.
    async fn start(&mut self) -> Option<Step> {
        let Some(target) = self.target() else {
            return Some(self.refused(Reason::NoBackend));
        };
        self.engines += 1;
        log::info!(
            request_id = self.request_id(),
            instance = &*target.entry.instance,
            peer:% = target.entry.address,
            zone = &*target.entry.zone,
            copy = target.holder.as_ref().map_or("none", |h| &*h.entry.instance),
            from_copy = target.resume.is_some(),
            kept = target.is_kept,
            last_event = self.last_event(),
            attempt = self.engines,
            elapsed_ms = self.elapsed_ms();
            "generation placed"
        );
        let copy = target.holder.as_ref().map(|holder| holder.key);
        self.plan.record_start(target.key, copy);
        let timeout = self
            .req
            .time_left()
            .min(self.req.objective * FIRST_EVENT_OBJECTIVES);
        let event = match Attempt::open(&self.req, target, self.last_event, timeout).await {
            Opened::Streaming(running) => {
                self.progress_at = self.req.shared.now();
                self.running = Some(running);
                return None;
            }
            Opened::Answered(head, body) => {
                let event = if head.status.is_server_error() {
                    ResumeEvent::Failed
                } else {
                    ResumeEvent::Rejected
                };
                let step = self.decide(event);
                return match step {
                    Some(Step::Refused { .. }) if self.event_at.is_none() => {
                        Some(Step::Answer(head, body))
                    }
                    step => step,
                };
            }
            Opened::Ended(event) => event,
        };
        self.decide(event)
    }

    /// Asks the plan what follows the end of an attempt.
    fn decide(&mut self, event: ResumeEvent) -> Option<Step> {
        // What never arrived is no repeat.
        let has_arrived = event != ResumeEvent::NotConnected;
        let has_budget = !has_arrived || self.req.shared.try_retry(&self.req.service);
        let has_progress = self.last_event != self.req.caller.last_event_id;
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
        match action {
            ResumeAction::Start(start) => {
                self.next_start = start;
                None
            }
            ResumeAction::Deliver => Some(self.refused(event.reason())),
            ResumeAction::Refuse { outcome, reason } => Some(Step::Refused { outcome, reason }),
        }
    }

    fn refused(&self, reason: Reason) -> Step {
        Step::Refused {
            outcome: self.plan.outcome(),
            reason,
        }
    }

    /// Chooses where the next attempt runs and which engine keeps its copy.
    fn target(&self) -> Option<Target> {
        let shared = &self.req.shared;
        let now = shared.now();
        let cached_at = self.kept_at();
        let fleet = shared.fleet();
        let rng = &mut *shared.rng();
        let capacity = self.req.spec.kv_capacity;
        let work = self.work();
        let service = &*self.req.service;
        let excluded = self.plan.excluded();
        let entry_of = |key: BackendKey| -> Option<(BackendKey, BackendEntry)> {
            Some((key, fleet.get(key)?.entry.clone()))
        };
        let holder = match self.next_start {
            AttemptStart::ReadPrompt => None,
            AttemptStart::FromCopy(holder) => entry_of(holder),
        };
        let resume = holder
            .as_ref()
            .and(self.holder.as_ref())
            .map(|holder| holder.resume(self.request_id()));
        let (key, entry) = match holder {
            Some(holder) => holder,
            None => {
                let placement = PlacementRequest {
                    service,
                    capacity,
                    work,
                    excluded,
                    cached_at,
                };
                fleet
                    .choose_engine(&placement, now, rng)
                    .and_then(entry_of)?
            }
        };
        let copy = if self.req.spec.has_copies {
            let mut excluded = excluded.to_vec();
            excluded.push(key);
            fleet
                .choose_copy_holder(key, capacity, work, &excluded, now, rng)
                .and_then(entry_of)
                .map(|(key, entry)| Holder::of_backup(shared, key, entry))
        } else {
            None
        };
        Some(Target {
            key,
            holder: copy,
            resume,
            is_kept: cached_at == Some(stable_hash(entry.instance.as_bytes())),
            entry,
            work,
        })
    }

    fn work(&self) -> BackendWork {
        let caller = &self.req.caller;
        BackendWork {
            prompt_tokens: caller.prompt_tokens,
            memory_tokens: caller.prompt_tokens + caller.output_tokens,
        }
    }
}
