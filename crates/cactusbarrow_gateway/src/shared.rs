//! State that the tasks of one gateway share, each part under its own lock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, UNIX_EPOCH};

use cactusbarrow_adapter::{GatewaySettings, KeyValue, StoreClient};
use cactusbarrow_net::{Clock, ProcessMemory};
use cactusbarrow_policy::{
    BackendFleet, BackendKey, FleetConfig, GenerationPace, KeyAgreement, LossCause, OperatorConfig,
    OperatorConfigCell, OriginConfig, OriginPages, PartQuarantine, PeerConfig, PeerTable,
    PromptLocationConfig, PromptLocations, QuarantineConfig, RetryCount, RetryLimits, RetryWindow,
    Revision, ServedVersion, ServiceId, ServiceName, Shutdown, ShutdownConfig, StoreAvailability,
    StoreEra, StorePosition, StoreStatus, StoreWatchConfig, StreamOrigins, UnstoredOrigins,
    VersionHistory, is_watcher, stable_hash, start_wait,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::origin_exchange::OriginSearches;
use crate::origin_store::PageReads;
use crate::peer_knowledge::{MAX_CONFIG_TRANSFERS, MAX_LIST_TRANSFERS};
use crate::peers::LoadChangeSignal;
use crate::prompt_search::LastSearch;

/// Share of the platform's retry budget that the gateways use.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// Smallest number of gateways among which the retry slack is assumed to be shared; the parts of
/// those that are not known stay unused.
const MIN_ASSUMED_GATEWAYS: usize = 4;

/// Age of data that the store has not confirmed yet, to this gateway or a peer.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(3_600);

/// Number of replaced entries that are remembered: those of the seconds by which a copy of the
/// store is behind.
const MAX_REPLACED_ENTRIES: usize = 1_024;

/// The configuration and the entries of backend servers as stored, for peers that do not watch
/// the store.
#[derive(Debug, Default)]
pub(crate) struct StoreCache {
    pub(crate) config: Option<KeyValue>,
    servers: BTreeMap<String, KeyValue>,
    /// Entries that were replaced or removed, oldest first.
    replaced: VecDeque<KeyValue>,
    /// Store position up to which the list of backend servers is known, from the store or a peer.
    list_position: StorePosition,
    /// Store position up to which the store itself has sent all keys; `None` if they have to be read.
    ///
    /// Peers send some kinds of keys only, and each kind by itself, so their data never move it.
    watch_position: Option<StorePosition>,
}

impl StoreCache {
    /// Returns the position after which the watch continues; `None` if all keys have to be read.
    pub(crate) fn watch_after(&self) -> Option<StorePosition> {
        // A watch from an era that has ended, as a peer's list shows, cannot continue.
        let era = self.list_position.era;
        self.watch_position.filter(|position| position.era >= era)
    }

    /// Records that the changes after the watched position will not be read, so that all keys have to be.
    pub(crate) fn reset_watch(&mut self) {
        self.watch_position = None;
    }

    /// Records that the store is in `era`, so that a watch from an earlier one cannot continue.
    pub(crate) fn reset_watch_before(&mut self, era: StoreEra) {
        self.watch_position = self.watch_position.filter(|position| position.era >= era);
    }

    /// Records that all keys that the store sent up to a position were applied; `has_changes` tells whether what
    /// peers are sent changed.
    pub(crate) fn record_store_read(&mut self, position: StorePosition, has_changes: bool) {
        self.watch_position = self.watch_position.max(Some(position));
        if has_changes {
            self.record_list(position);
        }
    }

    /// Records that the list of backend servers was applied as it is at a position.
    pub(crate) fn record_list(&mut self, position: StorePosition) {
        self.list_position = self.list_position.max(position);
    }

    /// Returns the entries of backend servers.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &KeyValue> {
        self.servers.values()
    }

    /// Records the entry of a backend server.
    pub(crate) fn put_server(&mut self, item: KeyValue) {
        let is_later = |old: &KeyValue| item.position.revision > old.position.revision;
        if self.servers.get(&item.key).is_some_and(is_later) {
            self.remove_server(&item.key);
        }
        self.servers.insert(item.key.clone(), item);
    }

    /// Records that the entry of a backend server was replaced or removed.
    pub(crate) fn remove_server(&mut self, key: &str) {
        if let Some(old) = self.servers.remove(key) {
            if self.replaced.len() == MAX_REPLACED_ENTRIES {
                self.replaced.pop_front();
            }
            self.replaced.push_back(old);
        }
    }

    /// Records that the entry of a backend server vanished and may be written again.
    pub(crate) fn record_missing_server(&mut self, key: &str) {
        self.servers.remove(key);
    }

    /// Returns whether an entry is known to have been replaced or removed since it was written,
    /// so that the store can hold it only because it returned to an older copy.
    pub(crate) fn is_replaced(&self, item: &KeyValue) -> bool {
        self.replaced.iter().any(|old| is_same_write(old, item))
    }
}

