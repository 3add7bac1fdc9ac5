//! Keeps the configuration and the list of backend servers in sync with the platform's store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{
    CONFIG_KEY, Change, KeyValue, SERVERS_PREFIX, Snapshot, StoreClient, StoreError, WatchOutcome,
    decode_backend_entry, decode_operator_config,
};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{Backoff, ServiceId, StorePosition};
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;
use crate::{origin_store, quarantine};

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

/// Records a failed call to the store; returns the number of failures in a row.
fn record_failure<C: Clock>(shared: &Shared<C>, e: &StoreError) -> u32 {
    metrics::counter!("gateway_store_failures_total", "step" => e.step).increment(1);
    let failures = shared.store_health().record_failure(shared.now());
    if failures == 1 {
        log::warn!(dependency = "store", step = e.step; "store lost: {e}");
    }
    failures
}

fn record_success<C: Clock>(shared: &Shared<C>) {
    let now = shared.now();
    let ended = shared.store_health().record_success(now);
    if let Some(ended) = ended {
        let era = shared.servers_position().era;
        let peers_watched_for = shared.peers().store_watched_for(era, now);
        log::info!(
            dependency = "store",
            outage_ms = ended.duration.as_millis() as u64,
            peers_watched_ms = peers_watched_for.as_millis() as u64,
            failures = ended.failures;
            "store regained"
        );
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
            log::info!(watches = is_watcher, position:% = shared.servers_position(); "store watcher role changed");
            was_watcher = is_watcher;
        }
        if !is_watcher {
            shared.store_health().record_watch_end();
            shared.versions().record_gap();
            // The history since then may be gone or larger than the keys.
            shared.store_cache().reset_watch();
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
                let failures = record_failure(&shared, &e);
                let wait = RETRY_BACKOFF.delay(failures, &mut *shared.rng());
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Reads all keys, or waits for the next changes; returns whether the watch returned any.
async fn sync_once<C: Clock>(shared: &Shared<C>, store: &StoreClient) -> Result<bool, StoreError> {
    let Some(after) = shared.store_cache().watch_after() else {
        let known_era = shared.servers_position().era;
        let snapshot = store.read_all(ALL_KEYS, known_era).await?;
        record_success(shared);
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
    record_success(shared);
    match result {
        WatchOutcome::HistoryExpired => {
            log::info!(position:% = after; "store dropped its history");
            shared.versions().record_gap();
            shared.store_cache().reset_watch();
            Ok(false)
        }
        WatchOutcome::Restored { era } => {
            shared.versions().record_gap();
            shared.store_cache().reset_watch_before(era);
            Ok(false)
        }
        WatchOutcome::Changes { changes, position } => {
            let has_events = !changes.is_empty();
            let has_changes = apply_changes(shared, changes, position);
            shared.versions().record_changes(shared.now());
            if has_changes {
                origin_store::check_served(shared);
                shared.load_change().notify();
            }
            Ok(has_events)
        }
    }
}

/// Applies the changes up to a position; returns whether what peers are sent changed.
fn apply_changes<C: Clock>(
    shared: &Shared<C>,
    changes: Vec<Change>,
    position: StorePosition,
) -> bool {
    let _update = shared.begin_store_update();
    let known = shared.servers_position();
    let mut has_changes = false;
    for change in changes {
        has_changes |= apply_change(shared, change, known);
    }
    shared
        .store_cache()
        .record_store_read(position, has_changes);
    has_changes
}

/// Reads only the configuration, for a gateway that is no watcher.
pub(crate) async fn read_configuration<C: Clock>(
    shared: &Shared<C>,
    store: &StoreClient,
) -> Result<(), StoreError> {
    metrics::counter!("gateway_store_calls_total").increment(1);
    let known_era = shared.servers_position().era;
    let snapshot = store.read_all(CONFIG_KEY, known_era).await?;
    let _update = shared.begin_store_update();
    for item in snapshot.items {
        apply_key_value(shared, item, &"store");
    }
    Ok(())
}

/// Records the software versions of backend servers that were listed since the last response to the watch;
/// returns `None` if the store does not tell them all.
pub(crate) async fn record_new_versions<C: Clock>(shared: &Shared<C>) -> Option<()> {
    let after = shared.store_cache().watch_after()?;
    metrics::counter!("gateway_store_calls_total").increment(1);
    match shared.store().watch(ALL_KEYS, after, Duration::ZERO).await {
        Ok(WatchOutcome::Changes { changes, .. }) => {
            for change in &changes {
                if let Change::Put(item) = change {
                    record_version(shared, item);
                }
            }
            Some(())
        }
        Ok(_) => None,
        Err(e) => {
            log::info!(dependency = "store", step = e.step; "new versions not read: {e}");
            None
        }
    }
}

/// Records the software version of a backend server's entry, which may have been replaced since.
fn record_version<C: Clock>(shared: &Shared<C>, item: &KeyValue) {
    let entry = item
        .key
        .strip_prefix(SERVERS_PREFIX)
        .and_then(|instance| decode_backend_entry(instance, &item.value));
    if let Some(entry) = entry {
        let service = ServiceId::from_name(&entry.service);
        let now = shared.now();
        shared.versions().record(service, entry.software.id(), now);
    }
}

/// Replaces all data by a snapshot of the store.
fn apply_snapshot<C: Clock>(shared: &Shared<C>, snapshot: Snapshot) {
    let _update = shared.begin_store_update();
    let position = snapshot.position;
    record_era(shared, position, &"store");
    // A peer may have sent newer entries during the read.
    let is_outdated = position < shared.servers_position();
    if !is_outdated {
        let listed: HashSet<&str> = snapshot
            .items
            .iter()
            .filter_map(|item| item.key.strip_prefix(SERVERS_PREFIX))
            .collect();
        let renewal_end = shared.renewal_end(position.era, shared.now());
        remove_unlisted(shared, renewal_end, |instance| listed.contains(instance));
    }
    for item in snapshot.items {
        if item.key == CONFIG_KEY || !(is_outdated || is_replaced(shared, &item)) {
            apply_key_value(shared, item, &"store");
        }
    }
    shared.store_cache().record_store_read(position, true);
    shared.versions().record_list(shared.now());
    shared.record_backend_list_read();
    origin_store::check_served(shared);
    shared.load_change().notify();
}

/// Data of the store that a peer sent.
pub(crate) struct PeerData {
    /// The configuration, if it is newer than this gateway's.
    pub(crate) config: Option<KeyValue>,
    /// Entries of backend servers that are newer than this gateway's.
    pub(crate) servers: Vec<KeyValue>,
    /// All instances in the peer's list of backend servers.
    pub(crate) listed: HashSet<String>,
    /// Those of them whose entries vanished and may be written again.
    pub(crate) missing: Vec<String>,
    /// Time for which they may be, as the peer states; zero if it states none.
    pub(crate) missing_for: Duration,
    /// Store position up to which the peer knows the list.
    pub(crate) position: StorePosition,
}

/// Adopts a configuration from a peer if it is newer than this gateway's.
pub(crate) fn apply_peer_configuration<C: Clock>(
    shared: &Shared<C>,
    config: KeyValue,
    source: &impl std::fmt::Display,
) {
    let _update = shared.begin_store_update();
    adopt_configuration(shared, config, source);
}

/// Applies those data from a peer that are newer than this gateway's.
pub(crate) fn apply_peer_data<C: Clock>(
    shared: &Shared<C>,
    data: PeerData,
    source: &impl std::fmt::Display,
) {
    let _update = shared.begin_store_update();
    if let Some(config) = data.config {
        apply_key_value(shared, config, source);
    }
    // A peer with a newer configuration may still have the list of an earlier era.
    if data.position <= shared.servers_position() {
        return;
    }
    record_era(shared, data.position, source);
    let renewal_end = shared.renewal_end(data.position.era, shared.now());
    remove_unlisted(shared, renewal_end, |instance| {
        data.listed.contains(instance)
    });
    let now = shared.now();
    let peers_watched_for = shared.peers().store_watched_for(data.position.era, now);
    let renewal_end =
        shared
            .store_health()
            .peer_renewal_end(data.missing_for, peers_watched_for, now);
    for instance in &data.missing {
        remove_backend(shared, instance, renewal_end);
    }
    for item in data.servers {
        if !is_replaced(shared, &item) {
            apply_key_value(shared, item, source);
        }
    }
    shared.store_cache().record_list(data.position);
    shared.record_backend_list_read();
    origin_store::check_served(shared);
}

/// Records a new era: entries that the store lacks may be written again.
fn record_era<C: Clock>(
    shared: &Shared<C>,
    position: StorePosition,
    source: &impl std::fmt::Display,
) {
    let known = shared.servers_position();
    if known == StorePosition::default() || position.era <= known.era {
        return;
    }
    log::warn!(
        old_era = known.era.0,
        era = position.era.0,
        old_revision = known.revision,
        revision = position.revision,
        source:% = source;
        "store returned to an older copy"
    );
    metrics::counter!("gateway_store_restores_total").increment(1);
    shared.store_health().record_restore(shared.now());
    shared.origin_pages().rewrite();
    shared.origin_change().notify_one();
    shared.quarantine_signal().request_rewrite();
}

/// Returns whether an entry from the store or a peer is older than what this gateway knows of its owner.
fn is_replaced<C: Clock>(shared: &Shared<C>, item: &KeyValue) -> bool {
    let is_replaced = shared.store_cache().is_replaced(item);
    if is_replaced {
        log::info!(key = item.key.as_str(), position:% = item.position; "entry was replaced before the store's return");
    }
    is_replaced
}

/// Removes the backend servers that a list does not have; they stay usable until `renewal_end`, if
/// their entries may be written again until then.
fn remove_unlisted<C: Clock>(
    shared: &Shared<C>,
    renewal_end: Option<Instant>,
    is_listed: impl Fn(&str) -> bool,
) {
    let unlisted: Vec<Arc<str>> = {
        let fleet = shared.fleet();
        let unlisted = fleet.instances().filter(|instance| !is_listed(instance));
        unlisted.cloned().collect()
    };
    for instance in unlisted {
        remove_backend(shared, &instance, renewal_end);
    }
    // Entries that describe no usable backend server are not in the fleet.
    let mut store_cache = shared.store_cache();
    let is_unlisted = |key: &str| !key.strip_prefix(SERVERS_PREFIX).is_some_and(&is_listed);
    let keys = store_cache.servers().map(|item| item.key.clone());
    let unlisted: Vec<String> = keys.filter(|key| is_unlisted(key)).collect();
    for key in unlisted {
        store_cache.remove_server(&key);
    }
}

/// Applies a change from the store, unless entries up to the position `known` include it.
///
/// Returns whether the change is part of what gateways pass on to their peers.
fn apply_change<C: Clock>(shared: &Shared<C>, change: Change, known: StorePosition) -> bool {
    match change {
        Change::Put(item) if apply_page(shared, &item) => return false,
        Change::Deleted { key, .. } if is_page(&key) => return false,
        Change::Put(item) if item.key == CONFIG_KEY || item.position > known => {
            apply_key_value(shared, item, &"store");
        }
        Change::Deleted { key, .. } if key == CONFIG_KEY => {
            log::warn!("configuration was deleted from the store; keeping the current one");
        }
        Change::Deleted { key, position } if position > known => {
            if let Some(instance) = key.strip_prefix(SERVERS_PREFIX) {
                let renewal_end = shared.renewal_end(position.era, shared.now());
                remove_backend(shared, instance, renewal_end);
            }
        }
        Change::Put(item) => record_version(shared, &item),
        Change::Deleted { .. } => {}
    }
    true
}

/// Applies a page that gateways keep in the store; returns whether the item is one.
fn apply_page<C: Clock>(shared: &Shared<C>, item: &KeyValue) -> bool {
    origin_store::apply_page(shared, item) || quarantine::apply_page(shared, item)
}

fn is_page(key: &str) -> bool {
    let prefixes = [origin_store::PAGES_PREFIX, quarantine::PAGES_PREFIX];
    prefixes.iter().any(|prefix| key.starts_with(prefix))
}

fn apply_key_value<C: Clock>(shared: &Shared<C>, item: KeyValue, source: &impl std::fmt::Display) {
    if item.key == CONFIG_KEY {
        adopt_configuration(shared, item, source);
    } else if let Some(instance) = item.key.strip_prefix(SERVERS_PREFIX) {
        apply_backend_entry(shared, instance, &item);
        shared.store_cache().put_server(item);
    } else {
        apply_page(shared, &item);
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
            let is_adopted = shared.replace_config_if_newer(config, item.position.era);
            log::info!(
                version = version,
                revision = item.position.revision,
                source:% = source,
                adopted = is_adopted;
                "configuration read"
            );
            if is_adopted {
                shared.store_cache().config = Some(item);
                shared.load_change().notify();
            }
        }
        Err(e) => log::error!(revision = item.position.revision; "configuration not adopted: {e}"),
    }
}

fn apply_backend_entry<C: Clock>(shared: &Shared<C>, instance: &str, item: &KeyValue) {
    let now = shared.now();
    shared.record_software(instance);
    let Some(entry) = decode_backend_entry(instance, &item.value) else {
        log::warn!(
            instance = instance,
            revision = item.position.revision;
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
            revision = item.position.revision,
            draining = is_draining;
            "backend server listed"
        );
    }
}

/// Removes a backend server whose entry vanished; it stays usable until `renewal_end`, if its entry
/// may be written again until then.
fn remove_backend<C: Clock>(shared: &Shared<C>, instance: &str, renewal_end: Option<Instant>) {
    if let Some(until) = renewal_end {
        record_missing(shared, instance, until);
        return;
    }
    shared.record_software(instance);
    shared.store_cache().remove_server(&server_key(instance));
    let is_changed = shared.fleet().remove_instance(instance);
    shared.cancel_unreliable_tokens();
    if is_changed {
        log_removal(instance, false);
    }
}

fn record_missing<C: Clock>(shared: &Shared<C>, instance: &str, until: Instant) {
    shared.record_software(instance);
    shared
        .store_cache()
        .record_missing_server(&server_key(instance));
    let is_changed = shared.fleet().record_missing(instance, until);
    if is_changed {
        log_removal(instance, true);
    }
}

fn server_key(instance: &str) -> String {
    format!("{SERVERS_PREFIX}{instance}")
}

fn log_removal(instance: &str, may_return: bool) {
    log::info!(
        instance = instance,
        may_return = may_return;
        "backend server left the list"
    );
}
