//! Backend servers and the addresses of their agents.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A backend server, reached through the agent that runs beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique among backend servers.
    pub name: String,
    /// Name of the service that it serves.
    pub service: String,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Address of its agent for requests, as IP and port.
    #[schemars(with = "String")]
    pub agent_address: SocketAddr,
    /// Address of its agent for control messages, as IP and port.
    #[schemars(with = "String")]
    pub control_address: SocketAddr,
    /// Name of the model version that it runs; only for completions services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model_version: Option<String>,
    /// Largest number of requests in flight.
    pub max_in_flight: u32,
    /// Whether its engine rejects orders that carry an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is draining and accepts no new work.
    #[serde(default)]
    pub draining: bool,
}
