//! Handling of calls to plain services.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_document::{Customer, Fleet, Service};
use cactusbarrow_net::{Body, BodyFraming, Clock, NetError, TimedBody};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{
    Backoff, BalancingRequest, ClaimNonce, ClaimRequest, ClaimVerdict, KeyHash, Outcome, Reason,
    stable_hash,
};
use cactusbarrow_protocol::generated::DirectoryEntry;
use cactusbarrow_protocol::{
    ANSWER_PATH, CALL_PATH, CLAIM_NONCE_HEADER, FIRST_ATTEMPT_HEADER, KEY_HASH_HEADER,
    OUTCOME_HEADER, UNFRAMED_HEADER,
};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::attempt::refusal_reason;
use crate::auth::CustomerPermit;
use crate::members::MemberServer;
use crate::refusal::Refusal;
use crate::request::RequestKey;
use crate::router::Router;

const BACKOFF: Backoff = Backoff::new(Duration::from_millis(25), Duration::from_millis(400));
/// Share of the caller's time-out that one attempt of a repeatable call gets.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.4;
/// Longest body of a cached response, in bytes.
const MAX_CACHED_RESPONSE_BYTES: usize = 8 << 20;

/// A call of an authenticated customer to a service.
struct ServiceCall<'a> {
    service: &'a Service,
    key: RequestKey,
    parts: &'a Parts,
    path: String,
    body: Bytes,
    arrived: Instant,
    deadline: Instant,
}

/// How one attempt of a call ended.
enum CallAttemptEnd {
    /// The service responded.
    Responded(Response<Incoming>),
    /// The call was certainly not run.
    NotRun(Reason),
    /// The call may have been run.
    Unknown(Reason),
}

/// Handles a call to a plain service.
pub(crate) async fn call<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    fleet: &Fleet,
    customer: &Arc<Customer>,
    parts: &Parts,
    body: Bytes,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    let key = RequestKey::from_headers(&parts.headers, &customer.name)?;
    let outcome = key.outcome_if_not_run();
    let (service, path) = fleet
        .service_by_path(parts.uri.path())
        .filter(|(service, _)| customer.may_use(&service.name))
        .ok_or_else(|| {
            Refusal::new(outcome, Reason::NoSuchService, "find service")
                .with_message(format!("no service serves {}", parts.uri.path()))
        })?;
    let is_repeatable = service.is_repeatable(parts.method.as_str(), path);
    let query = parts
        .uri
        .query()
        .map_or_else(String::new, |q| format!("?{q}"));
    let caller_timeout = Duration::from_secs(u64::from(service.caller_patience_seconds));
    if !ends_before_exit(router, arrived + caller_timeout) {
        return Err(Refusal::new(outcome, Reason::ShuttingDown, "admit call"));
    }
    let _permit = CustomerPermit::admit(router, customer)
        .map_err(|reason| Refusal::new(outcome, reason, "admit customer"))?;
    let call = ServiceCall {
        service,
        key,
        parts,
        path: format!("{path}{query}"),
        body,
        arrived,
        deadline: arrived + caller_timeout,
    };
    if is_repeatable {
        call_repeatable(router, &call).await
    } else {
        call_unrepeatable(router, &call).await
    }
}

/// Returns whether a call with this deadline has all of its time before the process exits.
fn ends_before_exit<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    deadline: Instant,
) -> bool {
    let now = router.clock.now();
    let time_left = deadline.saturating_duration_since(now);
    router.shutdown().can_end(now, time_left)
}

/// Returns whether a call that was not sent may outlast the process, which shuts down; one that was sent goes on, as
/// its caller cannot be told that it has not run.
fn is_refused_by_stop<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    call: &ServiceCall<'_>,
    was_sent: bool,
) -> bool {
    !was_sent && !ends_before_exit(router, call.deadline)
}

/// Repeats a call until the service responds, within the caller's deadline and the retry budget.
async fn call_repeatable<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &ServiceCall<'_>,
) -> Result<Response<Body>, Refusal> {
    router.record_request(&call.service.name);
    let mut excluded = Vec::new();
    let mut was_sent = false;
    let mut retries = 0;
    let mut last_reason = Reason::NoBackend;
    while let Some(server) =
        select_server(router, call, was_sent, &mut excluded, &mut retries).await
    {
        let time_left = call.deadline.saturating_duration_since(router.clock.now());
        let caller_timeout = call.deadline - call.arrived;
        let timeout = time_left.min(caller_timeout.mul_f64(ATTEMPT_TIMEOUT_SHARE));
        match send_attempt(router, call, &server, None, timeout).await {
            CallAttemptEnd::Responded(res) => {
                return Ok(forward_response(router, call, &server, res));
            }
            CallAttemptEnd::NotRun(reason) => last_reason = reason,
            CallAttemptEnd::Unknown(reason) => {
                was_sent = true;
                last_reason = reason;
                if !router.try_retry(&call.service.name, reason) {
                    last_reason = Reason::RetryBudget;
                    break;
                }
            }
        }
        excluded.push(server.name().to_owned());
        back_off(retries).await;
        retries += 1;
    }
    if is_refused_by_stop(router, call, was_sent) {
        last_reason = Reason::ShuttingDown;
    }
    let outcome = if was_sent || !call.key.is_first_use {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    Err(Refusal::new(outcome, last_reason, "call service"))
}

/// Selects the server for the next attempt, waiting while none has a free slot; `None` once the
/// caller's deadline has passed, or if a shutdown keeps the call from being sent.
async fn select_server<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    call: &ServiceCall<'_>,
    was_sent: bool,
    excluded: &mut Vec<String>,
    retries: &mut u32,
) -> Option<Arc<MemberServer>> {
    while router.clock.now() < call.deadline && !is_refused_by_stop(router, call, was_sent) {
        let any_server = BalancingRequest::default();
        let server = router.choose(&call.service.name, None, any_server, excluded);
        if server.is_some() {
            return server;
        }
        excluded.clear();
        back_off(*retries).await;
        *retries += 1;
    }
    None
}

