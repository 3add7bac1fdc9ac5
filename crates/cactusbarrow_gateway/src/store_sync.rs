//! Follows the platform's store: the configuration and the list of backend servers.

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

/// Beginning of the keys that are followed: all of them, so that one call covers the
/// configuration and the list.
const ALL_KEYS: &str = "";

/// Longest wait of one watch; a silent connection is noticed soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Wait after a watch that brought changes, so that the next one brings several.
const GATHER: Duration = Duration::from_millis(300);

/// Time beyond a call's own wait after which the store is taken for unreachable.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits between calls while the store fails.
const RETRY_WAIT: Backoff = Backoff::new(Duration::from_millis(150), Duration::from_millis(800));

/// Interval at which a gateway without the duty to watch looks whether it has it.
const DUTY_CHECK: Duration = Duration::from_millis(100);

/// Interval at which a gateway without the duty to watch tries a store that failed it.
const LINK_CHECK: Duration = Duration::from_millis(2_000);

/// Outage after which vanished entries may have lapsed; their owners were alive all the while.
const LAPSE_AFTER: Duration = Duration::from_millis(1_500);

/// Time after an outage in which vanished entries may come back.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// Whether the store answers this gateway.
#[derive(Debug, Default)]
pub(crate) struct StoreLink {
    failing_since: Option<Instant>,
    failures: u32,
    recovering_until: Option<Instant>,
    confirmed: Option<Instant>,
}

impl StoreLink {
    /// Returns whether the last call was answered, or none was made.
    pub(crate) fn is_ok(&self) -> bool {
        self.failing_since.is_none()
    }

    /// Returns whether entries that vanish now may come back.
    pub(crate) fn is_recovering(&self, now: Instant) -> bool {
        self.recovering_until.is_some_and(|until| now < until)
    }

    /// Returns when the store last confirmed what this gateway knows.
    pub(crate) fn confirmed(&self) -> Option<Instant> {
        self.confirmed
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
        self.confirmed = Some(now);
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
        if outage >= LAPSE_AFTER {
            self.recovering_until = Some(now + RETURN_TIME);
        }
    }
}

/// Follows the store while that is this gateway's duty, until `stop`.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    stop.run_until_cancelled(follow(shared, store)).await;
}

async fn follow<C: Clock>(shared: Arc<Shared<C>>, store: StoreClient) {
    let mut was_watcher = false;
    let mut tried = shared.now();
    loop {
        let now = shared.now();
        let is_watcher = shared.is_watcher(now);
        if is_watcher != was_watcher {
            log::info!(watches = is_watcher, revision = shared.servers_revision(); "duty to watch the store changed");
            was_watcher = is_watcher;
        }
        let is_link_check = !shared.link().is_ok() && now >= tried + LINK_CHECK;
        if !is_watcher && !is_link_check {
            tokio::time::sleep(DUTY_CHECK).await;
            continue;
        }
        tried = now;
        metrics::counter!("gateway_store_calls_total").increment(1);
        match step(&shared, &store).await {
            Ok(true) => tokio::time::sleep(GATHER).await,
            Ok(false) => {}
            Err(e) => {
                let failures = {
                    let mut link = shared.link();
                    link.record_failure(&e, shared.now());
                    link.failures
                };
                let wait = RETRY_WAIT.delay(failures, &mut *shared.rng());
                tokio::time::sleep(wait).await;
            }
        }
    }
}

/// Reads all keys, or waits for the next changes; returns whether there were any.
async fn step<C: Clock>(shared: &Shared<C>, store: &StoreClient) -> Result<bool, StoreError> {
    let Some(after) = shared.replica().watch_after() else {
        let snapshot = store.read_all(ALL_KEYS).await?;
        shared.link().record_success(shared.now());
        reset(shared, snapshot);
        return Ok(false);
    };
    // A store that was away is asked without a wait, so that its return shows at once.
    let wait = if shared.link().is_ok() {
        WATCH_WAIT
    } else {
        Duration::ZERO
    };
    let watched = store.watch(ALL_KEYS, after, wait).await?;
    shared.link().record_success(shared.now());
    match watched {
        WatchOutcome::HistoryExpired => {
            log::info!(revision = after; "store dropped its history");
            shared.replica().forget_position();
            Ok(false)
        }
        WatchOutcome::Changes { changes, revision } => {
            let has_changes = !changes.is_empty();
            for change in changes {
                apply(shared, change);
            }
            shared.replica().advance(revision, has_changes);
            if has_changes {
                shared.load_changed().notify();
            }
            Ok(has_changes)
        }
    }
}

