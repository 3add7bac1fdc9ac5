//! Keeps the origins of streams in the platform's store.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{KeyValue, Snapshot, StoreClient, StoreError};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    Backoff, OriginConfig, ServedPage, ServedVersion, ServedVersions, ServiceId, SoftwareId,
    StoreEra, StorePosition, StreamId, StreamOrigin, origin_read_interval, origin_write_interval,
};
use cactusbarrow_protocol::generated::{
    ServedVersion as WireVersion, StreamOriginGroup, StreamOriginPage,
};
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::owned_key::{OwnedKey, OwnedKeyWrite};
use crate::shared::Shared;

/// Prefix of the keys that hold pages of origins; the gateway's address and the page's slot follow.
pub(crate) const PAGES_PREFIX: &str = "streams/";

/// Time after a failed read of all pages in which no other one begins.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(200);

/// Back-off between calls while the store fails.
const RETRY_BACKOFF: Backoff =
    Backoff::new(Duration::from_millis(200), Duration::from_millis(2_000));

/// Reads of all pages, of which one is in progress at a time.
#[derive(Debug, Default)]
pub(crate) struct PageReads {
    /// Number of reads that have begun.
    begun: AtomicU64,
    /// Stays locked during a read, so that other callers wait for its result or the next one.
    last: tokio::sync::Mutex<Option<LastRead>>,
}

#[derive(Debug)]
struct LastRead {
    /// Number of reads that had begun, with this one.
    number: u64,
    /// Time at which another read may begin.
    next_at: Instant,
    /// Versions that the pages tell; `None` if they could not be read.
    served: Option<ServedVersions>,
}

/// Reads the pages of all gateways, by a read that begins after this call: a stream that is resumed may have begun
/// just before at a version that no page named then. Calls beside each other share a read.
///
/// Returns the versions at which gateways may have begun streams; `None` if the store could not be read now or
/// just before.
pub(crate) async fn read_pages<C: Clock>(shared: &Shared<C>) -> Option<ServedVersions> {
    let reads = shared.page_reads();
    let begun_before = reads.begun.load(Ordering::Relaxed);
    let mut last_read = reads.last.lock().await;
    if let Some(last) = &*last_read {
        let wait = last.next_at.saturating_duration_since(shared.now());
        if last.number > begun_before || (last.served.is_none() && !wait.is_zero()) {
            return last.served.clone();
        }
        tokio::time::sleep(wait).await;
    }
    let number = reads.begun.fetch_add(1, Ordering::Relaxed) + 1;
    let now = shared.now();
    metrics::counter!("gateway_store_calls_total").increment(1);
    let known_era = shared.servers_position().era;
    let result = shared.store().read_all(PAGES_PREFIX, known_era).await;
    let served = match &result {
        Ok(snapshot) => {
            let items = snapshot.items.iter().filter(|item| is_page_key(&item.key));
            let pages: Vec<_> = items.map(decode_page).collect();
            for page in pages.iter().flatten() {
                record_origins(shared, page);
            }
            let served = pages.iter().map(Option::as_ref);
            let mut served: Vec<_> = served.map(|page| served_page(shared, page?)).collect();
            let damaged = snapshot.damaged_keys.iter().filter(|key| is_page_key(key));
            served.extend(damaged.map(|_| None));
            let retention = OriginConfig::default().retention;
            let era = snapshot.position.era;
            Some(ServedVersions::collect(&served, era, retention))
        }
        Err(e) => {
            log::warn!(dependency = "store", step = e.step; "origins not read: {e}");
            None
        }
    };
    // Callers that waited for a read that failed do not repeat it one after another.
    let next_at = if result.is_ok() {
        now + read_interval(shared)
    } else {
        shared.now() + FAILED_READ_PAUSE
    };
    *last_read = Some(LastRead {
        number,
        next_at,
        served: served.clone(),
    });
    served
}

/// Returns what a page tells about the versions that its gateway served; `None` for one that states no time, since
/// another writer has cut it short, or an earlier release wrote it.
fn served_page<C: Clock>(shared: &Shared<C>, page: &StreamOriginPage) -> Option<ServedPage> {
    let written_at = Duration::from_millis(page.unix_ms);
    (page.unix_ms > 0).then(|| ServedPage {
        served: page.served.iter().copied().map(version_from_wire).collect(),
        age: shared.unix_time().saturating_sub(written_at),
        is_complete: !page.is_incomplete,
        era: StoreEra(page.store_era),
        era_age: Duration::from_millis(page.era_age_ms),
    })
}

/// Records the origins on a page; returns whether the item is a page.
pub(crate) fn apply_page<C: Clock>(shared: &Shared<C>, item: &KeyValue) -> bool {
    if !item.key.starts_with(PAGES_PREFIX) {
        return false;
    }
    if is_page_key(&item.key)
        && let Some(page) = decode_page(item)
    {
        record_origins(shared, &page);
    }
    true
}

