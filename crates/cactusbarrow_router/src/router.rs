//! State shared by the tasks of one router.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use cactusbarrow_document::Preference;
use cactusbarrow_net::{Clock, ControlClient, HttpClient, HttpVersion, ProcessMemory};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{
    BalancingRequest, Candidate, CustomerLimiter, GenerationConfig, LoadTable, Reason, RetryBudget,
    Revision, Shutdown, ShutdownConfig,
};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::claim_shards::ClaimShards;
use crate::config::{Peer, RouterConfig};
use crate::config_state::ConfigState;
use crate::directory::Directory;
use crate::hosts::LeavingServers;
use crate::members::{MemberServer, Members};
use crate::peers::Peers;
use crate::service_queues::ServiceQueues;

/// Number of shards of the customers' usage; each has a lock of its own.
const CUSTOMER_SHARDS: usize = 16;
/// Largest number of unused retries that a service's budget may accumulate.
const MAX_SAVED_RETRIES: f64 = 50.0;

/// State of one router, shared by its tasks.
#[derive(Debug)]
pub(crate) struct Router<S, C> {
    pub(crate) cfg: RouterConfig,
    pub(crate) store: S,
    pub(crate) clock: C,
    pub(crate) agent_client: HttpClient,
    pub(crate) control: ControlClient,
    pub(crate) config: ConfigState,
    /// Memory that connections, requests and the bodies which the router reads share.
    pub(crate) process_memory: ProcessMemory,
    /// Places for requests whose bodies have arrived, until the heads of their responses are sent.
    pub(crate) in_flight: Semaphore,
    pub(crate) peers: Peers,
    pub(crate) directory: Directory,
    pub(crate) claims: ClaimShards,
    pub(crate) leaving: LeavingServers,
    pub(crate) queues: ServiceQueues,
    pub(crate) stop: CancellationToken,
    /// Cancelled when the shutdown begins.
    pub(crate) stopping: CancellationToken,
    pub(crate) abort_streams: CancellationToken,
    pub(crate) tasks: TaskTracker,
    members: RwLock<Arc<Members>>,
    load: Mutex<LoadTable>,
    customers: Vec<Mutex<CustomerLimiter>>,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    agent_revisions: Mutex<HashMap<String, Revision>>,
    shutdown: Mutex<Shutdown>,
}

impl<S: Store + HostList, C: Clock> Router<S, C> {
    /// Creates the state; starts no task.
    pub(crate) fn new(
        cfg: RouterConfig,
        own: Peer,
        store: S,
        clock: C,
        stop: CancellationToken,
    ) -> Self {
        let process_memory = ProcessMemory::new(cfg.body_memory_bytes);
        Self {
            agent_client: HttpClient::new(HttpVersion::Http2).with_memory(process_memory.clone()),
            process_memory,
            in_flight: Semaphore::new(cfg.max_in_flight.min(Semaphore::MAX_PERMITS)),
            control: ControlClient::new(),
            config: ConfigState::new(),
            peers: Peers::new(own, &cfg.seeds),
            directory: Directory::default(),
            claims: ClaimShards::new(cfg.claims),
            leaving: LeavingServers::default(),
            queues: ServiceQueues::new(cfg.queue_order),
            stopping: CancellationToken::new(),
            abort_streams: stop.child_token(),
            tasks: TaskTracker::new(),
            members: RwLock::default(),
            load: Mutex::new(LoadTable::new()),
            customers: (0..CUSTOMER_SHARDS).map(|_| Mutex::default()).collect(),
            budgets: Mutex::default(),
            agent_revisions: Mutex::default(),
            shutdown: Mutex::new(Shutdown::new(ShutdownConfig::default(), cfg.drain_timeout)),
            cfg,
            store,
            clock,
            stop,
        }
    }

