//! State of one backend server: its entry, health and load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::new_key_type;

use crate::fleet_config::FleetConfig;
use crate::hash::{mix, stable_hash};
use crate::heartbeat::Heartbeat;
use crate::operator_config::ServiceName;
use crate::outcome::Reason;
use crate::request_limit::RequestLimit;
use crate::request_parts::IncarnationId;
use crate::software::{SoftwareId, SoftwareVersion};

new_key_type! {
    /// Identifies one incarnation of a backend server within this process.
    pub struct BackendKey;
}

/// Entry under which a backend server registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendEntry {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: Arc<str>,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and must not get new work.
    pub is_draining: bool,
    /// Distinguishes restarts of the same instance.
    pub incarnation: u64,
}

impl BackendEntry {
    /// Returns whether the entry tells the incarnations of its instance apart.
    pub fn states_incarnation(&self) -> bool {
        self.incarnation != 0
    }

    /// Returns whether a process that states this incarnation may have registered the entry; without a
    /// statement on both sides it may.
    pub fn may_be_of(&self, incarnation: Option<u64>) -> bool {
        !self.states_incarnation() || incarnation.is_none_or(|stated| stated == self.incarnation)
    }
}

/// Identifies an incarnation of a backend server at its address, for all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// Returns the id of the incarnation that registered this entry.
    pub fn of_entry(entry: &BackendEntry) -> Self {
        let incarnation = IncarnationId::new(&entry.instance, entry.incarnation);
        let address = stable_hash(entry.address.to_string().as_bytes());
        Self(mix(incarnation.0 ^ address))
    }
}

/// State of an entry in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// Listed as ready.
    Ready,
    /// Vanished during an outage or a restore of the store; stays usable until `until`.
    Missing { until: Instant },
    /// Draining or removed; kept only until its running work has ended.
    Leaving,
}

/// Health of a backend server, as seen by this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Up,
    /// Considered lost: used only as a last resort, and asked for its instance id from
    /// `recheck_at` on; neither if it was replaced. It is `Up` again once it responds.
    Lost {
        /// When it was found lost.
        since: Instant,
        recheck_at: Instant,
        cause: LossCause,
    },
}

/// Cause for which a backend server is considered lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// It refuses connections.
    Refused,
    /// Connecting to it timed out.
    Unreachable,
    /// It responds to neither requests nor probes; it may be sound and go on.
    Silent,
    /// It refuses probes although it has running work, so its process has ended.
    Terminated,
    /// Another instance was registered at its address; which of them responds is not known.
    Contested,
    /// Another instance responds at its address.
    Replaced,
    /// Another incarnation responds at its address, whose entry has not arrived.
    Restarted,
}

impl LossCause {
    /// Returns whether the backend server is known to have ended, not only suspected.
    pub(crate) fn is_definite(self) -> bool {
        matches!(self, Self::Terminated | Self::Replaced)
    }

    /// Returns the reason for logs and metrics.
    pub fn reason(self) -> Reason {
        match self {
            Self::Refused | Self::Terminated => Reason::EngineLost,
            Self::Unreachable => Reason::NotConnected,
            Self::Silent => Reason::Silent,
            Self::Contested | Self::Replaced => Reason::OtherInstance,
            Self::Restarted => Reason::OtherIncarnation,
        }
    }
}

/// Load that one generation puts on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendWork {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens of memory that the generation occupies when it is complete.
    pub memory_tokens: u64,
}

/// A backend server with its health and the load that gateways have placed on it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Entry under which it registered itself.
    pub entry: BackendEntry,
    pub(crate) incarnation: ServerIncarnation,
    pub(crate) instance_hash: u64,
    pub(crate) software: SoftwareId,
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
    pub(crate) request_limit: Option<RequestLimit>,
    /// When it announced its departure to this gateway.
    pub(crate) left_at: Option<Instant>,
}

/// Moving average of the share of failed requests; decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    value: f64,
    updated_at: Option<Instant>,
}

impl FailureRate {
    /// Returns the rate after its decay until `now`.
    pub(crate) fn value_at(&self, half_life: Duration, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    pub(crate) fn record(&mut self, is_failure: bool, cfg: &FleetConfig, now: Instant) {
        let before = self.value_at(cfg.failure_half_life, now);
        let result = f64::from(u8::from(is_failure));
        self.value = before + cfg.failure_weight * (result - before);
        self.updated_at = Some(now);
    }
}

impl Backend {
    pub(crate) fn new(entry: BackendEntry, listing: Listing, now: Instant) -> Self {
        Self {
            incarnation: ServerIncarnation::of_entry(&entry),
            instance_hash: stable_hash(entry.instance.as_bytes()),
            software: entry.software.id(),
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
            request_limit: None,
            left_at: None,
        }
    }

    /// Returns whether it is considered lost although it is still listed.
    pub(crate) fn is_listed_but_lost(&self) -> bool {
        let is_lost = matches!(self.health, Health::Lost { .. });
        is_lost && self.listing != Listing::Leaving
    }

    /// Returns its rank among the candidates, 0 being the first choice; `None` if it must not
    /// be used.
    pub(crate) fn tier(&self, now: Instant) -> Option<u8> {
        let listed = match self.listing {
            Listing::Ready => 0,
            Listing::Missing { until } if until > now => 1,
            Listing::Missing { .. } | Listing::Leaving => return None,
        };
        match self.health {
            Health::Up => Some(listed),
            Health::Lost {
                cause: LossCause::Replaced,
                ..
            } => None,
            Health::Lost { .. } => Some(2),
        }
    }

    /// Returns whether its running work cannot go on: it has terminated, another instance has
    /// taken over its address, or it has been silent for [`FleetConfig::gone_after`].
    pub(crate) fn is_gone(&self, cfg: &FleetConfig, now: Instant) -> bool {
        match self.health {
            Health::Up => false,
            Health::Lost { cause, .. } => {
                cause.is_definite() || self.silence(now) >= cfg.gone_after
            }
        }
    }

    /// Returns whether it can be used, or may be soon: it is up, or was lost less than
    /// [`FleetConfig::gone_after`] ago.
    pub(crate) fn may_recover(&self, cfg: &FleetConfig, now: Instant) -> bool {
        let is_recent = match self.health {
            Health::Up => true,
            Health::Lost { since, .. } => now.saturating_duration_since(since) < cfg.gone_after,
        };
        is_recent && self.tier(now).is_some()
    }

    /// Returns whether a generation of this size fits into the planned `share` of the engine's
    /// memory; it always does if the engine is unused or its capacity is not stated (0).
    pub(crate) fn fits(&self, capacity: u64, share: f64, tokens: u64) -> bool {
        let planned = (capacity as f64 * share) as u64;
        let used = self.used_memory();
        capacity == 0 || used == 0 || used + tokens <= planned
    }

    /// Returns the tokens of memory that all known gateways occupy on this engine.
    pub(crate) fn used_memory(&self) -> u64 {
        self.memory_tokens + self.copy_tokens + self.remote_memory_tokens
    }

    /// Returns the time since it last sent any data.
    pub fn silence(&self, now: Instant) -> Duration {
        self.heartbeat.silence(now)
    }

    pub(crate) fn restart_heartbeat_if_idle(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.heartbeat.restart(now);
        }
    }
}
