//! Follows the platform's store: the configuration and the list of backend servers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{
    CONFIG_PREFIX, Change, Item, SERVERS_PREFIX, Snapshot, StoreClient, StoreFailure, Watched,
    decode_backend_entry, decode_operator_config,
};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::Backoff;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Longest wait of one watch; a silent connection is noticed soon after it.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);

/// Time beyond a call's own wait after which the store is taken for unreachable.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Waits between calls while the store fails.
const RETRY_WAIT: Backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(400));

/// Outage after which vanished entries may have lapsed; their owners were alive all the while.
const LAPSE_AFTER: Duration = Duration::from_millis(1_500);

/// Time after an outage in which vanished entries may come back.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// What a follower does with the keys it follows.
trait Follower {
    /// Beginning of the keys.
    const PREFIX: &'static str;

    /// Takes all keys as they are.
    fn reset(&mut self, snapshot: Snapshot, is_recovering: bool);

    /// Takes one change.
    fn apply(&mut self, change: Change, is_recovering: bool);

    /// Takes the store revision up to which all changes were taken.
    fn advance(&mut self, _revision: u64) {}

    /// Returns the store revision that a peer's word has brought, if any.
    fn learned_revision(&self) -> u64 {
        0
    }

    /// Records whether the store answers.
    fn record_link(&mut self, _is_away: bool) {}
}

/// Whether the store answers, as one follower sees it.
struct Link {
    prefix: &'static str,
    failing_since: Option<Instant>,
    failures: u32,
    recovering_until: Option<Instant>,
}

impl Link {
    fn record_failure(&mut self, e: &StoreFailure, now: Instant) {
        if self.failing_since.is_none() {
            log::warn!(dependency = "store", keys = self.prefix, step = e.step; "store lost: {e}");
        }
        metrics::counter!("gateway_store_failures_total", "step" => e.step).increment(1);
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    fn record_success(&mut self, now: Instant) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let outage = now.saturating_duration_since(since);
        log::info!(
            dependency = "store",
            keys = self.prefix,
            outage_ms = outage.as_millis() as u64,
            failures = self.failures;
            "store regained"
        );
        self.failures = 0;
        if outage >= LAPSE_AFTER {
            self.recovering_until = Some(now + RETURN_TIME);
        }
    }

    fn is_recovering(&self, now: Instant) -> bool {
        self.recovering_until.is_some_and(|until| now < until)
    }
}

/// Follows the operators' configuration until `stop`.
pub(crate) async fn follow_configuration<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    let follower = Configuration {
        shared: shared.clone(),
    };
    stop.run_until_cancelled(follow(shared, store, follower))
        .await;
}

/// Follows the list of backend servers until `stop`.
pub(crate) async fn follow_backends<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    let follower = Backends {
        shared: shared.clone(),
    };
    stop.run_until_cancelled(follow(shared, store, follower))
        .await;
}

async fn follow<C: Clock, F: Follower>(shared: Arc<Shared<C>>, store: StoreClient, mut f: F) {
    let mut link = Link {
        prefix: F::PREFIX,
        failing_since: None,
        failures: 0,
        recovering_until: None,
    };
    let mut revision = None;
    loop {
        let result = step(&store, &mut f, &mut link, &mut revision, &shared).await;
        if let Err(e) = result {
            link.record_failure(&e, shared.now());
            f.record_link(true);
            let wait = RETRY_WAIT.delay(link.failures, &mut *shared.rng());
            tokio::time::sleep(wait).await;
        }
    }
}

/// Reads all keys, or waits for the next changes.
async fn step<C: Clock, F: Follower>(
    store: &StoreClient,
    f: &mut F,
    link: &mut Link,
    revision: &mut Option<u64>,
    shared: &Shared<C>,
) -> Result<(), StoreFailure> {
    let Some(after) = revision.map(|revision| revision.max(f.learned_revision())) else {
        let snapshot = store.read_all(F::PREFIX).await?;
        let now = shared.now();
        link.record_success(now);
        *revision = Some(snapshot.revision);
        f.record_link(false);
        f.reset(snapshot, link.is_recovering(now));
        return Ok(());
    };
    // A store that was away is asked without a wait, so that its return shows at once.
    let wait = if link.failing_since.is_some() {
        Duration::ZERO
    } else {
        WATCH_WAIT
    };
    let watched = store.watch(F::PREFIX, after, wait).await?;
    let now = shared.now();
    link.record_success(now);
    f.record_link(false);
    match watched {
        Watched::HistoryGone => {
            log::info!(keys = F::PREFIX, revision = after; "store dropped its history");
            *revision = None;
        }
        Watched::Changes {
            changes,
            revision: newest,
        } => {
            *revision = Some(newest.max(after));
            for change in changes {
                f.apply(change, link.is_recovering(now));
            }
            f.advance(newest);
        }
    }
    Ok(())
}

