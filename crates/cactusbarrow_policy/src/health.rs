//! The agent's judgement whether its backend server is alive.

use std::time::{Duration, Instant};

/// Tuning of [`BackendHealth`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthConfig {
    /// Longest time without a token on any stream while some are being decoded.
    pub decode_stall: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            decode_stall: Duration::from_millis(350),
        }
    }
}

/// Joins the results of probes with the progress of all streams.
///
/// An engine that freezes silently stops all its streams at once, which shows
/// sooner than a probe that times out. A single slow stream does not count.
#[derive(Clone, Debug)]
pub struct BackendHealth {
    cfg: HealthConfig,
    is_probe_ok: bool,
    decoding: usize,
    last_progress: Option<Instant>,
}

impl BackendHealth {
    /// Creates the health of a backend server that is taken for alive.
    pub fn new(cfg: HealthConfig) -> Self {
        Self {
            cfg,
            is_probe_ok: true,
            decoding: 0,
            last_progress: None,
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, is_ok: bool) {
        self.is_probe_ok = is_ok;
    }

    /// Records that a stream delivered its first token.
    pub fn record_decode_start(&mut self, now: Instant) {
        self.decoding += 1;
        self.last_progress = Some(now);
    }

    /// Records that some stream delivered a token.
    pub fn record_token(&mut self, now: Instant) {
        self.last_progress = Some(now);
    }

    /// Records that a stream that had delivered tokens has ended.
    pub fn record_decode_end(&mut self, now: Instant) {
        self.decoding = self.decoding.saturating_sub(1);
        self.last_progress = Some(now);
    }

    /// Returns whether the backend server is taken for alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        let is_stalled = self.decoding > 0
            && self
                .last_progress
                .is_some_and(|at| now.duration_since(at) >= self.cfg.decode_stall);
        self.is_probe_ok && !is_stalled
    }
}
