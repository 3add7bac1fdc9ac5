//! Choice of the backend server for one attempt or call.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::hash::{rendezvous_weight, stable_hash};

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalancingStrategy {
    /// By prompt prefix while the load allows, else the least loaded of two.
    #[default]
    Affinity,
    /// In turn, whatever the load; a baseline for measurements.
    RoundRobin,
}

/// What a backend server is chosen for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancingRequest<'a> {
    /// The prompt, for affinity.
    pub prompt: Option<&'a [u8]>,
    /// Whether a generation is resumed: it goes to the least loaded even if that seems full,
    /// since the gate prefers it to new work.
    pub is_resume: bool,
}

/// Tuning of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancingConfig {
    /// How a backend server is chosen.
    pub strategy: BalancingStrategy,
    /// Largest load, as a multiple of the mean, that prefix affinity may cause.
    pub affinity_bound: f64,
    /// Load added to backend servers of other zones, as a share of their limit.
    pub other_zone_penalty: f64,
    /// Length of the prompt prefix that affinity looks at, in bytes.
    pub prefix_bytes: usize,
    /// How long a backend server is avoided after a failure.
    pub avoid_after_failure: Duration,
    /// Time over which a backend server that returned is taken back to full load.
    pub slow_start: Duration,
}

impl Default for BalancingConfig {
    fn default() -> Self {
        Self {
            strategy: BalancingStrategy::Affinity,
            affinity_bound: 1.25,
            other_zone_penalty: 0.10,
            prefix_bytes: 256,
            avoid_after_failure: Duration::from_secs(2),
            slow_start: Duration::from_secs(10),
        }
    }
}

/// A backend server that may take the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it is in the router's own availability zone.
    pub is_same_zone: bool,
    /// Number of requests it takes at once.
    pub limit: usize,
}

/// Load of one backend server as an agent reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests in flight, of all routers.
    pub in_flight: usize,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Whether the backend server answers the agent's probe.
    pub is_alive: bool,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    reported: Option<BackendLoad>,
    own_at_report: usize,
    own: usize,
    failed_at: Option<Instant>,
}

impl Entry {
    /// Estimates requests in flight: the report, corrected by our own starts and ends since.
    fn in_flight(&self) -> usize {
        let others = self
            .reported
            .map_or(0, |load| load.in_flight.saturating_sub(self.own_at_report));
        others + self.own
    }

    fn is_usable(&self) -> bool {
        self.reported
            .is_none_or(|load| !load.is_draining && load.is_alive)
    }

    /// Share of its limit that a backend server gets while it is taken back after a failure.
    fn trust(&self, cfg: &BalancingConfig, now: Instant) -> f64 {
        let Some(failed_at) = self.failed_at else {
            return 1.0;
        };
        let since = now.duration_since(failed_at);
        let Some(returning) = since.checked_sub(cfg.avoid_after_failure) else {
            return 0.0;
        };
        (0.1 + 0.9 * returning.as_secs_f64() / cfg.slow_start.as_secs_f64()).min(1.0)
    }
}

/// What one router knows of the load of its backend servers.
///
/// Reports lag, so the router corrects them by its own requests in flight. A
/// wrong estimate costs time only: the agent's gate has the last word.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    entries: HashMap<String, Entry>,
    next_in_turn: usize,
}

impl LoadTable {
    /// Creates a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an agent's report.
    pub fn record_report(&mut self, name: &str, load: BackendLoad) {
        let entry = self.entry(name);
        entry.reported = Some(load);
        entry.own_at_report = entry.own;
    }

    /// Records that a request of ours started.
    pub fn record_start(&mut self, name: &str) {
        self.entry(name).own += 1;
    }

    /// Records that a request of ours ended.
    pub fn record_end(&mut self, name: &str) {
        let entry = self.entry(name);
        entry.own = entry.own.saturating_sub(1);
    }

    /// Records that a backend server failed a request or did not answer.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        self.entry(name).failed_at = Some(now);
    }

    /// Records that a backend server refused new work because it is draining.
    pub fn record_draining(&mut self, name: &str) {
        let entry = self.entry(name);
        let load = entry.reported.unwrap_or_default();
        entry.reported = Some(BackendLoad {
            is_draining: true,
            is_alive: true,
            ..load
        });
    }

    /// Keeps only the named backend servers and those with requests of ours.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.entries
            .retain(|name, entry| entry.own > 0 || is_member(name));
    }

    /// Returns the estimated requests in flight at a backend server.
    pub fn in_flight(&self, name: &str) -> usize {
        self.entries.get(name).map_or(0, Entry::in_flight)
    }

    /// Chooses a backend server: by prompt prefix while its load allows, else the least loaded
    /// of two.
    ///
    /// Returns the index of the candidate; `None` if none can take the request.
    pub fn choose(
        &mut self,
        cfg: &BalancingConfig,
        candidates: &[Candidate<'_>],
        req: BalancingRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if cfg.strategy == BalancingStrategy::RoundRobin {
            return self.choose_in_turn(candidates);
        }
        let costs: Vec<Option<f64>> = candidates
            .iter()
            .map(|candidate| self.cost(cfg, candidate, req.is_resume, now))
            .collect();
        let usable: Vec<usize> = (0..costs.len()).filter(|i| costs[*i].is_some()).collect();
        if usable.is_empty() {
            return None;
        }
        let cost = |i: usize| costs[i].unwrap_or(f64::INFINITY);
        let mean = usable.iter().map(|i| cost(*i)).sum::<f64>() / usable.len() as f64;
        if let Some(prompt) = req.prompt {
            let key = stable_hash(&prompt[..prompt.len().min(cfg.prefix_bytes)]);
            let weight =
                |i: &usize| rendezvous_weight(key, stable_hash(candidates[*i].name.as_bytes()));
            let is_within = |i: &usize| cost(*i) <= mean * cfg.affinity_bound;
            if let Some(i) = usable.iter().copied().filter(is_within).max_by_key(weight) {
                return Some(i);
            }
        }
        let mut draw = || usable[(rng.next_u64() % usable.len() as u64) as usize];
        let (first, second) = (draw(), draw());
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }

    fn choose_in_turn(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        let is_usable = |i: &usize| {
            let entry = self.entries.get(candidates[*i].name);
            entry.is_none_or(Entry::is_usable)
        };
        let usable: Vec<usize> = (0..candidates.len()).filter(is_usable).collect();
        self.next_in_turn = self.next_in_turn.wrapping_add(1);
        usable.get(self.next_in_turn % usable.len().max(1)).copied()
    }

    /// Returns the cost of one more request, as a share of the limit; `None` if it has no room.
    fn cost(
        &self,
        cfg: &BalancingConfig,
        candidate: &Candidate<'_>,
        is_resume: bool,
        now: Instant,
    ) -> Option<f64> {
        let unknown = Entry::default();
        let entry = self.entries.get(candidate.name).unwrap_or(&unknown);
        let room = candidate.limit as f64 * entry.trust(cfg, now);
        let wanted = (entry.in_flight() + 1) as f64;
        let has_room = wanted <= room.ceil() || (is_resume && room > 0.0);
        if !entry.is_usable() || !has_room {
            return None;
        }
        let penalty = if candidate.is_same_zone {
            0.0
        } else {
            cfg.other_zone_penalty
        };
        Some(wanted / room.max(1.0) + penalty)
    }

    fn entry(&mut self, name: &str) -> &mut Entry {
        self.entries.entry(name.to_owned()).or_default()
    }
}
