//! Admits a caller's request and serves it from its head to its response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::CallerRequest;
use cactusbarrow_net::{Body, Clock, CollectedBody, RequestBody, RequestHolding};
use cactusbarrow_policy::{
    BackendKey, CustomerSpec, GenerationSize, OperatorConfig, PartId, PeerShutdown, PromptId,
    Reason, RequestIdentity, RequestKind, RequestParts, ResolveError, Route, ServiceName,
    ServiceSpec, retry_after, shutdown_retry_after,
};
use http::{Request, Response, StatusCode};

use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::{call, generation};

/// Time-out of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// A request with its route, service and deadline, before it is sent to a backend server.
pub(crate) struct AdmittedRequest<C> {
    pub(crate) shared: Arc<Shared<C>>,
    pub(crate) caller: CallerRequest,
    /// What the request takes of the memory of the process; it is kept once it is passed on.
    pub(crate) holding: RequestHolding,
    pub(crate) body: Bytes,
    /// Fingerprint by which the request is recognized if it arrives again.
    pub(crate) fingerprint: PartId,
    /// Name of the route.
    pub(crate) route: String,
    pub(crate) kind: RequestKind,
    /// Maximum number of backend servers that may run the request.
    pub(crate) max_runs: u32,
    pub(crate) objective: Duration,
    pub(crate) pause_objective: Option<Duration>,
    pub(crate) service: ServiceName,
    pub(crate) spec: ServiceSpec,
    pub(crate) customer: Option<Arc<str>>,
    pub(crate) priority: u8,
    pub(crate) arrived: Instant,
    /// Time-out of the caller or of the route, whichever is earlier.
    pub(crate) deadline: Instant,
}

impl<C: Clock> AdmittedRequest<C> {
    /// Draws the delay after which the caller may retry a refused request.
    pub(crate) fn retry_after(&self) -> Duration {
        retry_after(self.time_left(), &mut *self.shared.rng())
    }

    /// Draws the delay after which the caller may retry if the limits of backend servers keep the
    /// request from its service; returns `None` if they do not.
    pub(crate) fn limit_wait(&self, excluded: &[BackendKey]) -> Option<Duration> {
        let now = self.shared.now();
        let wait = self
            .shared
            .fleet()
            .limit_wait(&self.service, excluded, now)?;
        Some(wait.max(self.retry_after()))
    }

    /// Returns the id of the request's prompt, if the caller names the prompt's parts.
    pub(crate) fn prompt(&self) -> Option<PromptId> {
        let part = self.caller.unique_part.as_deref();
        part.map(PromptId::from_last_part)
    }

    /// Returns the parts of the request that may be at fault when its engine ends.
    pub(crate) fn request_parts(&self) -> RequestParts {
        let caller = &self.caller;
        RequestParts::new(
            &self.service,
            &caller.shared_parts,
            caller.unique_part.as_deref(),
        )
        .with_request(self.fingerprint)
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.now())
    }

    /// Returns whether the request has all of its time before the process exits, if it is sent to a backend server now.
    pub(crate) fn ends_before_exit(&self) -> bool {
        let now = self.shared.now();
        self.shared.shutdown().can_end(now, self.time_left())
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let arrived = shared.now();
    let (parts, body) = req.into_parts();
    let caller = match CallerRequest::decode(parts) {
        Ok(caller) => caller,
        Err(e) => {
            log::info!(reason = Reason::BadRequest.as_str(); "request rejected: {e}");
            return Refusal::rejected(StatusCode::BAD_REQUEST, Reason::BadRequest).to_response("");
        }
    };
    let request_id = caller.request_id.clone();
    let holding = body.holding().clone();
    let timeout = caller.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let admitted = tokio::select! {
        biased;
        () = holding.given_up() => {
            let wait = retry_after(timeout, &mut *shared.rng());
            Err(Refusal::not_run(Reason::NoMemory, wait))
        }
        admitted = admit(&shared, caller, body, arrived) => admitted,
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            count_refusal("none", &refusal);
            log::info!(
                request_id = request_id.as_str(),
                status = refusal.status.as_u16(),
                outcome = refusal.outcome.as_str(),
                reason = refusal.reason.as_str();
                "request refused on arrival"
            );
            return refusal.to_response(&request_id);
        }
    };
    match admitted.kind {
        // Boxed, so that requests whose bodies arrive do not take the memory of those that are served.
        RequestKind::Generation { can_resume } => {
            Box::pin(generation::serve(admitted, can_resume)).await
        }
        RequestKind::Idempotent | RequestKind::NonIdempotent => {
            Box::pin(call::serve(admitted)).await
        }
    }
}

/// Counts a refusal by kind of request, reason and outcome.
pub(crate) fn count_refusal(kind: &'static str, refusal: &Refusal) {
    metrics::counter!(
        "gateway_refusals_total",
        "kind" => kind,
        "reason" => refusal.reason.as_str(),
        "outcome" => refusal.outcome.as_str(),
    )
    .increment(1);
}

