//! Names of HTTP headers and paths between processes and towards callers.

/// Carries the typed outcome of a request that got no answer.
pub const OUTCOME_HEADER: &str = "cactusbarrow-outcome";
/// Carries the reason behind the outcome.
pub const REASON_HEADER: &str = "cactusbarrow-reason";
/// Names the request within the customer.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Set to `1` by a caller that has never used this key before.
pub const FIRST_ATTEMPT_HEADER: &str = "cactusbarrow-first-attempt";
/// Carries the position from which a caller goes on.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Carries the nonce of the claim a call is sent under, in hexadecimal.
pub const CLAIM_NONCE_HEADER: &str = "cactusbarrow-claim";
/// Carries the hash of customer and key of a call, in hexadecimal.
pub const KEY_HASH_HEADER: &str = "cactusbarrow-key";

/// Agent's path for one attempt of a generation.
pub const GENERATE_PATH: &str = "/cactusbarrow/generate";
/// Agent's path for a generation that it holds.
pub const ATTACH_PATH: &str = "/cactusbarrow/attach";
/// Agent's path for an answer that it holds; the key's hash follows.
pub const ANSWER_PATH: &str = "/cactusbarrow/answer/";
/// Start of the agent's path for calls to a plain service; the service's own path follows.
pub const CALL_PATH: &str = "/cactusbarrow/call";