/// Returns whether two key-values were written at once; the eras in which they were read may
/// differ.
fn is_same_write(a: &KeyValue, b: &KeyValue) -> bool {
    a.key == b.key && a.position.revision == b.position.revision && a.value == b.value
}

/// Wakes the tasks that depend on the quarantine of prompt parts.
#[derive(Debug, Default)]
pub(crate) struct QuarantineSignal {
    /// Wakes the writer of the page in the store.
    pub(crate) page: Notify,
    /// Number of times that parts were quarantined.
    pub(crate) verdicts: watch::Sender<u64>,
    /// Whether the page has to be written although it did not change.
    needs_rewrite: AtomicBool,
}

impl QuarantineSignal {
    /// Has the page written again, after the store lost it or may not have received it.
    pub(crate) fn request_rewrite(&self) {
        self.needs_rewrite.store(true, Ordering::Relaxed);
        self.page.notify_one();
    }

    pub(crate) fn take_rewrite(&self) -> bool {
        self.needs_rewrite.swap(false, Ordering::Relaxed)
    }
}

/// State of one gateway that all its tasks share.
pub(crate) struct Shared<C> {
    pub(crate) settings: GatewaySettings,
    started: Instant,
    pub(crate) clock: C,
    config: Mutex<OperatorConfigCell>,
    config_version: watch::Sender<Revision>,
    fleet: Mutex<BackendFleet>,
    loss_tokens: Mutex<HashMap<BackendKey, CancellationToken>>,
    unreliable_tokens: Mutex<HashMap<BackendKey, CancellationToken>>,
    retry_windows: Mutex<HashMap<ServiceName, RetryWindow>>,
    rng: Mutex<StdRng>,
    store_cache: Mutex<StoreCache>,
    /// Held while data from the store or a peer are compared with what is known and applied.
    store_update: Mutex<()>,
    peers: Mutex<PeerTable>,
    load_change: LoadChangeSignal,
    /// Limits the number of peers that are sent the configuration at once.
    config_permits: Arc<Semaphore>,
    /// Limits the number of peers that are sent the list of backend servers at once.
    list_permits: Arc<Semaphore>,
    store_health: Mutex<StoreAvailability>,
    shutdown: Mutex<Shutdown>,
    /// Cancelled when the shutdown begins.
    stopping: CancellationToken,
    /// Cancelled shortly before the process exits.
    exit: CancellationToken,
    pace: Mutex<GenerationPace>,
    prompts: Mutex<PromptLocations>,
    last_search: LastSearch,
    store: StoreClient,
    process_memory: ProcessMemory,
    origins: Mutex<StreamOrigins>,
    origin_pages: Mutex<OriginPages>,
    /// Wakes the writer of origins.
    origin_change: Notify,
    page_reads: PageReads,
    versions: Mutex<VersionHistory>,
    /// Number of times that the store was found to hold further versions.
    stored_versions: watch::Sender<u64>,
    /// Origins that other gateways announced and that the store may lack.
    unstored_origins: Mutex<UnstoredOrigins>,
    origin_searches: OriginSearches,
    /// Socket for datagrams between gateways.
    peer_socket: UdpSocket,
    /// Distinguishes restarts of this gateway.
    incarnation: u64,
    quarantine: Mutex<PartQuarantine>,
    fingerprint_key: Mutex<KeyAgreement>,
    quarantine_signal: QuarantineSignal,
    /// Set once the list of backend servers has been read.
    has_backend_list: AtomicBool,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The data are plain values, which stay consistent when a task panics.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address as IPv4, the only kind that hosts have.
fn ipv4(ip: IpAddr) -> Option<Ipv4Addr> {
    match ip {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(ip) => ip.to_ipv4_mapped(),
    }
}

impl<C: Clock> Shared<C> {
    pub(crate) fn new(
        settings: GatewaySettings,
        clock: C,
        store: StoreClient,
        process_memory: ProcessMemory,
        peer_socket: UdpSocket,
    ) -> Arc<Self> {
        let seeds: Vec<Ipv4Addr> = settings.seeds.iter().copied().filter_map(ipv4).collect();
        let own = ipv4(settings.ip).unwrap_or(Ipv4Addr::UNSPECIFIED);
        let peers = PeerTable::new(PeerConfig::default(), own, &seeds);
        let fleet_config = FleetConfig {
            gone_after: settings.entry_expiry,
            ..FleetConfig::default()
        };
        let shutdown = Shutdown::new(ShutdownConfig::default(), settings.grace);
        let fingerprint_key = KeyAgreement::new(&mut rand::rng(), clock.now());
        Arc::new(Self {
            settings,
            started: clock.now(),
            store_cache: Mutex::default(),
            store_update: Mutex::default(),
            peers: Mutex::new(peers),
            load_change: LoadChangeSignal::default(),
            config_permits: Arc::new(Semaphore::new(MAX_CONFIG_TRANSFERS)),
            list_permits: Arc::new(Semaphore::new(MAX_LIST_TRANSFERS)),
            store_health: Mutex::default(),
            clock,
            config: Mutex::default(),
            config_version: watch::Sender::new(Revision(0)),
            fleet: Mutex::new(BackendFleet::new(fleet_config)),
            loss_tokens: Mutex::default(),
            unreliable_tokens: Mutex::default(),
            retry_windows: Mutex::default(),
            rng: Mutex::new(StdRng::from_rng(&mut rand::rng())),
            shutdown: Mutex::new(shutdown),
            stopping: CancellationToken::new(),
            exit: CancellationToken::new(),
            pace: Mutex::default(),
            last_search: LastSearch::default(),
            store,
            process_memory,
            origins: Mutex::new(StreamOrigins::new(OriginConfig::default())),
            origin_pages: Mutex::new(OriginPages::new(OriginConfig::default())),
            origin_change: Notify::new(),
            page_reads: PageReads::default(),
            versions: Mutex::new(VersionHistory::new(OriginConfig::default().retention)),
            stored_versions: watch::Sender::default(),
            unstored_origins: Mutex::default(),
            origin_searches: OriginSearches::default(),
            peer_socket,
            incarnation: rand::rng().next_u64(),
            prompts: Mutex::new(PromptLocations::new(PromptLocationConfig::default())),
            quarantine: Mutex::new(PartQuarantine::new(QuarantineConfig::default())),
            fingerprint_key: Mutex::new(fingerprint_key),
            quarantine_signal: QuarantineSignal::default(),
            has_backend_list: AtomicBool::new(false),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time since the Unix epoch by this host's clock, which may jump.
    pub(crate) fn unix_time(&self) -> Duration {
        let wall_time = self.clock.wall_time();
        wall_time.duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    /// Returns the current configuration.
    pub(crate) fn config(&self) -> Option<Arc<OperatorConfig>> {
        lock(&self.config).current().cloned()
    }

    /// Returns the current configuration; shortly after the start it waits for the first.
    ///
    /// `time_left` is the time until the caller's time-out.
    pub(crate) async fn wait_for_config(&self, time_left: Duration) -> Option<Arc<OperatorConfig>> {
        if let Some(config) = self.config() {
            return Some(config);
        }
        let is_store_ok = self.store_health().is_ok();
        let wait = start_wait(self.elapsed_since(self.started), time_left, is_store_ok);
        let mut versions = self.subscribe_version();
        let first = versions.wait_for(|version| *version > Revision(0));
        // After a time-out, `config` below returns `None`.
        drop(tokio::time::timeout(wait, first).await);
        self.config()
    }

    /// Replaces the configuration if `config`, which the store held in `era`, is newer; returns
    /// whether it was replaced.
    pub(crate) fn replace_config_if_newer(&self, config: OperatorConfig, era: StoreEra) -> bool {
        let version = config.version;
        let is_replaced = lock(&self.config).replace_if_newer(config, era);
        if is_replaced {
            self.config_version.send_replace(version);
        }
        is_replaced
    }

    /// Returns the version of the current configuration; 0 before the first.
    pub(crate) fn version(&self) -> Revision {
        lock(&self.config).version()
    }

    pub(crate) fn store_cache(&self) -> MutexGuard<'_, StoreCache> {
        lock(&self.store_cache)
    }

    /// Begins to apply data from the store or a peer; others wait until the guard is dropped, so that older data
    /// never replace newer ones.
    pub(crate) fn begin_store_update(&self) -> MutexGuard<'_, ()> {
        lock(&self.store_update)
    }

    /// Returns the size of the current configuration in its stored form, in bytes.
    pub(crate) fn config_bytes(&self) -> usize {
        let store_cache = lock(&self.store_cache);
        store_cache
            .config
            .as_ref()
            .map_or(0, |item| item.value.len())
    }

    /// Returns the store position up to which the list of backend servers is known.
    pub(crate) fn servers_position(&self) -> StorePosition {
        lock(&self.store_cache).list_position
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    pub(crate) fn shutdown(&self) -> MutexGuard<'_, Shutdown> {
        lock(&self.shutdown)
    }

    /// Begins the shutdown, and returns the time until the host is out of the load balancer's rotation.
    pub(crate) fn begin_shutdown(&self) -> Duration {
        let now = self.now();
        let mut shutdown = self.shutdown();
        shutdown.begin(now);
        let rotation_time_left = shutdown.rotation_time_left(now);
        drop(shutdown);
        self.stopping.cancel();
        // Peers that stop, too, send no callers here.
        self.load_change.notify();
        rotation_time_left
    }

    /// Returns the hash of the name of the gateway's availability zone, by which peers recognize it.
    pub(crate) fn zone_hash(&self) -> u32 {
        stable_hash(self.settings.zone.as_bytes()) as u32
    }

    /// Waits until the shutdown has begun and a request with this deadline may not end before the process exits; waits
    /// forever if it does end.
    pub(crate) async fn wait_until_too_late(&self, deadline: Instant) {
        self.stopping.cancelled().await;
        let now = self.now();
        let time_left = deadline.saturating_duration_since(now);
        if self.shutdown().can_end(now, time_left) {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the token that is cancelled when open requests must be answered, since the process
    /// exits.
    pub(crate) fn exit(&self) -> &CancellationToken {
        &self.exit
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

    pub(crate) fn store(&self) -> &StoreClient {
        &self.store
    }

    /// Returns the memory that all bodies of callers, backend servers, the store and peers share.
    pub(crate) fn process_memory(&self) -> &ProcessMemory {
        &self.process_memory
    }

    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins)
    }

    pub(crate) fn origin_pages(&self) -> MutexGuard<'_, OriginPages> {
        lock(&self.origin_pages)
    }

    pub(crate) fn origin_change(&self) -> &Notify {
        &self.origin_change
    }

    pub(crate) fn page_reads(&self) -> &PageReads {
        &self.page_reads
    }

    /// Returns the software versions that were listed recently.
    pub(crate) fn versions(&self) -> MutexGuard<'_, VersionHistory> {
        lock(&self.versions)
    }

    /// Records the versions that the store holds as served by this gateway.
    pub(crate) fn record_stored(&self, served: impl Iterator<Item = ServedVersion>) {
        self.versions().record_stored(served);
        self.stored_versions.send_modify(|count| *count += 1);
    }

    /// Records a peer's word on the versions that the store holds as served by it.
    pub(crate) fn record_peer_stored(
        &self,
        peer: Ipv4Addr,
        served: impl Iterator<Item = ServedVersion>,
    ) {
        let now = self.now();
        if self.versions().record_peer_stored(peer, served, now) {
            self.stored_versions.send_modify(|count| *count += 1);
        }
    }

    /// Returns a receiver that is changed when the store is found to hold further versions.
    pub(crate) fn subscribe_stored_versions(&self) -> watch::Receiver<u64> {
        self.stored_versions.subscribe()
    }

    pub(crate) fn unstored_origins(&self) -> MutexGuard<'_, UnstoredOrigins> {
        lock(&self.unstored_origins)
    }

