//! Records which requests and prompts end engines, refuses them, and shares what is known with peers
//! and, in the platform's store, with later incarnations of the gateways.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::Bytes;
use cactusbarrow_adapter::{KeyValue, Lease, StoreClient, StoreError};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    BackendEntry, Backoff, FingerprintKey, IncarnationId, LostAttempt, PartId, QuarantineConfig,
    QuarantineVerdict, RequestParts, ServiceId,
};
use cactusbarrow_protocol::generated::{
    FingerprintKeyRecord, GatewayHeartbeat, LostGeneration, PartRecord, QuarantinePage,
};
use prost::Message;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::engine_end::has_ended;
use crate::origin_store::write_interval;
use crate::owned_key::{OwnedKey, OwnedKeyWrite};
use crate::shared::Shared;

/// Prefix of the keys that hold pages; the gateway's address follows.
pub(crate) const PAGES_PREFIX: &str = "quarantine/";

/// Time for which heartbeats repeat a lost attempt or a cleared part, in case some are not received.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// Largest size of the lost attempts in a heartbeat. One of a plain call takes about 40 bytes, one of
/// a generation up to 120.
const MAX_HEARTBEAT_LOSS_BYTES: usize = 360;

/// Size of the tag and the length of a lost attempt.
const LOSS_HEADER_BYTES: usize = 3;

/// Largest numbers of other entries in a heartbeat, of 18 bytes each.
const MAX_HEARTBEAT_QUARANTINED: usize = 6;
const MAX_HEARTBEAT_CLEARED: usize = 4;

/// Number of heartbeat entries by which the less suspicious lost attempts take turns.
const LOSS_ROTATION: usize = 4;

/// Delay before a page is written, so that what follows at once is on it, too.
const WRITE_DELAY: Duration = Duration::from_millis(300);

/// Age up to which a lease is used for another write. The page then stays for the rest of it.
const LEASE_REUSE: Duration = Duration::from_secs(120);

/// Back-off between calls while the store fails.
const RETRY_BACKOFF: Backoff =
    Backoff::new(Duration::from_millis(200), Duration::from_millis(2_000));

/// An attempt whose connection broke before the response had clearly begun.
pub(crate) struct BrokenAttempt {
    pub(crate) request_id: String,
    pub(crate) engine: BackendEntry,
    /// Parts of the request that may be at fault.
    pub(crate) parts: RequestParts,
    pub(crate) sent_at: Instant,
    /// Whether the attempt counts against parts of its prompt although the engine may go on.
    pub(crate) counts_unconfirmed: bool,
}

/// Finds out in the background whether an attempt ended with its engine, and records that.
///
/// The returned task ends once it is recorded.
pub(crate) fn record_broken<C: Clock>(
    shared: &Arc<Shared<C>>,
    attempt: BrokenAttempt,
) -> JoinHandle<()> {
    let shared = shared.clone();
    let lost_at = shared.now();
    tokio::spawn(async move {
        let has_ended = has_ended(&shared, &attempt.engine).await;
        if !has_ended && !attempt.counts_unconfirmed {
            return;
        }
        let request = attempt.parts.request.filter(|_| has_ended);
        let parts = RequestParts {
            request,
            ..attempt.parts
        };
        log::info!(
            request_id = attempt.request_id.as_str(),
            fingerprint = request.map(part_name),
            instance = &*attempt.engine.instance,
            has_ended = has_ended,
            run_ms = (lost_at - attempt.sent_at).as_millis() as u64;
            "engine was lost before its response began"
        );
        let loss = LostAttempt {
            engine: IncarnationId::new(&attempt.engine.instance, attempt.engine.incarnation),
            parts: parts.clone(),
            sent_at: attempt.sent_at,
            lost_at,
        };
        record_loss(&shared, loss);
        tokio::spawn(async move {
            settle(&shared, &parts).await;
            // Attempts that run are then cancelled, even if no other one asks.
            time_left(&shared, &parts);
        });
    })
}

