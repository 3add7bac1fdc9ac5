//! Records which prompts end engines, refuses them, and shares what is known with peers and, in the
//! platform's store, with later incarnations of the gateways.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::Bytes;
use cactusbarrow_adapter::{KeyValue, Lease, StoreClient, StoreError};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    BackendEntry, Backoff, IncarnationId, LostAttempt, PartId, PromptParts, QuarantineConfig,
    QuarantineVerdict, ServiceId,
};
use cactusbarrow_protocol::generated::{
    GatewayHeartbeat, LostGeneration, PartRecord, QuarantinePage,
};
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;
use crate::stream_origins::write_interval;

/// Prefix of the keys that hold pages; the gateway's address follows.
pub(crate) const PAGES_PREFIX: &str = "quarantine/";

/// Time for which heartbeats repeat a lost attempt or a cleared part, in case some are not received.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// Largest numbers of entries in a heartbeat: lost attempts of up to 105 bytes, parts of 18 bytes.
const MAX_HEARTBEAT_LOSSES: usize = 3;
const MAX_HEARTBEAT_QUARANTINED: usize = 6;
const MAX_HEARTBEAT_CLEARED: usize = 4;

/// Delay before a page is written, so that what follows at once is on it, too.
const WRITE_DELAY: Duration = Duration::from_millis(300);

/// Age up to which a lease is used for another write. The page then stays for the rest of it.
const LEASE_REUSE: Duration = Duration::from_secs(120);

/// Back-off between calls while the store fails.
const RETRY_BACKOFF: Backoff =
    Backoff::new(Duration::from_millis(200), Duration::from_millis(2_000));

/// Records that an attempt ended with its engine before the response had begun.
pub(crate) fn record_loss<C: Clock>(
    shared: &Shared<C>,
    request_id: &str,
    engine: &BackendEntry,
    parts: &PromptParts,
) {
    let now = shared.now();
    let loss = LostAttempt {
        engine: IncarnationId::new(&engine.instance, engine.incarnation),
        parts: parts.clone(),
        lost_at: now,
    };
    log::info!(
        request_id = request_id,
        instance = &*engine.instance;
        "engine was lost before the response of a generation began"
    );
    let verdicts = shared.quarantine().record_loss(loss, true, now);
    publish(shared, &verdicts);
    shared.quarantine_signal().page.notify_one();
    shared.load_change().notify();
}

/// Records that the response to a prompt has begun.
pub(crate) fn record_begun<C: Clock>(shared: &Shared<C>, parts: &PromptParts) {
    let is_cleared = shared.quarantine().record_begun(parts, shared.now());
    if is_cleared {
        shared.quarantine_signal().page.notify_one();
        shared.load_change().notify();
    }
}

/// Returns for how long prompts with these parts are still refused; `None` if they are not.
pub(crate) fn time_left<C: Clock>(shared: &Shared<C>, parts: &PromptParts) -> Option<Duration> {
    let now = shared.now();
    let (time_left, verdicts) = {
        let mut quarantine = shared.quarantine();
        let verdicts = quarantine.judge(parts, now);
        (quarantine.time_left(parts, now), verdicts)
    };
    publish(shared, &verdicts);
    time_left
}

