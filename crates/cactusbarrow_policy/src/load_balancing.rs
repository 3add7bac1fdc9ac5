//! Load balancing: the choice of the backend server for one attempt or call.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::hash::{rendezvous_weight, stable_hash};

/// Strategy by which a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalancingStrategy {
    /// By rendezvous hashing of the prompt prefix within a load bound, else the less loaded of
    /// two random candidates.
    #[default]
    Affinity,
    /// Round robin regardless of the load; a baseline for measurements.
    RoundRobin,
}

/// Properties of a request that affect which backend server is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancingRequest<'a> {
    /// Prompt whose prefix determines the affinity; `None` to choose by load only.
    pub prompt: Option<&'a [u8]>,
    /// Whether the request resumes a generation. It may go to a backend server that seems full,
    /// since the agent admits it before new requests.
    pub is_resume: bool,
}

/// Settings of the load balancing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancingConfig {
    /// Strategy by which a backend server is chosen.
    pub strategy: BalancingStrategy,
    /// Maximum load, as a multiple of the mean, up to which prefix affinity applies.
    pub affinity_bound: f64,
    /// Load added to backend servers of other zones, as a fraction of their limit.
    pub other_zone_penalty: f64,
    /// Length of the prompt prefix that is hashed for affinity, in bytes.
    pub prefix_bytes: usize,
    /// Time for which a backend server is avoided after a failure.
    pub avoid_after_failure: Duration,
    /// Time over which a backend server then returns gradually to its full limit.
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

/// A backend server that can be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the backend server.
    pub name: &'a str,
    /// Whether it is in the router's own availability zone.
    pub is_same_zone: bool,
    /// Maximum number of requests in flight.
    pub limit: usize,
}

/// Load of one backend server as its agent reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests in flight, from all routers.
    pub in_flight: usize,
    /// Whether the backend server is draining and takes no new requests.
    pub is_draining: bool,
    /// Whether the backend server passes the agent's health checks.
    pub is_alive: bool,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    reported: Option<BackendLoad>,
    own_in_flight_at_report: usize,
    own_in_flight: usize,
    failed_at: Option<Instant>,
}

impl Entry {
    /// Estimates the requests in flight: the report, corrected by this router's starts and ends
    /// since then.
    fn in_flight(&self) -> usize {
        let others = self.reported.map_or(0, |load| {
            load.in_flight.saturating_sub(self.own_in_flight_at_report)
        });
        others + self.own_in_flight
    }

    fn is_usable(&self) -> bool {
        self.reported
            .is_none_or(|load| !load.is_draining && load.is_alive)
    }

    /// Returns the fraction of its limit that a backend server may use.
    ///
    /// It is zero right after a failure, then grows linearly from a tenth during slow start.
    fn usable_fraction(&self, cfg: &BalancingConfig, now: Instant) -> f64 {
        let Some(failed_at) = self.failed_at else {
            return 1.0;
        };
        let since = now.duration_since(failed_at);
        let Some(since_return) = since.checked_sub(cfg.avoid_after_failure) else {
            return 0.0;
        };
        (0.1 + 0.9 * since_return.as_secs_f64() / cfg.slow_start.as_secs_f64()).min(1.0)
    }
}

/// Estimated load of the backend servers of one router.
///
/// Reports lag, so the router corrects them by its own requests in flight. A
/// wrong estimate only costs time: the agent makes the final decision on admission.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    entries: HashMap<String, Entry>,
    round_robin_position: usize,
}

impl LoadTable {
    /// Creates a table without reports and requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the load that an agent reported for its backend server.
    pub fn record_report(&mut self, name: &str, load: BackendLoad) {
        let entry = self.entry_mut(name);
        entry.reported = Some(load);
        entry.own_in_flight_at_report = entry.own_in_flight;
    }

    /// Records that a request of this router started.
    pub fn record_start(&mut self, name: &str) {
        self.entry_mut(name).own_in_flight += 1;
    }

    /// Records that a request of this router ended.
    pub fn record_end(&mut self, name: &str) {
        let entry = self.entry_mut(name);
        entry.own_in_flight = entry.own_in_flight.saturating_sub(1);
    }

    /// Records that a backend server failed a request or did not respond.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        self.entry_mut(name).failed_at = Some(now);
    }

    /// Records that a backend server refused new work because it is draining.
    pub fn record_draining(&mut self, name: &str) {
        let entry = self.entry_mut(name);
        let load = entry.reported.unwrap_or_default();
        entry.reported = Some(BackendLoad {
            is_draining: true,
            is_alive: true,
            ..load
        });
    }

    /// Removes backend servers that are not members and have no request of this router.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.entries
            .retain(|name, entry| entry.own_in_flight > 0 || is_member(name));
    }

    /// Returns the estimated requests in flight at a backend server.
    pub fn in_flight(&self, name: &str) -> usize {
        self.entries.get(name).map_or(0, Entry::in_flight)
    }

    /// Chooses a backend server by the configured strategy.
    ///
    /// Returns the index of the candidate, or `None` if none can take the request.
    pub fn choose(
        &mut self,
        cfg: &BalancingConfig,
        candidates: &[Candidate<'_>],
        req: BalancingRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if cfg.strategy == BalancingStrategy::RoundRobin {
            return self.choose_round_robin(candidates);
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
            let is_within_bound = |i: &usize| cost(*i) <= mean * cfg.affinity_bound;
            if let Some(i) = usable
                .iter()
                .copied()
                .filter(is_within_bound)
                .max_by_key(weight)
            {
                return Some(i);
            }
        }
        let mut random_usable = || usable[(rng.next_u64() % usable.len() as u64) as usize];
        let (first, second) = (random_usable(), random_usable());
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }

    fn choose_round_robin(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        let is_usable = |i: &usize| {
            let entry = self.entries.get(candidates[*i].name);
            entry.is_none_or(Entry::is_usable)
        };
        let usable: Vec<usize> = (0..candidates.len()).filter(is_usable).collect();
        self.round_robin_position = self.round_robin_position.wrapping_add(1);
        usable
            .get(self.round_robin_position % usable.len().max(1))
            .copied()
    }

    /// Returns the load with one more request, as a fraction of the limit plus any zone penalty.
    ///
    /// Returns `None` if the backend server cannot take the request.
    fn cost(
        &self,
        cfg: &BalancingConfig,
        candidate: &Candidate<'_>,
        is_resume: bool,
        now: Instant,
    ) -> Option<f64> {
        let unknown = Entry::default();
        let entry = self.entries.get(candidate.name).unwrap_or(&unknown);
        let room = candidate.limit as f64 * entry.usable_fraction(cfg, now);
        let needed = (entry.in_flight() + 1) as f64;
        let has_room = needed <= room.ceil() || (is_resume && room > 0.0);
        if !entry.is_usable() || !has_room {
            return None;
        }
        let penalty = if candidate.is_same_zone {
            0.0
        } else {
            cfg.other_zone_penalty
        };
        Some(needed / room.max(1.0) + penalty)
    }

    fn entry_mut(&mut self, name: &str) -> &mut Entry {
        self.entries.entry(name.to_owned()).or_default()
    }
}