    pub(crate) fn origin_searches(&self) -> &OriginSearches {
        &self.origin_searches
    }

    pub(crate) fn peer_socket(&self) -> &UdpSocket {
        &self.peer_socket
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, PartQuarantine> {
        lock(&self.quarantine)
    }

    pub(crate) fn fingerprint_key(&self) -> MutexGuard<'_, KeyAgreement> {
        lock(&self.fingerprint_key)
    }

    pub(crate) fn quarantine_signal(&self) -> &QuarantineSignal {
        &self.quarantine_signal
    }

    /// Records that a service has an instance's software version, before the instance leaves or
    /// changes.
    pub(crate) fn record_software(&self, instance: &str) {
        let seen = {
            let fleet = self.fleet();
            let backend = fleet.key_of(instance).and_then(|key| fleet.get(key));
            backend.map(|backend| {
                let entry = &backend.entry;
                (ServiceId::from_name(&entry.service), entry.software.id())
            })
        };
        if let Some((service, software)) = seen {
            self.versions().record(service, software, self.now());
        }
    }

    pub(crate) fn config_permits(&self) -> &Arc<Semaphore> {
        &self.config_permits
    }

    pub(crate) fn list_permits(&self) -> &Arc<Semaphore> {
        &self.list_permits
    }

    pub(crate) fn load_change(&self) -> &LoadChangeSignal {
        &self.load_change
    }

