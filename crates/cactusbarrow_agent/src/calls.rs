//! Calls to a plain service.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cactusbarrow_net::{Body, Clock, NetError, collect_limited};
use cactusbarrow_policy::{ClaimNonce, KeyHash, Outcome, Reason, Work};
use cactusbarrow_protocol::{ANSWER_PATH, CALL_PATH, CLAIM_NONCE_HEADER, KEY_HASH_HEADER};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::agent::{Agent, AgentPermit};
use crate::responses::{failed, refused, whole};

/// Largest body of a claimed call and of its answer, in bytes.
const MAX_CLAIMED_BYTES: usize = 4 << 20;

/// Headers that concern one connection only.
const HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::HOST,
];

/// The claim that a call was sent under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallClaim {
    key: KeyHash,
    nonce: ClaimNonce,
}

/// Passes a call to the service, if the gate admits it.
pub(crate) async fn call<C: Clock>(
    agent: &Arc<Agent<C>>,
    req: Request<Incoming>,
    peer: &str,
) -> Response<Body> {
    let (parts, body) = req.into_parts();
    match claim_of(&parts.headers) {
        Ok(Some(claim)) => claimed(agent, parts, body, claim, peer).await,
        Ok(None) => repeatable(agent, &parts, body).await,
        Err(()) => failed(StatusCode::BAD_REQUEST, Outcome::NotRun, Reason::BadRequest),
    }
}

/// Gives the answer of an earlier call under a key, waiting for it if the call still runs.
pub(crate) async fn answer<C: Clock>(agent: &Arc<Agent<C>>, path: &str) -> Response<Body> {
    let key = path
        .strip_prefix(ANSWER_PATH)
        .and_then(|hex| u128::from_str_radix(hex, 16).ok())
        .map(KeyHash);
    match key.and_then(|key| agent.answers.get(key)) {
        Some(rx) => await_answer(rx).await,
        None => failed(
            StatusCode::NOT_FOUND,
            Outcome::Unknown,
            Reason::AlreadyClaimed,
        ),
    }
}

async fn repeatable<C: Clock>(
    agent: &Arc<Agent<C>>,
    parts: &Parts,
    body: Incoming,
) -> Response<Body> {
    let permit = match agent.admit(&Work::Repeatable) {
        Ok(permit) => permit,
        Err(reason) => return refused(reason),
    };
    let req = match service_request(agent.cfg.backend, parts, Body::Incoming(body)) {
        Ok(req) => req,
        Err(e) => return unsendable(&e),
    };
    match agent.http.send("call service", req).await {
        Ok(res) => stream_answer(agent, res, permit),
        Err(e) => call_failed(agent, &e),
    }
}

/// Passes an answer on while holding its place at the service.
fn stream_answer<C: Clock>(
    agent: &Arc<Agent<C>>,
    res: Response<Incoming>,
    permit: AgentPermit<C>,
) -> Response<Body> {
    use http_body_util::BodyExt;
    let (mut parts, mut incoming) = res.into_parts();
    remove_hop_headers(&mut parts.headers);
    let (tx, body) = Body::channel();
    agent.tasks.spawn(async move {
        while let Some(frame) = incoming.frame().await {
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(data)) => {
                    if !tx.send(data).await {
                        break;
                    }
                }
                Ok(Err(_)) => {}
                Err(_) => tx.abort().await,
            }
        }
        drop(permit);
    });
    Response::from_parts(parts, body)
}

