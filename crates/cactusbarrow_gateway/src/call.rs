//! Calls to plain services: one answer, read whole before it is passed on.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{EngineRequest, EngineResponse, decode_engine_response};
use cactusbarrow_net::{Body, Clock, collect_limited};
use cactusbarrow_policy::{
    BackendEntry, BackendKey, CallAction, CallEvent, CallPlan, LossCause, Outcome, Reason,
};
use http::{Response, StatusCode};

use crate::answers::Refusal;
use crate::exchange::{Connection, loss_cause};
use crate::request::{Admitted, count_refusal};

/// Largest answer that is held; it is passed on when it is whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Longest wait for a connection; a lost packet shows after 200 ms at the earliest.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Shortest time left in which a call is still sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Latency objectives after which an idempotent call is sent once more.
const STALL_OBJECTIVES: u32 = 2;

/// A whole answer of a backend server.
struct Answer {
    head: EngineResponse,
    body: Bytes,
}

/// Counts the call at its backend server while it lives.
struct InFlight<'a, C: Clock> {
    req: &'a Admitted<C>,
    key: BackendKey,
}

impl<C: Clock> Drop for InFlight<'_, C> {
    fn drop(&mut self) {
        self.req.shared.fleet().end_call(self.key);
    }
}

/// Serves one call.
pub(crate) async fn serve<C: Clock>(req: Admitted<C>) -> Response<Body> {
    let mut plan = CallPlan::new(req.kind.is_repeatable(), req.attempts);
    req.shared.record_request(&req.service);
    let left = req.time_left();
    let res = match tokio::time::timeout(left, run(&req, &mut plan)).await {
        Ok(Ok(answer)) => deliver(&req, answer),
        Ok(Err(refusal)) => refuse(&req, &refusal),
        Err(_) => refuse(&req, &refusal_of(&req, &plan, Reason::RouteTimeout)),
    };
    metrics::histogram!("gateway_call_seconds", "kind" => req.kind.name())
        .record(req.shared.elapsed_since(req.arrived).as_secs_f64());
    res
}

async fn run<C: Clock>(req: &Admitted<C>, plan: &mut CallPlan) -> Result<Answer, Refusal> {
    loop {
        let Some((key, entry)) = choose(req, plan) else {
            return Err(refusal_of(req, plan, Reason::NoBackend));
        };
        if req.time_left() < MIN_TIME_LEFT {
            return Err(refusal_of(req, plan, Reason::Expired));
        }
        let (event, answer) = attempt(req, plan, key, &entry).await;
        let needs_retry = !matches!(event, CallEvent::Answered { is_failure: false });
        // What never arrived is no repeat.
        let has_arrived = event != CallEvent::NotConnected;
        let has_budget = needs_retry && (!has_arrived || req.shared.try_retry(&req.service));
        match (plan.decide(event, has_budget), answer) {
            (CallAction::Deliver, Some(answer)) => return Ok(answer),
            (CallAction::Send, _) => count_retry(req, &entry, event),
            (CallAction::Refuse { outcome, reason }, _) => {
                return Err(refusal(req, outcome, reason));
            }
            (CallAction::Deliver, None) => return Err(refusal_of(req, plan, Reason::BrokenAnswer)),
        }
    }
}

fn choose<C: Clock>(req: &Admitted<C>, plan: &CallPlan) -> Option<(BackendKey, BackendEntry)> {
    let fleet = req.shared.fleet();
    let rng = &mut *req.shared.rng();
    let now = req.shared.now();
    let key = fleet.choose_for_call(&req.service, plan.tried(), now, rng)?;
    let entry = fleet.get(key)?.entry.clone();
    Some((key, entry))
}

