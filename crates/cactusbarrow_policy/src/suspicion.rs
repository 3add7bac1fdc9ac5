//! Time-outs after which a silent attempt is suspected to have failed.

use std::time::Duration;

/// Weight of the newest gap in the exponential moving averages.
const GAP_WEIGHT: f64 = 0.1;

/// Settings of [`SuspicionTimeouts`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionConfig {
    /// Lower bound of the time-out between tokens.
    pub min_token_timeout: Duration,
    /// Upper bound of the time-out between tokens, which also applies before a gap is known.
    pub max_token_timeout: Duration,
    /// Number of mean deviations by which the time-out between tokens exceeds the mean gap.
    pub deviation_factor: f64,
    /// Maximum silence of the agent.
    pub agent_timeout: Duration,
    /// Maximum time from the agent's report that its engine is dead to the next token or report
    /// that it is alive.
    pub engine_timeout: Duration,
    /// Maximum wait for the first token while the agent reports its engine alive.
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

/// Time-outs of one attempt; the one between tokens adapts to the observed gaps.
#[derive(Clone, Debug)]
pub struct SuspicionTimeouts {
    cfg: SuspicionConfig,
    mean_gap_seconds: Option<f64>,
    gap_deviation_seconds: f64,
}

impl SuspicionTimeouts {
    /// Creates time-outs for an attempt without observed gaps.
    pub fn new(cfg: SuspicionConfig) -> Self {
        Self {
            cfg,
            mean_gap_seconds: None,
            gap_deviation_seconds: 0.0,
        }
    }

    /// Records the gap between two arrivals of tokens.
    pub fn record_gap(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64();
        let mean = *self.mean_gap_seconds.get_or_insert(gap);
        self.gap_deviation_seconds +=
            GAP_WEIGHT * ((gap - mean).abs() - self.gap_deviation_seconds);
        self.mean_gap_seconds = Some(mean + GAP_WEIGHT * (gap - mean));
    }

    /// Returns the maximum gap between tokens.
    pub fn token_timeout(&self) -> Duration {
        let Some(mean) = self.mean_gap_seconds else {
            return self.cfg.max_token_timeout;
        };
        let timeout =
            mean + self.cfg.deviation_factor * self.gap_deviation_seconds.max(mean * 0.25);
        Duration::from_secs_f64(timeout)
            .clamp(self.cfg.min_token_timeout, self.cfg.max_token_timeout)
    }

    /// Returns the maximum silence of the agent.
    pub fn agent_timeout(&self) -> Duration {
        self.cfg.agent_timeout
    }

    /// Returns the maximum time from a report of a dead engine to the next token or report that it
    /// is alive.
    pub fn engine_timeout(&self) -> Duration {
        self.cfg.engine_timeout
    }

    /// Returns the maximum wait for the first token while the engine is reported alive.
    pub fn first_token_timeout(&self) -> Duration {
        self.cfg.first_token_timeout
    }
}
