//! The backend servers that a gateway knows: who is listed, who is alive, who gets work.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use slotmap::{SlotMap, new_key_type};

use crate::hash::stable_hash;
use crate::heartbeat::{Heartbeat, HeartbeatConfig, HeartbeatStep};
use crate::outcome::Reason;
use crate::peer_table::PeerLoad;
use crate::route_set::ServiceName;

new_key_type! {
    /// Names one incarnation of a backend server within a process.
    pub struct BackendKey;
}

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Tells starts of one instance apart.
    pub incarnation: u64,
}

/// Tuning of [`BackendFleet`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetConfig {
    /// When a backend server with work is probed and given up.
    pub heartbeat: HeartbeatConfig,
    /// How long a backend server gets no work after it refused a connection: it has ended,
    /// and its next start has an entry of its own.
    pub refused_pause: Duration,
    /// How long a backend server gets no work after a connection that took too long.
    pub unreachable_pause: Duration,
    /// How long a silent backend server gets no work.
    pub silent_pause: Duration,
    /// How long an entry that vanished while the store was away is kept.
    pub missing_grace: Duration,
    /// Cost of a running generation, in prompt tokens that are still to be read.
    pub running_cost: u64,
    /// Cost of a zone in which several backend servers were just lost, in prompt tokens.
    pub zone_loss_cost: u64,
    /// Tokens of memory that make one engine a worse place for a copy than another.
    pub copy_cost_step: u64,
    /// How long a loss counts against its zone.
    pub zone_loss_memory: Duration,
    /// Share of an engine's memory that is planned with.
    pub memory_share: f64,
    /// Weight of the newest result in the failure rate of a backend server.
    pub failure_weight: f64,
    /// Time in which a failure rate fades by half.
    pub failure_half_life: Duration,
    /// Cost of a backend server that fails every call, in calls in flight.
    pub failure_cost: f64,
    /// Cost of an engine that fails every generation, in prompt tokens.
    pub engine_failure_cost: f64,
    /// Failure rate from which other gateways are told.
    pub avoided_from: f64,
    /// Cost of an engine for each other gateway that avoids it, in prompt tokens.
    pub avoider_cost: u64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            heartbeat: HeartbeatConfig::default(),
            refused_pause: Duration::from_millis(2_500),
            unreachable_pause: Duration::from_millis(500),
            silent_pause: Duration::from_millis(1_000),
            missing_grace: Duration::from_millis(1_800),
            running_cost: 4_000,
            zone_loss_cost: 20_000,
            copy_cost_step: 8_000,
            zone_loss_memory: Duration::from_millis(1_500),
            memory_share: 0.9,
            failure_weight: 0.4,
            failure_half_life: Duration::from_secs(4),
            failure_cost: 8.0,
            engine_failure_cost: 40_000.0,
            avoided_from: 0.35,
            avoider_cost: 15_000,
        }
    }
}

/// Where an entry stands in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    /// It is listed as ready.
    Ready,
    /// It vanished while the store was away, and may come back until then.
    Missing { until: Instant },
    /// It is leaving or has left; only its running work counts.
    Leaving,
}

/// Whether a backend server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Up,
    /// No work until then; afterwards only a probe or an answer brings it back.
    Down {
        until: Instant,
        /// Whether another instance has its address.
        is_replaced: bool,
    },
}

/// Why a backend server is taken for lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// It refuses connections.
    Refused,
    /// No connection to it comes about in time.
    Unreachable,
    /// It does not answer at all.
    Silent,
    /// Another instance answers at its address.
    Replaced,
}

impl LossCause {
    /// Returns the reason that is logged and counted.
    pub fn reason(self) -> Reason {
        match self {
            Self::Refused => Reason::EngineLost,
            Self::Unreachable => Reason::NotConnected,
            Self::Silent => Reason::Silent,
            Self::Replaced => Reason::OtherInstance,
        }
    }
}

/// Work that a backend server holds for this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of memory that the generation grows to.
    pub memory_tokens: u64,
}

