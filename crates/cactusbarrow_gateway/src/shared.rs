//! State that the tasks of one gateway share, each part under its own lock.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{GatewaySettings, KeyValue};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    BackendFleet, BackendKey, FleetConfig, GenerationPace, LossCause, PeerConfig, PeerTable,
    PromptLocationConfig, PromptLocations, RetryCount, RetryLimits, RetryWindow, Revision,
    RouteSet, RouteSetCell, ServiceName, Shutdown, ShutdownConfig, StoreStatus, StoreWatchConfig,
    is_watcher, stable_hash, start_wait,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::peers::{LoadChanged, MAX_ASKERS};
use crate::prompt_search::LastSearch;
use crate::store_sync::StoreLink;

/// Share of the platform's retry budget that the gateways plan with.
const BUDGET_SHARE: f64 = 0.8;

/// Gateways that are assumed before any was heard.
const MIN_GATEWAYS: usize = 4;

/// Age of what nobody has confirmed yet.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// What was read from the store, as it lies there; kept for peers that do not watch it.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    pub(crate) config: Option<KeyValue>,
    pub(crate) servers: BTreeMap<String, KeyValue>,
    /// Store revision of the newest change that was taken.
    changed: u64,
    /// Store revision from which a watch goes on; `None` if all keys have to be read.
    position: Option<u64>,
}

impl Replica {
    /// Returns the revision from which a watch goes on.
    pub(crate) fn watch_after(&self) -> Option<u64> {
        self.position
    }

    /// Records that the store dropped the history since the position.
    pub(crate) fn forget_position(&mut self) {
        self.position = None;
    }

    /// Records that all changes up to a revision were taken.
    pub(crate) fn advance(&mut self, revision: u64, has_changes: bool) {
        self.position = Some(self.position.unwrap_or(0).max(revision));
        if has_changes {
            self.changed = self.changed.max(revision);
        }
    }
}

