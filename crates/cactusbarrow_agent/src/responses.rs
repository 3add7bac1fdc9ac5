//! HTTP responses of an agent to routers.

use bytes::Bytes;
use cactusbarrow_net::Body;
use cactusbarrow_policy::{Outcome, Reason};
use cactusbarrow_protocol::{OUTCOME_HEADER, REASON_HEADER};
use http::{HeaderValue, Response, StatusCode};

/// Returns a response that says that work was not started, and why.
pub(crate) fn refusal_response(reason: Reason) -> Response<Body> {
    failure_response(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason)
}

/// Returns a response that says why work failed, and whether it was run.
pub(crate) fn failure_response(
    status: StatusCode,
    outcome: Outcome,
    reason: Reason,
) -> Response<Body> {
    let mut res = Response::new(Body::Empty);
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    headers.insert(REASON_HEADER, HeaderValue::from_static(reason.as_str()));
    res
}

/// Returns a copy of a cached response.
pub(crate) fn cached_response(res: &Response<Bytes>) -> Response<Body> {
    let mut out = Response::new(Body::full(res.body().clone()));
    *out.status_mut() = res.status();
    *out.headers_mut() = res.headers().clone();
    out
}