/// One backend server and what this gateway has there.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its entry.
    pub entry: BackendEntry,
    instance_hash: u64,
    listing: Listing,
    health: Health,
    heartbeat: Heartbeat,
    in_flight: usize,
    generations: usize,
    unread_tokens: u64,
    memory_tokens: u64,
    copy_tokens: u64,
    remote_generations: u64,
    remote_unread_tokens: u64,
    remote_memory_tokens: u64,
    remote_avoiders: u64,
    failures: FailureRate,
}

/// Share of failures among the newest results of a backend server; fades with time.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRate {
    value: f64,
    at: Option<Instant>,
}

impl FailureRate {
    /// Returns the share as it counts now.
    fn now(&self, half_life: Duration, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    fn record(&mut self, is_failure: bool, cfg: &FleetConfig, now: Instant) {
        let before = self.now(cfg.failure_half_life, now);
        let result = f64::from(u8::from(is_failure));
        self.value = before + cfg.failure_weight * (result - before);
        self.at = Some(now);
    }
}

/// Gateways beyond which further ones that avoid an engine add nothing.
const MAX_AVOIDERS: u64 = 4;

/// Gateways that have to avoid an engine before copies kept there are given up; one
/// alone may be cut off itself.
const CREDIBLE_AVOIDERS: u64 = 2;

/// A sign of life that is due, or a loss that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Ask the backend server for its report.
    Probe(BackendKey),
    /// Ask a backend server that was lost which instance it is.
    Identify(BackendKey),
    /// Its work has to go on elsewhere.
    Lost(BackendKey),
}

/// The backend servers of all services.
#[derive(Clone, Debug, Default)]
pub struct BackendFleet {
    cfg: FleetConfig,
    backends: SlotMap<BackendKey, Backend>,
    by_instance: HashMap<Arc<str>, BackendKey>,
    zone_losses: HashMap<Arc<str>, Vec<Instant>>,
    gone: Vec<BackendKey>,
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

    /// Returns the number of backend servers that are listed as ready.
    pub fn ready_count(&self) -> usize {
        let is_ready = |backend: &&Backend| backend.listing == Listing::Ready;
        self.backends.values().filter(is_ready).count()
    }

    /// Takes the newest entry of an instance; returns whether it changed anything.
    pub fn record_entry(&mut self, entry: BackendEntry, now: Instant) -> bool {
        let listing = if entry.is_draining {
            Listing::Leaving
        } else {
            Listing::Ready
        };
        if let Some(key) = self.by_instance.get(&entry.instance)
            && let Some(backend) = self.backends.get_mut(*key)
            && backend.entry.incarnation == entry.incarnation
            && backend.entry.address == entry.address
        {
            let is_changed = backend.listing != listing;
            if is_changed && listing == Listing::Leaving {
                self.gone.push(*key);
            }
            backend.listing = listing;
            backend.entry = entry;
            return is_changed;
        }
        self.remove_instance(&entry.instance);
        self.retire_address(entry.address, now);
        let instance = entry.instance.clone();
        let key = self.backends.insert(Backend::new(entry, listing, now));
        self.by_instance.insert(instance, key);
        true
    }

