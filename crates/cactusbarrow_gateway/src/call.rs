//! Calls to plain services: the response is collected before it is passed on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{EngineRequest, EngineResponse, decode_engine_response};
use cactusbarrow_net::{Body, BodyFraming, Clock, CollectedBody};
use cactusbarrow_policy::{
    BackendEntry, BackendKey, CallAction, CallEvent, CallPlan, LossCause, Outcome, Reason,
    RequestParts,
};
use http::Response;

use crate::backend_connection::{BackendConnection, log_foreign_response, loss_cause};
use crate::quarantine::{self, BrokenAttempt};
use crate::refusal::Refusal;
use crate::request::{AdmittedRequest, count_refusal, draw_shutdown_retry};

/// Size of the largest response, which is held in memory until it is complete.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time-out of a connect. It is shorter than the 200 ms after which a lost packet is
/// retransmitted at the earliest.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which connecting is tried again when no backend server was reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Shortest time until the deadline with which a call is still sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Time after which an idempotent call is retried, as a multiple of its latency objective.
const STALL_TIMEOUT_OBJECTIVES: u32 = 2;

/// Shortest time after which an idempotent call is retried.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(50);

/// A complete response of a backend server.
struct CallResponse {
    head: EngineResponse,
    body: Bytes,
    framing: BodyFraming,
    /// Instance that responded.
    instance: Arc<str>,
}

/// Counts the call as in flight at its backend server until it is dropped.
struct InFlightCall<'a, C: Clock> {
    req: &'a AdmittedRequest<C>,
    key: BackendKey,
}

impl<C: Clock> Drop for InFlightCall<'_, C> {
    fn drop(&mut self) {
        self.req.shared.fleet().end_call(self.key);
    }
}

/// Serves one call.
pub(crate) async fn serve<C: Clock>(req: AdmittedRequest<C>) -> Response<Body> {
    let mut plan = CallPlan::new(req.kind.is_repeatable(), req.max_runs);
    req.shared.record_request(&req.service);
    let parts = req.request_parts();
    let time_left = req.time_left();
    let result = tokio::select! {
        // A response that has arrived is delivered.
        biased;
        result = tokio::time::timeout(time_left, run(&req, &mut plan, &parts)) => result,
        () = quarantine::wait_until_refused(&req.shared, &parts) => {
            Ok(Err(quarantine_refusal(&req, &plan, &parts)))
        }
        () = req.shared.exit().cancelled() => {
            Ok(Err(plan_refusal(&req, &plan, Reason::ShuttingDown)))
        }
        () = req.holding.given_up() => Ok(Err(plan_refusal(&req, &plan, Reason::NoMemory))),
    };
    let res = match result {
        Ok(Ok(response)) => deliver(&req, response),
        Ok(Err(refusal)) => refuse(&req, &refusal),
        Err(_) => refuse(&req, &plan_refusal(&req, &plan, Reason::RouteTimeout)),
    };
    metrics::histogram!("gateway_call_seconds", "kind" => req.kind.name())
        .record(req.shared.elapsed_since(req.arrived).as_secs_f64());
    res
}

