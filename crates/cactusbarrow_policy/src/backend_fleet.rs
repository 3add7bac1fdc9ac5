//! Registry of the backend servers that a gateway knows, with their health and load.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;
use slotmap::SlotMap;

use crate::backend::{
    Backend, BackendEntry, BackendKey, BackendWork, Health, Listing, LossCause, ServerIncarnation,
};
use crate::fleet_config::FleetConfig;
use crate::heartbeat::HeartbeatStep;
use crate::peer_table::PeerLoad;
use crate::served_versions::ServedVersion;
use crate::server_backoff::Backoffs;
use crate::server_departure::Departures;
use crate::software::SoftwareId;
use crate::stream_origins::ServiceId;

/// Number of peers that must avoid an engine before the copies it holds are considered
/// unreliable; a single peer may itself be cut off.
const MIN_AVOIDERS: u64 = 2;

/// Action that follows from polling the heartbeats of all backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Probe the backend server by requesting its load report.
    Probe(BackendKey),
    /// Ask a lost backend server for its instance id.
    Identify(BackendKey),
    /// The backend server was lost, so its work has to be resumed elsewhere.
    Lost(BackendKey),
}

/// Registry of the backend servers of all services.
#[derive(Clone, Debug, Default)]
pub struct BackendFleet {
    pub(crate) cfg: FleetConfig,
    pub(crate) backends: SlotMap<BackendKey, Backend>,
    by_instance: HashMap<Arc<str>, BackendKey>,
    pub(crate) zone_losses: HashMap<Arc<str>, Vec<Instant>>,
    pub(crate) unreliable: Vec<BackendKey>,
    pub(crate) departures: Departures,
    pub(crate) backoffs: Backoffs,
    pub(crate) own_gateway: u64,
    pub(crate) peer_gateways: Vec<u64>,
}

