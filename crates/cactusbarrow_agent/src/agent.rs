//! State shared by the tasks of one agent.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use cactusbarrow_net::{Clock, HttpClient, ProcessMemory};
use cactusbarrow_policy::{
    AdmissionConfig, AdmissionController, BackendHealth, DrainCause, EngineOrders, HealthConfig,
    KeyHash, OrderConfig, Permit, Reason, Revision, Work,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::AgentConfig;
use crate::generation_table::GenerationTable;
use crate::response_cache::ResponseCache;

/// State of one agent, shared by its tasks.
#[derive(Debug)]
pub(crate) struct Agent<C: Clock> {
    pub(crate) cfg: AgentConfig,
    pub(crate) clock: C,
    pub(crate) http: HttpClient,
    /// Memory that connections, requests and the bodies which the agent reads share.
    pub(crate) process_memory: ProcessMemory,
    pub(crate) generations: GenerationTable,
    pub(crate) responses: ResponseCache,
    pub(crate) engine_orders: Mutex<EngineOrders>,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
    pub(crate) revisions: watch::Sender<Revision>,
    admission: Mutex<AdmissionController>,
    drain_started_at: watch::Sender<Option<Instant>>,
    health: Mutex<BackendHealth>,
    host_list_index: AtomicU64,
    /// Admitted calls that have not ended, by number.
    calls: Mutex<HashMap<u64, CallId>>,
    call_count: AtomicU64,
}

/// Identity of a call, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallId {
    Claimed(KeyHash),
    /// A repeatable call, whose key agents do not know, with its path.
    Repeatable(String),
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Claimed(key) => write!(f, "{key}"),
            Self::Repeatable(path) => write!(f, "{path}"),
        }
    }
}

impl<C: Clock> Agent<C> {
    /// Creates the state without starting any task.
    pub(crate) fn new(cfg: AgentConfig, clock: C, stop: CancellationToken) -> Self {
        let process_memory = ProcessMemory::new(cfg.body_memory_bytes);
        Self {
            admission: Mutex::new(AdmissionController::new(
                AdmissionConfig::default(),
                cfg.initial_max_in_flight,
            )),
            responses: ResponseCache::new(cfg.response_cache_bytes, cfg.response_retention),
            generations: GenerationTable::default(),
            engine_orders: Mutex::new(EngineOrders::new(OrderConfig::default())),
            // Backend servers do not name the request in their responses.
            http: HttpClient::with_connection_per_request().with_memory(process_memory.clone()),
            process_memory,
            drain_started_at: watch::Sender::new(None),
            health: Mutex::new(BackendHealth::new(HealthConfig::default())),
            host_list_index: AtomicU64::new(0),
            calls: Mutex::default(),
            call_count: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            revisions: watch::Sender::new(Revision::default()),
            cfg,
            clock,
            stop,
        }
    }

    /// Admits work if the backend server is alive and admission control allows it; counts refusals.
    pub(crate) fn admit(self: &Arc<Self>, work: &Work<'_>) -> Result<AgentPermit<C>, Reason> {
        let admitted = if self.is_backend_alive() {
            self.admission().admit(work, self.clock.now())
        } else {
            Err(Reason::EngineDown)
        };
        match admitted {
            Ok(permit) => Ok(AgentPermit {
                agent: self.clone(),
                permit: Some(permit),
                call: None,
            }),
            Err(reason) => {
                let label = reason.as_str();
                metrics::counter!("cactusbarrow_agent_refusals_total", "reason" => label)
                    .increment(1);
                Err(reason)
            }
        }
    }

    /// Admits a call, as [`Agent::admit`] does, and records it until it ends.
    pub(crate) fn admit_call(
        self: &Arc<Self>,
        work: &Work<'_>,
        id: CallId,
    ) -> Result<AgentPermit<C>, Reason> {
        let mut permit = self.admit(work)?;
        let number = self.call_count.fetch_add(1, Ordering::Relaxed);
        self.calls().insert(number, id);
        permit.call = Some(number);
        Ok(permit)
    }

    /// Sets or clears a cause of draining and updates the start time of the drain.
    ///
    /// Generations are asked to move elsewhere `move_after` after that time.
    pub(crate) fn set_draining(&self, cause: DrainCause, draining: bool) {
        self.admission().set_draining(cause, draining);
        self.update_drain_start();
    }

    /// Records the index of a version of the platform's host list; returns true if it is the
    /// newest so far.
    pub(crate) fn record_host_list_index(&self, index: u64) -> bool {
        self.host_list_index.fetch_max(index, Ordering::Relaxed) < index
    }

    /// Sets or clears the start time of the drain to match the state of admission control.
    pub(crate) fn update_drain_start(&self) {
        let is_draining = self.admission().is_draining();
        let now = self.clock.now();
        self.drain_started_at.send_if_modified(|started_at| {
            let next = is_draining.then(|| started_at.unwrap_or(now));
            let is_changed = *started_at != next;
            *started_at = next;
            is_changed
        });
    }

    /// Returns a receiver of the start time of the current drain.
    pub(crate) fn watch_drain_start(&self) -> watch::Receiver<Option<Instant>> {
        self.drain_started_at.subscribe()
    }

    /// Locks the table of admitted calls that have not ended.
    pub(crate) fn calls(&self) -> MutexGuard<'_, HashMap<u64, CallId>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the admission controller.
    pub(crate) fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the orders to the engine.
    pub(crate) fn engine_orders(&self) -> MutexGuard<'_, EngineOrders> {
        self.engine_orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the backend server is considered alive.
    pub(crate) fn is_backend_alive(&self) -> bool {
        let now = self.clock.now();
        self.health().is_alive(now)
    }

    /// Locks the health of the backend server.
    pub(crate) fn health(&self) -> MutexGuard<'_, BackendHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot at the backend server; released when dropped.
#[derive(Debug)]
pub(crate) struct AgentPermit<C: Clock> {
    agent: Arc<Agent<C>>,
    permit: Option<Permit>,
    /// Number of the call that it was given to, if any.
    call: Option<u64>,
}

impl<C: Clock> Drop for AgentPermit<C> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.agent.admission().release(permit);
        }
        if let Some(number) = self.call {
            self.agent.calls().remove(&number);
        }
    }
}
