//! Decides which requests a process still admits while it shuts down, and when it ends the others.
//!
//! Load pattern: hosts are restarted one after the other under full load. The load balancer
//! continues to send callers for a while, and where the host is the only one of its zone, a
//! caller that retries at once reaches it again.

use std::time::{Duration, Instant};

/// Settings of [`Shutdown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownConfig {
    /// Time until the load balancer has removed the host from rotation: two failed health
    /// checks, one second apart, and their latency.
    pub rotation_exit_delay: Duration,
    /// Part of the grace period that is reserved for the exit of the process itself.
    pub exit_reserve: Duration,
    /// Time before the exit at which requests that are still open are refused.
    pub refusal_reserve: Duration,
    /// Time from the exit of a process until the load balancer sends callers to the next one of its host: the restart,
    /// and a health check.
    pub restart_delay: Duration,
}

impl Default for ShutdownConfig {
    fn default() -> Self {
        Self {
            rotation_exit_delay: Duration::from_millis(2_300),
            exit_reserve: Duration::from_millis(300),
            refusal_reserve: Duration::from_millis(200),
            restart_delay: Duration::from_millis(1_500),
        }
    }
}

/// Shutdown state of a gateway, a router or an agent.
#[derive(Clone, Debug)]
pub struct Shutdown {
    cfg: ShutdownConfig,
    grace: Duration,
    started_at: Option<Instant>,
}

impl Shutdown {
    /// Creates the state of a process that is not shutting down.
    ///
    /// `grace` is the grace period or drain time-out: the time after SIGTERM at which the process is
    /// killed. It includes the exit of the process.
    pub fn new(cfg: ShutdownConfig, grace: Duration) -> Self {
        Self {
            cfg,
            grace,
            started_at: None,
        }
    }

    /// Begins the shutdown.
    pub fn begin(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the time until the host is out of the load balancer's rotation; zero if the
    /// shutdown has not begun.
    pub fn rotation_time_left(&self, now: Instant) -> Duration {
        let delay = self.rotation_exit_delay();
        self.started_at.map_or(Duration::ZERO, |started_at| {
            (started_at + delay).saturating_duration_since(now)
        })
    }

    /// Returns the time until a host with the same grace period is out of rotation whose process must exit in
    /// `exits_in`.
    pub(crate) fn rotation_time_before(&self, exits_in: Duration) -> Duration {
        let grace = self.grace.saturating_sub(self.cfg.exit_reserve);
        exits_in.saturating_sub(grace.saturating_sub(self.rotation_exit_delay()))
    }

    fn rotation_exit_delay(&self) -> Duration {
        self.cfg.rotation_exit_delay.min(self.grace / 2)
    }

    pub(crate) fn restart_delay(&self) -> Duration {
        self.cfg.restart_delay
    }

    /// Returns the time until the process must exit, if the shutdown has begun.
    pub fn exits_in(&self, now: Instant) -> Option<Duration> {
        self.has_begun().then(|| self.time_left(now))
    }

    /// Returns the time until the process must exit.
    pub fn time_left(&self, now: Instant) -> Duration {
        let grace = self.grace.saturating_sub(self.cfg.exit_reserve);
        self.started_at.map_or(grace, |started_at| {
            (started_at + grace).saturating_duration_since(now)
        })
    }

    /// Returns the time until requests that are still open are refused, shortly before the exit.
    pub fn refusal_time_left(&self, now: Instant) -> Duration {
        let time_left = self.time_left(now);
        time_left.saturating_sub(self.cfg.refusal_reserve)
    }

    /// Returns whether a request has all of its time before open ones are refused; `time_left` is the time until its
    /// caller or route gives up. It is asked on arrival and before each send.
    ///
    /// Nothing else bounds a request: how long others took says nothing certain about it.
    pub fn can_end(&self, now: Instant, time_left: Duration) -> bool {
        !self.has_begun() || self.refusal_time_left(now) >= time_left
    }
}