/// Takes a configuration that came from the store or from a peer, if it is newer.
pub(crate) fn offer_configuration<C: Clock>(
    shared: &Shared<C>,
    item: &Item,
    source: &impl std::fmt::Display,
) {
    match decode_operator_config(&item.value) {
        Ok(set) => {
            let version = set.version.0;
            let is_adopted = shared.offer_routes(set);
            if is_adopted {
                shared.replica().config = Some(item.clone());
            }
            log::info!(
                version = version,
                revision = item.revision,
                source:% = source,
                adopted = is_adopted;
                "configuration read"
            );
        }
        Err(e) => log::error!(revision = item.revision; "configuration not adopted: {e}"),
    }
}

/// Takes a list of backend servers that a peer read from the store.
pub(crate) fn adopt_backends<C: Clock>(shared: &Arc<Shared<C>>, snapshot: Snapshot) {
    let mut backends = Backends {
        shared: shared.clone(),
    };
    backends.reset(snapshot, false);
}

struct Configuration<C> {
    shared: Arc<Shared<C>>,
}

impl<C: Clock> Configuration<C> {
    fn offer(&self, item: &Item) {
        if item.key == CONFIG_PREFIX {
            offer_configuration(&self.shared, item, &"store");
        }
    }
}

impl<C: Clock> Follower for Configuration<C> {
    const PREFIX: &'static str = CONFIG_PREFIX;

    fn reset(&mut self, snapshot: Snapshot, _is_recovering: bool) {
        for item in &snapshot.items {
            self.offer(item);
        }
    }

    fn apply(&mut self, change: Change, _is_recovering: bool) {
        match change {
            Change::Put(item) => self.offer(&item),
            Change::Deleted { key } => {
                log::warn!(key = key.as_str(); "configuration was deleted; the last one stays");
            }
        }
    }
}

struct Backends<C> {
    shared: Arc<Shared<C>>,
}

impl<C: Clock> Backends<C> {
    fn put(&self, item: &Item) {
        let Some(instance) = item.key.strip_prefix(SERVERS_PREFIX) else {
            return;
        };
        let now = self.shared.now();
        let Some(entry) = decode_backend_entry(instance, &item.value) else {
            log::warn!(
                instance = instance,
                revision = item.revision;
                "entry names no usable backend server"
            );
            self.shared.fleet().remove_instance(instance);
            return;
        };
        let (service, is_draining) = (entry.service.clone(), entry.is_draining);
        if self.shared.fleet().record_entry(entry, now) {
            log::info!(
                instance = instance,
                service = &*service,
                revision = item.revision,
                draining = is_draining;
                "backend server listed"
            );
        }
    }

    fn delete(&self, instance: &str, is_recovering: bool) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet();
        let is_changed = if is_recovering {
            fleet.record_missing(instance, now)
        } else {
            fleet.remove_instance(instance)
        };
        if is_changed {
            log::info!(
                instance = instance,
                may_return = is_recovering;
                "backend server left the list"
            );
        }
    }
}

impl<C: Clock> Follower for Backends<C> {
    const PREFIX: &'static str = SERVERS_PREFIX;

    fn reset(&mut self, snapshot: Snapshot, is_recovering: bool) {
        let listed: HashSet<&str> = snapshot
            .items
            .iter()
            .filter_map(|item| item.key.strip_prefix(SERVERS_PREFIX))
            .collect();
        let missing: Vec<Arc<str>> = {
            let fleet = self.shared.fleet();
            let known = fleet.instances().filter(|i| !listed.contains(&***i));
            known.cloned().collect()
        };
        for instance in missing {
            self.delete(&instance, is_recovering);
        }
        for item in &snapshot.items {
            self.put(item);
        }
        let mut replica = self.shared.replica();
        replica.servers_revision = replica.servers_revision.max(snapshot.revision);
        replica.servers = snapshot
            .items
            .into_iter()
            .map(|item| (item.key.clone(), item))
            .collect();
        drop(replica);
        self.shared.has_backends.send_replace(true);
    }

    fn apply(&mut self, change: Change, is_recovering: bool) {
        match change {
            Change::Put(item) => {
                self.put(&item);
                let mut replica = self.shared.replica();
                replica.servers.insert(item.key.clone(), item);
            }
            Change::Deleted { key } => {
                if let Some(instance) = key.strip_prefix(SERVERS_PREFIX) {
                    self.delete(instance, is_recovering);
                }
                self.shared.replica().servers.remove(&key);
            }
        }
    }

    fn advance(&mut self, revision: u64) {
        let mut replica = self.shared.replica();
        replica.servers_revision = replica.servers_revision.max(revision);
    }

    fn learned_revision(&self) -> u64 {
        self.shared.servers_revision()
    }

    fn record_link(&mut self, is_away: bool) {
        self.shared.set_store_away(is_away);
    }
}