/// Sends the call to one backend server after another until the plan ends it.
async fn run<C: Clock>(
    req: &AdmittedRequest<C>,
    plan: &mut CallPlan,
    parts: &RequestParts,
) -> Result<CallResponse, Refusal> {
    loop {
        quarantine::settle(&req.shared, parts).await;
        if quarantine::time_left(&req.shared, parts).is_some() {
            return Err(quarantine_refusal(req, plan, parts));
        }
        if !req.ends_before_exit() {
            return Err(plan_refusal(req, plan, Reason::ShuttingDown));
        }
        let Some((key, entry)) = choose_backend(req, plan) else {
            if may_reconnect(req, plan) && plan.readmit_unreached() {
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            }
            return Err(missing_backend_refusal(req, plan));
        };
        if req.time_left() < MIN_TIME_LEFT {
            return Err(plan_refusal(req, plan, Reason::Expired));
        }
        if !req.holding.keep() {
            return Err(plan_refusal(req, plan, Reason::NoMemory));
        }
        let (event, response) = attempt(req, plan, parts, key, &entry).await;
        let needs_retry = !matches!(event, CallEvent::Responded { is_failure: false });
        // A call that never arrived is not repeated, so it takes nothing from the retry budget; a
        // silent backend server is left only with a retry that was taken from it.
        let needs_no_budget = matches!(
            event,
            CallEvent::NotConnected | CallEvent::Unreached | CallEvent::Stalled
        );
        let has_budget = needs_retry && (needs_no_budget || req.shared.try_retry(&req.service));
        match (plan.decide(event, has_budget), response) {
            (CallAction::Deliver, Some(response)) => return Ok(response),
            (CallAction::Send, _) => record_retry(req, &entry, event),
            (CallAction::Refuse { outcome, reason }, _) => {
                return Err(outcome_refusal(req, outcome, reason));
            }
            (CallAction::Deliver, None) => {
                return Err(plan_refusal(req, plan, Reason::BrokenResponse));
            }
        }
    }
}

/// Returns whether a backend server that was not reached may be sound and go on.
fn may_reconnect<C: Clock>(req: &AdmittedRequest<C>, plan: &CallPlan) -> bool {
    let now = req.shared.now();
    let excluded = plan.lasting_exclusions();
    let fleet = req.shared.fleet();
    fleet.may_recover(&req.service, None, &excluded, now)
}

fn choose_backend<C: Clock>(
    req: &AdmittedRequest<C>,
    plan: &CallPlan,
) -> Option<(BackendKey, BackendEntry)> {
    let fleet = req.shared.fleet();
    let rng = &mut *req.shared.rng();
    let now = req.shared.now();
    let key = fleet.choose_for_call(&req.service, plan.excluded(), now, rng)?;
    let entry = fleet.get(key)?.entry.clone();
    Some((key, entry))
}

/// Sends the call to one backend server.
async fn attempt<C: Clock>(
    req: &AdmittedRequest<C>,
    plan: &mut CallPlan,
    parts: &RequestParts,
    key: BackendKey,
    entry: &BackendEntry,
) -> (CallEvent, Option<CallResponse>) {
    let shared = &req.shared;
    shared.fleet().start_call(key, shared.now());
    let _in_flight = InFlightCall { req, key };
    plan.record_send(key);
    // A connect ends before the deadline, so that the call is then known not to have run.
    let connect_timeout = CONNECT_TIMEOUT.min(req.time_left().saturating_sub(MIN_TIME_LEFT));
    let conn = match BackendConnection::open(entry.address, connect_timeout).await {
        Ok(conn) => conn,
        Err(e) => {
            // A connect that the deadline cut short shows nothing.
            if e.is_refused || connect_timeout == CONNECT_TIMEOUT {
                shared.record_loss(key, loss_cause(&e), e.step);
            }
            let event = if e.is_refused {
                CallEvent::NotConnected
            } else {
                CallEvent::Unreached
            };
            return (event, None);
        }
    };
    let sent_at = shared.now();
    if !shared.fleet().is_available(key, sent_at) || !req.ends_before_exit() {
        return (CallEvent::NotConnected, None);
    }
    let exchange = async {
        let response = conn.send("send call", encode(req, entry)).await?;
        let framing = response.framing;
        let (head, body, _driver) = response.into_parts();
        let head = decode_engine_response(head, &req.caller.request_id);
        shared.record_notice(entry, head.notice, sent_at);
        let memory = shared.process_memory();
        let body = memory
            .collect(body, MAX_RESPONSE_BYTES, &req.caller.request_id)
            .await?;
        Ok::<_, cactusbarrow_net::NetError>((head, body, framing))
    };
    let result = tokio::select! {
        // A response that has arrived is handled before a stall.
        biased;
        result = exchange => Some(result),
        () = wait_for_takeover(req, plan) => None,
    };
    let (event, response) = match result {
        None => (CallEvent::Stalled, None),
        Some(Err(e)) => {
            log::info!(
                request_id = req.caller.request_id.as_str(),
                instance = &*entry.instance,
                peer:% = entry.address,
                step = e.step,
                after_ms = shared.elapsed_since(sent_at).as_millis() as u64;
                "call broke off: {e}"
            );
            let broken = BrokenAttempt {
                request_id: req.caller.request_id.clone(),
                engine: entry.clone(),
                parts: parts.clone(),
                sent_at,
                counts_unconfirmed: false,
            };
            quarantine::record_broken_before_retry(shared, broken).await;
            (CallEvent::Broken, None)
        }
        Some(Ok((head, body, framing))) => {
            if head.is_from_instance() {
                shared.record_request_limit(key, head.request_limit, sent_at);
            }
            classify_response(req, (key, entry), head, (body, framing))
        }
    };
    if matches!(event, CallEvent::Responded { .. }) {
        quarantine::record_begun(shared, parts);
    }
    let is_failure = !matches!(event, CallEvent::Responded { is_failure: false });
    let now = shared.now();
    let mut fleet = shared.fleet();
    // A server that has stated when it wants requests again is not avoided after that.
    if fleet.is_available(key, now) {
        fleet.record_result(key, is_failure, now);
    }
    (event, response)
}

