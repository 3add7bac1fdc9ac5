//! One attempt of a generation at one engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{CopyLocation, EngineRequest, EngineResponse, decode_engine_response};
use cactusbarrow_net::{Clock, EventSplitter, RawEvent, collect_limited};
use cactusbarrow_policy::{
    BackendEntry, BackendKey, BackendWork, LossCause, PromptLocation, ResumeEvent, stable_hash,
};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use super::copies::{Copies, Holder};
use crate::exchange::{Connection, loss_cause};
use crate::request::Admitted;
use crate::shared::Shared;

/// Longest wait for a connection; a lost packet shows after 200 ms at the earliest.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest answer other than a stream.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Where an attempt runs and what for.
pub(crate) struct Target {
    pub(crate) key: BackendKey,
    pub(crate) entry: BackendEntry,
    /// Engine that keeps a copy of the memory.
    pub(crate) holder: Option<Holder>,
    pub(crate) resume: Option<CopyLocation>,
    /// Whether the engine still has the prompt in memory, as far as is known.
    pub(crate) is_kept: bool,
    pub(crate) work: BackendWork,
}

/// Counts the generation at its engine while it lives.
struct Place<C: Clock> {
    shared: Arc<Shared<C>>,
    key: BackendKey,
    work: BackendWork,
    /// The prompt and its engine, if the caller names the prompt.
    location: Option<PromptLocation>,
    is_prompt_read: bool,
}

impl<C: Clock> Place<C> {
    /// Counts a generation at the engine to which it goes.
    fn take(req: &Admitted<C>, target: &Target) -> Self {
        let shared = req.shared.clone();
        let now = shared.now();
        shared
            .fleet()
            .start_generation(target.key, target.work, now);
        shared.load_changed().notify();
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

impl<C: Clock> Drop for Place<C> {
    fn drop(&mut self) {
        self.shared
            .fleet()
            .end_generation(self.key, self.work, self.is_prompt_read);
        if let Some(location) = self.location {
            self.shared.prompts().end(location);
        }
        self.shared.load_changed().notify();
    }
}

/// An attempt that sends events, and the copies of its memory.
pub(crate) struct Running<C: Clock> {
    pub(crate) attempt: Attempt<C>,
    pub(crate) copies: Copies<C>,
}

/// How the start of an attempt went.
pub(crate) enum Opened<C: Clock> {
    /// The engine sends events.
    Streaming(Box<Running<C>>),
    /// The engine answered something else.
    Answered(EngineResponse, Bytes),
    /// There is no answer that can be used.
    Ended(ResumeEvent),
}

/// What an attempt brings next.
#[derive(Debug)]
pub(crate) enum Received {
    /// The next event.
    Event(RawEvent),
    /// The stream is complete.
    End,
    /// The attempt ended before the stream was complete.
    Ended(ResumeEvent),
}

/// A stream of events from one engine.
pub(crate) struct Attempt<C: Clock> {
    pub(crate) key: BackendKey,
    request_id: Arc<str>,
    instance: Arc<str>,
    pub(crate) head: EngineResponse,
    place: Place<C>,
    body: Incoming,
    cutter: EventSplitter,
    lost: CancellationToken,
    /// Closes the connection when dropped, which cancels the run.
    _driver: AbortOnDropHandle<()>,
}

impl<C: Clock> Attempt<C> {
    /// Sends a generation to an engine and waits for the head of its answer.
    ///
    /// `timeout` bounds the wait for the head.
    pub(crate) async fn open(
        req: &Admitted<C>,
        target: Target,
        last_event_id: Option<u64>,
        timeout: Duration,
    ) -> Opened<C> {
        let shared = &req.shared;
        let lost = shared.lost_token(target.key);
        let place = Place::take(req, &target);
        let conn = match Connection::open(target.entry.address, CONNECT_TIMEOUT).await {
            Ok(conn) => conn,
            Err(e) => {
                log::info!(
                    request_id = req.caller.request_id.as_str(),
                    instance = &*target.entry.instance,
                    step = e.step;
                    "engine not reached: {e}"
                );
                shared.record_loss(target.key, loss_cause(&e), e.step);
                return Opened::Ended(ResumeEvent::NotConnected);
            }
        };
        let engine_request = EngineRequest {
            caller: &req.caller,
            body: req.body.clone(),
            instance: &target.entry.instance,
            customer: req.customer.as_deref(),
            priority: Some(req.priority),
            timeout: req.time_left(),
            last_event_id,
            holder: target.holder.as_ref().map(|holder| holder.entry.address),
            resume: target.resume.clone(),
        };
        let send = conn.send("send generation", engine_request.encode());
        let sent = tokio::select! {
            sent = tokio::time::timeout(timeout, send) => sent,
            () = lost.cancelled() => return Opened::Ended(ResumeEvent::Silent),
        };
        let exchange = match sent {
            Err(_) => return Opened::Ended(ResumeEvent::Stalled),
            Ok(Ok(exchange)) => exchange,
            Ok(Err(e)) => {
                log::info!(
                    request_id = req.caller.request_id.as_str(),
                    instance = &*target.entry.instance,
                    step = e.step;
                    "no answer from the engine: {e}"
                );
                return Opened::Ended(ResumeEvent::Broken);
            }
        };
        let (head, body, driver) = exchange.into_parts();
        let head = decode_engine_response(head, &req.caller.request_id);
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            shared.record_heard(target.key);
        }
        if head.status.is_success() && head.is_matching && head.is_signed && !head.is_encoded {
            let engine = (target.key, target.entry.clone());
            let copies = Copies::new(shared.clone(), engine, target.work, target.holder);
            let attempt = Self {
                key: target.key,
                request_id: req.caller.request_id.as_str().into(),
                instance: target.entry.instance,
                head,
                place,
                body,
                cutter: EventSplitter::default(),
                lost,
                _driver: driver,
            };
            return Opened::Streaming(Box::new(Running { attempt, copies }));
        }
        judge_answer(req, target.key, head, body).await
    }

    /// Returns whether the engine has read the prompt and sent an event.
    pub(crate) fn has_started(&self) -> bool {
        self.place.is_prompt_read
    }

    /// Waits for the next event, at most until `until`.
    pub(crate) async fn next(&mut self, until: Instant) -> Received {
        loop {
            match self.cutter.next_event() {
                Ok(Some(event)) => {
                    self.record_event();
                    return Received::Event(event);
                }
                Ok(None) => {}
                Err(e) => {
                    log::warn!(
                        request_id = &*self.request_id,
                        instance = &*self.instance;
                        "event cannot be read: {e}"
                    );
                    return Received::Ended(ResumeEvent::Broken);
                }
            }
            let frame = tokio::select! {
                // What has arrived goes before the news that the engine is lost.
                biased;
                frame = self.body.frame() => frame,
                () = self.lost.cancelled() => return Received::Ended(ResumeEvent::Silent),
                () = tokio::time::sleep_until(until.into()) => {
                    return Received::Ended(ResumeEvent::Stalled);
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.cutter.push(data);
                    }
                }
                Some(Err(e)) => {
                    log::info!(
                        request_id = &*self.request_id,
                        instance = &*self.instance;
                        "stream broke off: {e}"
                    );
                    return Received::Ended(ResumeEvent::Broken);
                }
                None if self.cutter.is_empty() => return Received::End,
                None => return Received::Ended(ResumeEvent::Broken),
            }
        }
    }

