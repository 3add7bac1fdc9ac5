//! Keeps the configuration and the list of backend servers in sync with the platform's store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{
    CONFIG_KEY, Change, KeyValue, SERVERS_PREFIX, Snapshot, StoreClient, StoreError, WatchOutcome,
    decode_backend_entry, decode_operator_config,
};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::Backoff;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Prefix of the watched keys. It matches all keys, so that one call covers the configuration
/// and the list of backend servers.
const ALL_KEYS: &str = "";

/// Time after which the store responds to a watch without changes. A silent connection is
/// detected soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a watch that returned changes, so that the next one returns several at once.
const WATCH_BATCH_DELAY: Duration = Duration::from_millis(300);

/// Time-out of a call to the store; a watch adds the time for which it asks the store to wait.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Back-off between calls while the store fails.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(150), Duration::from_millis(800));

/// Interval at which a gateway that is no watcher checks whether it has become one.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a gateway that is no watcher calls a store that has failed it.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Shortest store outage in which entries may expire although their owners are alive.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(1_500);

/// Time after a store outage in which the owners of expired entries renew them.
const ENTRY_RENEWAL_TIME: Duration = Duration::from_millis(2_000);

/// Record of whether the store responds to this gateway, and of its last outage.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Option<Instant>,
    failures: u32,
    recovering_until: Option<Instant>,
    confirmed_at: Option<Instant>,
}

impl StoreHealth {
    /// Returns whether the store responded to the last call; true if none was made.
    pub(crate) fn is_ok(&self) -> bool {
        self.failing_since.is_none()
    }

    /// Returns whether an outage ended so recently that missing entries may still be renewed.
    pub(crate) fn is_recovering(&self, now: Instant) -> bool {
        self.recovering_until.is_some_and(|until| now < until)
    }

    /// Returns when the store last confirmed this gateway's data.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    fn record_failure(&mut self, e: &StoreError, now: Instant) {
        if self.failing_since.is_none() {
            log::warn!(dependency = "store", step = e.step; "store lost: {e}");
        }
        metrics::counter!("gateway_store_failures_total", "step" => e.step).increment(1);
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    fn record_success(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let outage = now.saturating_duration_since(since);
        log::info!(
            dependency = "store",
            outage_ms = outage.as_millis() as u64,
            failures = self.failures;
            "store regained"
        );
        self.failures = 0;
        if outage >= MIN_EXPIRY_OUTAGE {
            self.recovering_until = Some(now + ENTRY_RENEWAL_TIME);
        }
    }
}

/// Watches the store while this gateway is a watcher, until `stop` is cancelled.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    stop.run_until_cancelled(sync(shared, store)).await;
}

