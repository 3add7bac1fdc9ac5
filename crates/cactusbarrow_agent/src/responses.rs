//! Responses of an agent to its routers.

use bytes::Bytes;
use cactusbarrow_net::Body;
use cactusbarrow_policy::{Outcome, Reason};
use cactusbarrow_protocol::{OUTCOME_HEADER, REASON_HEADER};
use http::{HeaderValue, Response, StatusCode};

/// Says that work was not started, and why.
pub(crate) fn refused(reason: Reason) -> Response<Body> {
    failed(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, reason)
}

/// Says that work failed, and whether it was run.
pub(crate) fn failed(status: StatusCode, outcome: Outcome, reason: Reason) -> Response<Body> {
    let mut res = Response::new(Body::Empty);
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    headers.insert(REASON_HEADER, HeaderValue::from_static(reason.as_str()));
    res
}

/// Passes a held answer on.
pub(crate) fn whole(res: &Response<Bytes>) -> Response<Body> {
    let mut out = Response::new(Body::full(res.body().clone()));
    *out.status_mut() = res.status();
    *out.headers_mut() = res.headers().clone();
    out
}