/// Resolves the route of a request, reads its body, and refuses it if it cannot be served.
async fn admit<C: Clock>(
    shared: &Arc<Shared<C>>,
    caller: CallerRequest,
    body: RequestBody,
    arrived: Instant,
) -> Result<AdmittedRequest<C>, Refusal> {
    let timeout = caller.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let refuse_with_retry = |reason| {
        let wait = retry_after(timeout, &mut *shared.rng());
        Refusal::not_run(reason, wait)
    };
    let config = tokio::select! {
        biased;
        config = shared.wait_for_config(timeout) => config,
        () = shared.wait_until_too_late(arrived + timeout) => {
            return Err(shutdown_refusal(shared));
        }
    };
    let config = config.ok_or_else(|| refuse_with_retry(Reason::NoConfiguration))?;
    let (route, customer) = resolve_route(&config, &caller)?;
    let deadline = arrived + timeout.min(route.timeout);
    let time_left = deadline.saturating_duration_since(shared.now());
    if !shared.shutdown().can_end(shared.now(), time_left) {
        return Err(shutdown_refusal(shared));
    }
    let service = route.draw_service(&mut *shared.rng()).cloned();
    let service = service.ok_or_else(|| refuse_with_retry(Reason::NoSuchService))?;
    let holding = body.holding().clone();
    let body = read_body(shared, &config, body, deadline, &caller.request_id).await?;
    let priority = customer.and_then(|customer| customer.priority);
    let fingerprint = fingerprint(shared, &caller, customer, &body);
    Ok(AdmittedRequest {
        shared: shared.clone(),
        caller,
        holding,
        body,
        fingerprint,
        route: route.name.clone(),
        kind: route.kind,
        max_runs: route.max_runs,
        objective: route.objective,
        pause_objective: route.pause_objective,
        spec: config.services.get(&service).cloned().unwrap_or_default(),
        service,
        customer: customer.map(|customer| customer.name.clone()),
        priority: priority.unwrap_or(route.priority).min(9) as u8,
        arrived,
        deadline,
    })
}

/// Returns the size of a generation as its caller requested it.
pub(crate) fn generation_size(caller: &CallerRequest) -> GenerationSize {
    GenerationSize {
        prompt_tokens: caller.prompt_tokens,
        output_tokens: caller.output_tokens,
        last_event: caller.last_event_id.unwrap_or(0),
    }
}

/// Returns the refusal of a request that has not run and may not end before the process exits.
fn shutdown_refusal<C: Clock>(shared: &Shared<C>) -> Refusal {
    Refusal::not_run(Reason::ShuttingDown, draw_shutdown_retry(shared))
}

/// Draws the delay after which a caller may retry that is refused because this gateway stops.
pub(crate) fn draw_shutdown_retry<C: Clock>(shared: &Shared<C>) -> Duration {
    let now = shared.now();
    let peers: Vec<PeerShutdown> = shared.peers().shutdowns(shared.zone_hash(), now).collect();
    let shutdown = shared.shutdown().clone();
    shutdown_retry_after(&shutdown, &peers, now, &mut *shared.rng())
}

fn fingerprint<C: Clock>(
    shared: &Shared<C>,
    caller: &CallerRequest,
    customer: Option<&CustomerSpec>,
    body: &[u8],
) -> PartId {
    let (key, _) = shared.fingerprint_key().current();
    key.fingerprint(&RequestIdentity {
        method: caller.method.as_str(),
        host: &caller.host,
        path_and_query: &caller.path_and_query,
        customer: customer.map(|customer| &*customer.name),
        body,
    })
}

fn resolve_route<'a>(
    config: &'a OperatorConfig,
    caller: &CallerRequest,
) -> Result<(&'a Route, Option<&'a CustomerSpec>), Refusal> {
    let result = config.resolve(&caller.host, caller.path(), caller.key.as_deref());
    result.map_err(|e| {
        log::info!(
            request_id = caller.request_id.as_str(),
            version = config.version.0,
            host = caller.host.as_str(),
            path = caller.path();
            "no route or customer found for the request: {e:?}"
        );
        match e {
            ResolveError::NoRoute => Refusal::rejected(StatusCode::NOT_FOUND, Reason::NoRoute),
            ResolveError::UnknownKey => {
                Refusal::rejected(StatusCode::UNAUTHORIZED, Reason::Unauthorized)
            }
        }
    })
}

async fn read_body<C: Clock>(
    shared: &Shared<C>,
    config: &OperatorConfig,
    body: RequestBody,
    deadline: Instant,
    request_id: &str,
) -> Result<Bytes, Refusal> {
    let limit = config.limits.body_bytes;
    let time_left = deadline.saturating_duration_since(shared.now());
    let body = body.collect(shared.process_memory(), limit, "caller");
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout(time_left, body) => result,
        () = shared.wait_until_too_late(deadline) => return Err(shutdown_refusal(shared)),
        () = shared.exit().cancelled() => return Err(shutdown_refusal(shared)),
    };
    match result {
        Ok(Ok(CollectedBody::Whole(body))) => Ok(body),
        Ok(Ok(CollectedBody::TooLarge)) => Err(Refusal::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::TooLarge,
        )),
        Ok(Ok(CollectedBody::GivenUp)) => {
            let wait = retry_after(time_left, &mut *shared.rng());
            Err(Refusal::not_run(Reason::NoMemory, wait))
        }
        Ok(Err(e)) => {
            log::info!(request_id = request_id, step = e.step; "request body not read: {e}");
            Err(Refusal::rejected(
                StatusCode::BAD_REQUEST,
                Reason::BadRequest,
            ))
        }
        Err(_) => Err(Refusal::not_run(Reason::Expired, Duration::ZERO)),
    }
}
