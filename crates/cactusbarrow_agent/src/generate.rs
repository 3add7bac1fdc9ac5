//! Requests to start an attempt of a generation, or to attach to a generation.

use std::sync::Arc;

use cactusbarrow_net::{Body, Clock, CollectedBody, RequestBody};
use cactusbarrow_policy::{AttemptNumber, GenerationId, Outcome, Reason, TokenBuffer, Work};
use cactusbarrow_protocol::generated::{AttachRequest, GenerateRequest};
use cactusbarrow_protocol::{MAX_FRAME_BYTES, token_run_to_buffer};
use http::{Response, StatusCode};
use prost::Message;

use crate::agent::Agent;
use crate::generation_table::GenerationRecord;
use crate::responses::{failure_response, refusal_response};
use crate::{attempt, reader_stream};

/// Starts an attempt if admission control allows it, and streams its tokens.
pub(crate) async fn generate<C: Clock>(
    agent: &Arc<Agent<C>>,
    body: RequestBody,
    peer: &str,
) -> Response<Body> {
    let mut req: GenerateRequest = match read_message(agent, body, peer).await {
        Ok(req) => req,
        Err(refusal) => return refusal,
    };
    let (Some(id), Some(prefix)) = (
        GenerationId::from_slice(&req.generation),
        take_prefix(&mut req),
    ) else {
        return bad_request();
    };
    if !req.backend_server.is_empty() && req.backend_server != agent.cfg.name {
        return refusal_response(Reason::NoBackend);
    }
    let work = Work::Attempt {
        generation: id,
        attempt: AttemptNumber(req.attempt),
        version: &req.version,
        is_resume: !prefix.is_empty(),
    };
    let permit = match agent.admit(&work) {
        Ok(permit) => permit,
        Err(reason) => return refusal_response(reason),
    };
    let from = prefix.len();
    let record = Arc::new(GenerationRecord::new(req, prefix, agent.stop.child_token()));
    agent.generations.insert(id, record.clone());
    let stream = stream_to_body(agent, record.clone(), from, false);
    agent
        .tasks
        .spawn(attempt::run(agent.clone(), id, record, permit));
    stream
}

/// Streams a generation that this agent runs or retains.
pub(crate) async fn attach<C: Clock>(
    agent: &Arc<Agent<C>>,
    body: RequestBody,
    peer: &str,
) -> Response<Body> {
    let req: AttachRequest = match read_message(agent, body, peer).await {
        Ok(req) => req,
        Err(refusal) => return refusal,
    };
    let Some(id) = GenerationId::from_slice(&req.generation) else {
        return bad_request();
    };
    let record = agent.generations.get(id).filter(|record| {
        let is_owner = record.req.customer_hash == req.customer_hash;
        let is_recent = record.attempt.0 >= req.held_attempt;
        let held = record.state().tokens.len() as u64;
        is_owner && is_recent && held >= req.held_tokens.max(req.from)
    });
    match record {
        Some(record) => stream_to_body(agent, record, req.from as usize, true),
        None => failure_response(
            StatusCode::NOT_FOUND,
            Outcome::Unknown,
            Reason::GenerationLost,
        ),
    }
}

fn stream_to_body<C: Clock>(
    agent: &Arc<Agent<C>>,
    record: Arc<GenerationRecord>,
    from: usize,
    with_request: bool,
) -> Response<Body> {
    let (tx, body) = Body::channel();
    let reader = reader_stream::run(agent.clone(), record, from, with_request, tx);
    agent.tasks.spawn(reader);
    Response::new(body)
}

fn take_prefix(req: &mut GenerateRequest) -> Option<TokenBuffer> {
    req.prefix
        .take()
        .map_or_else(|| Some(TokenBuffer::new()), token_run_to_buffer)
}

fn bad_request() -> Response<Body> {
    failure_response(StatusCode::BAD_REQUEST, Outcome::NotRun, Reason::BadRequest)
}

/// Reads a message of a router; fails with the response to one that cannot be read.
async fn read_message<M: Message + Default, C: Clock>(
    agent: &Agent<C>,
    body: RequestBody,
    peer: &str,
) -> Result<M, Response<Body>> {
    let holding = body.holding().clone();
    let collected = body.collect(&agent.process_memory, MAX_FRAME_BYTES, peer);
    match collected.await {
        Ok(CollectedBody::Whole(_)) if !holding.keep() => Err(refusal_response(Reason::NoMemory)),
        Ok(CollectedBody::Whole(bytes)) => M::decode(bytes).map_err(|_| bad_request()),
        Ok(CollectedBody::GivenUp) => Err(refusal_response(Reason::NoMemory)),
        Ok(CollectedBody::TooLarge) | Err(_) => Err(bad_request()),
    }
}
