//! Decides when a backend server with work is asked for a sign of life, and when it is lost.
//!
//! An engine that reads a long prompt sends nothing to its other streams, so
//! silence of streams alone says little. Its report is answered all the same.

use std::time::{Duration, Instant};

/// Tuning of [`Heartbeat`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatConfig {
    /// Silence of all streams after which a probe is sent.
    pub quiet: Duration,
    /// Wait for the answer to a probe after which a second one is sent: a single lost
    /// packet delays a probe for longer than a resume may take.
    pub second_probe: Duration,
    /// Longest wait for the answer to a probe.
    pub probe_timeout: Duration,
    /// Lateness of the process itself beyond which it does not judge others.
    pub own_delay: Duration,
}

impl Default for HeartbeatConfig {
    /// Quiet and probe timeout together leave 350 ms of a 700 ms pause for the resume.
    fn default() -> Self {
        Self {
            quiet: Duration::from_millis(150),
            second_probe: Duration::from_millis(70),
            probe_timeout: Duration::from_millis(160),
            own_delay: Duration::from_millis(100),
        }
    }
}

/// What to do about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatStep {
    /// Nothing.
    Wait,
    /// Send a probe.
    Probe,
    /// Take it for lost.
    Lost,
}

/// The signs of life of one backend server.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    heard: Instant,
    probed: Option<Instant>,
    has_second: bool,
    polled: Instant,
}

impl Heartbeat {
    /// Creates the state of a backend server that was heard just now.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: now,
            probed: None,
            has_second: false,
            polled: now,
        }
    }

    /// Records anything that the backend server sent.
    pub fn record_alive(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
        self.probed = None;
    }

    /// Restarts the wait when work is given to an idle backend server.
    pub fn restart(&mut self, now: Instant) {
        self.record_alive(now);
        self.polled = now;
    }

    /// Returns how long nothing was heard.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    /// Decides what to do now; called every few tens of milliseconds.
    pub fn poll(&mut self, cfg: &HeartbeatConfig, now: Instant) -> HeartbeatStep {
        let since_poll = now.saturating_duration_since(self.polled);
        self.polled = now;
        if since_poll > cfg.own_delay {
            // What arrived while the process stood still has not been read yet.
            self.probed = self.probed.map(|at| at + since_poll);
            return HeartbeatStep::Wait;
        }
        match self.probed {
            Some(at) if now.saturating_duration_since(at) >= cfg.probe_timeout => {
                HeartbeatStep::Lost
            }
            Some(at)
                if !self.has_second && now.saturating_duration_since(at) >= cfg.second_probe =>
            {
                self.has_second = true;
                HeartbeatStep::Probe
            }
            Some(_) => HeartbeatStep::Wait,
            None if self.silence(now) >= cfg.quiet => {
                self.probed = Some(now);
                self.has_second = false;
                HeartbeatStep::Probe
            }
            None => HeartbeatStep::Wait,
        }
    }
}
