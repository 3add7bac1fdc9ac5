//! Records how each request ends: answered, refused, given up by its caller, or lost.

use http::HeaderValue;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The whole response of a backend server was written.
    Answered,
    /// A refusal was written.
    Refused,
    /// The caller closed the connection before the response was complete.
    CallerGone,
    /// The response was aborted after its head, which its sender has logged.
    Aborted,
    /// None of these: the caller neither got a response nor left.
    Lost,
}

impl RequestEnd {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerGone => "caller_gone",
            Self::Aborted => "aborted",
            Self::Lost => "lost",
        }
    }
}

/// A request that has been read, as it is named in the logs.
#[derive(Debug)]
pub(crate) struct ServedRequest {
    /// Listener on which the request arrived.
    pub(crate) listener: &'static str,
    /// `None` if the request has no id.
    pub(crate) id: Option<HeaderValue>,
    /// Whether its response is a refusal of this gateway.
    pub(crate) is_refused: bool,
}

impl ServedRequest {
    /// Counts the end of the request, and logs it if the response did not reach the caller.
    pub(crate) fn record_end(&self, end: RequestEnd) {
        metrics::counter!(
            "gateway_requests_ended_total",
            "listener" => self.listener,
            "end" => end.as_str(),
        )
        .increment(1);
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        let id = id.unwrap_or("");
        match end {
            RequestEnd::Lost => {
                log::warn!(request_id = id, listener = self.listener; "request ended without a response");
            }
            RequestEnd::CallerGone => {
                log::info!(request_id = id, listener = self.listener; "caller left before the response was complete");
            }
            RequestEnd::Answered | RequestEnd::Refused | RequestEnd::Aborted => {}
        }
    }
}
