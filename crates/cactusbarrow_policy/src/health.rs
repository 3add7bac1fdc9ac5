//! Health of a backend server, as its agent sees it.

use std::time::{Duration, Instant};

/// Settings of [`BackendHealth`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthConfig {
    /// Maximum time without a token on any stream while at least one is decoding.
    pub decode_stall_timeout: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            decode_stall_timeout: Duration::from_millis(350),
        }
    }
}

/// Combines the results of health checks with the progress of all streams.
///
/// An engine that freezes without an error stops all its streams at once, which
/// is detected sooner than by a health check that times out. A single slow
/// stream does not mark the engine as down.
#[derive(Clone, Debug)]
pub struct BackendHealth {
    cfg: HealthConfig,
    is_probe_ok: bool,
    decoding_streams: usize,
    last_progress_at: Option<Instant>,
}

impl BackendHealth {
    /// Creates the health of a backend server that is considered alive.
    pub fn new(cfg: HealthConfig) -> Self {
        Self {
            cfg,
            is_probe_ok: true,
            decoding_streams: 0,
            last_progress_at: None,
        }
    }

    /// Records the result of a health check.
    pub fn record_probe(&mut self, is_ok: bool) {
        self.is_probe_ok = is_ok;
    }

    /// Records that a stream delivered its first token.
    pub fn record_decode_start(&mut self, now: Instant) {
        self.decoding_streams += 1;
        self.last_progress_at = Some(now);
    }

    /// Records that any stream delivered a token.
    pub fn record_token(&mut self, now: Instant) {
        self.last_progress_at = Some(now);
    }

    /// Records that a stream that had delivered tokens has ended.
    pub fn record_decode_end(&mut self, now: Instant) {
        self.decoding_streams = self.decoding_streams.saturating_sub(1);
        self.last_progress_at = Some(now);
    }

    /// Returns whether the backend server is considered alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        let is_stalled = self.decoding_streams > 0
            && self
                .last_progress_at
                .is_some_and(|at| now.duration_since(at) >= self.cfg.decode_stall_timeout);
        self.is_probe_ok && !is_stalled
    }
}