    /// Returns the current subset of backend servers.
    pub(crate) fn members(&self) -> Arc<Members> {
        self.members
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Selects the subset again, and drops the records of servers that left it.
    pub(crate) fn select_members(&self) {
        let fleet = self.config.fleet();
        let members = Members::select(&fleet, &self.peers, &self.cfg.subset);
        let names: std::collections::HashSet<&str> = members.all().map(|m| m.name()).collect();
        self.load().retain(|name| names.contains(name));
        self.agent_revisions()
            .retain(|name, _| names.contains(name.as_str()));
        drop(names);
        *self.members.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(members);
    }

    /// Updates the members of the subset from the current configuration.
    pub(crate) fn refresh_members(&self) {
        let refreshed = self.members().refreshed(&self.config.fleet());
        *self.members.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(refreshed);
    }

    /// Chooses a backend server for a request of a service; `None` if none is available.
    ///
    /// `version` limits the choice to one model version; servers in `excluded` are not chosen.
    pub(crate) fn choose(
        &self,
        service: &str,
        version: Option<&str>,
        req: BalancingRequest<'_>,
        excluded: &[String],
    ) -> Option<Arc<MemberServer>> {
        let members = self.members();
        let eligible: Vec<&Arc<MemberServer>> = members
            .of_service(service)
            .iter()
            .filter(|m| !m.server.draining && !excluded.iter().any(|e| e == m.name()))
            .filter(|m| version.is_none() || m.server.model_version.as_deref() == version)
            .collect();
        let candidates: Vec<Candidate<'_>> = eligible
            .iter()
            .map(|m| Candidate {
                name: m.name(),
                is_same_zone: m.is_same_zone,
                limit: m.server.max_in_flight as usize,
            })
            .collect();
        let now = self.clock.now();
        let choice =
            self.load()
                .choose(&self.cfg.balancing, &candidates, req, now, &mut rand::rng())?;
        Some(eligible[choice].clone())
    }

    /// Locks the state of the shutdown.
    pub(crate) fn shutdown(&self) -> MutexGuard<'_, Shutdown> {
        self.shutdown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the load table.
    pub(crate) fn load(&self) -> MutexGuard<'_, LoadTable> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the shard that holds the usage of a customer.
    pub(crate) fn customers(&self, customer: &str) -> MutexGuard<'_, CustomerLimiter> {
        let hash = cactusbarrow_policy::stable_hash(customer.as_bytes());
        let shard = &self.customers[hash as usize % CUSTOMER_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the revision of its configuration that an agent last reported; 0 if unknown.
    pub(crate) fn agent_revision(&self, name: &str) -> Revision {
        self.agent_revisions()
            .get(name)
            .copied()
            .unwrap_or_default()
    }

    /// Records the revision of its configuration that an agent reported.
    pub(crate) fn set_agent_revision(&self, name: &str, revision: Revision) {
        self.agent_revisions().insert(name.to_owned(), revision);
    }

    fn agent_revisions(&self) -> MutexGuard<'_, HashMap<String, Revision>> {
        self.agent_revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings for generations of a service.
    pub(crate) fn generation_config(&self, service: &str) -> GenerationConfig {
        let fleet = self.config.fleet();
        let Some(service) = fleet.service(service) else {
            return self.cfg.latency_generation;
        };
        let cfg = match service.favor {
            Preference::Latency => self.cfg.latency_generation,
            Preference::Resources => self.cfg.resources_generation,
        };
        GenerationConfig {
            first_progress_timeout: Duration::from_secs(u64::from(service.caller_patience_seconds)),
            ..cfg
        }
    }

    /// Credits a request to the service's retry budget.
    pub(crate) fn record_request(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::record_request);
    }

    /// Takes a retry from the service's budget; returns false if the budget is used up.
    ///
    /// The retry is counted by its reason, or as `RetryBudget` if it is not allowed.
    pub(crate) fn try_retry(&self, service: &str, reason: Reason) -> bool {
        let is_allowed = self.with_retry_budget(service, RetryBudget::try_retry);
        let reason = if is_allowed {
            reason
        } else {
            Reason::RetryBudget
        };
        metrics::counter!("cactusbarrow_retries_total", "reason" => reason.as_str()).increment(1);
        is_allowed
    }

    fn with_retry_budget<T>(&self, service: &str, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(self.cfg.retries_per_request, MAX_SAVED_RETRIES));
        f(budget)
    }
}
