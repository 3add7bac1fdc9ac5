//! Table of the other gateways, with the state and load that their heartbeats report.
//!
//! Load pattern: many gateways place generations on one set of engines at the same
//! time. If each knew its own placements only, two prompts could be sent to one engine and
//! be read at half the speed, while other engines are idle.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::hash::{rendezvous_weight, stable_hash};
use crate::ids::Revision;
use crate::retry_window::RetryCount;
use crate::shutdown_retry::PeerShutdown;
use crate::store_position::{StoreEra, StorePosition};
use crate::store_watch::StoreStatus;
use crate::stream_origins::ServiceId;

/// Settings of [`PeerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// Interval between heartbeats while neither the load nor the data change.
    pub interval: Duration,
    /// Minimum time between two heartbeats, however often the load or data change.
    pub min_interval: Duration,
    /// Time without a heartbeat after which a peer is considered lost and its load ignored.
    pub load_timeout: Duration,
    /// Time without a heartbeat after which a peer is removed.
    pub forget_after: Duration,
    /// Maximum number of peers that get heartbeats.
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

/// Load that a peer has placed on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Hash of the engine's instance.
    pub engine: u64,
    /// Generations that it runs for the peer.
    pub generations: u64,
    /// Prompt tokens that the engine still has to read.
    pub unread_tokens: u64,
    /// Tokens of memory that the generations and copies occupy when they are complete.
    pub memory_tokens: u64,
    /// Number of gateways that avoid the engine because of failures.
    pub avoiders: u64,
}

/// Content of a peer's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Distinguishes restarts of the peer.
    pub incarnation: u64,
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Version of the peer's current configuration.
    pub config_version: u64,
    /// Size of that configuration, in bytes.
    pub config_bytes: u64,
    /// Store position of the peer's list of backend servers.
    pub servers_position: StorePosition,
    /// Load that the peer has placed on engines.
    pub loads: Vec<PeerLoad>,
    /// Other gateways that the peer knows to be alive.
    pub peers: Vec<Ipv4Addr>,
    /// Requests and retries in the last window, with the hash of the service's name.
    pub retries: Vec<(u64, RetryCount)>,
    /// Generations whose response has begun since the peer started, by service.
    pub begun: Vec<(ServiceId, u64)>,
    /// Whether the platform's store responded to the peer's last call.
    pub is_store_ok: bool,
    /// Time since the store confirmed the peer's data.
    pub data_age: Duration,
    /// Time for which the peer has watched the store without an outage; zero if it does not watch.
    pub watched_for: Duration,
    /// Hash of the name of the peer's availability zone.
    pub zone: u32,
    /// Longest time until the peer exits; `None` if it is not stopping.
    pub exits_in: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Peer {
    last_heartbeat: Instant,
    heartbeat: PeerHeartbeat,
}

impl Peer {
    fn data_age(&self, now: Instant) -> Duration {
        self.heartbeat.data_age + now.saturating_duration_since(self.last_heartbeat)
    }
}

/// Table of the gateways known to this gateway, without itself.
#[derive(Clone, Debug)]
pub struct PeerTable {
    cfg: PeerConfig,
    own: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    peers: HashMap<Ipv4Addr, Peer>,
    /// Gateways that a peer named and that have sent no heartbeat yet.
    named: HashMap<Ipv4Addr, Instant>,
    last_sent: Option<Instant>,
    is_dirty: bool,
}

impl PeerTable {
    /// Creates a table that contains the seeds only.
    pub fn new(cfg: PeerConfig, own: Ipv4Addr, seeds: &[Ipv4Addr]) -> Self {
        Self {
            cfg,
            own,
            seeds: seeds.iter().copied().filter(|ip| *ip != own).collect(),
            peers: HashMap::new(),
            named: HashMap::new(),
            last_sent: None,
            is_dirty: false,
        }
    }

    /// Records that this gateway's load or data changed, so that a heartbeat is due soon.
    pub fn record_load_change(&mut self) {
        self.is_dirty = true;
    }

