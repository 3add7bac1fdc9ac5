//! Small cluster on loopback: real routers and agents, with stand-ins for external systems.

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_agent::{AgentConfig, AgentHandle, BackendKind};
use cactusbarrow_document::{
    BackendServer, Customer, ModelVersion, Object, Preference, Protocol, RouteRule, Service,
    VersionWeight, WEIGHT_TOTAL, hash_api_key,
};
use cactusbarrow_net::SystemClock;
use cactusbarrow_platform::{CommitRequest, ConsulStore, Edit, commit};
use cactusbarrow_policy::Revision;
use cactusbarrow_router::{Peer, RouterConfig, RouterHandle};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::consul_server::ConsulServer;
use crate::emulated_process::EmulatedProcess;
use crate::engine::{Engine, EngineConfig};
use crate::ledger::Ledger;
use crate::plain_service::{CallLedger, PlainService, PlainServiceConfig};

const MAX_BIND_ATTEMPTS: usize = 100;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const SERVICE_SLOTS: u32 = 64;
const MODEL: &str = "captions";
const VERSION: &str = "captions-v1";
const ENGINE_SERVICE: &str = "captions";
const PLAIN_SERVICE: &str = "bookings";

/// Returns the API key of the customer with this number.
pub fn api_key(customer: usize) -> String {
    format!("secret-of-customer-{customer}")
}

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines, each with an agent.
    pub engines: usize,
    /// Number of plain services, each with an agent.
    pub services: usize,
    /// Number of availability zones, over which routers and backend servers are spread in turn.
    pub zones: usize,
    /// Number of customers.
    pub customers: usize,
    /// What the model service optimizes for when an engine is suspected to have failed.
    pub favor: Preference,
    /// Configuration common to all engines.
    pub engine: EngineConfig,
    /// Time that a plain service takes for a call.
    pub service_delay: Duration,
    /// Derives the configuration of engine number `i` from the common one.
    pub customize_engine: fn(usize, &EngineConfig) -> EngineConfig,
    /// Configuration common to all routers; the cluster sets name, zone and addresses.
    pub router: RouterConfig,
    /// Configuration common to all agents; the cluster sets name, addresses and kind.
    pub agent: AgentConfig,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 3,
            services: 0,
            zones: 2,
            customers: 1,
            favor: Preference::Latency,
            engine: EngineConfig::new(VERSION),
            service_delay: Duration::from_millis(5),
            customize_engine: |_, cfg| cfg.clone(),
            router: RouterConfig {
                polls_per_second: 20.0,
                gossip_interval: Duration::from_millis(300),
                ..RouterConfig::new("", "", any_addr(), any_addr())
            },
            agent: AgentConfig::new("", any_addr(), any_addr(), any_addr(), BackendKind::Engine),
        }
    }
}

/// Stand-in for a backend server, with its agent.
#[derive(Debug)]
pub struct BackendWithAgent<T> {
    /// Name of the backend server.
    pub name: String,
    /// Stand-in for the backend server itself.
    pub backend: T,
    /// Emulated process of the agent.
    pub agent: EmulatedProcess,
    /// Cancelled to stop the agent gracefully.
    pub shutdown: CancellationToken,
    /// Configuration revision that the agent has adopted.
    pub revisions: watch::Receiver<Revision>,
    /// Configuration object that describes the backend server.
    pub object: BackendServer,
}

/// A router in an emulated process of its own.
#[derive(Debug)]
pub struct RouterProcess {
    /// Configuration that the router was started with.
    pub cfg: RouterConfig,
    /// Emulated process of the router.
    pub process: EmulatedProcess,
    /// Handle of the running router.
    pub handle: RouterHandle,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Configuration of the cluster.
    pub cfg: ClusterConfig,
    /// Stand-in for the platform's store.
    pub store: ConsulServer,
    /// Record of the tokens that engines produced.
    pub ledger: Ledger,
    /// Record of the calls that plain services ran.
    pub calls: CallLedger,
    /// Model engines with their agents.
    pub engines: Vec<BackendWithAgent<Engine>>,
    /// Plain services with their agents.
    pub services: Vec<BackendWithAgent<PlainService>>,
    /// Running routers.
    pub routers: Vec<RouterProcess>,
}

impl Cluster {
    /// Starts a cluster and waits until it is ready to serve its configuration.
    pub async fn start(cfg: ClusterConfig) -> Self {
        let store = ConsulServer::start(any_addr()).await;
        let mut cluster = Self {
            cfg,
            store,
            ledger: Ledger::default(),
            calls: CallLedger::default(),
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
        };
        for i in 0..cluster.cfg.engines {
            let server = cluster.start_engine(i).await;
            cluster.engines.push(server);
        }
        for i in 0..cluster.cfg.services {
            let server = cluster.start_service(i).await;
            cluster.services.push(server);
        }
        let revision = cluster.commit_all().await;
        for i in 0..cluster.cfg.routers {
            let router = cluster.start_router(i, None).await;
            cluster.routers.push(router);
        }
        cluster.wait_ready(revision).await;
        cluster
    }