    fn record_event(&mut self) {
        let place = &mut self.place;
        place.shared.record_heard(self.key);
        if !place.is_prompt_read {
            place.is_prompt_read = true;
            let mut fleet = place.shared.fleet();
            fleet.record_prompt_read(self.key, place.work);
            fleet.record_result(self.key, false, place.shared.now());
            drop(fleet);
            if let Some(location) = place.location {
                let now = place.shared.now();
                place.shared.prompts().begin(location, now);
            }
            place.shared.load_changed().notify();
        }
    }
}

/// Decides what an answer that is no stream means.
async fn judge_answer<C: Clock>(
    req: &Admitted<C>,
    key: BackendKey,
    head: EngineResponse,
    body: Incoming,
) -> Opened<C> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        req.shared
            .record_loss(key, LossCause::Replaced, "send generation");
        return Opened::Ended(ResumeEvent::NotExecuted);
    }
    if head.is_not_executed {
        return Opened::Ended(ResumeEvent::NotExecuted);
    }
    if !head.is_matching || head.status.is_success() {
        return Opened::Ended(ResumeEvent::Broken);
    }
    let is_failure = head.status.is_server_error();
    let now = req.shared.now();
    req.shared.fleet().record_result(key, is_failure, now);
    match collect_limited(body, MAX_ANSWER_BYTES, &req.caller.request_id).await {
        Ok(Some(body)) => Opened::Answered(head, body),
        Ok(None) => Opened::Ended(ResumeEvent::Broken),
        Err(e) => {
            log::info!(request_id = req.caller.request_id.as_str(); "answer broke off: {e}");
            Opened::Ended(ResumeEvent::Broken)
        }
    }
}