    /// Records that the list of backend servers has been read.
    pub(crate) fn record_backend_list_read(&self) {
        self.has_backend_list.store(true, Ordering::Relaxed);
    }

    pub(crate) fn store_health(&self) -> MutexGuard<'_, StoreAvailability> {
        lock(&self.store_health)
    }

    /// Returns until when entries that vanish now, in an era of the store, may be written again;
    /// `None` if they are gone.
    pub(crate) fn renewal_end(&self, era: StoreEra, now: Instant) -> Option<Instant> {
        let peers_watched_for = self.peers().store_watched_for(era, now);
        self.store_health().renewal_end(peers_watched_for, now)
    }

    /// Removes the backend servers whose entries vanished and were not written again in time.
    pub(crate) fn expire_missing(&self, now: Instant) {
        let era = self.servers_position().era;
        let peers_watched_for = self.peers().store_watched_for(era, now);
        let is_settled = self.store_health().is_settled(peers_watched_for, now);
        for instance in self.fleet().expire_missing(is_settled, now) {
            log::info!(
                instance = &*instance,
                is_settled = is_settled;
                "entry was not renewed after the store outage"
            );
        }
    }

    /// Returns whether this gateway is one of those that watch the store.
    pub(crate) fn is_watcher(&self, now: Instant) -> bool {
        let peers: Vec<StoreStatus> = self.peers().store_statuses(now).collect();
        is_watcher(
            &StoreWatchConfig::default(),
            &self.store_status(now),
            &peers,
        )
    }

