//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_policy::{
    BalancingConfig, ClaimConfig, Favor, GenerationConfig, QueueOrder, SubsetConfig,
};

/// Another router, as the settings or the platform's list name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name, unique among routers.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for control messages.
    pub control: SocketAddr,
}

/// Settings of one router, as its process learns them at its start.
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
    /// Address that peers reach the control socket at, if not the one listened on.
    pub advertised_control: Option<SocketAddr>,
    /// Routers to learn from before the platform's list is read.
    pub seeds: Vec<Peer>,
    /// Requests in flight beyond which new ones are refused.
    pub max_in_flight: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that streams get to end after SIGTERM.
    pub drain_timeout: Duration,
    /// Longest time to wait for a caller that does not read.
    pub caller_stall_timeout: Duration,
    /// Polls of agents per second; bounds the cost of control.
    pub polls_per_second: f64,
    /// Interval at which a random peer is told the revision in force.
    pub gossip_interval: Duration,
    /// Routers of each zone that watch the store; the others learn from their peers.
    pub watchers_per_zone: usize,
    /// Longest wait of one watch.
    pub watch_wait: Duration,
    /// Interval at which a router that does not watch reads the store.
    pub idle_read_interval: Duration,
    /// Age at which an unrepeatable call is no longer claimed.
    pub claim_timeout: Duration,
    /// Order of requests that wait for room.
    pub queue_order: QueueOrder,
    /// Retries that each request of a service earns.
    pub retries_per_request: f64,
    /// Tuning of claims.
    pub claims: ClaimConfig,
    /// Tuning of the choice of backend servers.
    pub balancing: BalancingConfig,
    /// Tuning of the subset of backend servers.
    pub subset: SubsetConfig,
    /// Tuning of generations of services that favor latency.
    pub latency_generation: GenerationConfig,
    /// Tuning of generations of services that favor resources.
    pub resources_generation: GenerationConfig,
}

impl RouterConfig {
    /// Returns settings with the default times and limits.
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