/// Classifies a response by what it means for the call.
fn classify_response<C: Clock>(
    req: &AdmittedRequest<C>,
    (key, entry): (BackendKey, &BackendEntry),
    head: EngineResponse,
    (body, framing): (CollectedBody, BodyFraming),
) -> (CallEvent, Option<CallResponse>) {
    if !head.is_matching {
        log_foreign_response(&req.caller.request_id, &head);
        return (CallEvent::Broken, None);
    }
    if head.is_misdirected {
        req.shared
            .record_loss(key, LossCause::Replaced, "send call");
    }
    if head.is_not_executed {
        return (CallEvent::NotExecuted, None);
    }
    let CollectedBody::Whole(body) = body else {
        let is_given_up = body == CollectedBody::GivenUp;
        log::warn!(
            request_id = req.caller.request_id.as_str(),
            instance = &*entry.instance,
            given_up = is_given_up;
            "response body is too large"
        );
        return (CallEvent::Broken, None);
    };
    if head.is_encoded || (head.status.is_success() && !head.is_signed) {
        return (CallEvent::Broken, None);
    }
    req.shared.record_alive(key);
    let is_failure = head.status.is_server_error();
    let response = CallResponse {
        head,
        body,
        framing,
        instance: entry.instance.clone(),
    };
    (CallEvent::Responded { is_failure }, Some(response))
}

/// Waits until a silent call is to be left for another backend server, whose retry is then taken
/// from the budget; waits forever if no other may run it.
///
/// A sound backend server may be silent for a second and go on, so it is left only for a healthy one.
async fn wait_for_takeover<C: Clock>(req: &AdmittedRequest<C>, plan: &CallPlan) {
    if !plan.allows_another_run() {
        return std::future::pending().await;
    }
    let timeout = (req.objective * STALL_TIMEOUT_OBJECTIVES).max(MIN_STALL_TIMEOUT);
    loop {
        tokio::time::sleep(timeout).await;
        let next = choose_backend(req, plan);
        let is_healthy = next.is_some_and(|(key, _)| req.shared.fleet().is_up(key));
        if is_healthy && req.shared.try_retry(&req.service) {
            return;
        }
    }
}

fn encode<C: Clock>(req: &AdmittedRequest<C>, entry: &BackendEntry) -> http::Request<Body> {
    let engine_request = EngineRequest {
        caller: &req.caller,
        body: req.body.clone(),
        instance: &entry.instance,
        customer: req.customer.as_deref(),
        priority: None,
        timeout: req.time_left(),
        last_event_id: req.caller.last_event_id,
        holder: None,
        resume_from: None,
    };
    engine_request.encode()
}