impl BackendFleet {
    /// Creates an empty fleet.
    pub fn new(cfg: FleetConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Returns a backend server, if it is still known.
    pub fn get(&self, key: BackendKey) -> Option<&Backend> {
        self.backends.get(key)
    }

    /// Returns the key of a listed instance.
    pub fn key_of(&self, instance: &str) -> Option<BackendKey> {
        self.by_instance.get(instance).copied()
    }

    /// Returns whether the engine with this instance hash is listed as ready and healthy.
    pub fn is_healthy(&self, instance_hash: u64, now: Instant) -> bool {
        let mut matching = self
            .backends
            .values()
            .filter(|b| b.instance_hash == instance_hash);
        matching.any(|b| b.tier(now) == Some(0))
    }

    /// Returns whether a backend server is listed as usable and not lost.
    pub fn is_up(&self, key: BackendKey) -> bool {
        let backend = self.backends.get(key);
        backend.is_some_and(|b| b.health == Health::Up && b.listing != Listing::Leaving)
    }

    /// Returns whether a backend server is considered lost, so that its work may have to move.
    pub fn is_lost(&self, key: BackendKey) -> bool {
        let backend = self.backends.get(key);
        backend.is_none_or(|b| b.health != Health::Up)
    }

    /// Returns whether a backend server is gone, so that work running there cannot go on.
    ///
    /// One that is only lost may be sound, fall silent for a second and go on.
    pub fn is_gone(&self, key: BackendKey, now: Instant) -> bool {
        let backend = self.backends.get(key);
        backend.is_none_or(|b| b.is_gone(&self.cfg, now))
    }

    /// Returns the software versions of a service's backend servers, including those that are
    /// leaving.
    pub fn software_versions(&self, service: &str) -> Vec<SoftwareId> {
        let backends = self.backends.values();
        let of_service = backends.filter(|b| &*b.entry.service == service);
        let mut versions: Vec<SoftwareId> = of_service.map(|b| b.software).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the software versions of the listed backend servers of all services.
    pub fn served_versions(&self) -> HashSet<ServedVersion> {
        let backends = self.backends.values();
        backends
            .map(|b| (ServiceId::from_name(&b.entry.service), b.software))
            .collect()
    }

    /// Returns whether a service has a usable backend server with this software version.
    pub fn has_software(&self, service: &str, software: SoftwareId, now: Instant) -> bool {
        self.backends.values().any(|b| {
            &*b.entry.service == service && b.software == software && b.tier(now).is_some()
        })
    }

    /// Returns whether a service has a backend server, not one of `excluded`, that can be used, or that
    /// was lost so recently that it may be sound and go on; `None` allows any software version.
    pub fn may_recover(
        &self,
        service: &str,
        software: Option<SoftwareId>,
        excluded: &[BackendKey],
        now: Instant,
    ) -> bool {
        self.backends.iter().any(|(key, b)| {
            &*b.entry.service == service
                && software.is_none_or(|software| b.software == software)
                && !excluded.contains(&key)
                && b.may_recover(&self.cfg, now)
        })
    }

    /// Samples up to `count` entries of a service's ready and healthy backend servers.
    pub fn draw_healthy(
        &self,
        service: &str,
        count: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<BackendEntry> {
        self.backends
            .values()
            .filter(|b| &*b.entry.service == service && b.tier(now) == Some(0))
            .filter(|b| !self.backoffs.is_backing_off(b.incarnation, now))
            .map(|b| b.entry.clone())
            .sample(rng, count)
    }

    /// Returns the number of backend servers that are listed as ready.
    pub fn ready_count(&self) -> usize {
        let is_ready = |backend: &&Backend| backend.listing == Listing::Ready;
        self.backends.values().filter(is_ready).count()
    }

    /// Inserts or updates the entry of an instance; returns whether its state changed.
    pub fn record_entry(&mut self, entry: BackendEntry, now: Instant) -> bool {
        let departure = ServerIncarnation::of_entry(&entry);
        if entry.is_draining {
            self.departures.record_listed(departure, now);
        }
        let listing = if self.departures.contains(departure) {
            Listing::Leaving
        } else {
            Listing::Ready
        };
        if let Some(key) = self.by_instance.get(&entry.instance)
            && let Some(backend) = self.backends.get_mut(*key)
            && backend.entry.incarnation == entry.incarnation
            && backend.entry.address == entry.address
            && backend.entry.software == entry.software
        {
            // The record of its departure may have made room for newer ones.
            let listing = if backend.listing == Listing::Leaving {
                Listing::Leaving
            } else {
                listing
            };
            let is_changed = backend.listing != listing;
            if is_changed && listing == Listing::Leaving {
                self.unreliable.push(*key);
            }
            backend.listing = listing;
            backend.entry = entry;
            return is_changed;
        }
        self.remove_instance(&entry.instance);
        self.contest_address(entry.address, now);
        let instance = entry.instance.clone();
        let mut backend = Backend::new(entry, listing, now);
        backend.left_at = self.departures.announced_at(departure);
        let key = self.backends.insert(backend);
        self.by_instance.insert(instance, key);
        true
    }

    /// Suspects that the backend servers that were registered at this address are replaced.
    ///
    /// After a restore of the store the other entry may be the older one, so they are asked for
    /// their instance ids.
    fn contest_address(&mut self, address: SocketAddr, now: Instant) {
        let has_address = |(_, backend): &(BackendKey, &Backend)| backend.entry.address == address;
        let keys: Vec<BackendKey> = self
            .backends
            .iter()
            .filter(has_address)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.record_loss(key, LossCause::Contested, now);
        }
    }

    /// Removes an instance whose entry was deleted while the store was available.
    ///
    /// Returns whether the instance was known.
    pub fn remove_instance(&mut self, instance: &str) -> bool {
        let Some(key) = self.by_instance.remove(instance) else {
            return false;
        };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.listing = Listing::Leaving;
        }
        self.unreliable.push(key);
        self.remove_if_drained(key);
        true
    }

    /// Records that an entry vanished during a store outage or with a restore of the store.
    ///
    /// The instance stays usable until `until`, because the owners of such entries write them again
    /// shortly afterwards. Returns whether it was listed as ready.
    pub fn record_missing(&mut self, instance: &str, until: Instant) -> bool {
        let key = self.by_instance.get(instance);
        let Some(backend) = key.and_then(|key| self.backends.get_mut(*key)) else {
            return false;
        };
        let was_ready = backend.listing == Listing::Ready;
        if was_ready {
            backend.listing = Listing::Missing { until };
        }
        was_ready
    }

    /// Returns the instances that are listed.
    pub fn instances(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_instance.keys()
    }

    /// Returns the instances whose entries are missing, and until when they may be written again.
    pub fn missing_instances(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        self.by_instance.iter().filter_map(|(instance, key)| {
            let Listing::Missing { until } = self.backends.get(*key)?.listing else {
                return None;
            };
            Some((instance, until))
        })
    }

    /// Removes entries that are missing and were not written again in time, or all missing ones if
    /// vanished entries are known to be gone; returns their instances.
    pub fn expire_missing(&mut self, is_settled: bool, now: Instant) -> Vec<Arc<str>> {
        let expired: Vec<Arc<str>> = self
            .missing_instances()
            .filter(|(_, until)| is_settled || *until <= now)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &expired {
            self.remove_instance(instance);
        }
        expired
    }

    /// Replaces the loads reported by other gateways; the key is the hash of the instance.
    pub fn record_remote_loads(&mut self, loads: &HashMap<u64, PeerLoad>) {
        for (key, backend) in &mut self.backends {
            let load = loads.get(&backend.instance_hash);
            backend.remote_generations = load.map_or(0, |load| load.generations);
            backend.remote_unread_tokens = load.map_or(0, |load| load.unread_tokens);
            backend.remote_memory_tokens = load.map_or(0, |load| load.memory_tokens);
            let avoiders = load.map_or(0, |load| load.avoiders);
            if avoiders >= MIN_AVOIDERS && backend.remote_avoiders < MIN_AVOIDERS {
                self.unreliable.push(key);
            }
            backend.remote_avoiders = avoiders;
        }
    }

    /// Returns the loads that this gateway reports to its peers.
    ///
    /// Engines with generations come first, then those with copies, then those that are
    /// only avoided, so that a truncated list keeps the most important entries.
    pub fn own_loads(&self, now: Instant) -> Vec<PeerLoad> {
        let load_of = |backend: &Backend| {
            let rate = backend.failures.value_at(self.cfg.failure_half_life, now);
            let is_avoided = backend.is_listed_but_lost() || rate >= self.cfg.avoid_failure_rate;
            PeerLoad {
                engine: backend.instance_hash,
                generations: backend.generations as u64,
                unread_tokens: backend.unread_tokens,
                memory_tokens: backend.memory_tokens + backend.copy_tokens,
                avoiders: is_avoided.into(),
            }
        };
        let mut loads: Vec<PeerLoad> = self
            .backends
            .values()
            .map(load_of)
            .filter(|load| load.avoiders > 0 || load.memory_tokens > 0)
            .collect();
        loads.sort_by_key(|load| std::cmp::Reverse((load.generations > 0, load.memory_tokens > 0)));
        loads
    }

    /// Records that a generation was sent to an engine.
    pub fn start_generation(&mut self, engine: BackendKey, work: BackendWork, now: Instant) {
        self.take_token(engine, now);
        if let Some(backend) = self.backends.get_mut(engine) {
            self.backoffs.record_sent(backend.incarnation, now);
            backend.restart_heartbeat_if_idle(now);
            backend.in_flight += 1;
            backend.generations += 1;
            backend.unread_tokens += work.prompt_tokens;
            backend.memory_tokens += work.memory_tokens;
        }
    }

    /// Records that an engine has read a generation's prompt.
    pub fn record_prompt_read(&mut self, engine: BackendKey, work: BackendWork) {
        if let Some(backend) = self.backends.get_mut(engine) {
            backend.unread_tokens = backend.unread_tokens.saturating_sub(work.prompt_tokens);
        }
    }

    /// Records the end of a generation at an engine, whether or not it was completed.
    pub fn end_generation(&mut self, engine: BackendKey, work: BackendWork, is_prompt_read: bool) {
        if !is_prompt_read {
            self.record_prompt_read(engine, work);
        }
        if let Some(backend) = self.backends.get_mut(engine) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            backend.generations = backend.generations.saturating_sub(1);
            backend.memory_tokens = backend.memory_tokens.saturating_sub(work.memory_tokens);
        }
        self.remove_if_drained(engine);
    }

