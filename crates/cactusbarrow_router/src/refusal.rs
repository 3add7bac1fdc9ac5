//! Typed error responses for requests that get no response of a backend server.

use cactusbarrow_net::Body;
use cactusbarrow_policy::{Outcome, Reason};
use cactusbarrow_protocol::{OUTCOME_HEADER, REASON_HEADER};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Why a request was refused or has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Whether the request was run.
    pub(crate) outcome: Outcome,
    /// Reason for callers, metrics and the response's status.
    pub(crate) reason: Reason,
    /// Processing step that failed.
    pub(crate) step: &'static str,
    /// Name or address of the process at which the step failed, if any.
    pub(crate) peer: Option<String>,
    /// Explanation for the caller.
    pub(crate) message: String,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalError<'a>,
}

#[derive(Serialize)]
struct RefusalError<'a> {
    outcome: &'a str,
    reason: &'a str,
    step: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    peer: Option<&'a str>,
    message: &'a str,
}

impl Refusal {
    /// Creates a refusal without peer or message.
    pub(crate) fn new(outcome: Outcome, reason: Reason, step: &'static str) -> Self {
        Self {
            outcome,
            reason,
            step,
            peer: None,
            message: String::new(),
        }
    }

    /// Sets the process at which the step failed.
    pub(crate) fn with_peer(mut self, peer: impl ToString) -> Self {
        self.peer = Some(peer.to_string());
        self
    }

    /// Sets the explanation for the caller.
    pub(crate) fn with_message(mut self, message: impl ToString) -> Self {
        self.message = message.to_string();
        self
    }

    /// Encodes the refusal as the JSON body of an error.
    pub(crate) fn to_json(&self) -> String {
        let body = RefusalBody {
            error: RefusalError {
                outcome: self.outcome.as_str(),
                reason: self.reason.as_str(),
                step: self.step,
                peer: self.peer.as_deref(),
                message: &self.message,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Counts the refusal by outcome and reason, and logs it.
    pub(crate) fn record(&self) {
        metrics::counter!(
            "cactusbarrow_refusals_total",
            "outcome" => self.outcome.as_str(),
            "reason" => self.reason.as_str()
        )
        .increment(1);
        log::info!(
            step = self.step,
            peer = self.peer.as_deref().unwrap_or(""),
            outcome = self.outcome.as_str(),
            reason = self.reason.as_str();
            "request refused {}", self.message
        );
    }

    /// Records the refusal and converts it to a response.
    pub(crate) fn into_response(self) -> Response<Body> {
        self.record();
        let mut res = Response::new(Body::full(self.to_json()));
        *res.status_mut() = status_of(self.reason);
        let headers = res.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        headers.insert(OUTCOME_HEADER, outcome);
        let reason = HeaderValue::from_static(self.reason.as_str());
        headers.insert(REASON_HEADER, reason);
        if let Some(seconds) = retry_after_seconds(self.reason) {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        res
    }
}

fn status_of(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::NoSuchService => StatusCode::NOT_FOUND,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::KeyConflict | Reason::AlreadyClaimed | Reason::ClaimUsed => StatusCode::CONFLICT,
        Reason::CustomerInFlight | Reason::CustomerRate => StatusCode::TOO_MANY_REQUESTS,
        Reason::GenerationLost => StatusCode::GONE,
        Reason::AgentLost | Reason::EngineLost | Reason::Stalled | Reason::BackendError => {
            StatusCode::BAD_GATEWAY
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the seconds after which a caller may retry; `None` if a retry cannot help.
fn retry_after_seconds(reason: Reason) -> Option<u32> {
    match status_of(reason) {
        StatusCode::TOO_MANY_REQUESTS => Some(1),
        StatusCode::SERVICE_UNAVAILABLE if reason == Reason::StoreUnavailable => Some(3),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY => Some(1),
        _ => None,
    }
}
