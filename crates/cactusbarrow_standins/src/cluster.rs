//! A small cluster on loopback: real routers and agents, stand-ins around them.

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
use crate::engine::{Engine, EngineConfig};
use crate::host::Host;
use crate::ledger::Ledger;
use crate::plain_service::{CallLedger, PlainService, PlainServiceConfig};

const MAX_BIND_TRIES: usize = 100;
const BIND_WAIT: Duration = Duration::from_millis(50);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const SERVICE_SLOTS: u32 = 64;
const MODEL: &str = "captions";
const VERSION: &str = "captions-v1";
const ENGINE_SERVICE: &str = "captions";
const PLAIN_SERVICE: &str = "bookings";

/// Returns the API key of a customer of the cluster.
pub fn api_key(customer: usize) -> String {
    format!("secret-of-customer-{customer}")
}

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Routers.
    pub routers: usize,
    /// Model engines, each with its agent.
    pub engines: usize,
    /// Plain services, each with its agent.
    pub services: usize,
    /// Availability zones over which they are spread in turn.
    pub zones: usize,
    /// Customers.
    pub customers: usize,
    /// What the model service prefers.
    pub favor: Preference,
    /// Settings of each engine; the address is set by the cluster.
    pub engine: EngineConfig,
    /// Time that a call of a plain service takes.
    pub service_delay: Duration,
    /// Makes the settings of engine number `i` from those of all.
    pub customize_engine: fn(usize, &EngineConfig) -> EngineConfig,
    /// Settings of each router; name, zone and addresses are set by the cluster.
    pub router: RouterConfig,
    /// Settings of each agent; name, addresses and kind are set by the cluster.
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

/// A backend server with its agent.
#[derive(Debug)]
pub struct BackendWithAgent<T> {
    /// Name of the backend server.
    pub name: String,
    /// The backend server's stand-in.
    pub backend: T,
    /// Host of the agent.
    pub agent: Host,
    /// Cancelled to stop the agent gracefully.
    pub shutdown: CancellationToken,
    /// Learns of each revision that the agent adopts.
    pub revisions: watch::Receiver<Revision>,
    /// What the configuration says of it.
    pub object: BackendServer,
}

/// A router on a host of its own.
#[derive(Debug)]
pub struct RouterProcess {
    /// Its settings.
    pub cfg: RouterConfig,
    /// Its host.
    pub host: Host,
    /// Its handle.
    pub handle: RouterHandle,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// What it is made of.
    pub cfg: ClusterConfig,
    /// The platform's store.
    pub store: ConsulServer,
    /// What engines produced.
    pub ledger: Ledger,
    /// What plain services ran.
    pub calls: CallLedger,
    /// Model engines.
    pub engines: Vec<BackendWithAgent<Engine>>,
    /// Plain services.
    pub services: Vec<BackendWithAgent<PlainService>>,
    /// Routers.
    pub routers: Vec<RouterProcess>,
}

impl Cluster {
    /// Starts a cluster and waits until its configuration is in force.
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
            let site = cluster.start_engine(i).await;
            cluster.engines.push(site);
        }
        for i in 0..cluster.cfg.services {
            let site = cluster.start_service(i).await;
            cluster.services.push(site);
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

    /// Returns the addresses of the routers for callers.
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

    /// Starts engine number `i` with its agent, at free addresses.
    pub async fn start_engine(&self, i: usize) -> BackendWithAgent<Engine> {
        let engine = (self.cfg.customize_engine)(i, &self.cfg.engine);
        let slots = engine.slots as u32;
        let backend = Engine::start(engine, self.ledger.clone(), i as u64 + 1).await;
        let name = format!("engine-{i}");
        let addr = backend.addr;
        self.start_site(i, name, backend, addr, Some(slots)).await
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

    /// Starts a router from its settings, and enters it in the platform's list.
    pub async fn start_router_with(&self, cfg: RouterConfig) -> RouterProcess {
        let store = self.store_client();
        let started = cfg.clone();
        let (host, handle) = Host::start(async move {
            cactusbarrow_router::start(started, store, SystemClock, CancellationToken::new()).await
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
        RouterProcess { cfg, host, handle }
    }

    /// Starts the agent of a site anew, at its old addresses.
    pub async fn restart_agent(&self, object: &BackendServer, backend: SocketAddr) -> Host {
        let cfg = AgentConfig {
            name: object.name.clone(),
            listen: object.agent_address,
            control: object.control_address,
            backend,
            kind: kind_of(object.model_version.is_some()),
            ..self.cfg.agent.clone()
        };
        let (host, _) = start_agent(cfg, CancellationToken::new()).await;
        host
    }

    /// Commits edits as one operation; panics if they are refused.
    pub async fn commit(&self, operation: &str, edits: Vec<Edit>) -> Revision {
        let req = CommitRequest {
            operation: operation.to_owned(),
            base: Revision(0),
            edits,
        };
        self.commit_request(req).await
    }

    /// Commits edits of objects that exist, from the revision in force.
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

    /// Waits until a revision is in force at all routers, and at all agents.
    pub async fn wait_ready(&mut self, revision: Revision) {
        for router in &mut self.routers {
            router.handle.wait_for_revision(revision).await;
        }
        // Agents learn at once from routers; the first polls also report their load.
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
        let servers = self.engines.iter().map(|site| &site.object);
        let servers = servers.chain(self.services.iter().map(|site| &site.object));
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
        self.start_site(i, name, backend, addr, None).await
    }

    async fn start_site<T>(
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
            kind: kind_of(is_engine),
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
            revisions: handle.revisions(),
            object,
        }
    }

    fn zone(&self, i: usize) -> String {
        format!("zone-{}", i % self.cfg.zones)
    }
}

impl RouterProcess {
    /// Returns the router as its peers name it.
    pub fn peer(&self) -> Peer {
        Peer {
            name: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            control: self.handle.control,
        }
    }
}

/// Starts an agent; waits while the sockets of an earlier one are being closed.
async fn start_agent(cfg: AgentConfig, shutdown: CancellationToken) -> (Host, AgentHandle) {
    for _ in 0..MAX_BIND_TRIES {
        let (cfg, shutdown) = (cfg.clone(), shutdown.clone());
        let (host, started) =
            Host::start(async move { cactusbarrow_agent::start(cfg, SystemClock, shutdown).await })
                .await;
        if let Ok(handle) = started {
            return (host, handle);
        }
        tokio::time::sleep(BIND_WAIT).await;
    }
    panic!("agent {} cannot start at its addresses", cfg.name);
}

fn any_addr() -> SocketAddr {
    SocketAddr::from((LOOPBACK, 0))
}

fn kind_of(is_engine: bool) -> BackendKind {
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