    /// Returns a client of the store.
    pub fn store_client(&self) -> ConsulStore {
        ConsulStore::new(self.store.addr)
    }

    /// Returns the addresses at which the routers accept callers.
    pub fn router_addrs(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|r| r.handle.listen).collect()
    }

    /// Returns the body of a completions request.
    pub fn completion_body(prompt: &str, seed: u64, max_tokens: usize) -> String {
        serde_json::json!({
            "model": MODEL,
            "prompt": prompt,
            "seed": seed,
            "max_tokens": max_tokens,
            "stream": true,
        })
        .to_string()
    }

    /// Starts engine number `i` and its agent at free addresses.
    pub async fn start_engine(&self, i: usize) -> BackendWithAgent<Engine> {
        let engine = (self.cfg.customize_engine)(i, &self.cfg.engine);
        let slots = engine.slots as u32;
        let backend = Engine::start(engine, self.ledger.clone(), i as u64 + 1).await;
        let name = format!("engine-{i}");
        let addr = backend.addr;
        self.start_with_agent(i, name, backend, addr, Some(slots))
            .await
    }

    /// Starts router number `i`; `control` fixes its control address.
    pub async fn start_router(&self, i: usize, control: Option<SocketAddr>) -> RouterProcess {
        let cfg = RouterConfig {
            name: format!("router-{i}"),
            zone: self.zone(i),
            control: control.unwrap_or(any_addr()),
            seeds: self.routers.iter().map(RouterProcess::peer).collect(),
            ..self.cfg.router.clone()
        };
        self.start_router_with(cfg).await
    }

    /// Starts a router and registers it in the platform's catalog.
    pub async fn start_router_with(&self, cfg: RouterConfig) -> RouterProcess {
        let store = self.store_client();
        let router_cfg = cfg.clone();
        let (process, handle) = EmulatedProcess::start(async move {
            cactusbarrow_router::start(router_cfg, store, SystemClock, CancellationToken::new())
                .await
        })
        .await;
        let handle = handle.expect("the router starts");
        let control = handle.control.to_string();
        self.store.set_node(
            &cfg.name,
            &[
                ("cactusbarrow-role", "router"),
                ("zone", &cfg.zone),
                ("control-address", &control),
            ],
        );
        RouterProcess {
            cfg,
            process,
            handle,
        }
    }

    /// Restarts the agent of a backend server at its previous addresses.
    pub async fn restart_agent(
        &self,
        object: &BackendServer,
        backend: SocketAddr,
    ) -> EmulatedProcess {
        let cfg = AgentConfig {
            name: object.name.clone(),
            listen: object.agent_address,
            control: object.control_address,
            backend,
            kind: backend_kind(object.model_version.is_some()),
            ..self.cfg.agent.clone()
        };
        let (process, _) = start_agent(cfg, CancellationToken::new()).await;
        process
    }

    /// Commits edits as one operation, based on the current revision; panics if they are refused.
    pub async fn commit(&self, operation: &str, edits: Vec<Edit>) -> Revision {
        let req = CommitRequest {
            operation: operation.to_owned(),
            base: Revision(0),
            edits,
        };
        self.commit_request(req).await
    }

    /// Commits a request; panics if it is refused.
    ///
    /// A base revision of 0 stands for the current one.
    pub async fn commit_request(&self, mut req: CommitRequest) -> Revision {
        let store = self.store_client();
        if req.base == Revision(0) {
            let configuration = cactusbarrow_platform::load_configuration(&store)
                .await
                .expect("the configuration is readable");
            req.base = configuration.root.revision();
        }
        commit(&store, &req)
            .await
            .expect("the change is accepted")
            .revision
    }

    /// Waits until all routers have adopted a revision, and leaves the agents time to do so.
    pub async fn wait_ready(&mut self, revision: Revision) {
        for router in &mut self.routers {
            router.handle.wait_for_revision(revision).await;
        }
        // Agents receive revisions from routers at once; the first polls also report their load.
        tokio::time::sleep(Duration::from_millis(600)).await;
    }

    async fn commit_all(&self) -> Revision {
        let mut objects = Vec::new();
        if self.cfg.engines > 0 {
            objects.push(Object::ModelVersion(model_version()));
            objects.push(Object::Service(model_service(self.cfg.favor)));
        }
        if self.cfg.services > 0 {
            objects.push(Object::Service(plain_service()));
        }
        for i in 0..self.cfg.customers {
            objects.push(Object::Customer(customer(i)));
        }
        let servers = self.engines.iter().map(|server| &server.object);
        let servers = servers.chain(self.services.iter().map(|server| &server.object));
        objects.extend(servers.cloned().map(Object::BackendServer));
        let edits = objects.into_iter().map(Edit::Set).collect();
        self.commit("cluster-start", edits).await
    }

    async fn start_service(&self, i: usize) -> BackendWithAgent<PlainService> {
        let cfg = PlainServiceConfig {
            listen: any_addr(),
            delay: self.cfg.service_delay,
        };
        let backend = PlainService::start(cfg, self.calls.clone()).await;
        let name = format!("service-{i}");
        let addr = backend.addr;
        self.start_with_agent(i, name, backend, addr, None).await
    }

    async fn start_with_agent<T>(
        &self,
        i: usize,
        name: String,
        backend: T,
        addr: SocketAddr,
        engine_slots: Option<u32>,
    ) -> BackendWithAgent<T> {
        let is_engine = engine_slots.is_some();
        let cfg = AgentConfig {
            name: name.clone(),
            backend: addr,
            kind: backend_kind(is_engine),
            ..self.cfg.agent.clone()
        };
        let shutdown = CancellationToken::new();
        let (agent, handle) = start_agent(cfg, shutdown.clone()).await;
        let (listen, control) = (handle.listen, handle.control);
        let object = BackendServer {
            name: name.clone(),
            service: if is_engine {
                ENGINE_SERVICE
            } else {
                PLAIN_SERVICE
            }
            .to_owned(),
            zone: self.zone(i),
            agent_address: listen,
            control_address: control,
            model_version: is_engine.then(|| VERSION.to_owned()),
            max_in_flight: engine_slots.unwrap_or(SERVICE_SLOTS),
            checks_fencing: self.cfg.engine.checks_fencing,
            draining: false,
        };
        BackendWithAgent {
            name,
            backend,
            agent,
            shutdown,
            revisions: handle.subscribe_revision(),
            object,
        }
    }

    fn zone(&self, i: usize) -> String {
        format!("zone-{}", i % self.cfg.zones)
    }
}

