//! Decides when an attempt that has gone quiet is suspected.

use std::time::Duration;

/// Weight of the newest gap in the moving averages.
const GAP_WEIGHT: f64 = 0.1;

/// Tuning of [`SuspicionTimeouts`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionConfig {
    /// Shortest gap between tokens that is ever suspected.
    pub min_token_timeout: Duration,
    /// Longest gap between tokens that is tolerated while decoding.
    pub max_token_timeout: Duration,
    /// Number of mean deviations above the mean gap that are tolerated.
    pub deviation_factor: f64,
    /// Longest silence of the agent that is tolerated.
    pub agent_timeout: Duration,
    /// Longest time that is tolerated after the agent reports its engine dead.
    pub engine_timeout: Duration,
    /// Longest wait for the first token while the agent reports a live engine.
    pub first_token_timeout: Duration,
}

impl SuspicionConfig {
    /// Returns the defaults for services that favor resume latency.
    pub const fn favor_latency() -> Self {
        Self {
            min_token_timeout: Duration::from_millis(1_000),
            max_token_timeout: Duration::from_millis(1_500),
            deviation_factor: 6.0,
            agent_timeout: Duration::from_millis(700),
            engine_timeout: Duration::ZERO,
            first_token_timeout: Duration::from_secs(5),
        }
    }

    /// Returns the defaults for services that favor low resource use.
    pub const fn favor_resources() -> Self {
        Self {
            min_token_timeout: Duration::from_millis(1_500),
            max_token_timeout: Duration::from_millis(3_000),
            deviation_factor: 12.0,
            agent_timeout: Duration::from_millis(1_200),
            engine_timeout: Duration::from_millis(300),
            first_token_timeout: Duration::from_secs(15),
        }
    }
}

/// Learns the pace of one attempt and tells how long a gap is tolerated.
#[derive(Clone, Debug)]
pub struct SuspicionTimeouts {
    cfg: SuspicionConfig,
    mean: Option<f64>,
    deviation: f64,
}

impl SuspicionTimeouts {
    /// Creates an estimator that has seen no gap.
    pub fn new(cfg: SuspicionConfig) -> Self {
        Self {
            cfg,
            mean: None,
            deviation: 0.0,
        }
    }

    /// Records the gap between two arrivals of tokens.
    pub fn record_gap(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        let mean = *self.mean.get_or_insert(gap);
        self.deviation += GAP_WEIGHT * ((gap - mean).abs() - self.deviation);
        self.mean = Some(mean + GAP_WEIGHT * (gap - mean));
    }

    /// Returns the longest gap between tokens that is tolerated.
    pub fn token_timeout(&self) -> Duration {
        let Some(mean) = self.mean else {
            return self.cfg.max_token_timeout;
        };
        let tolerated = mean + self.cfg.deviation_factor * self.deviation.max(mean * 0.25);
        Duration::from_secs_f64(tolerated)
            .clamp(self.cfg.min_token_timeout, self.cfg.max_token_timeout)
    }

    /// Returns the longest silence of the agent that is tolerated.
    pub fn agent_timeout(&self) -> Duration {
        self.cfg.agent_timeout
    }

    /// Returns the longest time that is tolerated after the agent reports its engine dead.
    pub fn engine_timeout(&self) -> Duration {
        self.cfg.engine_timeout
    }

    /// Returns the longest wait for the first token while the engine is reported alive.
    pub fn first_token_timeout(&self) -> Duration {
        self.cfg.first_token_timeout
    }
}
