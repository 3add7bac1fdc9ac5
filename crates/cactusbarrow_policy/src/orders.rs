//! Orders that bring an engine to what the configuration says.
//!
//! The revision of the configuration is the fencing number. Not every engine
//! checks it, so the agent sends an order only while it has heard from a router
//! within a margin: an agent that wakes from a pause waits for news first.

use std::time::{Duration, Instant};

use crate::hash::stable_hash;
use crate::ids::Revision;

/// Tuning of [`EngineOrders`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderConfig {
    /// Longest time since the last word of a router at which an order may be sent.
    pub freshness: Duration,
    /// Loads that the weight store serves per second, over the whole fleet.
    pub loads_per_second: f64,
    /// Wait after a failed order.
    pub retry_wait: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(10),
            loads_per_second: 20.0,
            retry_wait: Duration::from_secs(1),
        }
    }
}

/// Asks an engine to load a model version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model version.
    pub version: String,
    /// Fencing number.
    pub fencing_token: Revision,
}

/// State machine of the orders to one engine.
#[derive(Clone, Debug)]
pub struct EngineOrders {
    cfg: OrderConfig,
    wanted: Option<LoadOrder>,
    loaded: Option<String>,
    in_progress: bool,
    not_before: Option<Instant>,
    heard_at: Option<Instant>,
}

impl EngineOrders {
    /// Creates a machine that knows nothing of its engine.
    pub fn new(cfg: OrderConfig) -> Self {
        Self {
            cfg,
            wanted: None,
            loaded: None,
            in_progress: false,
            not_before: None,
            heard_at: None,
        }
    }

    /// Returns the version that the engine has loaded, as far as known.
    pub fn loaded(&self) -> Option<&str> {
        self.loaded.as_deref()
    }

    /// Records word from a router.
    pub fn record_router_contact(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Records which version the engine says it has loaded.
    pub fn record_loaded(&mut self, version: Option<&str>) {
        self.loaded = version.map(str::to_owned);
    }

    /// Sets what the configuration wants.
    ///
    /// `sharers` is the number of backend servers that want the same version: the loads of all
    /// of them are spread over the time that the weight store needs.
    pub fn set_target(
        &mut self,
        version: &str,
        fencing_token: Revision,
        own: &str,
        sharers: u32,
        now: Instant,
    ) {
        if self
            .wanted
            .as_ref()
            .is_some_and(|w| w.fencing_token >= fencing_token)
        {
            return;
        }
        let is_new = self.wanted.as_ref().is_none_or(|w| w.version != version);
        self.wanted = Some(LoadOrder {
            version: version.to_owned(),
            fencing_token,
        });
        if is_new {
            let slot = stable_hash(own.as_bytes()) % u64::from(sharers.max(1));
            let wait = Duration::from_secs_f64(slot as f64 / self.cfg.loads_per_second);
            self.not_before = Some(now + wait);
        }
    }

    /// Returns the order that must be sent now, if any, and counts it as sent.
    pub fn next_order(&mut self, now: Instant) -> Option<LoadOrder> {
        let wanted = self.wanted.as_ref()?;
        let is_fresh = self
            .heard_at
            .is_some_and(|at| now.duration_since(at) < self.cfg.freshness);
        let is_due = self.not_before.is_none_or(|at| now >= at);
        let is_done = self.loaded.as_deref() == Some(&wanted.version);
        if self.in_progress || is_done || !is_fresh || !is_due {
            return None;
        }
        self.in_progress = true;
        Some(wanted.clone())
    }

    /// Records how an order ended.
    pub fn record_result(&mut self, order: &LoadOrder, is_done: bool, now: Instant) {
        self.in_progress = false;
        if is_done {
            self.loaded = Some(order.version.clone());
        } else {
            self.not_before = Some(now + self.cfg.retry_wait);
        }
    }
}