    /// Records a heartbeat; returns false if it was ignored, because it is not newer than the
    /// last one of the same incarnation or comes from this gateway itself.
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
            last_heartbeat: now,
            heartbeat,
        };
        self.peers.insert(from, peer);
        true
    }

    /// Returns how many generations of each service began at a peer between the last heartbeat that
    /// was recorded and a new one.
    pub fn begun_since_last(
        &self,
        from: Ipv4Addr,
        heartbeat: &PeerHeartbeat,
    ) -> Vec<(ServiceId, u64)> {
        let last = self.peers.get(&from).map(|peer| &peer.heartbeat);
        let Some(last) = last.filter(|last| last.incarnation == heartbeat.incarnation) else {
            return Vec::new();
        };
        let known = |service: ServiceId| {
            let entry = last.begun.iter().find(|(of, _)| *of == service);
            entry.map_or(0, |(_, count)| *count)
        };
        let begun = heartbeat.begun.iter();
        begun
            .map(|(service, count)| (*service, count.saturating_sub(known(*service))))
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Returns when the next heartbeat is due.
    pub fn next_due(&self) -> Option<Instant> {
        let wait = if self.is_dirty {
            self.cfg.min_interval
        } else {
            self.cfg.interval
        };
        self.last_sent.map(|at| at + wait)
    }

    /// Returns the peers to which a heartbeat is to be sent now; empty if none is due.
    pub fn poll(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        if self.next_due().is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.last_sent = Some(now);
        self.is_dirty = false;
        let forget_after = self.cfg.forget_after;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < forget_after;
        self.peers.retain(|_, peer| is_recent(peer.last_heartbeat));
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

    /// Returns the peers that sent a heartbeat within the time-out.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.live_entries(now).map(|(ip, _)| *ip)
    }

    /// Returns what is known of the shutdowns of the live peers, as seen from availability zone `zone`.
    pub fn shutdowns(&self, zone: u32, now: Instant) -> impl Iterator<Item = PeerShutdown> + '_ {
        self.live_entries(now).map(move |(_, peer)| {
            let age = now.saturating_duration_since(peer.last_heartbeat);
            let exits_in = peer.heartbeat.exits_in;
            PeerShutdown {
                is_in_zone: peer.heartbeat.zone == zone,
                exits_in: exits_in.map(|exits_in| exits_in.saturating_sub(age)),
            }
        })
    }

    /// Returns the live peers, and gateways that a peer named and that have sent no heartbeat.
    pub fn live_or_named(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.live_peers(now).chain(self.named.keys().copied())
    }

    /// Returns all gateways that a peer named or that sent a heartbeat, also those that are lost.
    pub fn known(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.peers.keys().chain(self.named.keys()).copied()
    }

    /// Returns the sum of the loads of all live peers, by engine.
    pub fn loads(&self, now: Instant) -> HashMap<u64, PeerLoad> {
        let mut sum: HashMap<u64, PeerLoad> = HashMap::new();
        for (_, peer) in self.live_entries(now) {
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

    /// Draws one of the candidates with the newest configuration, if it is newer than `version`.
    ///
    /// Load pattern: a large configuration is distributed over slow links. All peers that have
    /// it serve it, so that requests are not concentrated on the first ones.
    pub fn newest_config(
        &self,
        version: u64,
        now: Instant,
        rng: &mut impl Rng,
        is_candidate: impl Fn(Ipv4Addr) -> bool,
    ) -> Option<Ipv4Addr> {
        self.draw_newest(version, now, rng, is_candidate, |heartbeat| {
            heartbeat.config_version
        })
    }

    /// Returns the size of a peer's configuration, if it is newer than `version`.
    pub fn newer_config_bytes(&self, peer: Ipv4Addr, version: u64) -> Option<u64> {
        let heartbeat = &self.peers.get(&peer)?.heartbeat;
        (heartbeat.config_version > version).then_some(heartbeat.config_bytes)
    }

    /// Draws one of the candidates with the newest list of backend servers, if it is newer than
    /// `position`.
    pub fn newest_servers(
        &self,
        position: StorePosition,
        now: Instant,
        rng: &mut impl Rng,
        is_candidate: impl Fn(Ipv4Addr) -> bool,
    ) -> Option<Ipv4Addr> {
        self.draw_newest(position, now, rng, is_candidate, |heartbeat| {
            heartbeat.servers_position
        })
    }

    fn draw_newest<V: Ord>(
        &self,
        own: V,
        now: Instant,
        rng: &mut impl Rng,
        is_candidate: impl Fn(Ipv4Addr) -> bool,
        version_of: impl Fn(&PeerHeartbeat) -> V,
    ) -> Option<Ipv4Addr> {
        self.live_entries(now)
            .filter(|(ip, _)| is_candidate(**ip))
            .map(|(ip, peer)| (version_of(&peer.heartbeat), rng.next_u64(), *ip))
            .filter(|(version, ..)| *version > own)
            .max()
            .map(|(.., ip)| ip)
    }

    /// Returns the sum of the live peers' retry counts for a service, given the hash of its name.
    pub fn retries(&self, service: u64, now: Instant) -> RetryCount {
        let mut sum = RetryCount::default();
        for (_, peer) in self.live_entries(now) {
            for (_, count) in peer.heartbeat.retries.iter().filter(|(s, _)| *s == service) {
                sum += *count;
            }
        }
        sum
    }

    /// Returns the store status of each live peer.
    pub fn store_statuses(&self, now: Instant) -> impl Iterator<Item = StoreStatus> + '_ {
        self.live_entries(now).map(move |(ip, peer)| StoreStatus {
            ip: *ip,
            is_store_ok: peer.heartbeat.is_store_ok,
            data_age: peer.data_age(now),
        })
    }

    /// Returns the longest time for which a live peer has watched the store without an outage; zero if
    /// none does. Peers that may not have noticed the beginning of `era` are left out.
    pub fn store_watched_for(&self, era: StoreEra, now: Instant) -> Duration {
        let watchers = self.live_entries(now).filter(|(_, peer)| {
            let heartbeat = &peer.heartbeat;
            !heartbeat.watched_for.is_zero() && heartbeat.servers_position.era >= era
        });
        let watched_for = watchers.map(|(_, peer)| {
            peer.heartbeat.watched_for + now.saturating_duration_since(peer.last_heartbeat)
        });
        watched_for.max().unwrap_or_default()
    }

    /// Returns the shortest time since the store confirmed a peer's data, among the live peers
    /// whose list of backend servers is no newer than `position`, and whose configuration is no newer than `version`.
    pub fn min_data_age(
        &self,
        position: StorePosition,
        version: Revision,
        now: Instant,
    ) -> Option<Duration> {
        let is_known = |heartbeat: &PeerHeartbeat| {
            heartbeat.servers_position <= position && heartbeat.config_version <= version.0
        };
        self.live_entries(now)
            .filter(|(_, peer)| is_known(&peer.heartbeat))
            .map(|(_, peer)| peer.data_age(now))
            .min()
    }

    fn live_entries(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let timeout = self.cfg.load_timeout;
        self.peers
            .iter()
            .filter(move |(_, peer)| now.saturating_duration_since(peer.last_heartbeat) < timeout)
    }
}