async fn claimed<C: Clock>(
    agent: &Arc<Agent<C>>,
    parts: Parts,
    body: Incoming,
    claim: CallClaim,
    peer: &str,
) -> Response<Body> {
    // The body is read whole first: once the call is admitted nothing may break it off.
    let body = match collect_limited(body, MAX_CLAIMED_BYTES, peer).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            return failed(
                StatusCode::PAYLOAD_TOO_LARGE,
                Outcome::NotRun,
                Reason::TooLarge,
            );
        }
        Err(_) => return failed(StatusCode::BAD_REQUEST, Outcome::NotRun, Reason::BadRequest),
    };
    let req = match service_request(agent.cfg.backend, &parts, Body::full(body)) {
        Ok(req) => req,
        Err(e) => return unsendable(&e),
    };
    let permit = match agent.admit(&Work::Claimed { nonce: claim.nonce }) {
        Ok(permit) => permit,
        Err(Reason::ClaimUsed) => {
            return failed(StatusCode::CONFLICT, Outcome::Unknown, Reason::ClaimUsed);
        }
        Err(reason) => return refused(reason),
    };
    let (tx, rx) = watch::channel(None);
    agent.answers.begin(claim.key, rx.clone());
    let run = run_claimed(agent.clone(), req, claim, permit, tx);
    // A task of its own, since the router may go away while the call runs.
    agent.tasks.spawn(run);
    await_answer(rx).await
}

async fn run_claimed<C: Clock>(
    agent: Arc<Agent<C>>,
    req: Request<Body>,
    claim: CallClaim,
    permit: AgentPermit<C>,
    tx: watch::Sender<Option<Option<Response<Bytes>>>>,
) {
    let answer = match exchange(&agent, req).await {
        Ok(answer) => Some(answer),
        Err(e) if e.is_connect => Some(not_connected()),
        Err(e) => {
            log::warn!(step = e.step, peer = e.peer, backend_server = agent.cfg.name; "{e}");
            None
        }
    };
    let size = answer.as_ref().map_or(0, |a| a.body().len());
    tx.send_replace(Some(answer));
    agent.answers.complete(claim.key, size, agent.clock.now());
    drop(permit);
}

async fn exchange<C: Clock>(
    agent: &Agent<C>,
    req: Request<Body>,
) -> Result<Response<Bytes>, NetError> {
    const STEP: &str = "call service";
    let peer = agent.cfg.backend.to_string();
    let (mut parts, body) = agent.http.send(STEP, req).await?.into_parts();
    let body = collect_limited(body, MAX_CLAIMED_BYTES, &peer)
        .await?
        .ok_or_else(|| NetError::new(STEP, &peer, "answer is too large"))?;
    remove_hop_headers(&mut parts.headers);
    Ok(Response::from_parts(parts, body))
}

async fn await_answer(mut rx: watch::Receiver<Option<Option<Response<Bytes>>>>) -> Response<Body> {
    let held = rx.wait_for(Option::is_some).await;
    match held.as_deref() {
        Ok(Some(Some(answer))) => whole(answer),
        _ => failed(StatusCode::BAD_GATEWAY, Outcome::Unknown, Reason::AgentLost),
    }
}

/// The answer if the service could not be reached, so that the call was certainly not run.
fn not_connected() -> Response<Bytes> {
    refused(Reason::EngineLost).map(|_| Bytes::new())
}

fn call_failed<C: Clock>(agent: &Agent<C>, error: &NetError) -> Response<Body> {
    log::warn!(step = error.step, peer = error.peer, backend_server = agent.cfg.name; "{error}");
    if error.is_connect {
        refused(Reason::EngineLost)
    } else {
        failed(
            StatusCode::BAD_GATEWAY,
            Outcome::Unknown,
            Reason::EngineLost,
        )
    }
}

fn unsendable(error: &NetError) -> Response<Body> {
    log::warn!(step = error.step, peer = error.peer; "{error}");
    failed(StatusCode::BAD_REQUEST, Outcome::NotRun, Reason::BadRequest)
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
    remove_hop_headers(req.headers_mut());
    req.headers_mut().remove(header::CONTENT_LENGTH);
    Ok(req)
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

/// Reads the claim from a call's headers; a call without one may be repeated.
fn claim_of(headers: &HeaderMap) -> Result<Option<CallClaim>, ()> {
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
