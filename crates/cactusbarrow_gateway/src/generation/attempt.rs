//! One attempt of a generation at one engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{CopyLocation, EngineRequest, EngineResponse, decode_engine_response};
use cactusbarrow_net::{
    BodyFraming, Clock, CollectedBody, EventSplitter, HeldBody, ProcessMemory, RawEvent,
};
use cactusbarrow_policy::{
    AttemptStreamEnd, BackendEntry, BackendKey, BackendWork, LossCause, PromptLocation,
    ResumeEvent, SoftwareId, stable_hash,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::task::AbortOnDropHandle;

use super::copy_manager::{CopyManager, Holder};
use super::loss_watch::LossWatch;
use crate::backend_connection::{BackendConnection, log_foreign_response, loss_cause};
use crate::incarnation_check;
use crate::request::AdmittedRequest;
use crate::shared::Shared;

/// Time-out of a connect. It is longer than the 200 ms after which a lost packet is
/// retransmitted at the earliest.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Size of the largest response that is not an event stream.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The engine of an attempt, the copies that it uses, and the load that it adds.
pub(crate) struct AttemptTarget {
    pub(crate) key: BackendKey,
    pub(crate) entry: BackendEntry,
    /// Holder to which the engine copies its memory.
    pub(crate) holder: Option<Holder>,
    /// Copy from which the attempt resumes.
    pub(crate) resume_from: Option<CopyLocation>,
    /// Whether the engine has the prompt cached, as far as is known.
    pub(crate) is_cached: bool,
    pub(crate) work: BackendWork,
}

/// Counts the generation's load at its engine until it is dropped.
struct LoadGuard<C: Clock> {
    shared: Arc<Shared<C>>,
    key: BackendKey,
    work: BackendWork,
    /// The prompt and its engine, if the caller names the prompt.
    location: Option<PromptLocation>,
    is_prompt_read: bool,
}

impl<C: Clock> LoadGuard<C> {
    /// Adds a generation's load to the engine of its next attempt.
    fn new(req: &AdmittedRequest<C>, target: &AttemptTarget) -> Self {
        let shared = req.shared.clone();
        let now = shared.now();
        shared
            .fleet()
            .start_generation(target.key, target.work, now);
        shared.load_change().notify();
        let location = req.prompt().map(|prompt| PromptLocation {
            prompt,
            engine: stable_hash(target.entry.instance.as_bytes()),
        });
        Self {
            shared,
            key: target.key,
            work: target.work,
            location,
            is_prompt_read: false,
        }
    }
}

impl<C: Clock> Drop for LoadGuard<C> {
    fn drop(&mut self) {
        self.shared
            .fleet()
            .end_generation(self.key, self.work, self.is_prompt_read);
        if let Some(location) = self.location {
            self.shared.prompts().end(location);
        }
        self.shared.load_change().notify();
    }
}

/// An attempt whose engine sends events, and the manager of its copies.
pub(crate) struct RunningAttempt<C: Clock> {
    pub(crate) attempt: Attempt<C>,
    pub(crate) copies: CopyManager<C>,
}

/// Result of opening an attempt.
pub(crate) enum OpenResult<C: Clock> {
    /// The engine sends events.
    Streaming(Box<RunningAttempt<C>>),
    /// The engine sent a response that is not an event stream.
    Responded(EngineResponse, Bytes, BodyFraming),
    /// The engine sent no usable response.
    Failed(ResumeEvent),
    /// The deadline of the request has passed.
    Expired,
}

/// The next item of an attempt's stream.
#[derive(Debug)]
pub(crate) enum AttemptItem {
    /// The next event.
    Event(RawEvent),
    /// The stream ended in order.
    End,
    /// The attempt failed before the stream was complete.
    Failed(ResumeEvent),
}

/// Reads the events of a response.
struct EventReader {
    request_id: Arc<str>,
    instance: Arc<str>,
    body: Incoming,
    splitter: EventSplitter,
    memory: ProcessMemory,
    /// Counts what the splitter buffers.
    held: HeldBody,
}

impl EventReader {
    /// Waits for the next item; no data is lost if the wait is cancelled.
    async fn read(&mut self) -> AttemptItem {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    self.held.resize(self.splitter.buffered());
                    let Some(bytes) = self.memory.hold(event.bytes) else {
                        return self.give_up();
                    };
                    return AttemptItem::Event(RawEvent { bytes, ..event });
                }
                Ok(None) if !self.held.resize(self.splitter.buffered()) => return self.give_up(),
                Ok(None) => {}
                Err(e) => {
                    log::warn!(
                        request_id = &*self.request_id,
                        instance = &*self.instance;
                        "event cannot be decoded: {e}"
                    );
                    return AttemptItem::Failed(ResumeEvent::Broken);
                }
            }
            let frame = tokio::select! {
                biased;
                () = self.held.given_up() => return self.give_up(),
                frame = self.body.frame() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(e)) => {
                    log::info!(
                        request_id = &*self.request_id,
                        instance = &*self.instance;
                        "stream broke off: {e}"
                    );
                    return AttemptItem::Failed(ResumeEvent::Broken);
                }
                None if self.splitter.is_empty() => return AttemptItem::End,
                None => return AttemptItem::Failed(ResumeEvent::Broken),
            }
        }
    }
}

