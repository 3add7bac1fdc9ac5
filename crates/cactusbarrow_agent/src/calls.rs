//! Calls to a plain HTTP service.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cactusbarrow_net::{Body, BodyFraming, Clock, CollectedBody, NetError, RequestBody};
use cactusbarrow_policy::{ClaimNonce, KeyHash, Outcome, Reason, Work};
use cactusbarrow_protocol::{
    ANSWER_PATH, CALL_PATH, CLAIM_NONCE_HEADER, KEY_HASH_HEADER, OUTCOME_HEADER, REASON_HEADER,
    UNFRAMED_HEADER,
};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, response};
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::agent::{Agent, AgentPermit, CallId};
use crate::responses::{cached_response, failure_response, refusal_response};

/// Largest body of a claimed call or of its response, in bytes.
const MAX_CLAIMED_BYTES: usize = 4 << 20;

/// Step that errors of calls name.
const CALL_STEP: &str = "call service";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::HOST,
];

/// The claim of an unrepeatable call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallClaim {
    key: KeyHash,
    nonce: ClaimNonce,
}

/// Forwards a call to the service if admission control allows it.
pub(crate) async fn forward_call<C: Clock>(
    agent: &Arc<Agent<C>>,
    req: Request<RequestBody>,
    peer: &str,
) -> Response<Body> {
    let (parts, body) = req.into_parts();
    match parse_claim(&parts.headers) {
        Ok(Some(claim)) => forward_claimed(agent, parts, body, claim, peer).await,
        Ok(None) => forward_repeatable(agent, &parts, body, peer).await,
        Err(()) => failure_response(StatusCode::BAD_REQUEST, Outcome::NotRun, Reason::BadRequest),
    }
}

/// Returns the cached response of an earlier call with the same key; waits while the call runs.
pub(crate) async fn earlier_response<C: Clock>(
    agent: &Arc<Agent<C>>,
    path: &str,
) -> Response<Body> {
    let key = path
        .strip_prefix(ANSWER_PATH)
        .and_then(|hex| u128::from_str_radix(hex, 16).ok())
        .map(KeyHash);
    match key.and_then(|key| agent.responses.get(key)) {
        Some(rx) => await_response(rx).await,
        None => failure_response(
            StatusCode::NOT_FOUND,
            Outcome::Unknown,
            Reason::AlreadyClaimed,
        ),
    }
}

async fn forward_repeatable<C: Clock>(
    agent: &Arc<Agent<C>>,
    parts: &Parts,
    body: RequestBody,
    peer: &str,
) -> Response<Body> {
    let body = match collect_body(agent, body, usize::MAX, peer).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let id = CallId::Repeatable(parts.uri.path().to_owned());
    let permit = match agent.admit_call(&Work::Repeatable, id) {
        Ok(permit) => permit,
        Err(reason) => return refusal_response(reason),
    };
    let req = match service_request(agent.cfg.backend, parts, Body::full(body)) {
        Ok(req) => req,
        Err(e) => return invalid_call_response(&e),
    };
    match send(agent, req).await {
        Ok(res) => stream_response(agent, res, permit),
        Err(e) => call_error_response(agent, &e),
    }
}

/// Streams a response; the call keeps its slot at the service until the end.
fn stream_response<C: Clock>(
    agent: &Arc<Agent<C>>,
    res: Response<Incoming>,
    permit: AgentPermit<C>,
) -> Response<Body> {
    use http_body_util::BodyExt;
    let (parts, mut incoming) = res.into_parts();
    let (tx, body) = Body::channel();
    agent.tasks.spawn(async move {
        let _permit = permit;
        while let Some(frame) = incoming.frame().await {
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(data)) => {
                    if !tx.send(data).await {
                        return;
                    }
                }
                Ok(Err(_)) => {}
                Err(_) => return tx.abort().await,
            }
        }
        tx.finish();
    });
    Response::from_parts(parts, body)
}

/// Reads the body of a call, of at most `limit` bytes; fails with the response to one that cannot be read.
///
/// It is read in full before admission, so that an admitted call cannot fail because its request breaks off, and one that
/// arrives slowly takes no place at the service.
async fn collect_body<C: Clock>(
    agent: &Agent<C>,
    body: RequestBody,
    limit: usize,
    peer: &str,
) -> Result<Bytes, Response<Body>> {
    let holding = body.holding().clone();
    let refusal = |status, reason| failure_response(status, Outcome::NotRun, reason);
    match body.collect(&agent.process_memory, limit, peer).await {
        Ok(CollectedBody::Whole(body)) if holding.keep() => Ok(body),
        Ok(CollectedBody::Whole(_) | CollectedBody::GivenUp) => {
            Err(refusal_response(Reason::NoMemory))
        }
        Ok(CollectedBody::TooLarge) => {
            Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge))
        }
        Err(_) => Err(refusal(StatusCode::BAD_REQUEST, Reason::BadRequest)),
    }
}

async fn forward_claimed<C: Clock>(
    agent: &Arc<Agent<C>>,
    parts: Parts,
    body: RequestBody,
    claim: CallClaim,
    peer: &str,
) -> Response<Body> {
    let body = match collect_body(agent, body, MAX_CLAIMED_BYTES, peer).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let req = match service_request(agent.cfg.backend, &parts, Body::full(body)) {
        Ok(req) => req,
        Err(e) => return invalid_call_response(&e),
    };
    let work = Work::Claimed { nonce: claim.nonce };
    let permit = match agent.admit_call(&work, CallId::Claimed(claim.key)) {
        Ok(permit) => permit,
        Err(Reason::ClaimUsed) => {
            return failure_response(StatusCode::CONFLICT, Outcome::Unknown, Reason::ClaimUsed);
        }
        Err(reason) => return refusal_response(reason),
    };
    let (tx, rx) = watch::channel(None);
    agent.responses.begin(claim.key, rx.clone());
    let run = run_claimed(agent.clone(), req, claim, permit, tx);
    // The call runs in its own task, because the router may disconnect meanwhile.
    agent.tasks.spawn(run);
    await_response(rx).await
}

