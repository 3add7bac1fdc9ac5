//! Serves the health checks of the platform's load balancer.

use std::sync::Arc;

use cactusbarrow_net::{Body, Clock, RequestBody};
use http::{Request, Response, StatusCode};

use crate::shared::Shared;

/// Responds with 200 while the gateway can serve callers, else with 503.
pub(crate) async fn serve<C: Clock>(
    shared: Arc<Shared<C>>,
    _req: Request<RequestBody>,
) -> Response<Body> {
    let mut res = Response::new(Body::Empty);
    if !shared.is_ready() {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}