impl EventReader {
    /// Ends the stream for lack of memory.
    fn give_up(&mut self) -> AttemptItem {
        log::warn!(
            request_id = &*self.request_id,
            instance = &*self.instance,
            buffered = self.splitter.buffered();
            "stream was given up for lack of memory"
        );
        self.splitter = EventSplitter::default();
        AttemptItem::Failed(ResumeEvent::Broken)
    }
}

/// A stream of events from one engine.
pub(crate) struct Attempt<C: Clock> {
    pub(crate) key: BackendKey,
    /// Software version of the engine.
    pub(crate) software: SoftwareId,
    pub(crate) head: EngineResponse,
    framing: BodyFraming,
    /// Whether the caller has got an event of the attempt.
    has_delivered: bool,
    load_guard: LoadGuard<C>,
    reader: EventReader,
    loss: LossWatch<C>,
    /// Closes the connection when dropped, which cancels the run.
    _driver: AbortOnDropHandle<()>,
}

impl<C: Clock> Attempt<C> {
    /// Sends a generation to an engine and waits for the head of the response.
    ///
    /// `timeout` is the time without a response after which the engine is suspected. `judge`
    /// decides whether a suspicion ends the attempt, and returns `None` if it is kept.
    pub(crate) async fn open(
        req: &AdmittedRequest<C>,
        target: AttemptTarget,
        last_event_id: Option<u64>,
        timeout: Duration,
        judge: impl Fn(ResumeEvent) -> Option<ResumeEvent>,
    ) -> OpenResult<C> {
        let shared = &req.shared;
        let mut loss = LossWatch::new(shared.clone(), target.key);
        let load_guard = LoadGuard::new(req, &target);
        let conn = match connect_to_chosen(req, &target, &mut loss, timeout, &judge).await {
            Ok(conn) => conn,
            Err(result) => return result,
        };
        let sent_at = shared.now();
        if !shared.fleet().is_available(target.key, sent_at) {
            return OpenResult::Failed(ResumeEvent::NotConnected);
        }
        let has_delivered = last_event_id != req.caller.last_event_id;
        if !has_delivered && !req.ends_before_exit() {
            return OpenResult::Failed(ResumeEvent::NotConnected);
        }
        let engine_request = EngineRequest {
            caller: &req.caller,
            body: req.body.clone(),
            instance: &target.entry.instance,
            customer: req.customer.as_deref(),
            priority: Some(req.priority),
            timeout: req.time_left(),
            last_event_id,
            holder: target.holder.as_ref().map(|holder| holder.entry.address),
            resume_from: target.resume_from.clone(),
        };
        let send = conn.send("send generation", engine_request.encode());
        let result = match wait_for_response(req, send, &mut loss, timeout, judge).await {
            ResponseWait::Ended(result) => result,
            ResponseWait::Suspected(event) => return OpenResult::Failed(event),
            ResponseWait::Expired => return OpenResult::Expired,
        };
        let response = match result {
            Ok(response) => response,
            Err(e) => {
                log::info!(
                    request_id = req.caller.request_id.as_str(),
                    instance = &*target.entry.instance,
                    step = e.step;
                    "no response from the engine: {e}"
                );
                return OpenResult::Failed(ResumeEvent::Broken);
            }
        };
        let framing = response.framing;
        let (head, body, driver) = response.into_parts();
        let head = decode_engine_response(head, &req.caller.request_id);
        shared.record_notice(&target.entry, head.notice, sent_at);
        if head.is_from_instance() {
            shared.record_request_limit(target.key, head.request_limit, sent_at);
        }
        if head.is_from_instance() {
            shared.record_alive(target.key);
        }
        if head.is_event_stream && head.is_matching && head.is_signed && !head.is_encoded {
            let engine = (target.key, target.entry.clone());
            let copies = CopyManager::new(shared.clone(), engine, target.work, target.holder);
            let attempt = Self {
                key: target.key,
                software: target.entry.software.id(),
                head,
                framing,
                has_delivered: false,
                load_guard,
                reader: EventReader {
                    request_id: req.caller.request_id.as_str().into(),
                    instance: target.entry.instance,
                    body,
                    splitter: EventSplitter::default(),
                    memory: shared.process_memory().clone(),
                    held: shared.process_memory().begin(),
                },
                loss,
                _driver: driver,
            };
            return OpenResult::Streaming(Box::new(RunningAttempt { attempt, copies }));
        }
        classify_response(req, target.key, head, (body, framing)).await
    }

