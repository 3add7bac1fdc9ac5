//! Takes a caller's request from its head to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::CallerRequest;
use cactusbarrow_net::{Body, Clock, collect_limited};
use cactusbarrow_policy::{
    CustomerSpec, PromptId, Reason, RequestKind, ResolveError, Route, RouteSet, ServiceName,
    ServiceSpec, retry_after,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::answers::Refusal;
use crate::shared::Shared;
use crate::{call, generation};

/// Wait beyond the time that the balancer needs to send a caller elsewhere.
const SHUTDOWN_RETRY: Duration = Duration::from_millis(50);

/// Longest wait for an answer where the caller states none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// A request with all that was decided about it before it is sent anywhere.
pub(crate) struct Admitted<C> {
    pub(crate) shared: Arc<Shared<C>>,
    pub(crate) caller: CallerRequest,
    pub(crate) body: Bytes,
    /// Name of the route.
    pub(crate) route: String,
    pub(crate) kind: RequestKind,
    pub(crate) attempts: u32,
    pub(crate) objective: Duration,
    pub(crate) pause_objective: Option<Duration>,
    pub(crate) service: ServiceName,
    pub(crate) spec: ServiceSpec,
    pub(crate) customer: Option<Arc<str>>,
    pub(crate) priority: u8,
    pub(crate) arrived: Instant,
    /// When the caller stops waiting, or the route's time is over.
    pub(crate) deadline: Instant,
}

impl<C: Clock> Admitted<C> {
    /// Draws when the caller may come back after a refusal.
    pub(crate) fn retry_after(&self) -> Duration {
        retry_after(self.time_left(), &mut *self.shared.rng())
    }

    /// Returns the name of the request's prompt, if its caller names the parts.
    pub(crate) fn prompt(&self) -> Option<PromptId> {
        let part = self.caller.unique_part.as_deref();
        part.map(PromptId::from_last_part)
    }

    /// Returns the time that is left for the answer.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.shared.now())
    }
}

/// Serves one request.
pub(crate) async fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let arrived = shared.now();
    let (parts, body) = req.into_parts();
    let caller = match CallerRequest::decode(parts) {
        Ok(caller) => caller,
        Err(e) => {
            log::info!(reason = Reason::BadRequest.as_str(); "request rejected: {e}");
            return Refusal::rejected(StatusCode::BAD_REQUEST, Reason::BadRequest).respond("");
        }
    };
    let request_id = caller.request_id.clone();
    let admitted = match admit(&shared, caller, body, arrived).await {
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
            return refusal.respond(&request_id);
        }
    };
    match admitted.kind {
        RequestKind::Generation { can_resume } => generation::serve(admitted, can_resume).await,
        RequestKind::Idempotent | RequestKind::NonIdempotent => call::serve(admitted).await,
    }
}

/// Counts a refusal by kind of request and reason.
pub(crate) fn count_refusal(kind: &'static str, refusal: &Refusal) {
    metrics::counter!(
        "gateway_refusals_total",
        "kind" => kind,
        "reason" => refusal.reason.as_str(),
        "outcome" => refusal.outcome.as_str(),
    )
    .increment(1);
}

async fn admit<C: Clock>(
    shared: &Arc<Shared<C>>,
    caller: CallerRequest,
    body: Incoming,
    arrived: Instant,
) -> Result<Admitted<C>, Refusal> {
    let patience = caller.timeout.unwrap_or(DEFAULT_PATIENCE);
    let come_back = |reason| {
        let wait = retry_after(patience, &mut *shared.rng());
        Refusal::not_run(reason, wait)
    };
    let Some(routes) = shared.first_routes(patience).await else {
        return Err(come_back(Reason::NoConfiguration));
    };
    let (route, customer) = look_up(&routes, &caller)?;
    let now = shared.now();
    if !route.kind.is_generation() && !shared.shutdown().admits_call(now, route.timeout) {
        return Err(come_back(Reason::ShuttingDown));
    }
    if route.kind.is_generation() {
        let admitted = shared.shutdown().admit_generation(shared.now());
        admitted.map_err(|wait| Refusal::not_run(Reason::ShuttingDown, wait + SHUTDOWN_RETRY))?;
    }
    let service = route.draw_service(&mut *shared.rng()).cloned();
    let service = service.ok_or_else(|| come_back(Reason::NoSuchService))?;
    let deadline = arrived + patience.min(route.timeout);
    let body = read_body(shared, &routes, body, deadline, &caller.request_id).await?;
    let priority = customer.and_then(|customer| customer.priority);
    Ok(Admitted {
        shared: shared.clone(),
        caller,
        body,
        route: route.name.clone(),
        kind: route.kind,
        attempts: route.attempts,
        objective: route.objective,
        pause_objective: route.pause_objective,
        spec: routes.services.get(&service).cloned().unwrap_or_default(),
        service,
        customer: customer.map(|customer| customer.name.clone()),
        priority: priority.unwrap_or(route.priority).min(9) as u8,
        arrived,
        deadline,
    })
}

fn look_up<'a>(
    routes: &'a RouteSet,
    caller: &CallerRequest,
) -> Result<(&'a Route, Option<&'a CustomerSpec>), Refusal> {
    let found = routes.resolve(&caller.host, caller.path(), caller.key.as_deref());
    found.map_err(|e| {
        log::info!(
            request_id = caller.request_id.as_str(),
            version = routes.version.0,
            host = caller.host.as_str(),
            path = caller.path();
            "request has no place in the configuration: {e:?}"
        );
        match e {
            ResolveError::NoRoute => {
                Refusal::rejected(StatusCode::NOT_FOUND, Reason::NoSuchService)
            }
            ResolveError::UnknownKey => {
                Refusal::rejected(StatusCode::UNAUTHORIZED, Reason::Unauthorized)
            }
        }
    })
}

async fn read_body<C: Clock>(
    shared: &Shared<C>,
    routes: &RouteSet,
    body: Incoming,
    deadline: Instant,
    request_id: &str,
) -> Result<Bytes, Refusal> {
    let limit = routes.limits.body_bytes;
    let left = deadline.saturating_duration_since(shared.now());
    let read = tokio::time::timeout(left, collect_limited(body, limit, "caller")).await;
    match read {
        Ok(Ok(Some(body))) => Ok(body),
        Ok(Ok(None)) => Err(Refusal::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::TooLarge,
        )),
        Ok(Err(e)) => {
            log::info!(request_id = request_id, step = e.step; "body not read: {e}");
            Err(Refusal::rejected(
                StatusCode::BAD_REQUEST,
                Reason::BadRequest,
            ))
        }
        Err(_) => Err(Refusal::not_run(Reason::Expired, Duration::ZERO)),
    }
}
