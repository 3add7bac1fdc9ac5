//! Refusals: error responses that the gateway itself creates.

use std::time::Duration;

use cactusbarrow_adapter::{REQUEST_ID, set_retry_after};
use cactusbarrow_net::Body;
use cactusbarrow_policy::{Outcome, Reason};
use http::{HeaderValue, Response, StatusCode};

/// An error response that the gateway creates instead of passing one on from a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// Wait after which the caller may retry; `None` if a retry would be useless or unsafe.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that is invalid or not permitted.
    pub(crate) fn rejected(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            outcome: Outcome::Failed,
            reason,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that was not run and will not be.
    pub(crate) fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Creates the refusal of a request that may have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        let status = if reason == Reason::RouteTimeout {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        Self {
            status,
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Encodes the refusal as an HTTP response.
    pub(crate) fn to_response(&self, request_id: &str) -> Response<Body> {
        let text = format!("{}: {}\n", self.outcome, self.reason);
        let mut res = Response::new(Body::full(text));
        *res.status_mut() = self.status;
        if let Ok(id) = HeaderValue::try_from(request_id) {
            res.headers_mut().insert(REQUEST_ID, id);
        }
        // Marks the response as a refusal.
        res.extensions_mut().insert(self.outcome);
        if let Some(wait) = self.retry_after {
            set_retry_after(res.headers_mut(), wait);
        }
        res
    }
}