/// Records the same; returns at once unless the request may be quarantined for it.
///
/// Another attempt at such a request could end one more engine.
pub(crate) async fn record_broken_before_retry<C: Clock>(
    shared: &Arc<Shared<C>>,
    attempt: BrokenAttempt,
) {
    let is_suspected = shared.quarantine().is_suspected(&attempt.parts);
    let recorded = record_broken(shared, attempt);
    if is_suspected && let Err(e) = recorded.await {
        log::warn!("the end of an engine was not checked: {e}");
    }
}

fn record_loss<C: Clock>(shared: &Shared<C>, loss: LostAttempt) {
    let now = shared.now();
    let verdicts = shared.quarantine().record_loss(loss, true, now);
    publish(shared, &verdicts);
    shared.quarantine_signal().page.notify_one();
    shared.load_change().notify();
}

/// Waits until a request may be judged by what peers reported, if that is being awaited.
pub(crate) async fn settle<C: Clock>(shared: &Shared<C>, parts: &RequestParts) {
    loop {
        let left = shared.quarantine().settling_time(parts, shared.now());
        match left {
            Some(left) => tokio::time::sleep(left).await,
            None => return,
        }
    }
}

/// Records that the response to a prompt has begun.
pub(crate) fn record_begun<C: Clock>(shared: &Shared<C>, parts: &RequestParts) {
    let is_cleared = shared.quarantine().record_begun(parts, shared.now());
    if is_cleared {
        shared.quarantine_signal().page.notify_one();
        shared.load_change().notify();
    }
}

/// Returns for how long prompts with these parts are still refused; `None` if they are not.
pub(crate) fn time_left<C: Clock>(shared: &Shared<C>, parts: &RequestParts) -> Option<Duration> {
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
pub(crate) async fn wait_until_refused<C: Clock>(shared: &Shared<C>, parts: &RequestParts) {
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
            kind = verdict.kind.as_str(),
            events = verdict.events,
            prompts = verdict.prompts,
            loss_probability = verdict.loss_probability;
            "request or prompt part quarantined"
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
    let losses = quarantine.own_losses_by_suspicion();
    let mut losses: Vec<_> = losses
        .into_iter()
        .filter(|(_, loss)| is_recent(loss.lost_at))
        .collect();
    // Those that share nothing with another one take turns in the room that is left.
    let others = losses.partition_point(|(count, _)| *count > 1);
    let others = &mut losses[others..];
    if !others.is_empty() {
        let skipped = heartbeat.sequence as usize * LOSS_ROTATION;
        others.rotate_left(skipped % others.len());
    }
    let losses = losses.iter().map(|(_, loss)| loss_to_wire(loss, now));
    heartbeat.lost_generations = losses_that_fit(losses);
    heartbeat.fingerprint_key = Some(key_to_wire(shared, now));
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

/// Returns the first lost attempts, as many as a heartbeat has room for.
fn losses_that_fit(losses: impl Iterator<Item = LostGeneration>) -> Vec<LostGeneration> {
    let mut room = MAX_HEARTBEAT_LOSS_BYTES;
    let fits = |loss: &LostGeneration| {
        let left = room.checked_sub(loss.encoded_len() + LOSS_HEADER_BYTES);
        room = left.unwrap_or(room);
        left.is_some()
    };
    losses.take_while(fits).collect()
}

/// Applies what a peer's heartbeat says.
pub(crate) fn apply_heartbeat<C: Clock>(shared: &Shared<C>, heartbeat: &GatewayHeartbeat) {
    let now = shared.now();
    offer_key(shared, heartbeat.fingerprint_key.as_ref(), Duration::ZERO);
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
            log::info!(part:% = part_name(part), age_ms = record.age_ms; "quarantine adopted");
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
    offer_key(shared, page.fingerprint_key.as_ref(), delay);
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
        let own_key = load_pages(&shared, &store).await;
        write_pages(&shared, &store, own_key).await;
    };
    stop.run_until_cancelled(sync).await;
}

/// Applies the pages of all gateways; returns the key of this gateway's.
async fn load_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient) -> OwnedKey {
    let own_key = page_key(shared.settings.ip);
    let mut failures = 0;
    loop {
        metrics::counter!("gateway_store_calls_total").increment(1);
        let known_era = shared.servers_position().era;
        match store.read_all(PAGES_PREFIX, known_era).await {
            Ok(snapshot) => {
                for item in &snapshot.items {
                    apply_page(shared, item);
                }
                let own = snapshot.items.iter().find(|item| item.key == own_key);
                return own.map_or_else(OwnedKey::empty, OwnedKey::holding);
            }
            Err(e) => wait_for_retry(shared, "quarantined parts not read", &e, failures).await,
        }
        failures += 1;
    }
}

