//! The other gateways: who they are, what they know and what they have in flight.
//!
//! Load pattern: many gateways place generations on one set of engines at the same
//! time. Each sees its own placements only, so without word of the others' two
//! prompts meet at one engine while others idle, and both are read at half the pace.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::retry_window::RetryCount;
use crate::store_watch::StoreStatus;

/// Tuning of [`PeerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// Interval of heartbeats when nothing changes.
    pub interval: Duration,
    /// Shortest time between two heartbeats, however much changes.
    pub min_interval: Duration,
    /// Silence after which a peer's load no longer counts.
    pub load_timeout: Duration,
    /// Silence after which a peer is forgotten.
    pub forget_after: Duration,
    /// Largest number of peers that get heartbeats.
    pub max_targets: usize,
}

impl Default for PeerConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(400),
            min_interval: Duration::from_millis(15),
            load_timeout: Duration::from_millis(1_500),
            forget_after: Duration::from_secs(10),
            max_targets: 40,
        }
    }
}

/// What a peer has at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Hash of the engine's instance.
    pub engine: u64,
    /// Generations that it runs for the peer.
    pub generations: u64,
    /// Tokens of their prompts that are still to be read.
    pub unread_tokens: u64,
    /// Tokens of memory that generations and copies grow to.
    pub memory_tokens: u64,
    /// Gateways that give the engine no work, because it failed.
    pub avoiders: u64,
}

/// What a peer's heartbeat says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Tells starts of the peer apart.
    pub incarnation: u64,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Size of that configuration.
    pub config_bytes: u64,
    /// Store revision of the list of backend servers there.
    pub servers_revision: u64,
    /// What it has in flight.
    pub loads: Vec<PeerLoad>,
    /// Other gateways that it heard lately.
    pub peers: Vec<Ipv4Addr>,
    /// Requests and retries of the last window, by hash of the service.
    pub retries: Vec<(u64, RetryCount)>,
    /// Whether the platform's store answered its last call.
    pub is_store_ok: bool,
    /// Time since the store confirmed what it knows.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Instant,
    heartbeat: PeerHeartbeat,
}

impl Peer {
    fn age(&self, now: Instant) -> Duration {
        self.heartbeat.age + now.saturating_duration_since(self.heard)
    }
}

/// The gateways that are known besides the own one.
#[derive(Clone, Debug)]
pub struct PeerTable {
    cfg: PeerConfig,
    own: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    peers: HashMap<Ipv4Addr, Peer>,
    /// Gateways that a peer named and that were not heard yet.
    named: HashMap<Ipv4Addr, Instant>,
    sent_at: Option<Instant>,
    is_dirty: bool,
}

impl PeerTable {
    /// Creates a table that knows the seeds only.
    pub fn new(cfg: PeerConfig, own: Ipv4Addr, seeds: &[Ipv4Addr]) -> Self {
        Self {
            cfg,
            own,
            seeds: seeds.iter().copied().filter(|ip| *ip != own).collect(),
            peers: HashMap::new(),
            named: HashMap::new(),
            sent_at: None,
            is_dirty: false,
        }
    }

    /// Records that the own load changed, so that a heartbeat is due soon.
    pub fn record_load_change(&mut self) {
        self.is_dirty = true;
    }

    /// Takes a heartbeat; returns false for one that is older than the newest.
    pub fn record(&mut self, from: Ipv4Addr, heartbeat: PeerHeartbeat, now: Instant) -> bool {
        if from == self.own {
            return false;
        }
        for ip in &heartbeat.peers {
            if *ip != self.own && !self.peers.contains_key(ip) {
                self.named.entry(*ip).or_insert(now);
            }
        }
        self.named.remove(&from);
        if let Some(peer) = self.peers.get_mut(&from) {
            let is_stale = peer.heartbeat.incarnation == heartbeat.incarnation
                && peer.heartbeat.sequence >= heartbeat.sequence;
            if is_stale {
                return false;
            }
        }
        let peer = Peer {
            heard: now,
            heartbeat,
        };
        self.peers.insert(from, peer);
        true
    }

    /// Returns when the next heartbeat is due.
    pub fn next_due(&self) -> Option<Instant> {
        let wait = if self.is_dirty {
            self.cfg.min_interval
        } else {
            self.cfg.interval
        };
        self.sent_at.map(|at| at + wait)
    }