impl RouterProcess {
    /// Returns the peer entry of the router for the settings of other routers.
    pub fn peer(&self) -> Peer {
        Peer {
            name: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            control: self.handle.control,
        }
    }
}

/// Starts an agent, retrying while the sockets of its predecessor are being closed.
async fn start_agent(
    cfg: AgentConfig,
    shutdown: CancellationToken,
) -> (EmulatedProcess, AgentHandle) {
    for _ in 0..MAX_BIND_ATTEMPTS {
        let (cfg, shutdown) = (cfg.clone(), shutdown.clone());
        let (process, started) = EmulatedProcess::start(async move {
            cactusbarrow_agent::start(cfg, SystemClock, shutdown).await
        })
        .await;
        if let Ok(handle) = started {
            return (process, handle);
        }
        tokio::time::sleep(BIND_RETRY_DELAY).await;
    }
    panic!("agent {} cannot start at its addresses", cfg.name);
}

fn any_addr() -> SocketAddr {
    SocketAddr::from((LOOPBACK, 0))
}

fn backend_kind(is_engine: bool) -> BackendKind {
    if is_engine {
        BackendKind::Engine
    } else {
        BackendKind::Service
    }
}

fn model_version() -> ModelVersion {
    ModelVersion {
        name: VERSION.to_owned(),
        model: MODEL.to_owned(),
        weights: "weights/captions-v1".to_owned(),
        adapters: Vec::new(),
    }
}

fn model_service(favor: Preference) -> Service {
    Service {
        name: ENGINE_SERVICE.to_owned(),
        protocol: Protocol::Completions,
        model: Some(MODEL.to_owned()),
        versions: vec![VersionWeight {
            model_version: VERSION.to_owned(),
            weight: WEIGHT_TOTAL,
        }],
        path_prefix: None,
        routes: Vec::new(),
        favor,
        caller_patience_seconds: 5,
    }
}

fn plain_service() -> Service {
    Service {
        name: PLAIN_SERVICE.to_owned(),
        protocol: Protocol::Http,
        model: None,
        versions: Vec::new(),
        path_prefix: Some("/bookings".to_owned()),
        routes: vec![RouteRule {
            method: "POST".to_owned(),
            path: "/lookup".to_owned(),
            repeatable: true,
        }],
        favor: Preference::Latency,
        caller_patience_seconds: 4,
    }
}

fn customer(i: usize) -> Customer {
    Customer {
        name: format!("customer-{i}"),
        key_sha256: hash_api_key(&api_key(i)),
        max_in_flight: 10_000,
        tokens_per_second: 1_000_000,
        services: Vec::new(),
    }
}
