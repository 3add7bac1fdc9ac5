//! Handling of completions requests.

use std::sync::Arc;

use bytes::Bytes;
use cactusbarrow_document::{Customer, Fleet, Service, WEIGHT_TOTAL};
use cactusbarrow_net::{Body, Clock};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{BalancingRequest, GenerationId, Outcome, Reason, mix, stable_hash};
use cactusbarrow_protocol::LAST_EVENT_ID_HEADER;
use cactusbarrow_protocol::generated::{DirectoryEntry, GenerateRequest};
use http::{HeaderMap, Response};
use tokio::sync::oneshot;

use crate::auth::CustomerPermit;
use crate::event_id::EventId;
use crate::generation_driver::{DriverRequest, GenerationDriver};
use crate::refusal::Refusal;
use crate::request::{CompletionRequest, RequestKey, hash_customer};
use crate::resume;
use crate::router::Router;
use crate::sink::{BufferedSink, CompletionMetadata, SseSink};

/// A parsed completions request of an authenticated customer.
pub(crate) struct CompletionCall {
    pub(crate) customer: Arc<Customer>,
    pub(crate) service: Arc<Service>,
    pub(crate) key: RequestKey,
    pub(crate) req: CompletionRequest,
    pub(crate) body_hash: u64,
}

/// Handles a completions request: resumes, joins or starts its generation.
pub(crate) async fn complete<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    fleet: &Fleet,
    customer: Arc<Customer>,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response<Body>, Refusal> {
    let key = RequestKey::from_headers(headers, &customer.name)?;
    let outcome = key.outcome_if_not_run();
    let req = CompletionRequest::parse(&body).map_err(|message| {
        Refusal::new(outcome, Reason::BadRequest, "read request").with_message(message)
    })?;
    let service = fleet
        .service_by_model(&req.model)
        .filter(|service| customer.may_use(&service.name))
        .cloned()
        .ok_or_else(|| {
            Refusal::new(outcome, Reason::NoSuchService, "find service")
                .with_message(format!("no service serves model {}", req.model))
        })?;
    // Nothing bounds the time that the generation takes.
    if router.shutdown().has_begun() {
        return Err(Refusal::new(
            outcome,
            Reason::ShuttingDown,
            "admit generation",
        ));
    }
    let permit = CustomerPermit::admit(router, &customer)
        .map_err(|reason| Refusal::new(outcome, reason, "admit customer"))?;
    let call = CompletionCall {
        customer,
        service,
        key,
        req,
        body_hash: stable_hash(&body),
    };
    if let Some(last_event) = headers.get(LAST_EVENT_ID_HEADER) {
        let last_event: EventId = last_event
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| {
                Refusal::new(outcome, Reason::BadRequest, "read last-event-id")
                    .with_message("not an event id of this system")
            })?;
        return resume::resume_after_event(router, call, last_event, permit).await;
    }
    let generation = GenerationId(rand::random());
    if let Some(entry) = register(router, &call, generation).await? {
        match resume::join_generation(router, &call, &entry, permit).await? {
            resume::JoinOutcome::Response(res) => return Ok(res),
            resume::JoinOutcome::Lost(permit) => {
                let entry = directory_entry(&call, generation);
                if let Some(entry) = entry {
                    router.directory_put(entry, false).await;
                }
                return start(router, call, generation, permit).await;
            }
        }
    }
    start(router, call, generation, permit).await
}

/// Registers a keyed request in the directory; returns the entry of an earlier request, if any.
async fn register<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: &CompletionCall,
    generation: GenerationId,
) -> Result<Option<DirectoryEntry>, Refusal> {
    let Some(entry) = directory_entry(call, generation) else {
        return Ok(None);
    };
    let Some(registered) = router.directory_put(entry.clone(), true).await else {
        return Ok(None);
    };
    if registered.body_hash != call.body_hash {
        return Err(
            Refusal::new(Outcome::Failed, Reason::KeyConflict, "register key")
                .with_message("the key was used before with another body"),
        );
    }
    Ok((registered.generation != entry.generation).then_some(registered))
}

