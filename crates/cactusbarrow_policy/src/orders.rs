//! Orders that make an engine load the model version of the configuration.
//!
//! The revision of the configuration is the fencing token. Not every engine
//! checks it, so an agent sends an order only if a router has contacted it
//! recently: an agent that resumes after a pause waits until a router has
//! contacted it, since its configuration may be outdated.

use std::time::{Duration, Instant};

use crate::hash::stable_hash;
use crate::ids::Revision;

/// Settings of [`EngineOrders`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderConfig {
    /// Maximum time since the last contact with a router at which an order may be sent.
    pub max_contact_age: Duration,
    /// Model loads that the weight store serves per second, over the whole fleet.
    pub loads_per_second: f64,
    /// Wait after a failed order.
    pub retry_wait: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            max_contact_age: Duration::from_secs(10),
            loads_per_second: 20.0,
            retry_wait: Duration::from_secs(1),
        }
    }
}

/// Order to an engine to load a model version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Model version to load.
    pub version: String,
    /// Revision of the configuration; an engine that checks it refuses lower ones.
    pub fencing_token: Revision,
}

/// State machine of the orders to one engine.
#[derive(Clone, Debug)]
pub struct EngineOrders {
    cfg: OrderConfig,
    target: Option<LoadOrder>,
    loaded: Option<String>,
    in_progress: bool,
    not_before: Option<Instant>,
    last_router_contact: Option<Instant>,
}

impl EngineOrders {
    /// Creates a state machine without a target or any state of the engine.
    pub fn new(cfg: OrderConfig) -> Self {
        Self {
            cfg,
            target: None,
            loaded: None,
            in_progress: false,
            not_before: None,
            last_router_contact: None,
        }
    }

    /// Returns the version that the engine has loaded, if known.
    pub fn loaded(&self) -> Option<&str> {
        self.loaded.as_deref()
    }

    /// Records that a router contacted the agent.
    pub fn record_router_contact(&mut self, now: Instant) {
        self.last_router_contact = Some(now);
    }

    /// Records the version that the engine reports as loaded.
    pub fn record_loaded(&mut self, version: Option<&str>) {
        self.loaded = version.map(str::to_owned);
    }

    /// Sets the version that the engine must load; ignored unless the fencing token is higher
    /// than that of the current target.
    ///
    /// `server_count` is the number of backend servers that load the same version. Each delays
    /// its load by a slot derived from the hash of its name, `server`, so that the loads are spread
    /// over the time that the weight store needs for all of them.
    pub fn set_target(
        &mut self,
        version: &str,
        fencing_token: Revision,
        server: &str,
        server_count: u32,
        now: Instant,
    ) {
        if self
            .target
            .as_ref()
            .is_some_and(|target| target.fencing_token >= fencing_token)
        {
            return;
        }
        let is_new = self
            .target
            .as_ref()
            .is_none_or(|target| target.version != version);
        self.target = Some(LoadOrder {
            version: version.to_owned(),
            fencing_token,
        });
        if is_new {
            let slot = stable_hash(server.as_bytes()) % u64::from(server_count.max(1));
            let wait = Duration::from_secs_f64(slot as f64 / self.cfg.loads_per_second);
            self.not_before = Some(now + wait);
        }
    }

    /// Returns the order that must be sent now, if any, and marks it as in progress.
    pub fn next_order(&mut self, now: Instant) -> Option<LoadOrder> {
        let target = self.target.as_ref()?;
        let has_recent_contact = self
            .last_router_contact
            .is_some_and(|at| now.duration_since(at) < self.cfg.max_contact_age);
        let is_due = self.not_before.is_none_or(|at| now >= at);
        let is_loaded = self.loaded.as_deref() == Some(&target.version);
        if self.in_progress || is_loaded || !has_recent_contact || !is_due {
            return None;
        }
        self.in_progress = true;
        Some(target.clone())
    }

    /// Records whether an order succeeded.
    pub fn record_result(&mut self, order: &LoadOrder, is_loaded: bool, now: Instant) {
        self.in_progress = false;
        if is_loaded {
            self.loaded = Some(order.version.clone());
        } else {
            self.not_before = Some(now + self.cfg.retry_wait);
        }
    }
}
