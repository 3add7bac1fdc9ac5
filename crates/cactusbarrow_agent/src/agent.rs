//! State shared by the tasks of one agent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use cactusbarrow_net::{Clock, HttpClient, HttpVersion};
use cactusbarrow_policy::{
    AdmissionConfig, AdmissionController, BackendHealth, DrainCause, EngineOrders, HealthConfig,
    OrderConfig, Permit, Reason, Revision, Work,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::AgentConfig;
use crate::generation_table::GenerationTable;
use crate::response_cache::ResponseCache;

/// State of one agent.
#[derive(Debug)]
pub(crate) struct Agent<C: Clock> {
    pub(crate) cfg: AgentConfig,
    pub(crate) clock: C,
    pub(crate) http: HttpClient,
    pub(crate) records: GenerationTable,
    pub(crate) answers: ResponseCache,
    pub(crate) orders: Mutex<EngineOrders>,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
    pub(crate) revisions: watch::Sender<Revision>,
    gate: Mutex<AdmissionController>,
    drain_since: watch::Sender<Option<Instant>>,
    health: Mutex<BackendHealth>,
    host_list_index: AtomicU64,
}

impl<C: Clock> Agent<C> {
    /// Creates the state; nothing runs yet.
    pub(crate) fn new(cfg: AgentConfig, clock: C, stop: CancellationToken) -> Self {
        Self {
            gate: Mutex::new(AdmissionController::new(
                AdmissionConfig::default(),
                cfg.initial_max_in_flight,
            )),
            answers: ResponseCache::new(cfg.response_cache_bytes, cfg.response_retention),
            records: GenerationTable::default(),
            orders: Mutex::new(EngineOrders::new(OrderConfig::default())),
            http: HttpClient::new(HttpVersion::Http1),
            drain_since: watch::Sender::new(None),
            health: Mutex::new(BackendHealth::new(HealthConfig::default())),
            host_list_index: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            revisions: watch::Sender::new(Revision::default()),
            cfg,
            clock,
            stop,
        }
    }

    /// Asks the gate whether work may start; counts each refusal.
    pub(crate) fn admit(self: &Arc<Self>, work: &Work<'_>) -> Result<AgentPermit<C>, Reason> {
        let admitted = if self.is_engine_alive() {
            self.gate().admit(work, self.clock.now())
        } else {
            Err(Reason::EngineDown)
        };
        match admitted {
            Ok(permit) => Ok(AgentPermit {
                agent: self.clone(),
                permit: Some(permit),
            }),
            Err(reason) => {
                let label = reason.as_str();
                metrics::counter!("cactusbarrow_agent_refusals_total", "reason" => label)
                    .increment(1);
                Err(reason)
            }
        }
    }

    /// Sets or clears a cause of draining, and starts or stops the moving of generations.
    pub(crate) fn set_draining(&self, cause: DrainCause, draining: bool) {
        self.gate().set_draining(cause, draining);
        self.note_drain();
    }

    /// Returns true if the platform's list at `index` is newer than any this agent heard of.
    pub(crate) fn adopt_host_list(&self, index: u64) -> bool {
        self.host_list_index.fetch_max(index, Ordering::Relaxed) < index
    }

    /// Brings the start of the drain in line with the gate.
    pub(crate) fn note_drain(&self) {
        let is_draining = self.gate().is_draining();
        let now = self.clock.now();
        self.drain_since.send_if_modified(|since| {
            let next = is_draining.then(|| since.unwrap_or(now));
            let is_changed = *since != next;
            *since = next;
            is_changed
        });
    }

    /// Returns a view of when the current drain started.
    pub(crate) fn drain_since(&self) -> watch::Receiver<Option<Instant>> {
        self.drain_since.subscribe()
    }

    /// Locks the gate.
    pub(crate) fn gate(&self) -> MutexGuard<'_, AdmissionController> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the orders.
    pub(crate) fn orders(&self) -> MutexGuard<'_, EngineOrders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the backend server is taken for alive.
    pub(crate) fn is_engine_alive(&self) -> bool {
        let now = self.clock.now();
        self.health().is_alive(now)
    }

    /// Locks the health.
    pub(crate) fn health(&self) -> MutexGuard<'_, BackendHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place at the backend server; given back when dropped.
#[derive(Debug)]
pub(crate) struct AgentPermit<C: Clock> {
    agent: Arc<Agent<C>>,
    permit: Option<Permit>,
}

impl<C: Clock> Drop for AgentPermit<C> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.agent.gate().release(permit);
        }
    }
}