/// Reads the configuration alone, for a gateway that does not watch.
pub(crate) async fn read_configuration<C: Clock>(
    shared: &Shared<C>,
    store: &StoreClient,
) -> Result<(), StoreError> {
    metrics::counter!("gateway_store_calls_total").increment(1);
    let snapshot = store.read_all(CONFIG_KEY).await?;
    for item in snapshot.items {
        put(shared, item, &"store");
    }
    Ok(())
}

/// Takes all keys as they are.
fn reset<C: Clock>(shared: &Shared<C>, snapshot: Snapshot) {
    let listed: HashSet<&str> = snapshot
        .items
        .iter()
        .filter_map(|item| item.key.strip_prefix(SERVERS_PREFIX))
        .collect();
    remove_unlisted(shared, |instance| listed.contains(instance));
    let revision = snapshot.revision;
    for item in snapshot.items {
        put(shared, item, &"store");
    }
    shared.replica().advance(revision, true);
    shared.record_backends_read();
    shared.load_changed().notify();
}

/// Takes what a peer knows beyond this gateway.
pub(crate) fn adopt<C: Clock>(
    shared: &Shared<C>,
    items: Vec<KeyValue>,
    listed: &HashSet<String>,
    revision: u64,
    source: &impl std::fmt::Display,
) {
    remove_unlisted(shared, |instance| listed.contains(instance));
    for item in items {
        put(shared, item, source);
    }
    shared.replica().advance(revision, true);
    shared.record_backends_read();
}

fn remove_unlisted<C: Clock>(shared: &Shared<C>, is_listed: impl Fn(&str) -> bool) {
    let gone: Vec<Arc<str>> = {
        let fleet = shared.fleet();
        let gone = fleet.instances().filter(|instance| !is_listed(instance));
        gone.cloned().collect()
    };
    for instance in gone {
        delete(shared, &instance);
    }
    let mut replica = shared.replica();
    replica
        .servers
        .retain(|key, _| key.strip_prefix(SERVERS_PREFIX).is_some_and(&is_listed));
}

fn apply<C: Clock>(shared: &Shared<C>, change: Change) {
    match change {
        Change::Put(item) => put(shared, item, &"store"),
        Change::Deleted { key } => {
            if let Some(instance) = key.strip_prefix(SERVERS_PREFIX) {
                delete(shared, instance);
            } else if key == CONFIG_KEY {
                log::warn!("configuration was deleted; the last one stays");
            }
            shared.replica().servers.remove(&key);
        }
    }
}

fn put<C: Clock>(shared: &Shared<C>, item: KeyValue, source: &impl std::fmt::Display) {
    if item.key == CONFIG_KEY {
        offer_configuration(shared, item, source);
    } else if let Some(instance) = item.key.strip_prefix(SERVERS_PREFIX) {
        put_backend(shared, instance, &item);
        shared.replica().servers.insert(item.key.clone(), item);
    }
}

/// Takes a configuration that came from the store or from a peer, if it is newer.
fn offer_configuration<C: Clock>(
    shared: &Shared<C>,
    item: KeyValue,
    source: &impl std::fmt::Display,
) {
    match decode_operator_config(&item.value) {
        Ok(set) => {
            let version = set.version.0;
            let is_adopted = shared.offer_routes(set);
            log::info!(
                version = version,
                revision = item.revision,
                source:% = source,
                adopted = is_adopted;
                "configuration read"
            );
            if is_adopted {
                shared.replica().config = Some(item);
                shared.load_changed().notify();
            }
        }
        Err(e) => log::error!(revision = item.revision; "configuration not adopted: {e}"),
    }
}

fn put_backend<C: Clock>(shared: &Shared<C>, instance: &str, item: &KeyValue) {
    let now = shared.now();
    let Some(entry) = decode_backend_entry(instance, &item.value) else {
        log::warn!(
            instance = instance,
            revision = item.revision;
            "entry names no usable backend server"
        );
        shared.fleet().remove_instance(instance);
        shared.announce_gone();
        return;
    };
    let (service, is_draining) = (entry.service.clone(), entry.is_draining);
    let is_changed = shared.fleet().record_entry(entry, now);
    shared.announce_gone();
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

fn delete<C: Clock>(shared: &Shared<C>, instance: &str) {
    let now = shared.now();
    let may_return = shared.link().is_recovering(now);
    let mut fleet = shared.fleet();
    let is_changed = if may_return {
        fleet.record_missing(instance, now)
    } else {
        fleet.remove_instance(instance)
    };
    drop(fleet);
    shared.announce_gone();
    if is_changed {
        log::info!(
            instance = instance,
            may_return = may_return;
            "backend server left the list"
        );
    }
}
