//! Decides when a backend server with running work is probed and when it is considered lost.
//!
//! An engine that reads a long prompt sends nothing on its other streams, so silent streams
//! alone do not indicate a failure. It still responds to requests for its load report.

use std::time::{Duration, Instant};

/// Settings of [`Heartbeat`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatConfig {
    /// Time without data on any stream after which a probe is sent.
    pub probe_after: Duration,
    /// Time without a response to the first probe after which a second one is sent: a single
    /// lost packet delays a probe for longer than a resume may take.
    pub second_probe_after: Duration,
    /// Time without a response to the first probe after which the backend server is lost.
    pub probe_timeout: Duration,
    /// Time between two polls beyond which the process itself was stalled, so that it draws
    /// no conclusion about others.
    pub max_poll_delay: Duration,
}

impl Default for HeartbeatConfig {
    /// `probe_after` and `probe_timeout` together leave 350 ms of a 700 ms pause for the resume.
    fn default() -> Self {
        Self {
            probe_after: Duration::from_millis(150),
            second_probe_after: Duration::from_millis(70),
            probe_timeout: Duration::from_millis(160),
            max_poll_delay: Duration::from_millis(100),
        }
    }
}

/// Decision about one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatStep {
    /// Do nothing until the next poll.
    Wait,
    /// Send a probe.
    Probe,
    /// Consider the backend server lost.
    Lost,
}

/// Heartbeat state of one backend server.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    last_data: Instant,
    probed_at: Option<Instant>,
    is_second_sent: bool,
    last_poll: Instant,
}

impl Heartbeat {
    /// Creates the state of a backend server that responded at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_data: now,
            probed_at: None,
            is_second_sent: false,
            last_poll: now,
        }
    }

    /// Records that the backend server sent any data.
    pub fn record_alive(&mut self, now: Instant) {
        self.last_data = self.last_data.max(now);
        self.probed_at = None;
    }

    /// Records that the probe just decided on is not sent, so that the lack of a response to it means
    /// nothing.
    pub(crate) fn withhold_probe(&mut self) {
        if !self.is_second_sent {
            self.probed_at = None;
        }
    }

    /// Restarts the wait for data when an idle backend server gets work.
    pub fn restart(&mut self, now: Instant) {
        self.record_alive(now);
        self.last_poll = now;
    }

    /// Returns the time since the backend server last sent any data.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_data)
    }

    /// Decides what to do at `now`; called every few tens of milliseconds.
    pub fn poll(&mut self, cfg: &HeartbeatConfig, now: Instant) -> HeartbeatStep {
        let since_poll = now.saturating_duration_since(self.last_poll);
        self.last_poll = now;
        if since_poll > cfg.max_poll_delay {
            // Data that arrived while the process was stalled has not been read yet.
            self.probed_at = self.probed_at.map(|at| at + since_poll);
            return HeartbeatStep::Wait;
        }
        match self.probed_at {
            Some(at) if now.saturating_duration_since(at) >= cfg.probe_timeout => {
                HeartbeatStep::Lost
            }
            Some(at)
                if !self.is_second_sent
                    && now.saturating_duration_since(at) >= cfg.second_probe_after =>
            {
                self.is_second_sent = true;
                HeartbeatStep::Probe
            }
            Some(_) => HeartbeatStep::Wait,
            None if self.silence(now) >= cfg.probe_after => {
                self.probed_at = Some(now);
                self.is_second_sent = false;
                HeartbeatStep::Probe
            }
            None => HeartbeatStep::Wait,
        }
    }
}
