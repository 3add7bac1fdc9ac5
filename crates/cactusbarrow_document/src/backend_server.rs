//! Backend servers and the agents beside them.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One backend server, reached through the agent beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Name, unique among backend servers.
    pub name: String,
    /// The service it carries.
    pub service: String,
    /// Availability zone it runs in.
    pub zone: String,
    /// Address of its agent for requests, as IP and port.
    #[schemars(with = "String")]
    pub agent_address: SocketAddr,
    /// Address of its agent for control messages, as IP and port.
    #[schemars(with = "String")]
    pub control_address: SocketAddr,
    /// The model version it runs; only for services that serve completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model_version: Option<String>,
    /// Largest number of requests it takes at once.
    pub max_in_flight: u32,
    /// Whether its engine refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub draining: bool,
}
