//! Resumption for callers that reconnect: finds their generation and continues it.

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
use crate::completions::{CompletionCall, await_response};
use crate::event_id::EventId;
use crate::generation_driver::{AttachedAttempt, DriverRequest, GenerationDriver};
use crate::refusal::Refusal;
use crate::request::hash_customer;
use crate::router::Router;
use crate::sink::{BufferedSink, CompletionMetadata, SseSink};

const ATTACH_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which an entry without a backend server is read again.
const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of joining the generation of an earlier request under the same key.
pub(crate) enum JoinOutcome<S: Store + HostList, C: Clock> {
    /// The generation is running or has ended; this is its response.
    Response(Response<Body>),
    /// No agent holds the generation any more; the permit is returned to the caller.
    Lost(CustomerPermit<S, C>),
}

/// A generation that an agent holds, with the attempt that was attached to.
struct HeldGeneration {
    req: GenerateRequest,
    attached: AttachedAttempt,
}

/// Where a generation may be held, and how many tokens it must have there.
struct GenerationLocation<'a> {
    generation: GenerationId,
    backend_server: &'a str,
    attempt: u32,
    min_tokens: usize,
}

/// Resumes a stream after the last event that the caller received.
pub(crate) async fn resume_after_event<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: CompletionCall,
    last_event: EventId,
    permit: CustomerPermit<S, C>,
) -> Result<Response<Body>, Refusal> {
    let location = GenerationLocation {
        generation: last_event.generation,
        backend_server: &last_event.backend_server,
        attempt: last_event.attempt.0,
        min_tokens: last_event.position,
    };
    let held = match attach(router, &call, &location).await {
        Some(held) => Some(held),
        None => {
            // The generation may have moved to another backend server since: the directory holds an
            // entry under its identifier.
            let moved_entry = router.directory_get(KeyHash(last_event.generation.0)).await;
            match moved_entry {
                Some(entry) if entry.backend_server != last_event.backend_server => {
                    let location = GenerationLocation {
                        backend_server: &entry.backend_server,
                        ..location
                    };
                    attach(router, &call, &location).await
                }
                _ => None,
            }
        }
    };
    let Some(held) = held else {
        return Err(
            Refusal::new(Outcome::Failed, Reason::GenerationLost, "resume")
                .with_peer(&last_event.backend_server)
                .with_message("the generation is no longer held"),
        );
    };
    if held.req.body_hash != call.body_hash {
        return Err(Refusal::new(Outcome::Failed, Reason::KeyConflict, "resume")
            .with_message("the generation was asked for with another body"));
    }
    continue_generation(router, call, held, last_event.position, permit).await
}

/// Attaches to the generation that an earlier request under the same key started.
pub(crate) async fn join_generation<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    entry: &DirectoryEntry,
    permit: CustomerPermit<S, C>,
) -> Result<JoinOutcome<S, C>, Refusal> {
    let Some(entry) = wait_for_backend_server(router, call, entry).await else {
        return Ok(JoinOutcome::Lost(permit));
    };
    let Some(generation) = GenerationId::from_slice(&entry.generation) else {
        return Ok(JoinOutcome::Lost(permit));
    };
    let location = GenerationLocation {
        generation,
        backend_server: &entry.backend_server,
        attempt: entry.attempt,
        min_tokens: 0,
    };
    let Some(held) = attach(router, call, &location).await else {
        return Ok(JoinOutcome::Lost(permit));
    };
    let call = CompletionCall {
        customer: call.customer.clone(),
        service: call.service.clone(),
        key: call.key,
        req: call.req.clone(),
        body_hash: call.body_hash,
    };
    continue_generation(router, call, held, 0, permit)
        .await
        .map(JoinOutcome::Response)
}

/// Waits until an entry names a backend server, for at most half of the caller's time-out.
async fn wait_for_backend_server<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    entry: &DirectoryEntry,
) -> Option<DirectoryEntry> {
    let caller_timeout = Duration::from_secs(u64::from(call.service.caller_patience_seconds));
    let deadline = router.clock.now() + caller_timeout / 2;
    let mut entry = entry.clone();
    while entry.backend_server.is_empty() {
        if router.clock.now() >= deadline {
            return None;
        }
        tokio::time::sleep(PENDING_POLL_INTERVAL).await;
        entry = router
            .directory_get(KeyHash::from_slice(&entry.key)?)
            .await?;
    }
    Some(entry)
}

/// Attaches to a generation at the agent that should hold it; `None` if it does not.
///
/// The frames are read from the first token on, since this router has none of them.
async fn attach<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    location: &GenerationLocation<'_>,
) -> Option<HeldGeneration> {
    let fleet = router.config.fleet();
    let server: &BackendServer = fleet.backend_server(location.backend_server)?;
    let req = AttachRequest {
        generation: location.generation.to_bytes().to_vec().into(),
        from: 0,
        customer_hash: hash_customer(&call.customer.name),
        held_tokens: location.min_tokens as u64,
        held_attempt: location.attempt,
    };
    let open = async {
        let agent = server.agent_address;
        let mut frames = FrameStream::open(&router.agent_client, agent, ATTACH_PATH, &req)
            .await
            .ok()?;
        match frames.next().await? {
            Frame::Started(started) => Some((frames, started)),
            _ => None,
        }
    };
    let (frames, started) = tokio::time::timeout(ATTACH_TIMEOUT, open).await.ok()??;
    Some(HeldGeneration {
        req: started.request?,
        attached: AttachedAttempt {
            attempt: AttemptNumber(started.attempt),
            backend_server: server.name.clone(),
            control: server.control_address,
            frames,
        },
    })
}

async fn continue_generation<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: CompletionCall,
    held: HeldGeneration,
    position: usize,
    permit: CustomerPermit<S, C>,
) -> Result<Response<Body>, Refusal> {
    metrics::counter!("cactusbarrow_rejoins_total").increment(1);
    let generation = GenerationId::from_slice(&held.req.generation).ok_or_else(|| {
        Refusal::new(Outcome::Failed, Reason::GenerationLost, "resume")
            .with_message("the agent names no generation")
    })?;
    let metadata = CompletionMetadata {
        generation,
        model: call.req.model.clone(),
    };
    let req = DriverRequest {
        generation,
        template: held.req,
        service: call.service.name.clone(),
        customer: call.customer.name.clone(),
        key: call.key.key,
        is_first_use: false,
        position,
    };
    if call.req.stream {
        let (sink, rx) = SseSink::new(metadata, router.cfg.caller_stall_timeout);
        let run = GenerationDriver::run_attached(router.clone(), req, held.attached, permit, sink);
        router.tasks.spawn(run);
        await_response(rx, Outcome::Unknown).await
    } else {
        let (sink, rx) = BufferedSink::new(metadata);
        let run = GenerationDriver::run_attached(router.clone(), req, held.attached, permit, sink);
        router.tasks.spawn(run);
        await_response(rx, Outcome::Unknown).await
    }
}