/// Claims a call, then sends it at most once.
async fn call_unrepeatable<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &ServiceCall<'_>,
) -> Result<Response<Body>, Refusal> {
    let claim = ClaimRequest {
        key: call.key.key.unwrap_or_else(|| KeyHash(rand::random())),
        nonce: ClaimNonce(rand::random()),
        body_hash: hash_call(call),
        deadline: call.deadline.min(call.arrived + router.cfg.claim_timeout),
    };
    let refuse = |outcome, reason| Err(Refusal::new(outcome, reason, "claim call"));
    match router.claim(claim).await {
        ClaimVerdict::Granted => send_claimed(router, call, claim).await,
        ClaimVerdict::Held => fetch_cached_response(router, call, claim.key).await,
        ClaimVerdict::Conflict => refuse(Outcome::Failed, Reason::KeyConflict),
        ClaimVerdict::Unavailable => {
            // The claim may have been written although the store did not confirm it; it must not
            // block the caller's retry.
            router.release(&claim);
            refuse(call.key.outcome_if_not_run(), Reason::StoreUnavailable)
        }
        ClaimVerdict::Expired => {
            router.release(&claim);
            refuse(call.key.outcome_if_not_run(), Reason::Expired)
        }
    }
}

async fn send_claimed<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &ServiceCall<'_>,
    claim: ClaimRequest,
) -> Result<Response<Body>, Refusal> {
    let mut excluded = Vec::new();
    let mut retries = 0;
    let mut last_reason = Reason::NoBackend;
    while let Some(server) = select_server(router, call, false, &mut excluded, &mut retries).await {
        record_claimed_server(router, &claim, server.name());
        let time_left = call.deadline.saturating_duration_since(router.clock.now());
        match send_attempt(router, call, &server, Some(&claim), time_left).await {
            CallAttemptEnd::Responded(res) => {
                return Ok(forward_response(router, call, &server, res));
            }
            CallAttemptEnd::NotRun(reason) => {
                last_reason = reason;
                metrics::counter!("cactusbarrow_retries_total", "reason" => reason.as_str())
                    .increment(1);
            }
            CallAttemptEnd::Unknown(reason) => {
                return Err(Refusal::new(Outcome::Unknown, reason, "call service")
                    .with_peer(server.agent_address())
                    .with_message("the call may have been run; it will not be repeated"));
            }
        }
        excluded.push(server.name().to_owned());
        back_off(retries).await;
        retries += 1;
    }
    if is_refused_by_stop(router, call, false) {
        last_reason = Reason::ShuttingDown;
    }
    // No attempt was run, and the claim prevented any other router from running the call.
    router.release(&claim);
    Err(Refusal::new(Outcome::NotRun, last_reason, "call service"))
}

/// Fetches the response of the call that was run under the key, if its agent still has it cached.
async fn fetch_cached_response<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &ServiceCall<'_>,
    key: KeyHash,
) -> Result<Response<Body>, Refusal> {
    let unknown = || {
        Refusal::new(Outcome::Unknown, Reason::AlreadyClaimed, "find answer").with_message(
            "an earlier call under this key may have been run; its answer is not held",
        )
    };
    let entry = router.directory_get(key).await.ok_or_else(unknown)?;
    let fleet = router.config.fleet();
    let server = fleet
        .backend_server(&entry.backend_server)
        .ok_or_else(unknown)?;
    let req = Request::get(format!("http://{}{ANSWER_PATH}{key}", server.agent_address))
        .body(Body::Empty)
        .map_err(|_| unknown())?;
    let time_left = call.deadline.saturating_duration_since(router.clock.now());
    let cached = router
        .agent_client
        .send_and_collect("find answer", req, time_left, MAX_CACHED_RESPONSE_BYTES)
        .await;
    match cached {
        Ok(mut res) if !res.headers().contains_key(OUTCOME_HEADER) => {
            let framing = take_framing(res.headers_mut());
            Ok(framing.apply(res.map(Body::full)))
        }
        _ => Err(unknown().with_peer(server.agent_address)),
    }
}