    /// Returns whether the engine has read the prompt and sent its first event.
    pub(crate) fn has_read_prompt(&self) -> bool {
        self.load_guard.is_prompt_read
    }

    /// Records that the caller gets an event of the attempt; returns whether it is the first.
    pub(crate) fn record_delivery(&mut self) -> bool {
        !std::mem::replace(&mut self.has_delivered, true)
    }

    /// Returns how its stream ended, if it ended in order.
    pub(crate) fn end(&self) -> AttemptStreamEnd {
        AttemptStreamEnd {
            has_events: self.has_delivered,
            is_framed: self.framing == BodyFraming::Stated,
        }
    }

    /// Waits for the next item, at most until `until`.
    pub(crate) async fn next(&mut self, until: Instant) -> AttemptItem {
        let item = tokio::select! {
            // Data that has arrived is delivered before the loss of the engine is handled.
            biased;
            item = self.reader.read() => item,
            () = self.loss.suspected() => AttemptItem::Failed(ResumeEvent::Silent),
            () = tokio::time::sleep_until(until.into()) => {
                AttemptItem::Failed(ResumeEvent::Stalled)
            }
        };
        self.record_item(&item);
        item
    }

    /// Waits until a suspected engine goes on, or its stream ends.
    pub(crate) async fn next_while_suspected(&mut self) -> AttemptItem {
        let item = self.reader.read().await;
        self.record_item(&item);
        item
    }

    /// Keeps the attempt after a suspicion.
    pub(crate) fn keep(&mut self, suspicion: ResumeEvent) {
        self.loss.keep(&self.reader.request_id, suspicion);
    }

    fn record_item(&mut self, item: &AttemptItem) {
        if !matches!(item, AttemptItem::Event(_)) {
            return;
        }
        let load_guard = &mut self.load_guard;
        load_guard.shared.record_alive(self.key);
        if !load_guard.is_prompt_read {
            load_guard.is_prompt_read = true;
            let mut fleet = load_guard.shared.fleet();
            fleet.record_prompt_read(self.key, load_guard.work);
            fleet.record_result(self.key, false, load_guard.shared.now());
            drop(fleet);
            if let Some(location) = load_guard.location {
                let now = load_guard.shared.now();
                load_guard.shared.prompts().begin(location, now);
            }
            load_guard.shared.load_change().notify();
        }
    }
}

/// Opens a connection to the engine of an attempt, at most until the deadline.
async fn connect<C: Clock>(
    req: &AdmittedRequest<C>,
    target: &AttemptTarget,
) -> Result<BackendConnection, ResumeEvent> {
    let timeout = CONNECT_TIMEOUT.min(req.time_left());
    let opened = BackendConnection::open(target.entry.address, timeout).await;
    opened.map_err(|e| {
        log::info!(
            request_id = req.caller.request_id.as_str(),
            instance = &*target.entry.instance,
            step = e.step;
            "engine not reached: {e}"
        );
        // A connect that the deadline cut short shows nothing.
        if e.is_refused || timeout == CONNECT_TIMEOUT {
            req.shared.record_loss(target.key, loss_cause(&e), e.step);
        }
        if e.is_refused {
            ResumeEvent::NotConnected
        } else {
            ResumeEvent::Unreached
        }
    })
}