/// Returns whether a gateway may have a page under a key.
fn is_page_key(key: &str) -> bool {
    let page = key.strip_prefix(PAGES_PREFIX);
    page.and_then(|page| page.split_once('/'))
        .is_some_and(|(ip, slot)| {
            let slots = OriginConfig::default().page_count();
            ip.parse::<IpAddr>().is_ok() && slot.parse::<usize>().is_ok_and(|slot| slot < slots)
        })
}

fn record_origins<C: Clock>(shared: &Shared<C>, page: &StreamOriginPage) {
    let now = shared.now();
    let mut table = shared.origins();
    for origin in origins_of(page) {
        table.record(origin, now);
    }
}

/// Writes this gateway's pages until `stop` is cancelled.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    let write = async {
        let keys = load_pages(&shared, &store).await;
        write_pages(&shared, &store, keys).await;
    };
    stop.run_until_cancelled(write).await;
}

/// The key of each slot; a slot without one holds no item.
type SlotKeys = HashMap<usize, OwnedKey>;

/// Loads the pages that an earlier incarnation of this gateway wrote; returns their keys.
async fn load_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient) -> SlotKeys {
    let prefix = page_prefix(shared.settings.ip);
    let mut failures = 0;
    let Snapshot {
        mut items,
        damaged_keys,
        position,
    } = loop {
        metrics::counter!("gateway_store_calls_total").increment(1);
        let known_era = shared.servers_position().era;
        match store.read_all(&prefix, known_era).await {
            Ok(snapshot) => break snapshot,
            Err(e) => {
                log::info!(dependency = "store", step = e.step; "own origins not read: {e}");
                wait_for_retry(shared, failures).await;
                failures += 1;
            }
        }
    };
    items.sort_by_key(|item| item.position);
    let slot_of = |item: &KeyValue| item.key.strip_prefix(&prefix)?.parse::<usize>().ok();
    let stored = items
        .iter()
        .filter_map(|item| Some((slot_of(item)?, origins_of(&decode_page(item)?).collect())));
    shared.origin_pages().load(stored.collect(), shared.now());
    if damaged_keys.iter().any(|key| is_page_key(key)) {
        shared.versions().record_unknown(shared.now());
    }
    for item in &items {
        match decode_page(item) {
            Some(page) => {
                record_origins(shared, &page);
                record_served(shared, &page, position.era);
            }
            None => shared.versions().record_unknown(shared.now()),
        }
    }
    let keys = items
        .iter()
        .filter_map(|item| Some((slot_of(item)?, OwnedKey::holding(item))));
    keys.collect()
}

/// Records what another write has left on a page since it was read: an earlier incarnation's, or an earlier one of
/// this gateway that was not answered.
fn record_late_page<C: Clock>(shared: &Shared<C>, item: &KeyValue) {
    match decode_page(item) {
        Some(page) => {
            record_origins(shared, &page);
            record_served(shared, &page, shared.servers_position().era);
        }
        None => shared.versions().record_unknown(shared.now()),
    }
}

/// Records the versions that an earlier incarnation of this gateway served, so that the next write of the page
/// names them.
fn record_served<C: Clock>(shared: &Shared<C>, page: &StreamOriginPage, era: StoreEra) {
    let now = shared.now();
    let Some(served) = served_page(shared, page) else {
        shared.versions().record_unknown(now);
        return;
    };
    if served.age >= ServedVersions::PAGE_EXPIRY {
        return;
    }
    // The store has returned to a copy since, which may lack a newer page.
    if !served.is_complete || served.era != era {
        shared.versions().record_unknown(now);
    }
    for (service, software) in served.served {
        shared.versions().record(service, software, now);
    }
}

/// Writes pages as they change.
async fn write_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient, mut keys: SlotKeys) {
    let prefix = page_prefix(shared.settings.ip);
    let mut failures = 0;
    loop {
        // Before the list has been read, the era and the versions of a page would be wrong.
        let has_list = shared.servers_position() != StorePosition::default();
        let unwritten = has_list.then(|| shared.origin_pages().take_unwritten());
        let Some((slot, origins)) = unwritten.flatten() else {
            tokio::select! {
                () = shared.origin_change().notified() => {}
                () = tokio::time::sleep(ServedVersions::REFRESH_INTERVAL) => {
                    shared.origin_pages().refresh();
                }
            }
            continue;
        };
        metrics::counter!("gateway_store_calls_total").increment(1);
        let served = served_versions(shared);
        let page = encode_page(shared, &origins, &served);
        let key = format!("{prefix}{slot}");
        let owned = keys.entry(slot).or_insert_with(OwnedKey::empty);
        match owned.write(store, &key, &page, None).await {
            Ok(OwnedKeyWrite::Written) => {
                failures = 0;
                shared.record_stored(served.into_iter());
                shared.origin_pages().record_written(slot);
            }
            Ok(OwnedKeyWrite::Conflict(current)) => {
                if let Some(item) = &current {
                    record_late_page(shared, item);
                }
                shared.origin_pages().record_unwritten(slot);
            }
            Err(e) => {
                record_write_failure(&e);
                shared.origin_pages().record_unwritten(slot);
                wait_for_retry(shared, failures).await;
                failures += 1;
            }
        }
        tokio::time::sleep(write_interval(shared)).await;
    }
}