/// What all tasks of a gateway share.
pub(crate) struct Shared<C> {
    pub(crate) settings: GatewaySettings,
    started: Instant,
    pub(crate) clock: C,
    routes: Mutex<RouteSetCell>,
    routes_version: watch::Sender<Revision>,
    fleet: Mutex<BackendFleet>,
    lost: Mutex<HashMap<BackendKey, CancellationToken>>,
    gone: Mutex<HashMap<BackendKey, CancellationToken>>,
    retries: Mutex<HashMap<ServiceName, RetryWindow>>,
    rng: Mutex<StdRng>,
    replica: Mutex<Replica>,
    peers: Mutex<PeerTable>,
    load_changed: LoadChanged,
    /// Places for peers that are told this gateway's knowledge.
    askers: Arc<Semaphore>,
    link: Mutex<StoreLink>,
    shutdown: Mutex<Shutdown>,
    pace: Mutex<GenerationPace>,
    prompts: Mutex<PromptLocations>,
    last_search: LastSearch,
    /// Set once the list of backend servers was read.
    has_backends: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic elsewhere leaves plain data that is still consistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address as IPv4; hosts have no others.
fn ipv4(ip: IpAddr) -> Option<Ipv4Addr> {
    match ip {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(ip) => ip.to_ipv4_mapped(),
    }
}

impl<C: Clock> Shared<C> {
    pub(crate) fn new(settings: GatewaySettings, clock: C) -> Arc<Self> {
        let seeds: Vec<Ipv4Addr> = settings.seeds.iter().copied().filter_map(ipv4).collect();
        let own = ipv4(settings.ip).unwrap_or(Ipv4Addr::UNSPECIFIED);
        let peers = PeerTable::new(PeerConfig::default(), own, &seeds);
        let shutdown = Shutdown::new(ShutdownConfig::default(), settings.grace);
        Arc::new(Self {
            settings,
            started: clock.now(),
            replica: Mutex::default(),
            peers: Mutex::new(peers),
            load_changed: LoadChanged::default(),
            askers: Arc::new(Semaphore::new(MAX_ASKERS)),
            link: Mutex::default(),
            clock,
            routes: Mutex::default(),
            routes_version: watch::Sender::new(Revision(0)),
            fleet: Mutex::new(BackendFleet::new(FleetConfig::default())),
            lost: Mutex::default(),
            gone: Mutex::default(),
            retries: Mutex::default(),
            rng: Mutex::new(StdRng::from_rng(&mut rand::rng())),
            shutdown: Mutex::new(shutdown),
            pace: Mutex::default(),
            last_search: LastSearch::default(),
            prompts: Mutex::new(PromptLocations::new(PromptLocationConfig::default())),
            has_backends: AtomicBool::new(false),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub(crate) fn routes(&self) -> Option<Arc<RouteSet>> {
        lock(&self.routes).current().cloned()
    }

    /// Returns the configuration in force; shortly after the start it waits for the first.
    pub(crate) async fn first_routes(&self, patience: Duration) -> Option<Arc<RouteSet>> {
        if let Some(routes) = self.routes() {
            return Some(routes);
        }
        let is_store_ok = self.link().is_ok();
        let wait = start_wait(self.elapsed_since(self.started), patience, is_store_ok);
        let mut versions = self.routes_version();
        let first = versions.wait_for(|version| *version > Revision(0));
        // Whether one came shows below.
        drop(tokio::time::timeout(wait, first).await);
        self.routes()
    }

    /// Takes a configuration if it is newer than the one in force.
    pub(crate) fn offer_routes(&self, set: RouteSet) -> bool {
        let version = set.version;
        let is_taken = lock(&self.routes).replace_if_newer(set);
        if is_taken {
            self.routes_version.send_replace(version);
        }
        is_taken
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub(crate) fn version(&self) -> Revision {
        lock(&self.routes).version()
    }

    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }

    /// Returns the size of the configuration in force as it lies in the store.
    pub(crate) fn config_bytes(&self) -> usize {
        let replica = lock(&self.replica);
        replica.config.as_ref().map_or(0, |item| item.value.len())
    }

    /// Returns the store revision of the list of backend servers.
    pub(crate) fn servers_revision(&self) -> u64 {
        lock(&self.replica).changed
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    pub(crate) fn shutdown(&self) -> MutexGuard<'_, Shutdown> {
        lock(&self.shutdown)
    }

    pub(crate) fn pace(&self) -> MutexGuard<'_, GenerationPace> {
        lock(&self.pace)
    }

    pub(crate) fn prompts(&self) -> MutexGuard<'_, PromptLocations> {
        lock(&self.prompts)
    }

    pub(crate) fn last_search(&self) -> &LastSearch {
        &self.last_search
    }

    pub(crate) fn askers(&self) -> &Arc<Semaphore> {
        &self.askers
    }

    pub(crate) fn load_changed(&self) -> &LoadChanged {
        &self.load_changed
    }

    /// Records that the list of backend servers was read.
    pub(crate) fn record_backends_read(&self) {
        self.has_backends.store(true, Ordering::Relaxed);
    }

    pub(crate) fn link(&self) -> MutexGuard<'_, StoreLink> {
        lock(&self.link)
    }

    /// Returns whether this gateway is one of those that watch the store.
    pub(crate) fn is_watcher(&self, now: Instant) -> bool {
        let peers: Vec<StoreStatus> = self.peers().store_statuses(now).collect();
        is_watcher(&StoreWatchConfig::default(), &self.standing(now), &peers)
    }

    /// Returns how this gateway stands to the store.
    pub(crate) fn standing(&self, now: Instant) -> StoreStatus {
        let (is_store_ok, confirmed) = {
            let link = self.link();
            (link.is_ok(), link.confirmed())
        };
        let own_age = confirmed.map_or(UNKNOWN_AGE, |at| now.saturating_duration_since(at));
        // A peer's word counts if this gateway knows as much as the peer.
        let learned = self.peers().min_age(self.servers_revision(), now);
        StoreStatus {
            ip: ipv4(self.settings.ip).unwrap_or(Ipv4Addr::UNSPECIFIED),
            is_store_ok,
            age: own_age.min(learned.unwrap_or(UNKNOWN_AGE)),
        }
    }

    pub(crate) fn routes_version(&self) -> watch::Receiver<Revision> {
        self.routes_version.subscribe()
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, BackendFleet> {
        lock(&self.fleet)
    }

    pub(crate) fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// Returns whether the gateway can serve: it knows routes and backend servers and is open.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown().has_begun()
            && self.has_backends.load(Ordering::Relaxed)
            && lock(&self.routes).current().is_some()
    }

    /// Returns the token that is cancelled when a backend server is taken for lost.
    pub(crate) fn lost_token(&self, key: BackendKey) -> CancellationToken {
        lock(&self.lost).entry(key).or_default().clone()
    }