/// Waits until prompts with these parts are refused.
pub(crate) async fn wait_until_refused<C: Clock>(shared: &Shared<C>, parts: &PromptParts) {
    let mut changes = shared.quarantine_signal().verdicts.subscribe();
    while shared.quarantine().time_left(parts, shared.now()).is_none() {
        // The sender is dropped only with the gateway itself.
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Makes verdicts known to waiting attempts, to peers, in the log and in the store.
fn publish<C: Clock>(shared: &Shared<C>, verdicts: &[QuarantineVerdict]) {
    for verdict in verdicts {
        metrics::counter!("gateway_quarantined_parts_total").increment(1);
        log::warn!(
            part:% = part_name(verdict.part),
            events = verdict.events,
            prompts = verdict.prompts,
            loss_probability = verdict.loss_probability;
            "prompt part quarantined"
        );
    }
    if !verdicts.is_empty() {
        wake_attempts(shared);
        shared.quarantine_signal().page.notify_one();
        shared.load_change().notify();
    }
}

fn wake_attempts<C: Clock>(shared: &Shared<C>) {
    let verdicts = &shared.quarantine_signal().verdicts;
    verdicts.send_modify(|count| *count += 1);
}

fn part_name(part: PartId) -> String {
    format!("{:016x}", part.0)
}

/// Adds what peers need to know to a heartbeat.
pub(crate) fn add_to_heartbeat<C: Clock>(shared: &Shared<C>, heartbeat: &mut GatewayHeartbeat) {
    let now = shared.now();
    let is_recent = |at: Instant| now.saturating_duration_since(at) < REPEAT_TIME;
    let quarantine = shared.quarantine();
    heartbeat.lost_generations = quarantine
        .own_losses()
        .filter(|loss| is_recent(loss.lost_at))
        .take(MAX_HEARTBEAT_LOSSES)
        .map(|loss| loss_to_wire(loss, now))
        .collect();
    let mut quarantined = quarantine.quarantined();
    if !quarantined.is_empty() {
        // Heartbeats take turns with the parts that do not fit into one.
        let skipped = heartbeat.sequence as usize * MAX_HEARTBEAT_QUARANTINED;
        let count = quarantined.len();
        quarantined.rotate_left(skipped % count);
    }
    heartbeat.quarantined_parts = quarantined
        .iter()
        .take(MAX_HEARTBEAT_QUARANTINED)
        .map(|entry| part_to_wire(*entry, now))
        .collect();
    heartbeat.cleared_parts = quarantine
        .cleared()
        .iter()
        .filter(|(_, at)| is_recent(*at))
        .take(MAX_HEARTBEAT_CLEARED)
        .map(|entry| part_to_wire(*entry, now))
        .collect();
}

/// Applies what a peer's heartbeat says.
pub(crate) fn apply_heartbeat<C: Clock>(shared: &Shared<C>, heartbeat: &GatewayHeartbeat) {
    let now = shared.now();
    {
        let mut quarantine = shared.quarantine();
        for record in &heartbeat.cleared_parts {
            let (part, at) = part_from_wire(record, now, Duration::ZERO);
            quarantine.clear(part, at);
        }
    }
    let losses = heartbeat.lost_generations.iter();
    let losses = losses.map(|loss| loss_from_wire(loss, now, Duration::ZERO));
    apply_losses(shared, losses, false);
    adopt(shared, &heartbeat.quarantined_parts, Duration::ZERO);
}

fn apply_losses<C: Clock>(
    shared: &Shared<C>,
    losses: impl Iterator<Item = LostAttempt>,
    is_own: bool,
) {
    let now = shared.now();
    let mut verdicts = Vec::new();
    {
        let mut quarantine = shared.quarantine();
        for loss in losses {
            verdicts.extend(quarantine.record_loss(loss, is_own, now));
        }
    }
    publish(shared, &verdicts);
}

/// Adopts verdicts whose records were encoded `delay` ago.
fn adopt<C: Clock>(shared: &Shared<C>, records: &[PartRecord], delay: Duration) {
    let now = shared.now();
    let mut has_new = false;
    for record in records {
        let (part, since) = part_from_wire(record, now, delay);
        let is_new = shared.quarantine().adopt(part, since, now);
        if is_new {
            log::info!(part:% = part_name(part), age_ms = record.age_ms; "quarantine of a prompt part adopted");
        }
        has_new |= is_new;
    }
    if has_new {
        wake_attempts(shared);
        shared.load_change().notify();
    }
}

/// Applies a page from the store; returns whether the item is one.
pub(crate) fn apply_page<C: Clock>(shared: &Shared<C>, item: &KeyValue) -> bool {
    if !item.key.starts_with(PAGES_PREFIX) {
        return false;
    }
    let page = match QuarantinePage::decode(item.value.clone()) {
        Ok(page) => page,
        Err(e) => {
            log::warn!(key = item.key.as_str(); "page of quarantined parts cannot be decoded: {e}");
            return true;
        }
    };
    let now = shared.now();
    // A clock that jumped makes a page look newer or older than it is, but not newer than now.
    let delay = Duration::from_millis(wall_ms(shared).saturating_sub(page.written_ms));
    let is_own = item.key == page_key(shared.settings.ip);
    let losses = page.lost_generations.iter();
    let losses = losses.map(|loss| loss_from_wire(loss, now, delay));
    apply_losses(shared, losses, is_own);
    adopt(shared, &page.quarantined_parts, delay);
    true
}

/// Loads the pages of all gateways, then writes this gateway's until `stop` is cancelled.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    let sync = async {
        load_pages(&shared, &store).await;
        write_pages(&shared, &store).await;
    };
    stop.run_until_cancelled(sync).await;
}

async fn load_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient) {
    let mut failures = 0;
    loop {
        metrics::counter!("gateway_store_calls_total").increment(1);
        let known_era = shared.servers_position().era;
        match store.read_all(PAGES_PREFIX, known_era).await {
            Ok(snapshot) => {
                for item in &snapshot.items {
                    apply_page(shared, item);
                }
                return;
            }
            Err(e) => wait_for_retry(shared, "quarantined parts not read", &e, failures).await,
        }
        failures += 1;
    }
}

