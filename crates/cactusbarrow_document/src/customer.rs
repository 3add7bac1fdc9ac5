//! Customers with their API keys and limits.

use std::fmt::Write;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A customer, identified by its API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name, unique among customers.
    pub name: String,
    /// SHA-256 of the customer's API key, as 64 lower-case hexadecimal digits.
    pub key_sha256: String,
    /// Largest number of requests in flight across all routers.
    pub max_in_flight: u32,
    /// Largest number of generated tokens per second across all routers.
    pub tokens_per_second: u32,
    /// Names of the services that the customer may use; all services if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
}

impl Customer {
    /// Returns true if the customer may use the service.
    pub fn may_use(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.iter().any(|s| s == service)
    }
}

/// Returns the hash of an API key in the form of [`Customer::key_sha256`].
pub fn hash_api_key(key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
