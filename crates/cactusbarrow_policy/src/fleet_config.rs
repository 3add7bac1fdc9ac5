//! Settings of the fleet of backend servers.

use std::time::Duration;

use crate::heartbeat::HeartbeatConfig;

/// Settings of [`BackendFleet`](crate::BackendFleet).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetConfig {
    /// When a backend server with running work is probed and considered lost.
    pub heartbeat: HeartbeatConfig,
    /// Time until a backend server that refused a connection is asked for its instance id: its
    /// process has ended, and the next start registers an entry of its own.
    pub refused_recheck_delay: Duration,
    /// Time until a backend server to which connecting timed out is asked for its instance id.
    pub unreachable_recheck_delay: Duration,
    /// Time until a silent backend server is asked for its instance id, and between two such
    /// checks of any lost backend server.
    pub silent_recheck_delay: Duration,
    /// Silence after which a lost backend server is considered gone instead of suspected.
    pub gone_after: Duration,
    /// Cost of a running generation, in unread prompt tokens.
    pub running_cost: u64,
    /// Cost of a zone in which several backend servers were lost recently, in prompt tokens.
    pub zone_loss_cost: u64,
    /// Step in which the cost of a copy is compared, in tokens of memory.
    pub copy_cost_step: u64,
    /// How long a loss counts against its zone.
    pub zone_loss_window: Duration,
    /// Share of an engine's memory that may be occupied.
    pub memory_share: f64,
    /// Time after which the limit of a backend server that sends no more responses is ignored.
    pub limit_memory: Duration,
    /// Weight of the newest result in the failure rate of a backend server.
    pub failure_weight: f64,
    /// Half-life of the failure rate.
    pub failure_half_life: Duration,
    /// Cost of a backend server that fails every call, in calls in flight; a lower failure
    /// rate costs proportionally less.
    pub failure_cost: f64,
    /// Cost of an engine that fails every generation, in prompt tokens.
    pub engine_failure_cost: f64,
    /// Failure rate from which this gateway reports to its peers that it avoids a backend server.
    pub avoid_failure_rate: f64,
    /// Cost of an engine for each peer that avoids it, in prompt tokens.
    pub avoider_cost: u64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            heartbeat: HeartbeatConfig::default(),
            refused_recheck_delay: Duration::from_millis(2_500),
            unreachable_recheck_delay: Duration::from_millis(500),
            silent_recheck_delay: Duration::from_millis(1_000),
            gone_after: Duration::from_millis(3_600),
            running_cost: 4_000,
            zone_loss_cost: 20_000,
            copy_cost_step: 8_000,
            limit_memory: Duration::from_secs(60),
            zone_loss_window: Duration::from_millis(1_500),
            memory_share: 0.9,
            failure_weight: 0.4,
            failure_half_life: Duration::from_secs(4),
            failure_cost: 8.0,
            engine_failure_cost: 40_000.0,
            avoid_failure_rate: 0.35,
            avoider_cost: 15_000,
        }
    }
}