async fn run_claimed<C: Clock>(
    agent: Arc<Agent<C>>,
    req: Request<Body>,
    claim: CallClaim,
    permit: AgentPermit<C>,
    tx: watch::Sender<Option<Option<Response<Bytes>>>>,
) {
    let response = match send_and_collect(&agent, req).await {
        Ok(response) => Some(response),
        Err(e) if e.is_connect => Some(not_connected_response()),
        Err(e) => {
            log::warn!(step = e.step, peer = e.peer, backend_server = agent.cfg.name; "{e}");
            None
        }
    };
    let size = response.as_ref().map_or(0, |r| r.body().len());
    tx.send_replace(Some(response));
    agent.responses.complete(claim.key, size, agent.clock.now());
    drop(permit);
}

async fn send_and_collect<C: Clock>(
    agent: &Agent<C>,
    req: Request<Body>,
) -> Result<Response<Bytes>, NetError> {
    let peer = agent.cfg.backend.to_string();
    let (parts, body) = send(agent, req).await?.into_parts();
    let collected = agent.process_memory.collect(body, MAX_CLAIMED_BYTES, &peer);
    let body = collected.await?.whole(CALL_STEP, &peer)?;
    Ok(Response::from_parts(parts, body))
}

/// Sends a call to the service and returns its response, with the head that routers get.
async fn send<C: Clock>(
    agent: &Agent<C>,
    req: Request<Body>,
) -> Result<Response<Incoming>, NetError> {
    let method = req.method().clone();
    let (mut head, body) = agent.http.send(CALL_STEP, req).await?.into_parts();
    let framing = BodyFraming::of_response(&method, &head)
        .map_err(|e| NetError::new(CALL_STEP, agent.cfg.backend, e))?;
    remove_hop_by_hop_headers(&mut head.headers);
    // Routers take these for the agent's own statements.
    for name in [OUTCOME_HEADER, REASON_HEADER, UNFRAMED_HEADER] {
        head.headers.remove(name);
    }
    set_framing(&mut head, framing);
    Ok(Response::from_parts(head, body))
}

/// Tells the router whether the service stated the end of the body, since each response of the agent does.
fn set_framing(head: &mut response::Parts, framing: BodyFraming) {
    if framing == BodyFraming::ConnectionEnd {
        let is_unframed = HeaderValue::from_static("1");
        head.headers.insert(UNFRAMED_HEADER, is_unframed);
    }
}

async fn await_response(
    mut rx: watch::Receiver<Option<Option<Response<Bytes>>>>,
) -> Response<Body> {
    let state = rx.wait_for(Option::is_some).await;
    match state.as_deref() {
        Ok(Some(Some(response))) => cached_response(response),
        _ => failure_response(StatusCode::BAD_GATEWAY, Outcome::Unknown, Reason::AgentLost),
    }
}

/// Returns the response for a call that was certainly not run, since the service could not be
/// reached.
fn not_connected_response() -> Response<Bytes> {
    refusal_response(Reason::EngineLost).map(|_| Bytes::new())
}

fn call_error_response<C: Clock>(agent: &Agent<C>, error: &NetError) -> Response<Body> {
    log::warn!(step = error.step, peer = error.peer, backend_server = agent.cfg.name; "{error}");
    if error.is_connect {
        refusal_response(Reason::EngineLost)
    } else {
        failure_response(
            StatusCode::BAD_GATEWAY,
            Outcome::Unknown,
            Reason::EngineLost,
        )
    }
}

fn invalid_call_response(error: &NetError) -> Response<Body> {
    log::warn!(step = error.step, peer = error.peer; "{error}");
    failure_response(StatusCode::BAD_REQUEST, Outcome::NotRun, Reason::BadRequest)
}

fn service_request(
    service: SocketAddr,
    parts: &Parts,
    body: Body,
) -> Result<Request<Body>, NetError> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let path = path.strip_prefix(CALL_PATH).unwrap_or(path);
    let mut req = Request::builder()
        .method(parts.method.clone())
        .uri(format!("http://{service}{path}"))
        .body(body)
        .map_err(|e| NetError::new("build call", service, e))?;
    *req.headers_mut() = parts.headers.clone();
    remove_hop_by_hop_headers(req.headers_mut());
    req.headers_mut().remove(header::CONTENT_LENGTH);
    Ok(req)
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Reads the claim from a call's headers; a call without one is repeatable.
fn parse_claim(headers: &HeaderMap) -> Result<Option<CallClaim>, ()> {
    let Some(nonce) = headers.get(CLAIM_NONCE_HEADER) else {
        return Ok(None);
    };
    let nonce = nonce
        .to_str()
        .ok()
        .and_then(|hex| u64::from_str_radix(hex, 16).ok());
    let key = headers
        .get(KEY_HASH_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|hex| u128::from_str_radix(hex, 16).ok());
    match (key, nonce) {
        (Some(key), Some(nonce)) => Ok(Some(CallClaim {
            key: KeyHash(key),
            nonce: ClaimNonce(nonce),
        })),
        _ => Err(()),
    }
}
