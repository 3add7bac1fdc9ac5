//! Decides what a gateway that shuts down still takes.
//!
//! Load pattern: hosts are restarted one after the other under full load. The
//! balancer goes on sending callers for a while, and where the host is the only one
//! of its zone, a caller that is told to come back at once meets it again.

use std::time::{Duration, Instant};

/// Tuning of [`Shutdown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownConfig {
    /// Time until the balancer has taken the host out: two failed checks, one second
    /// apart, and their latency.
    pub leave_rotation: Duration,
    /// Part of the grace that is kept for the end of the process itself.
    pub exit_reserve: Duration,
    /// Duration of a generation before any was measured.
    pub default_generation: Duration,
}

impl Default for ShutdownConfig {
    fn default() -> Self {
        Self {
            leave_rotation: Duration::from_millis(2_300),
            exit_reserve: Duration::from_millis(300),
            default_generation: Duration::from_secs(6),
        }
    }
}

/// Weight of the newest generation in the mean duration.
const NEWEST_WEIGHT: f64 = 0.1;

/// Measured durations and, once it has begun, the course of a shutdown.
#[derive(Clone, Debug)]
pub struct Shutdown {
    cfg: ShutdownConfig,
    grace: Duration,
    begun: Option<Instant>,
    mean_generation: Duration,
}

impl Shutdown {
    /// Creates the state of a gateway that is not shutting down.
    pub fn new(cfg: ShutdownConfig, grace: Duration) -> Self {
        Self {
            cfg,
            grace,
            begun: None,
            mean_generation: cfg.default_generation,
        }
    }

    /// Records how long a whole generation took.
    pub fn record_generation(&mut self, took: Duration) {
        let mean = self.mean_generation.as_secs_f64();
        let mean = mean + NEWEST_WEIGHT * (took.as_secs_f64() - mean);
        self.mean_generation = Duration::from_secs_f64(mean);
    }

    /// Begins the shutdown.
    pub fn begin(&mut self, now: Instant) {
        self.begun.get_or_insert(now);
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Returns the time until the host is out of the balancer's rotation.
    pub fn rotation_left(&self, now: Instant) -> Duration {
        let leave = self.cfg.leave_rotation.min(self.grace / 2);
        self.begun.map_or(Duration::ZERO, |begun| {
            (begun + leave).saturating_duration_since(now)
        })
    }

    /// Returns the time until the process has to end.
    pub fn time_left(&self, now: Instant) -> Duration {
        let grace = self.grace.saturating_sub(self.cfg.exit_reserve);
        self.begun.map_or(grace, |begun| {
            (begun + grace).saturating_duration_since(now)
        })
    }

    /// Decides on a new call: it is taken if its whole time passes before the end.
    pub fn admits_call(&self, now: Instant, timeout: Duration) -> bool {
        !self.has_begun() || self.time_left(now) >= timeout
    }

    /// Decides on a new generation: `Err` tells when its caller may come back.
    ///
    /// One that can be expected to end in time is taken.
    pub fn admit_generation(&self, now: Instant) -> Result<(), Duration> {
        if !self.has_begun() || self.time_left(now) >= self.mean_generation {
            return Ok(());
        }
        Err(self.rotation_left(now))
    }
}
