//! Outcomes and reasons of requests that got no response.

use std::fmt;

/// Whether a request that got no response was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No attempt with the request's key was run.
    NotRun,
    /// An attempt may have been run.
    Unknown,
    /// The request was run or is invalid, and cannot be completed.
    Failed,
}

impl Outcome {
    /// Returns the outcome of a request that got no response.
    pub fn without_response(may_have_run: bool) -> Self {
        if may_have_run {
            Self::Unknown
        } else {
            Self::NotRun
        }
    }

    /// Returns the value used in the response header and body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal),* $(,)?) => {
        /// Why a request was refused, retried or failed; also a metric label.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in declaration order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the value used in responses, logs and metrics.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest = "bad_request",
    /// The bearer token names no customer.
    Unauthorized = "unauthorized",
    /// No service serves the path or model.
    NoSuchService = "no_such_service",
    /// No route of the configuration matches the host and path.
    NoRoute = "no_route",
    /// The request body is larger than the limit.
    TooLarge = "too_large",
    /// The bodies that the process holds take all the memory for them.
    NoMemory = "no_memory",
    /// The idempotency key was used before with a different body.
    KeyConflict = "key_conflict",
    /// The backend server is draining.
    Draining = "draining",
    /// The backend server is at its limit of requests in flight.
    BackendFull = "backend_full",
    /// The agent has seen the same or a later attempt of the generation.
    StaleAttempt = "stale_attempt",
    /// The agent has already admitted a call under the claim.
    ClaimUsed = "claim_used",
    /// The caller's deadline passed while the request waited.
    Expired = "expired",
    /// The agent does not run the model version that the request names.
    WrongVersion = "wrong_version",
    /// No backend server is available for the request.
    NoBackend = "no_backend",
    /// The limits that backend servers name allow no further request now.
    BackendLimit = "backend_limit",
    /// All backend servers of the service have stated that they want no requests for some time.
    BackendBackoff = "backend_backoff",
    /// No backend server has the software version that began the stream.
    SoftwareGone = "software_gone",
    /// The software version that began the stream is not known.
    UnknownOrigin = "unknown_origin",
    /// The store does not show yet that the listed software versions are served.
    UnstoredVersion = "unstored_version",
    /// The generation or a part of its prompt has ended several engines.
    QuarantinedPrompt = "quarantined_prompt",
    /// The same request has ended several backend servers.
    QuarantinedRequest = "quarantined_request",
    /// The customer has too many requests in flight.
    CustomerInFlight = "customer_in_flight",
    /// The customer has exceeded its rate of generated tokens.
    CustomerRate = "customer_rate",
    /// The agent cannot be reached.
    AgentUnreachable = "agent_unreachable",
    /// The connection to the agent broke.
    AgentLost = "agent_lost",
    /// The backend server fails the health checks of its agent.
    EngineDown = "engine_down",
    /// The engine or service cannot be reached, or its stream broke.
    EngineLost = "engine_lost",
    /// The attempt stopped making progress.
    Stalled = "stalled",
    /// The backend server requested that its generations be moved to another one.
    Moved = "moved",
    /// The service's retry budget is used up.
    RetryBudget = "retry_budget",
    /// The platform's store does not respond.
    StoreUnavailable = "store_unavailable",
    /// The call was claimed before, and its response is not available.
    AlreadyClaimed = "already_claimed",
    /// No process holds the generation any longer.
    GenerationLost = "generation_lost",
    /// The backend server responded with an error that is not retryable.
    BackendError = "backend_error",
    /// The expected wait in the queue exceeds the caller's deadline.
    QueueTooLong = "queue_too_long",
    /// The router has too many requests in flight.
    Overloaded = "overloaded",
    /// The process has not adopted a configuration yet.
    NoConfiguration = "no_configuration",
    /// The process is shutting down.
    ShuttingDown = "shutting_down",
    /// The connection to the backend server could not be established, so nothing was sent.
    NotConnected = "not_connected",
    /// The backend server reported that it did not run the request.
    NotExecuted = "not_executed",
    /// Another instance responds at the backend server's address.
    OtherInstance = "other_instance",
    /// The backend server has started again, and its entry does not tell yet.
    OtherIncarnation = "other_incarnation",
    /// The response was truncated or belongs to another request.
    BrokenResponse = "broken_answer",
    /// The backend server does not respond to probes.
    Silent = "silent",
    /// The copy of the generation's engine memory does not exist.
    CopyMissing = "copy_missing",
    /// The route's time-out expired before a response arrived.
    RouteTimeout = "route_timeout",
    /// The process failed while it served the request.
    InternalError = "internal_error",
    /// The caller disconnected before the response was complete.
    CallerGone = "caller_gone",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