async fn write_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient) {
    let key = page_key(shared.settings.ip);
    let mut written = QuarantinePage::default();
    let mut lease: Option<(Lease, Instant)> = None;
    let mut failures = 0;
    loop {
        shared.quarantine_signal().page.notified().await;
        tokio::time::sleep(WRITE_DELAY).await;
        let is_rewrite = shared.quarantine_signal().take_rewrite();
        let page = encode_page(shared);
        if !is_rewrite && is_same_page(&page, &written) {
            continue;
        }
        if is_rewrite {
            lease = None;
        }
        match write_page(shared, store, &key, &page, &mut lease).await {
            Ok(()) => {
                written = page;
                failures = 0;
            }
            Err(e) => {
                lease = None;
                // The write is tried again even if nothing changes until then.
                shared.quarantine_signal().request_rewrite();
                wait_for_retry(shared, "quarantined parts not written", &e, failures).await;
                failures += 1;
            }
        }
        tokio::time::sleep(write_interval(shared)).await;
    }
}

async fn write_page<C: Clock>(
    shared: &Shared<C>,
    store: &StoreClient,
    key: &str,
    page: &QuarantinePage,
    lease: &mut Option<(Lease, Instant)>,
) -> Result<(), StoreError> {
    let now = shared.now();
    let is_fresh = |(_, at): &(Lease, Instant)| now.saturating_duration_since(*at) < LEASE_REUSE;
    let current = match lease.filter(|lease| is_fresh(lease)) {
        Some((current, _)) => current,
        None => {
            metrics::counter!("gateway_store_calls_total").increment(1);
            // Nothing on a page is of use for longer.
            let ttl = QuarantineConfig::default().memory;
            let created = store.create_lease(ttl).await?;
            *lease = Some((created, now));
            created
        }
    };
    metrics::counter!("gateway_store_calls_total").increment(1);
    let value = Bytes::from(page.encode_to_vec());
    store.put(key, &value, Some(current)).await
}

fn encode_page<C: Clock>(shared: &Shared<C>) -> QuarantinePage {
    let now = shared.now();
    let quarantine = shared.quarantine();
    let quarantined = quarantine.quarantined();
    QuarantinePage {
        written_ms: wall_ms(shared),
        lost_generations: quarantine
            .own_losses()
            .map(|loss| loss_to_wire(loss, now))
            .collect(),
        quarantined_parts: quarantined
            .iter()
            .map(|entry| part_to_wire(*entry, now))
            .collect(),
    }
}

/// Returns whether two pages have the same entries, whatever their ages.
fn is_same_page(a: &QuarantinePage, b: &QuarantinePage) -> bool {
    let entries = |page: &QuarantinePage| {
        let losses = page.lost_generations.iter();
        let losses = losses.map(|loss| (loss.engine, loss.unique_part, loss.shared_parts.clone()));
        let parts = page.quarantined_parts.iter().map(|record| record.part);
        (losses.collect::<Vec<_>>(), parts.collect::<Vec<_>>())
    };
    entries(a) == entries(b)
}

async fn wait_for_retry<C: Clock>(
    shared: &Shared<C>,
    what: &'static str,
    e: &StoreError,
    failures: u32,
) {
    log::info!(dependency = "store", step = e.step; "{what}: {e}");
    let wait = RETRY_BACKOFF.delay(failures, &mut *shared.rng());
    tokio::time::sleep(wait).await;
}

fn page_key(ip: IpAddr) -> String {
    format!("{PAGES_PREFIX}{ip}")
}

fn wall_ms<C: Clock>(shared: &Shared<C>) -> u64 {
    let since_epoch = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since: Duration| since.as_millis() as u64)
}

fn loss_to_wire(loss: &LostAttempt, now: Instant) -> LostGeneration {
    LostGeneration {
        engine: loss.engine.0,
        shared_parts: loss.parts.shared.iter().map(|part| part.0).collect(),
        unique_part: loss.parts.unique.map_or(0, |part| part.0),
        age_ms: age_ms(loss.lost_at, now),
        service: loss.parts.service.0,
    }
}

fn loss_from_wire(wire: &LostGeneration, now: Instant, delay: Duration) -> LostAttempt {
    LostAttempt {
        engine: IncarnationId(wire.engine),
        parts: PromptParts {
            service: ServiceId(wire.service),
            shared: wire.shared_parts.iter().map(|part| PartId(*part)).collect(),
            unique: (wire.unique_part != 0).then_some(PartId(wire.unique_part)),
        },
        lost_at: earlier(now, wire.age_ms, delay),
    }
}

fn part_to_wire((part, at): (PartId, Instant), now: Instant) -> PartRecord {
    PartRecord {
        part: part.0,
        age_ms: age_ms(at, now),
    }
}

fn part_from_wire(wire: &PartRecord, now: Instant, delay: Duration) -> (PartId, Instant) {
    (PartId(wire.part), earlier(now, wire.age_ms, delay))
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    age.try_into().unwrap_or(u32::MAX)
}

/// Returns the time `age_ms` and `delay` before `now`.
fn earlier(now: Instant, age_ms: u32, delay: Duration) -> Instant {
    let age = Duration::from_millis(age_ms.into()).saturating_add(delay);
    // A host that has just started has no instant that long ago.
    now.checked_sub(age).unwrap_or(now)
}