    /// Records that an engine starts or stops holding a copy of a generation's memory.
    pub fn record_copy(&mut self, holder: BackendKey, work: BackendWork, is_held: bool) {
        if let Some(backend) = self.backends.get_mut(holder) {
            backend.copy_tokens = if is_held {
                backend.copy_tokens + work.memory_tokens
            } else {
                backend.copy_tokens.saturating_sub(work.memory_tokens)
            };
        }
    }

    /// Returns the backend servers that, since the last call, were lost or removed, began to
    /// drain or came to be avoided by several peers, so that copies held there are unreliable.
    pub fn take_unreliable(&mut self) -> Vec<BackendKey> {
        std::mem::take(&mut self.unreliable)
    }

    /// Records that a call was sent.
    pub fn start_call(&mut self, key: BackendKey, now: Instant) {
        self.take_token(key, now);
        if let Some(backend) = self.backends.get_mut(key) {
            self.backoffs.record_sent(backend.incarnation, now);
            backend.restart_heartbeat_if_idle(now);
            backend.in_flight += 1;
        }
    }

    /// Records the end of a call.
    pub fn end_call(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        self.remove_if_drained(key);
    }

    /// Records whether a request failed, for the failure rate of its backend server.
    pub fn record_result(&mut self, key: BackendKey, is_failure: bool, now: Instant) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.failures.record(is_failure, &self.cfg, now);
        }
    }

    /// Records that a backend server responded; returns whether it was considered lost.
    pub fn record_alive(&mut self, key: BackendKey, now: Instant) -> bool {
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        backend.heartbeat.record_alive(now);
        let was_lost = backend.health != Health::Up;
        backend.health = Health::Up;
        was_lost
    }

    /// Returns what a failed probe shows; `is_refused` tells whether the connection was refused.
    pub fn probe_loss_cause(&self, key: BackendKey, is_refused: bool) -> LossCause {
        let backend = self.backends.get(key);
        // One that is leaving accepts no new connections but completes its running work.
        let is_leaving = backend.is_none_or(|b| b.listing == Listing::Leaving);
        if is_refused && !is_leaving {
            LossCause::Terminated
        } else {
            LossCause::Silent
        }
    }

    /// Records that a load report arrived from the address of a backend server.
    ///
    /// A report names no instance, so it ends the silence of a lost backend server but does not
    /// show that it is back: another instance may have its address.
    pub fn record_report(&mut self, key: BackendKey, now: Instant) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.heartbeat.record_alive(now);
        }
    }

    /// Marks a backend server as lost; returns false if it already was.
    pub fn record_loss(&mut self, key: BackendKey, cause: LossCause, now: Instant) -> bool {
        let recheck_delay = match cause {
            LossCause::Refused | LossCause::Terminated => self.cfg.refused_recheck_delay,
            LossCause::Unreachable => self.cfg.unreachable_recheck_delay,
            LossCause::Silent | LossCause::Restarted => self.cfg.silent_recheck_delay,
            LossCause::Contested => Duration::ZERO,
            // It is not checked at this address again: only a new entry states its current one.
            LossCause::Replaced => Duration::from_secs(3_600),
        };
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        let is_new = backend.health == Health::Up;
        let cause = match backend.health {
            Health::Lost { cause: known, .. } if known.is_definite() && !cause.is_definite() => {
                known
            }
            _ => cause,
        };
        let since = match backend.health {
            Health::Lost { since, .. } => since,
            Health::Up => now,
        };
        backend.health = Health::Lost {
            since,
            recheck_at: now + recheck_delay,
            cause,
        };
        if is_new && cause != LossCause::Unreachable {
            self.unreliable.push(key);
        }
        if is_new {
            let window = self.cfg.zone_loss_window;
            let losses = self
                .zone_losses
                .entry(backend.entry.zone.clone())
                .or_default();
            losses.retain(|at| now.saturating_duration_since(*at) < window);
            losses.push(now);
        }
        is_new
    }

    /// Decides which backend servers are probed and which are lost.
    ///
    /// Those with running generations are probed when they fall silent, and while they are lost;
    /// lost ones are asked for their instance id when their delay is over.
    pub fn poll_heartbeats(&mut self, now: Instant) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        for (key, backend) in &mut self.backends {
            match backend.health {
                Health::Up if backend.generations > 0 => {
                    match backend.heartbeat.poll(&self.cfg.heartbeat, now) {
                        HeartbeatStep::Wait => {}
                        HeartbeatStep::Probe if !backend.take_probe(&mut self.backoffs, now) => {
                            backend.heartbeat.withhold_probe();
                        }
                        HeartbeatStep::Probe => actions.push(HeartbeatAction::Probe(key)),
                        HeartbeatStep::Lost => actions.push(HeartbeatAction::Lost(key)),
                    }
                }
                Health::Lost {
                    since,
                    recheck_at,
                    cause,
                } if recheck_at <= now
                    && cause != LossCause::Replaced
                    && backend.accepts_orders(&self.backoffs, now)
                    && (backend.generations > 0 || backend.listing != Listing::Leaving) =>
                {
                    backend.health = Health::Lost {
                        since,
                        recheck_at: now + self.cfg.silent_recheck_delay,
                        cause,
                    };
                    actions.push(HeartbeatAction::Identify(key));
                    if backend.generations > 0 {
                        // The identity check of a busy engine may wait for a slot.
                        actions.push(HeartbeatAction::Probe(key));
                    }
                }
                _ => {}
            }
        }
        for action in &actions {
            if let HeartbeatAction::Lost(key) = action {
                self.record_loss(*key, LossCause::Silent, now);
            }
        }
        actions
    }

    fn remove_if_drained(&mut self, key: BackendKey) {
        let is_idle = |b: &Backend| b.listing == Listing::Leaving && b.in_flight == 0;
        let is_listed = |b: &Backend| self.by_instance.get(&b.entry.instance) == Some(&key);
        if self
            .backends
            .get(key)
            .is_some_and(|b| is_idle(b) && !is_listed(b))
        {
            self.backends.remove(key);
        }
    }
}