async fn sync<C: Clock>(shared: Arc<Shared<C>>, store: StoreClient) {
    let mut was_watcher = false;
    let mut last_call_at = shared.now();
    loop {
        let now = shared.now();
        let is_watcher = shared.is_watcher(now);
        if is_watcher != was_watcher {
            log::info!(watches = is_watcher, revision = shared.servers_revision(); "store watcher role changed");
            was_watcher = is_watcher;
        }
        let is_probe_due =
            !shared.store_health().is_ok() && now >= last_call_at + STORE_PROBE_INTERVAL;
        if !is_watcher && !is_probe_due {
            tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        last_call_at = now;
        metrics::counter!("gateway_store_calls_total").increment(1);
        match sync_once(&shared, &store).await {
            Ok(true) => tokio::time::sleep(WATCH_BATCH_DELAY).await,
            Ok(false) => {}
            Err(e) => {
                let failures = {
                    let mut store_health = shared.store_health();
                    store_health.record_failure(&e, shared.now());
                    store_health.failures
                };
                let wait = RETRY_BACKOFF.delay(failures, &mut *shared.rng());
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Reads all keys, or waits for the next changes; returns whether the watch returned any.
async fn sync_once<C: Clock>(shared: &Shared<C>, store: &StoreClient) -> Result<bool, StoreError> {
    let Some(after) = shared.store_cache().watch_after() else {
        let snapshot = store.read_all(ALL_KEYS).await?;
        shared.store_health().record_success(shared.now());
        apply_snapshot(shared, snapshot);
        return Ok(false);
    };
    // After an outage the watch does not wait for changes, so that the recovery of the store is
    // detected at once.
    let wait = if shared.store_health().is_ok() {
        WATCH_WAIT
    } else {
        Duration::ZERO
    };
    let result = store.watch(ALL_KEYS, after, wait).await?;
    shared.store_health().record_success(shared.now());
    match result {
        WatchOutcome::HistoryExpired => {
            log::info!(revision = after; "store dropped its history");
            shared.store_cache().reset_watch();
            Ok(false)
        }
        WatchOutcome::Changes { changes, revision } => {
            let has_changes = !changes.is_empty();
            for change in changes {
                apply_change(shared, change);
            }
            shared.store_cache().advance(revision, has_changes);
            if has_changes {
                shared.load_change().notify();
            }
            Ok(has_changes)
        }
    }
}

/// Reads only the configuration, for a gateway that is no watcher.
pub(crate) async fn read_configuration<C: Clock>(
    shared: &Shared<C>,
    store: &StoreClient,
) -> Result<(), StoreError> {
    metrics::counter!("gateway_store_calls_total").increment(1);
    let snapshot = store.read_all(CONFIG_KEY).await?;
    for item in snapshot.items {
        apply_key_value(shared, item, &"store");
    }
    Ok(())
}

/// Replaces all data by a snapshot of the store.
fn apply_snapshot<C: Clock>(shared: &Shared<C>, snapshot: Snapshot) {
    let listed: HashSet<&str> = snapshot
        .items
        .iter()
        .filter_map(|item| item.key.strip_prefix(SERVERS_PREFIX))
        .collect();
    remove_unlisted(shared, |instance| listed.contains(instance));
    let revision = snapshot.revision;
    for item in snapshot.items {
        apply_key_value(shared, item, &"store");
    }
    shared.store_cache().advance(revision, true);
    shared.record_backend_list_read();
    shared.load_change().notify();
}

/// Applies data from a peer that are newer than this gateway's.
///
/// `listed` names all instances in the peer's list of backend servers.
pub(crate) fn apply_peer_data<C: Clock>(
    shared: &Shared<C>,
    items: Vec<KeyValue>,
    listed: &HashSet<String>,
    revision: u64,
    source: &impl std::fmt::Display,
) {
    remove_unlisted(shared, |instance| listed.contains(instance));
    for item in items {
        apply_key_value(shared, item, source);
    }
    shared.store_cache().advance(revision, true);
    shared.record_backend_list_read();
}

fn remove_unlisted<C: Clock>(shared: &Shared<C>, is_listed: impl Fn(&str) -> bool) {
    let unlisted: Vec<Arc<str>> = {
        let fleet = shared.fleet();
        let unlisted = fleet.instances().filter(|instance| !is_listed(instance));
        unlisted.cloned().collect()
    };
    for instance in unlisted {
        remove_backend(shared, &instance);
    }
    let mut store_cache = shared.store_cache();
    store_cache
        .servers
        .retain(|key, _| key.strip_prefix(SERVERS_PREFIX).is_some_and(&is_listed));
}

fn apply_change<C: Clock>(shared: &Shared<C>, change: Change) {
    match change {
        Change::Put(item) => apply_key_value(shared, item, &"store"),
        Change::Deleted { key } => {
            if let Some(instance) = key.strip_prefix(SERVERS_PREFIX) {
                remove_backend(shared, instance);
            } else if key == CONFIG_KEY {
                log::warn!("configuration was deleted from the store; keeping the current one");
            }
            shared.store_cache().servers.remove(&key);
        }
    }
}

fn apply_key_value<C: Clock>(shared: &Shared<C>, item: KeyValue, source: &impl std::fmt::Display) {
    if item.key == CONFIG_KEY {
        adopt_configuration(shared, item, source);
    } else if let Some(instance) = item.key.strip_prefix(SERVERS_PREFIX) {
        apply_backend_entry(shared, instance, &item);
        shared.store_cache().servers.insert(item.key.clone(), item);
    }
}

/// Adopts a configuration from the store or from a peer if it is newer than the current one.
fn adopt_configuration<C: Clock>(
    shared: &Shared<C>,
    item: KeyValue,
    source: &impl std::fmt::Display,
) {
    match decode_operator_config(&item.value) {
        Ok(config) => {
            let version = config.version.0;
            let is_adopted = shared.replace_config_if_newer(config);
            log::info!(
                version = version,
                revision = item.revision,
                source:% = source,
                adopted = is_adopted;
                "configuration read"
            );
            if is_adopted {
                shared.store_cache().config = Some(item);
                shared.load_change().notify();
            }
        }
        Err(e) => log::error!(revision = item.revision; "configuration not adopted: {e}"),
    }
}

fn apply_backend_entry<C: Clock>(shared: &Shared<C>, instance: &str, item: &KeyValue) {
    let now = shared.now();
    let Some(entry) = decode_backend_entry(instance, &item.value) else {
        log::warn!(
            instance = instance,
            revision = item.revision;
            "entry does not describe a usable backend server"
        );
        shared.fleet().remove_instance(instance);
        shared.cancel_unreliable_tokens();
        return;
    };
    let (service, is_draining) = (entry.service.clone(), entry.is_draining);
    let is_changed = shared.fleet().record_entry(entry, now);
    shared.cancel_unreliable_tokens();
    if is_changed {
        log::info!(
            instance = instance,
            service = &*service,
            revision = item.revision,
            draining = is_draining;
            "backend server listed"
        );
    }
}

fn remove_backend<C: Clock>(shared: &Shared<C>, instance: &str) {
    let now = shared.now();
    let may_return = shared.store_health().is_recovering(now);
    let mut fleet = shared.fleet();
    let is_changed = if may_return {
        fleet.record_missing(instance, now)
    } else {
        fleet.remove_instance(instance)
    };
    drop(fleet);
    shared.cancel_unreliable_tokens();
    if is_changed {
        log::info!(
            instance = instance,
            may_return = may_return;
            "backend server left the list"
        );
    }
}