/// Sends the call to one backend server.
async fn attempt<C: Clock>(
    req: &Admitted<C>,
    plan: &mut CallPlan,
    key: BackendKey,
    entry: &BackendEntry,
) -> (CallEvent, Option<Answer>) {
    let shared = &req.shared;
    shared.fleet().start_call(key, shared.now());
    let _in_flight = InFlight { req, key };
    plan.record_send(key);
    let conn = match Connection::open(entry.address, CONNECT_TIMEOUT).await {
        Ok(conn) => conn,
        Err(e) => {
            shared.record_loss(key, loss_cause(&e), e.step);
            return (CallEvent::NotConnected, None);
        }
    };
    let sent_at = shared.now();
    let wait = stall_limit(req);
    let exchange = async {
        let exchange = conn.send("send call", encode(req, entry)).await?;
        let (head, body, _driver) = exchange.into_parts();
        let head = decode_engine_response(head, &req.caller.request_id);
        let body = collect_limited(body, MAX_ANSWER_BYTES, &req.caller.request_id).await?;
        Ok::<_, cactusbarrow_net::NetError>((head, body))
    };
    let (event, answer) = match tokio::time::timeout(wait, exchange).await {
        Err(_) => (CallEvent::Stalled, None),
        Ok(Err(e)) => {
            log::info!(
                request_id = req.caller.request_id.as_str(),
                instance = &*entry.instance,
                peer:% = entry.address,
                step = e.step,
                after_ms = shared.elapsed_since(sent_at).as_millis() as u64;
                "call broke off: {e}"
            );
            (CallEvent::Broken, None)
        }
        Ok(Ok((head, body))) => judge(req, key, head, body),
    };
    let is_failure = !matches!(event, CallEvent::Answered { is_failure: false });
    shared.fleet().record_result(key, is_failure, shared.now());
    (event, answer)
}

/// Decides what an answer means for the call.
fn judge<C: Clock>(
    req: &Admitted<C>,
    key: BackendKey,
    head: EngineResponse,
    body: Option<Bytes>,
) -> (CallEvent, Option<Answer>) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        req.shared
            .record_loss(key, LossCause::Replaced, "send call");
        return (CallEvent::NotExecuted, None);
    }
    if head.is_not_executed {
        return (CallEvent::NotExecuted, None);
    }
    let Some(body) = body else {
        return (CallEvent::Broken, None);
    };
    if !head.is_matching || head.is_encoded || (head.status.is_success() && !head.is_signed) {
        return (CallEvent::Broken, None);
    }
    req.shared.record_heard(key);
    let is_failure = head.status.is_server_error();
    let answer = Answer { head, body };
    (CallEvent::Answered { is_failure }, Some(answer))
}

/// Returns how long one backend server gets for its answer; the call's own deadline ends
/// the wait of a call that goes nowhere else.
fn stall_limit<C: Clock>(req: &Admitted<C>) -> Duration {
    if !req.kind.is_repeatable() || req.attempts < 2 {
        return Duration::MAX;
    }
    req.objective * STALL_OBJECTIVES
}

fn encode<C: Clock>(req: &Admitted<C>, entry: &BackendEntry) -> http::Request<Body> {
    let engine_request = EngineRequest {
        caller: &req.caller,
        body: req.body.clone(),
        instance: &entry.instance,
        customer: req.customer.as_deref(),
        priority: None,
        timeout: req.time_left(),
        last_event_id: req.caller.last_event_id,
        holder: None,
        resume: None,
    };
    engine_request.encode()
}

fn count_retry<C: Clock>(req: &Admitted<C>, entry: &BackendEntry, event: CallEvent) {
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

fn refusal_of<C: Clock>(req: &Admitted<C>, plan: &CallPlan, reason: Reason) -> Refusal {
    refusal(req, plan.outcome(), reason)
}

fn refusal<C: Clock>(req: &Admitted<C>, outcome: Outcome, reason: Reason) -> Refusal {
    match outcome {
        Outcome::NotRun => Refusal::not_run(reason, req.retry_after()),
        Outcome::Unknown | Outcome::Failed => Refusal::unknown(reason),
    }
}

fn deliver<C: Clock>(req: &Admitted<C>, answer: Answer) -> Response<Body> {
    log::info!(
        request_id = req.caller.request_id.as_str(),
        kind = req.kind.name(),
        status = answer.head.status.as_u16(),
        elapsed_ms = elapsed_ms(req, req.arrived);
        "call answered"
    );
    let mut res = Response::new(Body::full(answer.body));
    *res.status_mut() = answer.head.status;
    *res.headers_mut() = answer.head.headers;
    res
}

fn refuse<C: Clock>(req: &Admitted<C>, refusal: &Refusal) -> Response<Body> {
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
    refusal.respond(&req.caller.request_id)
}

fn elapsed_ms<C: Clock>(req: &Admitted<C>, at: Instant) -> u64 {
    req.shared.elapsed_since(at).as_millis() as u64
}