    /// Takes those that had an address before for replaced.
    fn retire_address(&mut self, address: SocketAddr, now: Instant) {
        let had_it = |(_, backend): &(BackendKey, &Backend)| backend.entry.address == address;
        let keys: Vec<BackendKey> = self
            .backends
            .iter()
            .filter(had_it)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.record_loss(key, LossCause::Replaced, now);
        }
    }

    /// Records that an entry was removed while the store was well.
    ///
    /// Returns whether the instance was known.
    pub fn remove_instance(&mut self, instance: &str) -> bool {
        let Some(key) = self.by_instance.remove(instance) else {
            return false;
        };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.listing = Listing::Leaving;
        }
        self.gone.push(key);
        self.forget_if_idle(key);
        true
    }

    /// Records that an entry vanished while the store was away.
    ///
    /// The instance stays usable for a while, because entries lapse in an outage and
    /// come back shortly after it. Returns whether it was usable before.
    pub fn record_missing(&mut self, instance: &str, now: Instant) -> bool {
        let until = now + self.cfg.missing_grace;
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

    /// Removes entries whose time to come back is over; returns their instances.
    pub fn expire_missing(&mut self, now: Instant) -> Vec<Arc<str>> {
        let is_due = |key: &BackendKey| {
            let backend = self.backends.get(*key);
            backend.is_some_and(|b| matches!(b.listing, Listing::Missing { until } if until <= now))
        };
        let due: Vec<Arc<str>> = self
            .by_instance
            .iter()
            .filter(|(_, key)| is_due(key))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &due {
            self.remove_instance(instance);
        }
        due
    }

    /// Replaces what other gateways have at the backend servers, by hash of the instance.
    pub fn record_remote_loads(&mut self, loads: &HashMap<u64, PeerLoad>) {
        for (key, backend) in &mut self.backends {
            let load = loads.get(&backend.instance_hash);
            backend.remote_generations = load.map_or(0, |load| load.generations);
            backend.remote_unread_tokens = load.map_or(0, |load| load.unread_tokens);
            backend.remote_memory_tokens = load.map_or(0, |load| load.memory_tokens);
            let avoiders = load.map_or(0, |load| load.avoiders);
            if avoiders >= CREDIBLE_AVOIDERS && backend.remote_avoiders < CREDIBLE_AVOIDERS {
                self.gone.push(key);
            }
            backend.remote_avoiders = avoiders;
        }
    }

    /// Returns what this gateway has at backend servers that run generations for it.
    ///
    /// Those with generations come first, then those with copies, then those that are
    /// avoided, so that a list that is cut keeps what matters most.
    pub fn own_loads(&self, now: Instant) -> Vec<PeerLoad> {
        let load_of = |backend: &Backend| {
            let rate = backend.failures.now(self.cfg.failure_half_life, now);
            let is_avoided = backend.is_suspended() || rate >= self.cfg.avoided_from;
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

    /// Chooses the engine for a generation.
    pub fn choose_engine(
        &self,
        service: &str,
        capacity: u64,
        work: Work,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let fits = |b: &Backend| b.fits(capacity, self.cfg.memory_share, work.memory_tokens);
        self.choose(service, excluded, now, rng, fits, |b| {
            let running = b.generations as u64 + b.remote_generations;
            let unread = b.unread_tokens + b.remote_unread_tokens;
            let avoided = b.remote_avoiders.min(MAX_AVOIDERS) * self.cfg.avoider_cost;
            let zone = self.zone_cost(&b.entry.zone, now);
            let failures = b.failures.now(self.cfg.failure_half_life, now);
            (unread + running * self.cfg.running_cost + avoided + zone) as f64
                + failures * self.cfg.engine_failure_cost
        })
    }

    /// Chooses the engine that gets a copy of a generation's memory.
    ///
    /// It lies in another zone than the generation's engine, if there is any.
    pub fn choose_copy_holder(
        &self,
        engine: BackendKey,
        capacity: u64,
        work: Work,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let engine = &self.backends.get(engine)?.entry;
        let is_usable = |b: &Backend| {
            b.entry.zone != engine.zone
                && b.fits(capacity, self.cfg.memory_share, work.memory_tokens)
        };
        self.choose(&engine.service, excluded, now, rng, is_usable, |b| {
            let avoided = b.remote_avoiders.min(MAX_AVOIDERS) * self.cfg.avoider_cost;
            let cost = b.used_memory() + avoided + self.zone_cost(&b.entry.zone, now);
            // Steps leave many equals, among which gateways choose at random.
            (cost / self.cfg.copy_cost_step) as f64
        })
    }

    /// Chooses the backend server for a call.
    pub fn choose_for_call(
        &self,
        service: &str,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        self.choose(
            service,
            excluded,
            now,
            rng,
            |_| true,
            |b| {
                let failures = b.failures.now(self.cfg.failure_half_life, now);
                b.in_flight as f64 + failures * self.cfg.failure_cost
            },
        )
    }

    /// Chooses the cheapest usable backend server, at random among equals.
    ///
    /// Those that are healthy and listed go first, then those that vanished from the
    /// list in an outage or were lost a while ago.
    fn choose(
        &self,
        service: &str,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
        is_usable: impl Fn(&Backend) -> bool,
        cost: impl Fn(&Backend) -> f64,
    ) -> Option<BackendKey> {
        let mut best: Option<(u8, f64, u64, BackendKey)> = None;
        for (key, backend) in &self.backends {
            if &*backend.entry.service != service || excluded.contains(&key) || !is_usable(backend)
            {
                continue;
            }
            let Some(tier) = backend.tier(now) else {
                continue;
            };
            let rank = (tier, cost(backend), rng.next_u64(), key);
            let is_better = best.is_none_or(|b| (rank.0, rank.1, rank.2) < (b.0, b.1, b.2));
            if is_better {
                best = Some(rank);
            }
        }
        best.map(|(.., key)| key)
    }

    fn zone_cost(&self, zone: &str, now: Instant) -> u64 {
        let recent = self.zone_losses.get(zone).map_or(0, |losses| {
            let is_recent =
                |at: &&Instant| now.saturating_duration_since(**at) < self.cfg.zone_loss_memory;
            losses.iter().filter(is_recent).count()
        });
        // A single loss says nothing about the neighbours.
        if recent >= 2 {
            self.cfg.zone_loss_cost
        } else {
            0
        }
    }

    /// Records that a generation was sent to an engine.
    pub fn start_generation(&mut self, engine: BackendKey, work: Work, now: Instant) {
        if let Some(backend) = self.backends.get_mut(engine) {
            backend.restart_if_idle(now);
            backend.in_flight += 1;
            backend.generations += 1;
            backend.unread_tokens += work.prompt_tokens;
            backend.memory_tokens += work.memory_tokens;
        }
    }

    /// Records that an engine has read a generation's prompt.
    pub fn record_prompt_read(&mut self, engine: BackendKey, work: Work) {
        if let Some(backend) = self.backends.get_mut(engine) {
            backend.unread_tokens = backend.unread_tokens.saturating_sub(work.prompt_tokens);
        }
    }

    /// Records that a generation ended at an engine, in whatever way.
    pub fn end_generation(&mut self, engine: BackendKey, work: Work, is_prompt_read: bool) {
        if !is_prompt_read {
            self.record_prompt_read(engine, work);
        }
        if let Some(backend) = self.backends.get_mut(engine) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
            backend.generations = backend.generations.saturating_sub(1);
            backend.memory_tokens = backend.memory_tokens.saturating_sub(work.memory_tokens);
        }
        self.forget_if_idle(engine);
    }

    /// Records that an engine begins or ceases to keep a copy of a generation's memory.
    pub fn record_copy(&mut self, holder: BackendKey, work: Work, is_held: bool) {
        if let Some(backend) = self.backends.get_mut(holder) {
            backend.copy_tokens = if is_held {
                backend.copy_tokens + work.memory_tokens
            } else {
                backend.copy_tokens.saturating_sub(work.memory_tokens)
            };
        }
    }

    /// Returns the backend servers that were lost or began to leave since the last call,
    /// so that copies kept there are not to be relied on.
    pub fn take_gone(&mut self) -> Vec<BackendKey> {
        std::mem::take(&mut self.gone)
    }

    /// Records that a call was sent.
    pub fn start_call(&mut self, key: BackendKey, now: Instant) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.restart_if_idle(now);
            backend.in_flight += 1;
        }
    }

    /// Records the end of a call.
    pub fn end_call(&mut self, key: BackendKey) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
        self.forget_if_idle(key);
    }

    /// Records whether a backend server failed a request.
    pub fn record_result(&mut self, key: BackendKey, is_failure: bool, now: Instant) {
        if let Some(backend) = self.backends.get_mut(key) {
            backend.failures.record(is_failure, &self.cfg, now);
        }
    }

    /// Records a sign of life; returns true if the backend server was taken for lost.
    pub fn record_heard(&mut self, key: BackendKey, now: Instant) -> bool {
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        backend.heartbeat.record_heard(now);
        let was_down = backend.health != Health::Up;
        backend.health = Health::Up;
        was_down
    }

    /// Takes a backend server for lost; returns false if it already was.
    pub fn record_loss(&mut self, key: BackendKey, cause: LossCause, now: Instant) -> bool {
        let pause = match cause {
            LossCause::Refused => self.cfg.refused_pause,
            LossCause::Unreachable => self.cfg.unreachable_pause,
            LossCause::Silent => self.cfg.silent_pause,
            // Only a new entry tells what its address is now.
            LossCause::Replaced => Duration::from_secs(3_600),
        };
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        let is_new = backend.health == Health::Up;
        let is_replaced = cause == LossCause::Replaced;
        backend.health = Health::Down {
            until: now + pause,
            is_replaced,
        };
        if is_new && cause != LossCause::Unreachable {
            self.gone.push(key);
        }
        if is_new {
            let memory = self.cfg.zone_loss_memory;
            let losses = self
                .zone_losses
                .entry(backend.entry.zone.clone())
                .or_default();
            losses.retain(|at| now.saturating_duration_since(*at) < memory);
            losses.push(now);
        }
        is_new
    }

    /// Decides which backend servers are probed and which are lost.
    ///
    /// Those with work are watched closely; those that were lost are asked again when
    /// their pause is over.
    pub fn poll_heartbeats(&mut self, now: Instant) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        for (key, backend) in &mut self.backends {
            match backend.health {
                Health::Up if backend.generations > 0 => {
                    match backend.heartbeat.poll(&self.cfg.heartbeat, now) {
                        HeartbeatStep::Wait => {}
                        HeartbeatStep::Probe => actions.push(HeartbeatAction::Probe(key)),
                        HeartbeatStep::Lost => actions.push(HeartbeatAction::Lost(key)),
                    }
                }
                Health::Down {
                    until,
                    is_replaced: false,
                } if until <= now && backend.listing != Listing::Leaving => {
                    backend.health = Health::Down {
                        until: now + self.cfg.silent_pause,
                        is_replaced: false,
                    };
                    actions.push(HeartbeatAction::Identify(key));
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

    fn forget_if_idle(&mut self, key: BackendKey) {
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

impl Backend {
    fn new(entry: BackendEntry, listing: Listing, now: Instant) -> Self {
        Self {
            instance_hash: stable_hash(entry.instance.as_bytes()),
            entry,
            listing,
            health: Health::Up,
            heartbeat: Heartbeat::new(now),
            in_flight: 0,
            generations: 0,
            unread_tokens: 0,
            memory_tokens: 0,
            copy_tokens: 0,
            remote_generations: 0,
            remote_unread_tokens: 0,
            remote_memory_tokens: 0,
            remote_avoiders: 0,
            failures: FailureRate::default(),
        }
    }

    /// Returns whether it gets no work for a while although its entry is in force.
    fn is_suspended(&self) -> bool {
        let is_lost = matches!(
            self.health,
            Health::Down {
                is_replaced: false,
                ..
            }
        );
        is_lost && self.listing != Listing::Leaving
    }

    /// Returns whether it is leaving, so that it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.listing == Listing::Leaving
    }

    /// Ranks how sure it is that the backend server can be used; `None` if it must not be.
    fn tier(&self, now: Instant) -> Option<u8> {
        let listed = match self.listing {
            Listing::Ready => 0,
            Listing::Missing { until } if until > now => 1,
            Listing::Missing { .. } | Listing::Leaving => return None,
        };
        match self.health {
            Health::Up => Some(listed),
            Health::Down {
                is_replaced: false, ..
            } => Some(2),
            Health::Down { .. } => None,
        }
    }

    /// Returns whether a generation fits into the engine's memory.
    fn fits(&self, capacity: u64, share: f64, tokens: u64) -> bool {
        let planned = (capacity as f64 * share) as u64;
        let used = self.used_memory();
        capacity == 0 || used == 0 || used + tokens <= planned
    }

    /// Returns the tokens of memory that all gateways are known to have in use there.
    fn used_memory(&self) -> u64 {
        self.memory_tokens + self.copy_tokens + self.remote_memory_tokens
    }

    fn restart_if_idle(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.heartbeat.restart(now);
        }
    }
}