/// Opens a connection to the engine of an attempt, and for a generation that may go on elsewhere to the very
/// incarnation that was chosen; fails with the result of the attempt.
async fn connect_to_chosen<C: Clock>(
    req: &AdmittedRequest<C>,
    target: &AttemptTarget,
    loss: &mut LossWatch<C>,
    timeout: Duration,
    judge: impl Fn(ResumeEvent) -> Option<ResumeEvent>,
) -> Result<BackendConnection, OpenResult<C>> {
    if !req.holding.keep() {
        // The request is refused as it is given up.
        return Err(OpenResult::Failed(ResumeEvent::NotConnected));
    }
    let conn = connect(req, target).await.map_err(OpenResult::Failed)?;
    if !req.kind.can_resume() {
        return Ok(conn);
    }
    let shared = &req.shared;
    if !shared.fleet().is_available(target.key, shared.now()) {
        return Err(OpenResult::Failed(ResumeEvent::NotConnected));
    }
    let check = incarnation_check::check(shared, (target.key, &target.entry), conn);
    let event = match wait_for_response(req, check, loss, timeout, judge).await {
        ResponseWait::Ended(Ok(Some(conn))) => return Ok(conn),
        ResponseWait::Ended(Ok(None)) => ResumeEvent::Restarted,
        ResponseWait::Ended(Err(e)) => {
            log::info!(
                request_id = req.caller.request_id.as_str(),
                instance = &*target.entry.instance,
                step = e.step;
                "engine sent no report: {e}"
            );
            ResumeEvent::NotConnected
        }
        ResponseWait::Suspected(_) => ResumeEvent::Unreached,
        ResponseWait::Expired => return Err(OpenResult::Expired),
    };
    Err(OpenResult::Failed(event))
}

/// Result of waiting for an engine's response.
enum ResponseWait<T> {
    /// The response arrived, or the connection failed.
    Ended(T),
    /// The engine is suspected, and the attempt is not kept.
    Suspected(ResumeEvent),
    /// The deadline of the request has passed.
    Expired,
}

/// Waits for an engine's response; `judge` returns `None` if an attempt at a suspected engine is kept.
async fn wait_for_response<C: Clock, T>(
    req: &AdmittedRequest<C>,
    response: impl Future<Output = T>,
    loss: &mut LossWatch<C>,
    timeout: Duration,
    judge: impl Fn(ResumeEvent) -> Option<ResumeEvent>,
) -> ResponseWait<T> {
    let mut response = pin!(response);
    let mut stalled_at = req.shared.now() + timeout;
    loop {
        let suspicion = tokio::select! {
            // A response that has arrived is handled before a suspicion.
            biased;
            result = &mut response => return ResponseWait::Ended(result),
            () = tokio::time::sleep_until(req.deadline.into()) => return ResponseWait::Expired,
            () = loss.suspected() => ResumeEvent::Silent,
            () = tokio::time::sleep_until(stalled_at.into()) => ResumeEvent::Stalled,
        };
        if let Some(event) = judge(suspicion) {
            return ResponseWait::Suspected(event);
        }
        loss.keep(&req.caller.request_id, suspicion);
        if suspicion == ResumeEvent::Stalled {
            stalled_at = req.shared.now() + timeout;
        }
    }
}

/// Classifies a response that is not an event stream.
async fn classify_response<C: Clock>(
    req: &AdmittedRequest<C>,
    key: BackendKey,
    head: EngineResponse,
    (body, framing): (Incoming, BodyFraming),
) -> OpenResult<C> {
    if !head.is_matching {
        log_foreign_response(&req.caller.request_id, &head);
        return OpenResult::Failed(ResumeEvent::Broken);
    }
    if head.is_misdirected {
        req.shared
            .record_loss(key, LossCause::Replaced, "send generation");
    }
    if head.is_not_executed {
        return OpenResult::Failed(ResumeEvent::NotExecuted);
    }
    // An engine neither switches protocols nor answers a generation with another success.
    if head.status.is_informational() || head.status.is_success() {
        return OpenResult::Failed(ResumeEvent::Broken);
    }
    let is_failure = head.status.is_server_error();
    let now = req.shared.now();
    req.shared.fleet().record_result(key, is_failure, now);
    let memory = req.shared.process_memory();
    let collected = memory.collect(body, MAX_RESPONSE_BYTES, &req.caller.request_id);
    let Ok(collected) = tokio::time::timeout_at(req.deadline.into(), collected).await else {
        return OpenResult::Expired;
    };
    match collected {
        Ok(CollectedBody::Whole(body)) => OpenResult::Responded(head, body, framing),
        Ok(CollectedBody::TooLarge | CollectedBody::GivenUp) => {
            let now = req.shared.now();
            req.shared.fleet().record_result(key, true, now);
            OpenResult::Failed(ResumeEvent::Broken)
        }
        Err(e) => {
            log::info!(request_id = req.caller.request_id.as_str(); "response body not read: {e}");
            OpenResult::Failed(ResumeEvent::Broken)
        }
    }
}
