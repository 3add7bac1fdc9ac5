//! Parsing of callers' requests and of the idempotency keys that identify them.

use cactusbarrow_policy::{KeyHash, Outcome, Reason, stable_hash};
use cactusbarrow_protocol::{FIRST_ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, LAST_EVENT_ID_HEADER};
use http::HeaderMap;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::refusal::Refusal;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
const MAX_TOKENS_LIMIT: u32 = 1 << 20;

/// Idempotency key of a request, if it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestKey {
    /// Hash of customer and key; `None` if the caller sent no key.
    pub(crate) key: Option<KeyHash>,
    /// Whether no earlier request can have used the key, so that this one cannot have been run yet.
    pub(crate) is_first_use: bool,
}

impl RequestKey {
    /// Reads the key from a request's headers; refuses a key that is empty or too long.
    pub(crate) fn from_headers(headers: &HeaderMap, customer: &str) -> Result<Self, Refusal> {
        let is_first_use = outcome_from_headers(headers) == Outcome::NotRun;
        let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
            return Ok(Self {
                key: None,
                is_first_use,
            });
        };
        if value.is_empty() || value.len() > MAX_KEY_BYTES {
            return Err(Refusal::new(
                outcome_from_headers(headers),
                Reason::BadRequest,
                "read idempotency key",
            )
            .with_message(format!("the key must have 1 to {MAX_KEY_BYTES} bytes")));
        }
        Ok(Self {
            key: Some(hash_key(customer, value.as_bytes())),
            is_first_use,
        })
    }

    /// Returns the outcome to report for a request that this router did not run.
    ///
    /// It is unknown unless this is the key's first use: another router may have run an earlier
    /// request under the same key.
    pub(crate) fn outcome_if_not_run(&self) -> Outcome {
        if self.is_first_use {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

/// Returns the outcome to report for a request that is refused before it is handled.
///
/// `NotRun` unless the headers show that an earlier request may have been run.
pub(crate) fn outcome_from_headers(headers: &HeaderMap) -> Outcome {
    let is_first = headers
        .get(FIRST_ATTEMPT_HEADER)
        .is_some_and(|value| value == "1");
    let is_repeated = headers.contains_key(IDEMPOTENCY_KEY_HEADER) && !is_first;
    // A caller that sends a last event id has read part of a response.
    if !is_repeated && !headers.contains_key(LAST_EVENT_ID_HEADER) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

fn hash_key(customer: &str, key: &[u8]) -> KeyHash {
    let mut hasher = Sha256::new();
    hasher.update(customer.as_bytes());
    hasher.update([0]);
    hasher.update(key);
    let digest = hasher.finalize();
    let mut buf = [0; 16];
    buf.copy_from_slice(&digest[..16]);
    KeyHash(u128::from_be_bytes(buf))
}

/// Returns the hash of a customer's name, which agents compare before they attach a caller.
pub(crate) fn hash_customer(customer: &str) -> u64 {
    stable_hash(customer.as_bytes())
}

/// Body of a completions request; unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct CompletionRequest {
    /// Name of the model.
    pub(crate) model: String,
    /// Text of the prompt.
    pub(crate) prompt: String,
    /// Whether to stream tokens as server-sent events.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Largest number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
    /// Seed of the sampling; random if absent.
    pub(crate) seed: Option<u64>,
    /// Temperature of the sampling.
    #[serde(default = "default_temperature")]
    pub(crate) temperature: f32,
    /// Name of the adapter to apply; empty for none.
    #[serde(default)]
    pub(crate) adapter: String,
    /// Priority at the engine.
    #[serde(default)]
    pub(crate) priority: i32,
}

const fn default_max_tokens() -> u32 {
    256
}

const fn default_temperature() -> f32 {
    1.0
}

impl CompletionRequest {
    /// Parses and validates a request's body; an error message names the position or field.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let req: Self = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if req.max_tokens == 0 || req.max_tokens > MAX_TOKENS_LIMIT {
            return Err(format!("max_tokens must be 1 to {MAX_TOKENS_LIMIT}"));
        }
        if !req.temperature.is_finite() || req.temperature < 0.0 {
            return Err("temperature must be a number of at least 0".to_owned());
        }
        Ok(req)
    }
}