    /// Returns the token that is cancelled when copies kept by an engine are not to be
    /// relied on any more.
    pub(crate) fn gone_token(&self, key: BackendKey) -> CancellationToken {
        lock(&self.gone).entry(key).or_default().clone()
    }

    /// Tells those that rely on copies of the engines that were lost or leave.
    pub(crate) fn announce_gone(&self) {
        let keys = self.fleet().take_unreliable();
        if keys.is_empty() {
            return;
        }
        {
            let mut tokens = lock(&self.gone);
            for token in keys.iter().filter_map(|key| tokens.remove(key)) {
                token.cancel();
            }
        }
        // Instances come and go for as long as the process lives.
        let fleet = self.fleet();
        lock(&self.lost).retain(|key, _| fleet.get(*key).is_some());
    }

    /// Returns the memory of one engine of a service, in tokens; 0 if not stated.
    pub(crate) fn kv_capacity(&self, service: &ServiceName) -> u64 {
        let routes = self.routes();
        let spec = routes.as_ref().and_then(|set| set.services.get(service));
        spec.map_or(0, |spec| spec.kv_capacity)
    }

    /// Takes a backend server for lost, so that all its work goes on elsewhere.
    pub(crate) fn record_loss(&self, key: BackendKey, cause: LossCause, step: &'static str) {
        let is_new = self.fleet().record_loss(key, cause, self.now());
        if is_new {
            self.announce_loss(key, cause, step);
        }
    }

    /// Logs the loss of a backend server and interrupts its work.
    pub(crate) fn announce_loss(&self, key: BackendKey, cause: LossCause, step: &'static str) {
        {
            let fleet = self.fleet();
            if let Some(backend) = fleet.get(key) {
                log::warn!(
                    instance = &*backend.entry.instance,
                    peer:% = backend.entry.address,
                    zone = &*backend.entry.zone,
                    reason = cause.reason().as_str(),
                    step = step;
                    "backend server lost"
                );
            }
        }
        metrics::counter!("gateway_backend_losses_total", "reason" => cause.reason().as_str())
            .increment(1);
        self.announce_gone();
        // A failed connection does not end the streams that the engine still sends.
        if matches!(cause, LossCause::Silent | LossCause::Replaced)
            && let Some(token) = lock(&self.lost).remove(&key)
        {
            token.cancel();
        }
    }

    /// Records a sign of life.
    pub(crate) fn record_heard(&self, key: BackendKey) {
        let mut fleet = self.fleet();
        if fleet.record_alive(key, self.clock.now())
            && let Some(backend) = fleet.get(key)
        {
            log::info!(
                instance = &*backend.entry.instance,
                peer:% = backend.entry.address;
                "backend server is back"
            );
        }
    }

    /// Records the first attempt of a request for a service.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let (limits, now) = (self.retry_limits(), self.now());
        let mut windows = lock(&self.retries);
        let window = windows.entry(service.clone()).or_default();
        window.record_request(&limits, now);
    }

    /// Takes one retry from the budget that all gateways share for a service.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let (limits, now) = (self.retry_limits(), self.now());
        let peers = self.peers().retries(stable_hash(service.as_bytes()), now);
        let is_taken = {
            let mut windows = lock(&self.retries);
            let window = windows.entry(service.clone()).or_default();
            window.try_retry(&limits, peers, now)
        };
        if is_taken {
            self.load_changed.notify();
        }
        is_taken
    }

    /// Returns what was counted for each service, by the hash of its name.
    pub(crate) fn retry_counts(&self, now: Instant) -> impl Iterator<Item = (u64, RetryCount)> {
        let limits = self.retry_limits();
        let mut windows = lock(&self.retries);
        let counts: Vec<(u64, RetryCount)> = windows
            .iter_mut()
            .map(|(service, window)| (stable_hash(service.as_bytes()), window.count(&limits, now)))
            .collect();
        counts.into_iter()
    }

    fn retry_limits(&self) -> RetryLimits {
        let settings = &self.settings;
        // Gateways that are not heard use the budget, too.
        let heard = self.peers().live_peers(self.now()).count() + 1;
        let share = (heard as f64 / MIN_GATEWAYS as f64).min(1.0) * BUDGET_SHARE;
        RetryLimits {
            window: settings.retry_window,
            ratio: settings.retry_ratio * BUDGET_SHARE,
            slack: settings.retry_slack * share,
        }
    }

    pub(crate) fn elapsed_since(&self, at: Instant) -> Duration {
        self.now().saturating_duration_since(at)
    }
}
