//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

/// What the backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Settings of one agent, read when its process starts.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentConfig {
    /// Name of the backend server, as in the operators' documents.
    pub name: String,
    /// Address for requests of routers.
    pub listen: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// What the backend server is.
    pub kind: BackendKind,
    /// Maximum number of requests in flight until the agent adopts a configuration.
    pub initial_max_in_flight: usize,
    /// Time after which a generation without a reader is cancelled.
    pub orphan_timeout: Duration,
    /// How long a finished generation is retained for readers that attach again.
    pub finished_retention: Duration,
    /// How long the response of a claimed call is retained.
    pub response_retention: Duration,
    /// Maximum total size of the retained responses, in bytes.
    pub response_cache_bytes: usize,
    /// Memory that connections, requests and the bodies which the agent reads take together at most, in bytes; retained
    /// responses are among them.
    pub body_memory_bytes: usize,
    /// Number of connections, beyond which those that have made no progress for longest are closed.
    pub max_connections: usize,
    /// Number of control connections, likewise.
    pub max_control_connections: usize,
    /// Time after the start of a drain at which the agent requests that generations move elsewhere.
    pub move_after: Duration,
    /// Maximum time from SIGTERM to the end of the process.
    pub drain_timeout: Duration,
    /// Interval of heartbeat frames to a reader while there is nothing else to send.
    pub heartbeat_interval: Duration,
    /// Interval between probes of the backend server; also the time-out of a probe.
    pub probe_interval: Duration,
}

impl AgentConfig {
    /// Returns settings with the default times and limits.
    pub fn new(
        name: &str,
        listen: SocketAddr,
        control: SocketAddr,
        backend: SocketAddr,
        kind: BackendKind,
    ) -> Self {
        Self {
            name: name.to_owned(),
            listen,
            control,
            backend,
            kind,
            initial_max_in_flight: 0,
            orphan_timeout: Duration::from_secs(15),
            finished_retention: Duration::from_secs(30),
            response_retention: Duration::from_secs(600),
            response_cache_bytes: 32 << 20,
            body_memory_bytes: 64 << 20,
            max_connections: 1_024,
            max_control_connections: 256,
            move_after: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
            heartbeat_interval: Duration::from_millis(100),
            probe_interval: Duration::from_millis(500),
        }
    }
}