    /// Returns the peers that get a heartbeat now; none if none is due.
    pub fn poll(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        if self.next_due().is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.sent_at = Some(now);
        self.is_dirty = false;
        let forget_after = self.cfg.forget_after;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < forget_after;
        self.peers.retain(|_, peer| is_recent(peer.heard));
        self.named.retain(|_, at| is_recent(*at));
        let mut targets: Vec<Ipv4Addr> = self
            .peers
            .keys()
            .chain(self.named.keys())
            .chain(&self.seeds)
            .copied()
            .collect();
        targets.sort_unstable();
        targets.dedup();
        let own = stable_hash(&self.own.octets());
        targets.sort_by_key(|ip| {
            let peer = stable_hash(&ip.octets());
            std::cmp::Reverse(rendezvous_weight(own.min(peer), own.max(peer)))
        });
        targets.truncate(self.cfg.max_targets);
        targets
    }

    /// Returns the peers that were heard lately.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.alive(now).map(|(ip, _)| *ip)
    }

    /// Returns the sum of what all peers have in flight, by engine.
    pub fn loads(&self, now: Instant) -> HashMap<u64, PeerLoad> {
        let mut sum: HashMap<u64, PeerLoad> = HashMap::new();
        for (_, peer) in self.alive(now) {
            for load in &peer.heartbeat.loads {
                let entry = sum.entry(load.engine).or_insert(PeerLoad {
                    engine: load.engine,
                    ..PeerLoad::default()
                });
                entry.generations += load.generations;
                entry.unread_tokens += load.unread_tokens;
                entry.memory_tokens += load.memory_tokens;
                entry.avoiders += load.avoiders;
            }
        }
        sum
    }

    /// Draws one of the peers with the newest configuration, if it is newer than `version`.
    ///
    /// Load pattern: a large configuration spreads over slow links. All that have it
    /// serve it, so that the first ones are not asked by everybody.
    pub fn newest_config(
        &self,
        version: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Ipv4Addr> {
        self.draw_newest(version, now, rng, |heartbeat| heartbeat.config_version)
    }

    /// Returns the size of a peer's configuration, if it is newer than `version`.
    pub fn newer_config_bytes(&self, peer: Ipv4Addr, version: u64) -> Option<u64> {
        let heartbeat = &self.peers.get(&peer)?.heartbeat;
        (heartbeat.config_version > version).then_some(heartbeat.config_bytes)
    }

    /// Draws one of the peers with the newest list of backend servers, if it is newer than
    /// `revision`.
    pub fn newest_servers(
        &self,
        revision: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Ipv4Addr> {
        self.draw_newest(revision, now, rng, |heartbeat| heartbeat.servers_revision)
    }

    fn draw_newest(
        &self,
        own: u64,
        now: Instant,
        rng: &mut impl Rng,
        number: impl Fn(&PeerHeartbeat) -> u64,
    ) -> Option<Ipv4Addr> {
        self.alive(now)
            .map(|(ip, peer)| (number(&peer.heartbeat), rng.next_u64(), *ip))
            .filter(|(number, ..)| *number > own)
            .max()
            .map(|(.., ip)| ip)
    }

    /// Returns what all peers counted for a service, by the hash of its name.
    pub fn retries(&self, service: u64, now: Instant) -> RetryCount {
        let mut sum = RetryCount::default();
        for (_, peer) in self.alive(now) {
            for (_, count) in peer.heartbeat.retries.iter().filter(|(s, _)| *s == service) {
                sum += *count;
            }
        }
        sum
    }

    /// Returns how the peers stand to the platform's store.
    pub fn store_statuses(&self, now: Instant) -> impl Iterator<Item = StoreStatus> + '_ {
        self.alive(now).map(move |(ip, peer)| StoreStatus {
            ip: *ip,
            is_store_ok: peer.heartbeat.is_store_ok,
            age: peer.age(now),
        })
    }

    /// Returns the smallest age among peers that know no more than up to `revision`.
    pub fn min_age(&self, revision: u64, now: Instant) -> Option<Duration> {
        self.alive(now)
            .filter(|(_, peer)| peer.heartbeat.servers_revision <= revision)
            .map(|(_, peer)| peer.age(now))
            .min()
    }

    fn alive(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let timeout = self.cfg.load_timeout;
        self.peers
            .iter()
            .filter(move |(_, peer)| now.saturating_duration_since(peer.heard) < timeout)
    }
}