async fn send_attempt<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &ServiceCall<'_>,
    server: &MemberServer,
    claim: Option<&ClaimRequest>,
    timeout: Duration,
) -> CallAttemptEnd {
    let Ok(req) = agent_request(call, server, claim) else {
        return CallAttemptEnd::NotRun(Reason::BadRequest);
    };
    router.load().record_start(server.name());
    let exchange = router.agent_client.send("call service", req);
    let result = tokio::time::timeout(timeout, exchange).await;
    router.load().record_end(server.name());
    let end = end_from_result(result);
    let now = router.clock.now();
    match &end {
        CallAttemptEnd::Responded(_) => {}
        CallAttemptEnd::NotRun(Reason::Draining) => router.load().record_draining(server.name()),
        CallAttemptEnd::NotRun(Reason::BackendFull) => {}
        CallAttemptEnd::NotRun(_) | CallAttemptEnd::Unknown(_) => {
            router.load().record_failure(server.name(), now);
        }
    }
    end
}

fn end_from_result(
    result: Result<Result<Response<Incoming>, NetError>, tokio::time::error::Elapsed>,
) -> CallAttemptEnd {
    match result {
        Err(_) => CallAttemptEnd::Unknown(Reason::Stalled),
        Ok(Err(e)) if e.is_connect => CallAttemptEnd::NotRun(Reason::AgentUnreachable),
        Ok(Err(e)) => {
            log::info!(step = e.step, peer = e.peer; "{e}");
            CallAttemptEnd::Unknown(Reason::AgentLost)
        }
        Ok(Ok(res)) => match res.headers().get(OUTCOME_HEADER) {
            None => CallAttemptEnd::Responded(res),
            Some(outcome) if outcome == Outcome::NotRun.as_str() => {
                CallAttemptEnd::NotRun(refusal_reason(&res))
            }
            Some(_) => CallAttemptEnd::Unknown(refusal_reason(&res)),
        },
    }
}

fn agent_request(
    call: &ServiceCall<'_>,
    server: &MemberServer,
    claim: Option<&ClaimRequest>,
) -> Result<Request<Body>, http::Error> {
    let uri = format!("http://{}{CALL_PATH}{}", server.agent_address(), call.path);
    let mut req = Request::builder()
        .method(call.parts.method.clone())
        .uri(uri)
        .body(Body::full(call.body.clone()))?;
    let headers = req.headers_mut();
    *headers = call.parts.headers.clone();
    for name in [
        header::HOST,
        header::AUTHORIZATION,
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
    ] {
        headers.remove(name);
    }
    // Callers must not set the headers that name the claim of a call, or that agents' responses have.
    for name in [
        CLAIM_NONCE_HEADER,
        KEY_HASH_HEADER,
        OUTCOME_HEADER,
        UNFRAMED_HEADER,
        FIRST_ATTEMPT_HEADER,
    ] {
        headers.remove(name);
    }
    if let Some(claim) = claim {
        let nonce = format!("{:016x}", claim.nonce.0);
        headers.insert(CLAIM_NONCE_HEADER, HeaderValue::try_from(nonce)?);
        let key = claim.key.to_string();
        headers.insert(KEY_HASH_HEADER, HeaderValue::try_from(key)?);
    }
    Ok(req)
}

/// Records in the directory where a claimed call is about to run, without waiting.
fn record_claimed_server<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    claim: &ClaimRequest,
    backend_server: &str,
) {
    let key = claim.key.to_bytes().to_vec();
    let entry = DirectoryEntry {
        key: key.clone().into(),
        generation: key.into(),
        backend_server: backend_server.to_owned(),
        body_hash: claim.body_hash,
        attempt: 0,
    };
    let router = router.clone();
    router
        .tasks
        .clone()
        .spawn(async move { router.directory_put(entry, false).await });
}

fn hash_call(call: &ServiceCall<'_>) -> u64 {
    let head = format!("{} {}\n", call.parts.method, call.path);
    stable_hash(&[head.as_bytes(), &call.body].concat())
}

/// Forwards a response, whose body is aborted if it is not complete by the call's deadline.
fn forward_response<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    call: &ServiceCall<'_>,
    server: &MemberServer,
    res: Response<Incoming>,
) -> Response<Body> {
    let (mut parts, body) = res.into_parts();
    parts.headers.remove(header::CONNECTION);
    parts.headers.remove(header::TRANSFER_ENCODING);
    let framing = take_framing(&mut parts.headers);
    if parts.status == StatusCode::NO_CONTENT {
        return Response::from_parts(parts, Body::Empty);
    }
    let time_left = call.deadline.saturating_duration_since(router.clock.now());
    let body = TimedBody::new(body, server.agent_address(), time_left);
    framing.apply(Response::from_parts(parts, Body::Timed(body)))
}

/// Returns how the service told the end of a body, and removes the header by which its agent states that.
fn take_framing(headers: &mut HeaderMap) -> BodyFraming {
    if headers.remove(UNFRAMED_HEADER).is_some() {
        BodyFraming::ConnectionEnd
    } else {
        BodyFraming::Stated
    }
}

async fn back_off(retries: u32) {
    let wait = BACKOFF.delay(retries, &mut rand::rng());
    tokio::time::sleep(wait).await;
}
