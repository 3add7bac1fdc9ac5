//! What a caller is told when it gets no answer, and why.

use std::fmt;

/// Says whether a request that got no answer was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No attempt under the request's key was run.
    NotRun,
    /// An attempt may have been run.
    Unknown,
    /// The request was run, or was wrong, and cannot be completed.
    Failed,
}

impl Outcome {
    /// Returns the outcome of a request without an answer.
    pub fn without_answer(may_have_run: bool) -> Self {
        if may_have_run {
            Self::Unknown
        } else {
            Self::NotRun
        }
    }

    /// Returns the word used in the response header and body.
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
        /// Why a request was refused, retried or failed; also the label of its counter.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in declaration order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the word used in responses, logs and counters.
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
    /// The request body is larger than the limit.
    TooLarge = "too_large",
    /// The key was used before with another body.
    KeyConflict = "key_conflict",
    /// The backend server is draining.
    Draining = "draining",
    /// The backend server is at its limit of requests in flight.
    BackendFull = "backend_full",
    /// The attempt is older than one the agent has seen.
    StaleAttempt = "stale_attempt",
    /// The claim was used before at this agent.
    ClaimUsed = "claim_used",
    /// The request waited longer than its caller does.
    Expired = "expired",
    /// The agent does not run the model version that the request names.
    WrongVersion = "wrong_version",
    /// No backend server is left that may take the request.
    NoBackend = "no_backend",
    /// The customer has too many requests in flight.
    CustomerInFlight = "customer_in_flight",
    /// The customer has used up its tokens per second.
    CustomerRate = "customer_rate",
    /// The agent cannot be reached.
    AgentUnreachable = "agent_unreachable",
    /// The connection to the agent broke.
    AgentLost = "agent_lost",
    /// The backend server does not answer its agent's probes.
    EngineDown = "engine_down",
    /// The engine cannot be reached, or its stream broke.
    EngineLost = "engine_lost",
    /// The attempt stopped making progress.
    Stalled = "stalled",
    /// The backend server asks for its generations to be moved.
    Moved = "moved",
    /// The service's retry budget is used up.
    RetryBudget = "retry_budget",
    /// The platform's store does not answer.
    StoreUnavailable = "store_unavailable",
    /// The call was claimed before and its answer is not held.
    AlreadyClaimed = "already_claimed",
    /// The generation is no longer held anywhere.
    GenerationLost = "generation_lost",
    /// The backend server answered with an error that a retry does not mend.
    BackendError = "backend_error",
    /// The queue is too long for the caller's patience.
    QueueTooLong = "queue_too_long",
    /// The router has too many requests in flight.
    Overloaded = "overloaded",
    /// The process has adopted no configuration yet.
    NoConfiguration = "no_configuration",
    /// The process is shutting down.
    ShuttingDown = "shutting_down",
    /// No connection to the backend server came about, so nothing was sent.
    NotConnected = "not_connected",
    /// The backend server states that it did not run the request.
    NotExecuted = "not_executed",
    /// Another instance has the backend server's address.
    OtherInstance = "other_instance",
    /// The answer broke off, or answers another request.
    BrokenAnswer = "broken_answer",
    /// The backend server no longer answers heartbeats.
    Silent = "silent",
    /// The copy of the generation's memory is not there.
    CopyMissing = "copy_missing",
    /// The route's time for an answer is over.
    RouteTimeout = "route_timeout",
    /// The caller left before its answer.
    CallerGone = "caller_gone",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
