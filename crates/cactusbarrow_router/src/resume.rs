//! Callers that come back: finds their generation and goes on with it.

use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_document::BackendServer;
use cactusbarrow_net::{Body, Clock};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{AttemptNumber, GenerationId, KeyHash, Outcome, Reason};
use cactusbarrow_protocol::ATTACH_PATH;
use cactusbarrow_protocol::generated::generate_frame::Frame;
use cactusbarrow_protocol::generated::{AttachRequest, DirectoryEntry, GenerateRequest};
use http::Response;

use crate::attempt::FrameStream;
use crate::auth::CustomerPermit;
use crate::completions::{CompletionCall, await_head};
use crate::drive::{Drive, DriveRequest, Taken};
use crate::event_id::EventId;
use crate::refusal::Refusal;
use crate::request::hash_customer;
use crate::router::Router;
use crate::sink::{AnswerHead, SseSink, WholeSink};

const ATTACH_TIMEOUT: Duration = Duration::from_millis(700);
/// Waits for an entry whose request has no backend server yet.
const PENDING_WAIT: Duration = Duration::from_millis(50);

/// What became of an earlier request under the same key.
pub(crate) enum Found<S: Store + HostList, C: Clock> {
    /// Its generation goes on, or has ended, and this is the response.
    Response(Response<Body>),
    /// It is held nowhere any more; the permit is given back.
    Lost(CustomerPermit<S, C>),
}

/// A generation that an agent holds.
struct Held {
    req: GenerateRequest,
    taken: Taken,
}

/// Where a generation may be held, and how far it must be.
struct Place<'a> {
    generation: GenerationId,
    backend_server: &'a str,
    attempt: u32,
    tokens: usize,
}

/// Goes on after the last event that the caller has.
pub(crate) async fn by_event_id<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: CompletionCall,
    last: EventId,
    permit: CustomerPermit<S, C>,
) -> Result<Response<Body>, Refusal> {
    let place = Place {
        generation: last.generation,
        backend_server: &last.backend_server,
        attempt: last.attempt.0,
        tokens: last.position,
    };
    let held = match attach(router, &call, &place).await {
        Some(held) => Some(held),
        None => {
            // The generation may have moved on since: the directory knows it by its identifier.
            let moved = router.directory_get(KeyHash(last.generation.0)).await;
            match moved {
                Some(entry) if entry.backend_server != last.backend_server => {
                    let place = Place {
                        backend_server: &entry.backend_server,
                        ..place
                    };
                    attach(router, &call, &place).await
                }
                _ => None,
            }
        }
    };
    let Some(held) = held else {
        return Err(
            Refusal::new(Outcome::Failed, Reason::GenerationLost, "resume")
                .at(&last.backend_server)
                .because("the generation is no longer held"),
        );
    };
    if held.req.body_hash != call.body_hash {
        return Err(Refusal::new(Outcome::Failed, Reason::KeyConflict, "resume")
            .because("the generation was asked for with another body"));
    }
    go_on(router, call, held, last.position, permit).await
}

/// Joins the generation that an earlier request under the same key started.
pub(crate) async fn by_entry<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    entry: &DirectoryEntry,
    permit: CustomerPermit<S, C>,
) -> Result<Found<S, C>, Refusal> {
    let Some(entry) = settled(router, call, entry).await else {
        return Ok(Found::Lost(permit));
    };
    let Some(generation) = GenerationId::from_slice(&entry.generation) else {
        return Ok(Found::Lost(permit));
    };
    let place = Place {
        generation,
        backend_server: &entry.backend_server,
        attempt: entry.attempt,
        tokens: 0,
    };
    let Some(held) = attach(router, call, &place).await else {
        return Ok(Found::Lost(permit));
    };
    let call = CompletionCall {
        customer: call.customer.clone(),
        service: call.service.clone(),
        key: call.key,
        req: call.req.clone(),
        body_hash: call.body_hash,
    };
    go_on(router, call, held, 0, permit)
        .await
        .map(Found::Response)
}

/// Waits until an entry names a backend server, as long as its caller is patient.
async fn settled<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    entry: &DirectoryEntry,
) -> Option<DirectoryEntry> {
    let patience = Duration::from_secs(u64::from(call.service.caller_patience_seconds));
    let deadline = router.clock.now() + patience / 2;
    let mut entry = entry.clone();
    while entry.backend_server.is_empty() {
        if router.clock.now() >= deadline {
            return None;
        }
        tokio::time::sleep(PENDING_WAIT).await;
        entry = router
            .directory_get(KeyHash::from_slice(&entry.key)?)
            .await?;
    }
    Some(entry)
}

/// Attaches to a generation at the agent that should hold it.
async fn attach<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    place: &Place<'_>,
) -> Option<Held> {
    let fleet = router.config.fleet();
    let server: &BackendServer = fleet.backend_server(place.backend_server)?;
    let req = AttachRequest {
        generation: place.generation.to_bytes().to_vec().into(),
        from: 0,
        customer_hash: hash_customer(&call.customer.name),
        held_tokens: place.tokens as u64,
        held_attempt: place.attempt,
    };
    let open = async {
        let agent = server.agent_address;
        let mut frames = FrameStream::open(&router.agents, agent, ATTACH_PATH, &req)
            .await
            .ok()?;
        match frames.next().await? {
            Frame::Started(started) => Some((frames, started)),
            _ => None,
        }
    };
    let (frames, started) = tokio::time::timeout(ATTACH_TIMEOUT, open).await.ok()??;
    Some(Held {
        req: started.request?,
        taken: Taken {
            attempt: AttemptNumber(started.attempt),
            backend_server: server.name.clone(),
            control: server.control_address,
            frames,
        },
    })
}

async fn go_on<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: CompletionCall,
    held: Held,
    position: usize,
    permit: CustomerPermit<S, C>,
) -> Result<Response<Body>, Refusal> {
    metrics::counter!("cactusbarrow_rejoins_total").increment(1);
    let generation = GenerationId::from_slice(&held.req.generation).ok_or_else(|| {
        Refusal::new(Outcome::Failed, Reason::GenerationLost, "resume")
            .because("the agent names no generation")
    })?;
    let head = AnswerHead {
        generation,
        model: call.req.model.clone(),
    };
    let req = DriveRequest {
        generation,
        template: held.req,
        service: call.service.name.clone(),
        customer: call.customer.name.clone(),
        key: call.key.key,
        is_fresh: false,
        position,
    };
    if call.req.stream {
        let (sink, rx) = SseSink::new(head, router.cfg.caller_stall_timeout);
        let run = Drive::run_taken(router.clone(), req, held.taken, permit, sink);
        router.tasks.spawn(run);
        await_head(rx, Outcome::Unknown).await
    } else {
        let (sink, rx) = WholeSink::new(head);
        let run = Drive::run_taken(router.clone(), req, held.taken, permit, sink);
        router.tasks.spawn(run);
        await_head(rx, Outcome::Unknown).await
    }
}
