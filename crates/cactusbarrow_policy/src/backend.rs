//! One backend server: its entry, whether it is there, and what it has in flight.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;

use crate::fleet_config::FleetConfig;
use crate::hash::stable_hash;
use crate::heartbeat::Heartbeat;
use crate::outcome::Reason;
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

/// Where an entry stands in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// It is listed as ready.
    Ready,
    /// It vanished while the store was away, and may come back until then.
    Missing { until: Instant },
    /// It is leaving or has left; only its running work counts.
    Leaving,
}

/// Whether a backend server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
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
    pub(crate) instance_hash: u64,
    pub(crate) listing: Listing,
    pub(crate) health: Health,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) in_flight: usize,
    pub(crate) generations: usize,
    pub(crate) unread_tokens: u64,
    pub(crate) memory_tokens: u64,
    pub(crate) copy_tokens: u64,
    pub(crate) remote_generations: u64,
    pub(crate) remote_unread_tokens: u64,
    pub(crate) remote_memory_tokens: u64,
    pub(crate) remote_avoiders: u64,
    pub(crate) failures: FailureRate,
}

/// Share of failures among the newest results of a backend server; fades with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    value: f64,
    at: Option<Instant>,
}

impl FailureRate {
    /// Returns the share as it counts now.
    pub(crate) fn now(&self, half_life: Duration, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    pub(crate) fn record(&mut self, is_failure: bool, cfg: &FleetConfig, now: Instant) {
        let before = self.now(cfg.failure_half_life, now);
        let result = f64::from(u8::from(is_failure));
        self.value = before + cfg.failure_weight * (result - before);
        self.at = Some(now);
    }
}

impl Backend {
    pub(crate) fn new(entry: BackendEntry, listing: Listing, now: Instant) -> Self {
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
    pub(crate) fn is_suspended(&self) -> bool {
        let is_lost = matches!(self.health, Health::Down { .. });
        is_lost && self.listing != Listing::Leaving
    }

    /// Ranks how sure it is that the backend server can be used; `None` if it must not be.
    pub(crate) fn tier(&self, now: Instant) -> Option<u8> {
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
    pub(crate) fn fits(&self, capacity: u64, share: f64, tokens: u64) -> bool {
        let planned = (capacity as f64 * share) as u64;
        let used = self.used_memory();
        capacity == 0 || used == 0 || used + tokens <= planned
    }

    /// Returns the tokens of memory that all gateways are known to have in use there.
    pub(crate) fn used_memory(&self) -> u64 {
        self.memory_tokens + self.copy_tokens + self.remote_memory_tokens
    }

    pub(crate) fn restart_if_idle(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.heartbeat.restart(now);
        }
    }
}