    /// Returns whether this gateway reaches the store, and the age of its data.
    pub(crate) fn store_status(&self, now: Instant) -> StoreStatus {
        let (is_store_ok, confirmed_at) = {
            let store_health = self.store_health();
            (store_health.is_ok(), store_health.confirmed_at())
        };
        let own_age = confirmed_at.map_or(UNCONFIRMED_AGE, |at| now.saturating_duration_since(at));
        // A peer's confirmation counts if this gateway's data are as new as the peer's.
        let (position, version) = (self.servers_position(), self.version());
        let peer_age = self.peers().min_data_age(position, version, now);
        StoreStatus {
            ip: ipv4(self.settings.ip).unwrap_or(Ipv4Addr::UNSPECIFIED),
            is_store_ok,
            data_age: own_age.min(peer_age.unwrap_or(UNCONFIRMED_AGE)),
        }
    }

    pub(crate) fn subscribe_version(&self) -> watch::Receiver<Revision> {
        self.config_version.subscribe()
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, BackendFleet> {
        lock(&self.fleet)
    }

    pub(crate) fn rng(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.rng)
    }

    /// Returns whether the gateway can serve: it knows its configuration and backend servers and
    /// is not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown().has_begun()
            && self.has_backend_list.load(Ordering::Relaxed)
            && lock(&self.config).current().is_some()
    }

    /// Returns the token that is cancelled when a backend server is considered lost.
    pub(crate) fn loss_token(&self, key: BackendKey) -> CancellationToken {
        lock(&self.loss_tokens).entry(key).or_default().clone()
    }

    /// Returns the token that is cancelled when copies at an engine can no longer be relied on.
    pub(crate) fn unreliable_token(&self, key: BackendKey) -> CancellationToken {
        lock(&self.unreliable_tokens)
            .entry(key)
            .or_default()
            .clone()
    }

    /// Cancels the tokens of engines whose copies can no longer be relied on, because they were
    /// lost or are draining.
    pub(crate) fn cancel_unreliable_tokens(&self) {
        let keys = self.fleet().take_unreliable();
        if keys.is_empty() {
            return;
        }
        {
            let mut tokens = lock(&self.unreliable_tokens);
            for token in keys.iter().filter_map(|key| tokens.remove(key)) {
                token.cancel();
            }
        }
        // Instances change throughout the life of the process; without this the map would grow
        // without bound.
        let fleet = self.fleet();
        lock(&self.loss_tokens).retain(|key, _| fleet.get(*key).is_some());
    }

    /// Returns the memory of one engine of a service, in tokens; 0 if the configuration does not
    /// state it.
    pub(crate) fn kv_capacity(&self, service: &ServiceName) -> u64 {
        let config = self.config();
        let spec = config
            .as_ref()
            .and_then(|config| config.services.get(service));
        spec.map_or(0, |spec| spec.kv_capacity)
    }

    /// Records that a backend server is lost, so that its work continues on other ones.
    pub(crate) fn record_loss(&self, key: BackendKey, cause: LossCause, step: &'static str) {
        let is_new = self.fleet().record_loss(key, cause, self.now());
        if is_new {
            self.handle_loss(key, cause, step);
        }
    }

    /// Logs the loss of a backend server and interrupts its work.
    pub(crate) fn handle_loss(&self, key: BackendKey, cause: LossCause, step: &'static str) {
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
        self.cancel_unreliable_tokens();
        // A failed connection does not end the streams that the engine still sends.
        let interrupts = matches!(
            cause,
            LossCause::Silent | LossCause::Terminated | LossCause::Replaced
        );
        if interrupts && let Some(token) = lock(&self.loss_tokens).remove(&key) {
            token.cancel();
        }
    }

    /// Records that a backend server has responded.
    pub(crate) fn record_alive(&self, key: BackendKey) {
        let now = self.now();
        let mut fleet = self.fleet();
        let silence = fleet.get(key).map(|backend| backend.silence(now));
        if fleet.record_alive(key, now)
            && let Some(backend) = fleet.get(key)
        {
            log::info!(
                instance = &*backend.entry.instance,
                peer:% = backend.entry.address,
                silent_ms = silence.unwrap_or_default().as_millis() as u64;
                "backend server is back"
            );
        }
    }

    /// Records the limit that the response to a request names, or that it names none.
    pub(crate) fn record_request_limit(
        &self,
        key: BackendKey,
        limit: Option<f64>,
        sent_at: Instant,
    ) {
        let mut fleet = self.fleet();
        if !fleet.record_limit(key, limit, sent_at, self.now()) {
            return;
        }
        if let Some(backend) = fleet.get(key) {
            let instance = &*backend.entry.instance;
            log::info!(instance = instance, per_s = limit; "limit of a backend server changed");
        }
        self.load_change.notify();
    }

    /// Records the live gateways, among which the limits of backend servers are divided.
    pub(crate) fn record_live_gateways(&self) {
        let hash = |ip: Ipv4Addr| stable_hash(&ip.octets());
        let own = hash(ipv4(self.settings.ip).unwrap_or(Ipv4Addr::UNSPECIFIED));
        let peers: Vec<u64> = self.peers().live_peers(self.now()).map(hash).collect();
        self.fleet().record_gateways(own, peers.into_iter());
    }

    /// Records the first attempt of a request for a service.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let (limits, now) = (self.retry_limits(), self.now());
        let mut windows = lock(&self.retry_windows);
        let window = windows.entry(service.clone()).or_default();
        window.record_request(&limits, now);
    }

    /// Takes one retry from the budget that all gateways share for a service; returns whether
    /// the budget allows it.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let (limits, now) = (self.retry_limits(), self.now());
        let peers = self.peers().retries(stable_hash(service.as_bytes()), now);
        let is_granted = {
            let mut windows = lock(&self.retry_windows);
            let window = windows.entry(service.clone()).or_default();
            window.try_retry(&limits, peers, now)
        };
        if is_granted {
            self.load_change.notify();
        }
        is_granted
    }

    /// Returns the requests and retries counted for each service, by the hash of its name.
    pub(crate) fn retry_counts(&self, now: Instant) -> impl Iterator<Item = (u64, RetryCount)> {
        let limits = self.retry_limits();
        let mut windows = lock(&self.retry_windows);
        let counts: Vec<(u64, RetryCount)> = windows
            .iter_mut()
            .map(|(service, window)| (stable_hash(service.as_bytes()), window.count(&limits, now)))
            .collect();
        counts.into_iter()
    }

    fn retry_limits(&self) -> RetryLimits {
        let settings = &self.settings;
        // Gateways whose heartbeats do not arrive use the budget, too.
        let live_gateways = self.peers().live_peers(self.now()).count() + 1;
        let share =
            (live_gateways as f64 / MIN_ASSUMED_GATEWAYS as f64).min(1.0) * RETRY_BUDGET_SHARE;
        RetryLimits {
            window: settings.retry_window,
            ratio: settings.retry_ratio * RETRY_BUDGET_SHARE,
            slack: settings.retry_slack * share,
        }
    }

    pub(crate) fn elapsed_since(&self, at: Instant) -> Duration {
        self.now().saturating_duration_since(at)
    }
}