async fn write_pages<C: Clock>(shared: &Shared<C>, store: &StoreClient, mut own_key: OwnedKey) {
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
        match write_page(shared, store, &mut own_key, &page, &mut lease).await {
            Ok(OwnedKeyWrite::Written) => {
                written = page;
                failures = 0;
            }
            Ok(OwnedKeyWrite::Conflict(current)) => {
                if let Some(item) = &current {
                    apply_page(shared, item);
                }
                shared.quarantine_signal().request_rewrite();
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
    own_key: &mut OwnedKey,
    page: &QuarantinePage,
    lease: &mut Option<(Lease, Instant)>,
) -> Result<OwnedKeyWrite, StoreError> {
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
    let key = page_key(shared.settings.ip);
    own_key.write(store, &key, &value, Some(current)).await
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
        fingerprint_key: Some(key_to_wire(shared, now)),
    }
}

/// Returns whether two pages have the same entries, whatever their ages.
fn is_same_page(a: &QuarantinePage, b: &QuarantinePage) -> bool {
    let entries = |page: &QuarantinePage| {
        let losses = page.lost_generations.iter();
        let losses = losses.map(|loss| {
            let LostGeneration {
                engine,
                unique_part,
                request,
                ..
            } = loss;
            (*engine, *unique_part, *request, loss.shared_parts.clone())
        });
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
        request: loss.parts.request.map_or(0, |part| part.0),
        run_ms: age_ms(loss.sent_at, loss.lost_at),
    }
}

fn loss_from_wire(wire: &LostGeneration, now: Instant, delay: Duration) -> LostAttempt {
    let lost_at = earlier(now, wire.age_ms, delay);
    LostAttempt {
        engine: IncarnationId(wire.engine),
        parts: RequestParts {
            service: ServiceId(wire.service),
            shared: wire.shared_parts.iter().map(|part| PartId(*part)).collect(),
            unique: (wire.unique_part != 0).then_some(PartId(wire.unique_part)),
            request: (wire.request != 0).then_some(PartId(wire.request)),
        },
        sent_at: earlier(lost_at, wire.run_ms, Duration::ZERO),
        lost_at,
    }
}

fn key_to_wire<C: Clock>(shared: &Shared<C>, now: Instant) -> FingerprintKeyRecord {
    let (FingerprintKey([low, high]), drawn_at) = shared.fingerprint_key().current();
    let age = now.saturating_duration_since(drawn_at);
    FingerprintKeyRecord {
        low,
        high,
        age_ms: age.as_millis() as u64,
    }
}

/// Uses another gateway's key of fingerprints if it is older; it was encoded `delay` ago.
fn offer_key<C: Clock>(shared: &Shared<C>, record: Option<&FingerprintKeyRecord>, delay: Duration) {
    let Some(record) = record else {
        return;
    };
    let now = shared.now();
    let age = Duration::from_millis(record.age_ms).saturating_add(delay);
    let drawn_at = now.checked_sub(age).unwrap_or(now);
    let key = FingerprintKey([record.low, record.high]);
    if shared.fingerprint_key().offer(key, drawn_at) {
        log::info!(age_ms = record.age_ms; "key of request fingerprints adopted");
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