fn record_write_failure(e: &StoreError) {
    metrics::counter!("gateway_origin_write_failures_total").increment(1);
    log::info!(dependency = "store", step = e.step; "origins not written: {e}");
}

async fn wait_for_retry<C: Clock>(shared: &Shared<C>, failures: u32) {
    let wait = RETRY_BACKOFF.delay(failures, &mut *shared.rng());
    tokio::time::sleep(wait).await;
}

pub(crate) fn write_interval<C: Clock>(shared: &Shared<C>) -> Duration {
    let gateways = shared.peers().live_peers(shared.now()).count() + 1;
    origin_write_interval(gateways, shared.settings.store_writes_per_s)
}

fn read_interval<C: Clock>(shared: &Shared<C>) -> Duration {
    let gateways = shared.peers().live_peers(shared.now()).count() + 1;
    origin_read_interval(gateways, shared.settings.store_reads_per_s)
}

fn page_prefix(ip: IpAddr) -> String {
    format!("{PAGES_PREFIX}{ip}/")
}

fn encode_page<C: Clock>(
    shared: &Shared<C>,
    origins: &[StreamOrigin],
    served: &HashSet<ServedVersion>,
) -> Bytes {
    let era = shared.servers_position().era;
    let era_age = shared.versions().record_era(era, shared.now());
    let mut page = StreamOriginPage {
        served: served.iter().copied().map(version_to_wire).collect(),
        unix_ms: shared.unix_time().as_millis() as u64,
        store_era: era.0,
        era_age_ms: era_age.as_millis() as u64,
        is_incomplete: !shared.versions().is_known(shared.now()),
        ..StreamOriginPage::default()
    };
    for origin in origins {
        let (service, software) = (origin.service.0, origin.software.0);
        let is_same =
            |group: &&mut StreamOriginGroup| (group.service, group.software) == (service, software);
        match page.groups.iter_mut().find(is_same) {
            Some(group) => group.streams.push(origin.stream.0),
            None => page.groups.push(StreamOriginGroup {
                service,
                software,
                streams: vec![origin.stream.0],
            }),
        }
    }
    page.encode_to_vec().into()
}

/// Decodes a page; returns `None` for one that another writer has damaged.
fn decode_page(item: &KeyValue) -> Option<StreamOriginPage> {
    match StreamOriginPage::decode(item.value.clone()) {
        Ok(page) => Some(page),
        Err(e) => {
            log::warn!(key = item.key.as_str(); "page of origins cannot be decoded: {e}");
            None
        }
    }
}

/// Returns the origins on a page.
fn origins_of(page: &StreamOriginPage) -> impl Iterator<Item = StreamOrigin> + '_ {
    page.groups.iter().flat_map(|group| {
        group.streams.iter().map(|stream| StreamOrigin {
            stream: StreamId(*stream),
            service: ServiceId(group.service),
            software: SoftwareId(group.software),
        })
    })
}

pub(crate) fn version_to_wire((service, software): ServedVersion) -> WireVersion {
    WireVersion {
        service: service.0,
        software: software.0,
    }
}

pub(crate) fn version_from_wire(wire: WireVersion) -> ServedVersion {
    (ServiceId(wire.service), SoftwareId(wire.software))
}

/// Returns the versions at which this gateway begins streams or recently did.
fn served_versions<C: Clock>(shared: &Shared<C>) -> HashSet<ServedVersion> {
    let mut served = shared.fleet().served_versions();
    served.extend(shared.versions().recent(shared.now()));
    served
}

/// Has the page written again if the store does not show all versions that are listed.
pub(crate) fn check_served<C: Clock>(shared: &Shared<C>) {
    let served = shared.fleet().served_versions();
    let is_stored = {
        let versions = shared.versions();
        let mut served = served.iter();
        served.all(|(service, software)| versions.is_own_stored(*service, *software))
    };
    if !is_stored {
        shared.origin_pages().refresh();
        shared.origin_change().notify_one();
    }
}