fn directory_entry(call: &CompletionCall, generation: GenerationId) -> Option<DirectoryEntry> {
    Some(DirectoryEntry {
        key: call.key.key?.to_bytes().to_vec().into(),
        generation: generation.to_bytes().to_vec().into(),
        backend_server: String::new(),
        body_hash: call.body_hash,
        attempt: 0,
    })
}

async fn start<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    call: CompletionCall,
    generation: GenerationId,
    permit: CustomerPermit<S, C>,
) -> Result<Response<Body>, Refusal> {
    router.record_request(&call.service.name);
    let version = pin_version(router, &call.service, generation).ok_or_else(|| {
        Refusal::new(
            call.key.outcome_if_not_run(),
            Reason::NoBackend,
            "pin version",
        )
        .with_message("the service has no model version")
    })?;
    let template = request_template(&call, generation, version);
    let req = DriverRequest {
        generation,
        template,
        service: call.service.name.clone(),
        customer: call.customer.name.clone(),
        key: call.key.key,
        is_first_use: call.key.is_first_use,
        position: 0,
    };
    let metadata = CompletionMetadata {
        generation,
        model: call.req.model.clone(),
    };
    let outcome = call.key.outcome_if_not_run();
    if call.req.stream {
        let (sink, rx) = SseSink::new(metadata, router.cfg.caller_stall_timeout);
        let run = GenerationDriver::run_new(router.clone(), req, permit, sink);
        router.tasks.spawn(run);
        await_response(rx, outcome).await
    } else {
        let (sink, rx) = BufferedSink::new(metadata);
        let run = GenerationDriver::run_new(router.clone(), req, permit, sink);
        router.tasks.spawn(run);
        await_response(rx, outcome).await
    }
}

/// Waits for the response of a driver.
///
/// A driver that ends without one may have started an attempt, so `NotRun` becomes `Unknown`.
pub(crate) async fn await_response(
    rx: oneshot::Receiver<Response<Body>>,
    outcome: Outcome,
) -> Result<Response<Body>, Refusal> {
    rx.await.map_err(|_| {
        let outcome = match outcome {
            Outcome::NotRun => Outcome::Unknown,
            other => other,
        };
        Refusal::new(outcome, Reason::ShuttingDown, "generate")
    })
}

/// Chooses a model version by the service's weights, preferring those with a usable backend server.
fn pin_version<S: Store + HostList, C: Clock>(
    router: &Router<S, C>,
    service: &Service,
    generation: GenerationId,
) -> Option<String> {
    let point = mix(generation.0 as u64) % u64::from(WEIGHT_TOTAL);
    let weighted = service.select_version(point as u32)?;
    let is_usable = |version: &str| {
        router
            .choose(
                &service.name,
                Some(version),
                BalancingRequest::default(),
                &[],
            )
            .is_some()
    };
    let others = service
        .versions
        .iter()
        .filter(|v| v.weight > 0)
        .map(|v| v.model_version.as_str());
    std::iter::once(weighted)
        .chain(others)
        .find(|version| is_usable(version))
        .or(Some(weighted))
        .map(str::to_owned)
}

fn request_template(
    call: &CompletionCall,
    generation: GenerationId,
    version: String,
) -> GenerateRequest {
    let key = call.key.key.map(|key| key.to_bytes().to_vec());
    GenerateRequest {
        generation: generation.to_bytes().to_vec().into(),
        attempt: 0,
        model: call.req.model.clone(),
        version,
        adapter: call.req.adapter.clone(),
        prompt: call.req.prompt.clone(),
        max_tokens: call.req.max_tokens,
        seed: call.req.seed.unwrap_or_else(rand::random),
        temperature: call.req.temperature,
        priority: call.req.priority,
        prefix: None,
        key: key.unwrap_or_default().into(),
        body_hash: call.body_hash,
        customer_hash: hash_customer(&call.customer.name),
        backend_server: String::new(),
    }
}
