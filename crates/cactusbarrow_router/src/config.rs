//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_policy::{
    BalancingConfig, ClaimConfig, Favor, GenerationConfig, QueueOrder, SubsetConfig,
};

/// A router, as the settings or the platform's list of hosts describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name, unique among routers.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for control messages.
    pub control: SocketAddr,
}

/// Settings of one router, fixed while its process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Name, unique among routers.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Control address that peers connect to, if it differs from the listening address.
    pub advertised_control: Option<SocketAddr>,
    /// Peers that are known before the platform's list of hosts has been read.
    pub seeds: Vec<Peer>,
    /// Number of requests in flight beyond which new ones are refused.
    pub max_in_flight: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Memory that connections, requests and the bodies which the router reads take together at most, in bytes.
    pub body_memory_bytes: usize,
    /// Number of callers' connections, beyond which those that have made no progress for longest are closed.
    pub max_connections: usize,
    /// Number of control connections, likewise.
    pub max_control_connections: usize,
    /// Maximum time from SIGTERM to the end of the process; streams are aborted shortly before.
    pub drain_timeout: Duration,
    /// Time after which a caller that does not read its stream is disconnected.
    pub caller_stall_timeout: Duration,
    /// Rate of polls, over all agents; bounds the CPU time and bandwidth of control traffic.
    pub polls_per_second: f64,
    /// Interval at which the current revision is offered to a random peer.
    pub gossip_interval: Duration,
    /// Number of routers per zone that watch the store; the others receive changes by gossip.
    pub watchers_per_zone: usize,
    /// Longest time that one watch request waits for a change.
    pub watch_wait: Duration,
    /// Interval at which a router that is not a watcher reads the store.
    pub idle_read_interval: Duration,
    /// Time after its arrival until which an unrepeatable call may be claimed.
    pub claim_timeout: Duration,
    /// Order in which queued requests are started.
    pub queue_order: QueueOrder,
    /// Retries that each request adds to its service's retry budget.
    pub retries_per_request: f64,
    /// Settings of the claim shards.
    pub claims: ClaimConfig,
    /// Settings of load balancing over backend servers.
    pub balancing: BalancingConfig,
    /// Settings for the selection of this router's subset of backend servers.
    pub subset: SubsetConfig,
    /// Settings for generations of services that favor latency.
    pub latency_generation: GenerationConfig,
    /// Settings for generations of services that favor resources.
    pub resources_generation: GenerationConfig,
}

impl RouterConfig {
    /// Returns settings with the default time-outs and limits.
    pub fn new(name: &str, zone: &str, listen: SocketAddr, control: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen,
            control,
            advertised_control: None,
            seeds: Vec::new(),
            max_in_flight: 8_192,
            max_body_bytes: 4 << 20,
            body_memory_bytes: 1 << 30,
            max_connections: 8_192,
            max_control_connections: 2_048,
            drain_timeout: Duration::from_secs(300),
            caller_stall_timeout: Duration::from_secs(30),
            polls_per_second: 5.0,
            gossip_interval: Duration::from_secs(1),
            watchers_per_zone: 2,
            watch_wait: Duration::from_secs(30),
            idle_read_interval: Duration::from_secs(30),
            claim_timeout: Duration::from_secs(2),
            queue_order: QueueOrder::Fair,
            retries_per_request: 0.2,
            claims: ClaimConfig::default(),
            balancing: BalancingConfig::default(),
            subset: SubsetConfig::default(),
            latency_generation: GenerationConfig::for_favor(Favor::Latency),
            resources_generation: GenerationConfig::for_favor(Favor::Resources),
        }
    }
}
