//! Decides when another peer is asked for the list of backend servers or the configuration.
//!
//! Load pattern: a peer that has the newest data is cut off, slow or wrong about what it has, while
//! backend servers leave. Another peer is asked before that one has failed.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Settings of [`PeerFetches`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerFetchConfig {
    /// Time after which another peer is asked beside one that has not responded.
    pub hedge_after: Duration,
    /// Largest number of peers that are asked at once.
    pub max_running: usize,
    /// Time for which a peer that sent nothing new is not asked again.
    pub avoid_after_failure: Duration,
}

impl Default for PeerFetchConfig {
    /// Three peers are asked within 1.2 s, the third while two are silent.
    fn default() -> Self {
        Self {
            hedge_after: Duration::from_millis(600),
            max_running: 3,
            avoid_after_failure: Duration::from_millis(500),
        }
    }
}

impl PeerFetchConfig {
    /// Returns the settings for the configuration, which may take a second on a slow link.
    pub fn for_configuration() -> Self {
        Self {
            hedge_after: Duration::from_secs(1),
            max_running: 2,
            ..Self::default()
        }
    }
}

/// Requests to peers that run, and those that recently failed.
#[derive(Clone, Debug, Default)]
pub struct PeerFetches {
    cfg: PeerFetchConfig,
    running: Vec<(Ipv4Addr, Instant)>,
    failed: Vec<(Ipv4Addr, Instant)>,
}

impl PeerFetches {
    /// Creates a record without requests.
    pub fn new(cfg: PeerFetchConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Returns whether no peer is being asked.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether another peer may be asked now.
    pub fn may_start(&self, now: Instant) -> bool {
        let is_waited_for = |(_, at): &(Ipv4Addr, Instant)| {
            now.saturating_duration_since(*at) < self.cfg.hedge_after
        };
        self.running.len() < self.cfg.max_running && !self.running.iter().any(is_waited_for)
    }

    /// Returns whether a peer may be asked: it is not being asked and has not just failed.
    pub fn is_candidate(&self, peer: Ipv4Addr, now: Instant) -> bool {
        let is_avoided = |(failed, at): &(Ipv4Addr, Instant)| {
            let age = now.saturating_duration_since(*at);
            *failed == peer && age < self.cfg.avoid_after_failure
        };
        let is_asked = self.running.iter().any(|(asked, _)| *asked == peer);
        !is_asked && !self.failed.iter().any(is_avoided)
    }

    /// Records that a peer is asked.
    pub fn record_start(&mut self, peer: Ipv4Addr, now: Instant) {
        self.running.push((peer, now));
    }

    /// Records the end of a request; `is_newer` tells whether the peer sent something new.
    pub fn record_end(&mut self, peer: Ipv4Addr, is_newer: bool, now: Instant) {
        self.running.retain(|(asked, _)| *asked != peer);
        self.failed.retain(|(failed, at)| {
            let age = now.saturating_duration_since(*at);
            *failed != peer && age < self.cfg.avoid_after_failure
        });
        if !is_newer {
            self.failed.push((peer, now));
        }
    }
}
