//! HTTP headers and paths used between processes and by callers.

/// Response header: outcome of a request that failed.
pub const OUTCOME_HEADER: &str = "cactusbarrow-outcome";
/// Response header: reason for the outcome.
pub const REASON_HEADER: &str = "cactusbarrow-reason";
/// Response header of an agent: `1` if the body ended with the service's connection, so that its end was not stated.
pub const UNFRAMED_HEADER: &str = "cactusbarrow-unframed";
/// Request header: idempotency key, unique within the customer.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header: `1` if the caller has never sent this idempotency key before.
pub const FIRST_ATTEMPT_HEADER: &str = "cactusbarrow-first-attempt";
/// Request header: position from which a caller resumes a stream.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Request header: nonce of the claim that covers the call, in hexadecimal.
pub const CLAIM_NONCE_HEADER: &str = "cactusbarrow-claim";
/// Request header: hash of customer and idempotency key of a call, in hexadecimal.
pub const KEY_HASH_HEADER: &str = "cactusbarrow-key";

/// Agent's path that runs one attempt of a generation.
pub const GENERATE_PATH: &str = "/cactusbarrow/generate";
/// Agent's path that streams a generation it holds.
pub const ATTACH_PATH: &str = "/cactusbarrow/attach";
/// Prefix of the agent's path that returns the cached response of a call; the key hash follows.
pub const ANSWER_PATH: &str = "/cactusbarrow/answer/";
/// Prefix of the agent's path for calls to a plain HTTP service; the service's path follows.
pub const CALL_PATH: &str = "/cactusbarrow/call";
