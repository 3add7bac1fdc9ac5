//! Keeps the origins of streams in the platform's store.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{KeyValue, StoreClient, StoreError};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    Backoff, ServiceId, SoftwareId, StreamId, StreamOrigin, origin_write_interval,
};
use cactusbarrow_protocol::generated::{StreamOriginGroup, StreamOriginPage};
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Prefix of the keys that hold pages of origins; the gateway's address and the page's slot follow.
pub(crate) const PAGES_PREFIX: &str = "streams/";

/// Shortest time between two reads of all pages.
const READ_INTERVAL: Duration = Duration::from_millis(200);

/// Back-off between calls while the store fails.
const RETRY_BACKOFF: Backoff =
    Backoff::new(Duration::from_millis(200), Duration::from_millis(2_000));

/// Time within which the store may execute a write to which it did not respond. Such a write may
/// replace a newer page.
const LATE_WRITE_TIME: Duration = Duration::from_secs(5);

/// Time and success of the last read of all pages: its start, or its end if it failed. It stays
/// locked during a read, so that other callers wait for its result.
pub(crate) type LastRead = tokio::sync::Mutex<Option<(Instant, bool)>>;

/// Reads the pages of all gateways, unless the last read was just now; returns whether it succeeded.
pub(crate) async fn read_pages<C: Clock>(shared: &Shared<C>) -> bool {
    let mut last_read = shared.last_origin_read().lock().await;
    let now = shared.now();
    if let Some((at, is_ok)) = *last_read
        && now.saturating_duration_since(at) < READ_INTERVAL
    {
        return is_ok;
    }
    metrics::counter!("gateway_store_calls_total").increment(1);
    let known_era = shared.servers_position().era;
    let result = shared.store().read_all(PAGES_PREFIX, known_era).await;
    match &result {
        Ok(snapshot) => {
            for item in &snapshot.items {
                apply_page(shared, item);
            }
        }
        Err(e) => log::warn!(dependency = "store", step = e.step; "origins not read: {e}"),
    }
    // Callers that waited for a read that failed do not repeat it one after another.
    let at = if result.is_ok() { now } else { shared.now() };
    *last_read = Some((at, result.is_ok()));
    result.is_ok()
}

/// Records the origins on a page; returns whether the item is a page.
pub(crate) fn apply_page<C: Clock>(shared: &Shared<C>, item: &KeyValue) -> bool {
    if !item.key.starts_with(PAGES_PREFIX) {
        return false;
    }
    let now = shared.now();
    let mut table = shared.origins();
    for origin in decode_page(item) {
        table.record(origin, now);
    }
    true
}

/// Writes this gateway's pages until `stop` is cancelled.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    let write = async {
        load_pages(&shared, &store).await;
        write_pages(&shared, &store).await;
    };
    stop.run_until_cancelled(write).await;
}

/// Loads the pages that an earlier incarnation of this gateway wrote.
async fn load_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient) {
    let prefix = page_prefix(shared.settings.ip);
    let mut failures = 0;
    let mut items = loop {
        metrics::counter!("gateway_store_calls_total").increment(1);
        let known_era = shared.servers_position().era;
        match store.read_all(&prefix, known_era).await {
            Ok(snapshot) => break snapshot.items,
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
        .filter_map(|item| Some((slot_of(item)?, decode_page(item))));
    shared.origin_pages().load(stored.collect(), shared.now());
    for item in &items {
        apply_page(shared, item);
    }
}

async fn write_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient) {
    let prefix = page_prefix(shared.settings.ip);
    let mut failures = 0;
    // Page whose write may have failed, and when it is written once more.
    let mut uncertain: Option<(usize, Instant)> = None;
    loop {
        let unwritten = shared.origin_pages().take_unwritten();
        let Some((slot, origins)) = unwritten else {
            tokio::select! {
                () = shared.origin_change().notified() => {}
                slot = wait_for_repeat(uncertain) => {
                    uncertain = None;
                    shared.origin_pages().record_unwritten(slot);
                }
            }
            continue;
        };
        metrics::counter!("gateway_store_calls_total").increment(1);
        match store
            .put(&format!("{prefix}{slot}"), &encode_page(&origins), None)
            .await
        {
            Ok(()) => {
                failures = 0;
                shared.origin_pages().record_written(slot);
            }
            Err(e) => {
                record_write_failure(&e);
                shared.origin_pages().record_unwritten(slot);
                uncertain = Some((slot, shared.now() + LATE_WRITE_TIME));
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

/// Waits until the page is due to be written once more; waits forever if there is none.
async fn wait_for_repeat(uncertain: Option<(usize, Instant)>) -> usize {
    match uncertain {
        Some((slot, due)) => {
            tokio::time::sleep_until(due.into()).await;
            slot
        }
        None => std::future::pending().await,
    }
}

async fn wait_for_retry<C: Clock>(shared: &Shared<C>, failures: u32) {
    let wait = RETRY_BACKOFF.delay(failures, &mut *shared.rng());
    tokio::time::sleep(wait).await;
}

pub(crate) fn write_interval<C: Clock>(shared: &Shared<C>) -> Duration {
    let gateways = shared.peers().live_peers(shared.now()).count() + 1;
    origin_write_interval(gateways, shared.settings.store_writes_per_s)
}

fn page_prefix(ip: IpAddr) -> String {
    format!("{PAGES_PREFIX}{ip}/")
}

fn encode_page(origins: &[StreamOrigin]) -> Bytes {
    let mut page = StreamOriginPage::default();
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

/// Decodes a page; one that another writer has damaged holds no origins.
fn decode_page(item: &KeyValue) -> Vec<StreamOrigin> {
    let page = match StreamOriginPage::decode(item.value.clone()) {
        Ok(page) => page,
        Err(e) => {
            log::warn!(key = item.key.as_str(); "page of origins cannot be decoded: {e}");
            return Vec::new();
        }
    };
    let groups = page.groups.iter();
    let origins = groups.flat_map(|group| {
        group.streams.iter().map(|stream| StreamOrigin {
            stream: StreamId(*stream),
            service: ServiceId(group.service),
            software: SoftwareId(group.software),
        })
    });
    origins.collect()
}