fn record_retry<C: Clock>(req: &AdmittedRequest<C>, entry: &BackendEntry, event: CallEvent) {
    let reason = event.reason().as_str();
    metrics::counter!("gateway_retries_total", "kind" => req.kind.name(), "reason" => reason)
        .increment(1);
    log::info!(
        request_id = req.caller.request_id.as_str(),
        instance = &*entry.instance,
        cause = reason;
        "call goes to another backend server"
    );
}

/// Returns the refusal of a call for which no backend server is left, or all that are left have
/// reached their limits.
fn missing_backend_refusal<C: Clock>(req: &AdmittedRequest<C>, plan: &CallPlan) -> Refusal {
    if req.backoff_wait(&[]).is_some() {
        return plan_refusal(req, plan, Reason::BackendBackoff);
    }
    match req.limit_wait(plan.excluded()) {
        Some(wait) if plan.outcome() == Outcome::NotRun => {
            Refusal::not_run(Reason::BackendLimit, wait)
        }
        Some(_) => plan_refusal(req, plan, Reason::BackendLimit),
        None => plan_refusal(req, plan, Reason::NoBackend),
    }
}

/// Returns the refusal of a call that ends backend servers.
fn quarantine_refusal<C: Clock>(
    req: &AdmittedRequest<C>,
    plan: &CallPlan,
    parts: &RequestParts,
) -> Refusal {
    let wait = quarantine::time_left(&req.shared, parts);
    match plan.outcome() {
        Outcome::NotRun => Refusal::not_run(Reason::QuarantinedRequest, wait.unwrap_or_default()),
        Outcome::Unknown | Outcome::Failed => Refusal::unknown(Reason::QuarantinedRequest),
    }
}

fn plan_refusal<C: Clock>(req: &AdmittedRequest<C>, plan: &CallPlan, reason: Reason) -> Refusal {
    outcome_refusal(req, plan.outcome(), reason)
}

fn outcome_refusal<C: Clock>(
    req: &AdmittedRequest<C>,
    outcome: Outcome,
    reason: Reason,
) -> Refusal {
    match outcome {
        Outcome::NotRun if reason == Reason::ShuttingDown => {
            Refusal::not_run(reason, draw_shutdown_retry(&req.shared))
        }
        Outcome::NotRun => {
            let wait = req.backoff_wait(&[]);
            Refusal::not_run(reason, wait.unwrap_or_else(|| req.retry_after()))
        }
        Outcome::Unknown | Outcome::Failed => Refusal::unknown(reason),
    }
}

fn deliver<C: Clock>(req: &AdmittedRequest<C>, response: CallResponse) -> Response<Body> {
    log::info!(
        request_id = req.caller.request_id.as_str(),
        kind = req.kind.name(),
        instance = &*response.instance,
        request_limit = response.head.request_limit,
        status = response.head.status.as_u16(),
        elapsed_ms = elapsed_ms(req, req.arrived);
        "call answered"
    );
    let mut res = Response::new(Body::full(response.body));
    *res.status_mut() = response.head.status;
    *res.headers_mut() = response.head.headers;
    response.framing.apply(res)
}

fn refuse<C: Clock>(req: &AdmittedRequest<C>, refusal: &Refusal) -> Response<Body> {
    count_refusal(req.kind.name(), refusal);
    log::info!(
        request_id = req.caller.request_id.as_str(),
        kind = req.kind.name(),
        status = refusal.status.as_u16(),
        outcome = refusal.outcome.as_str(),
        reason = refusal.reason.as_str(),
        elapsed_ms = elapsed_ms(req, req.arrived);
        "call refused"
    );
    refusal.to_response(&req.caller.request_id)
}

fn elapsed_ms<C: Clock>(req: &AdmittedRequest<C>, at: Instant) -> u64 {
    req.shared.elapsed_since(at).as_millis() as u64
}
