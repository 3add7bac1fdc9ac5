//! Asks engines which prompts they have cached, for callers whose gateway has terminated.
//!
//! Load pattern: all gateways lose power at the same moment, so none knows which engines have
//! which prompts cached, and all callers reconnect within a second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::{cached_parts_request, decode_cached_parts, decode_server_notice};
use cactusbarrow_net::{Clock, NetError};
use cactusbarrow_policy::{BackendEntry, PromptId, PromptLocation, ServiceName, stable_hash};
use http::StatusCode;
use tokio::task::JoinSet;

use crate::backend_connection::BackendConnection;
use crate::shared::Shared;

/// Time-out of one search; callers wait for it.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Shortest time between two searches, since listing prompts delays the engines' work.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);

/// Largest number of engines asked at once. Each takes a connection of its own, and hosts
/// allow some 4,000.
const MAX_QUERIED_ENGINES: usize = 400;

/// Largest list of prompts that is accepted from one engine.
const MAX_LIST_BYTES: usize = 256 << 10;

/// Start of the last search. It stays locked during a search, so that other callers wait for
/// its result.
pub(crate) type LastSearch = tokio::sync::Mutex<Option<Instant>>;

/// Records which prompts the engines have cached, unless the last search was just now.
pub(crate) async fn search<C: Clock>(shared: &Arc<Shared<C>>, service: &ServiceName) {
    let mut last_search_at = shared.last_search().lock().await;
    let now = shared.now();
    if last_search_at.is_some_and(|at| now.saturating_duration_since(at) < SEARCH_INTERVAL) {
        return;
    }
    *last_search_at = Some(now);
    let engines = {
        let fleet = shared.fleet();
        let rng = &mut *shared.rng();
        fleet.draw_healthy(service, MAX_QUERIED_ENGINES, now, rng)
    };
    let asked = engines.len();
    let mut lists = JoinSet::new();
    for entry in engines {
        let shared = shared.clone();
        lists.spawn(async move {
            let parts = list_cached_parts(&shared, &entry).await;
            (entry, parts)
        });
    }
    let mut answered = 0;
    let collect = async {
        while let Some(list) = lists.join_next().await {
            match list {
                Ok((entry, Ok(parts))) => {
                    answered += 1;
                    record_locations(shared, &entry, &parts);
                }
                Ok((entry, Err(e))) => {
                    log::info!(instance = &*entry.instance, step = e.step; "cached prompts not listed: {e}");
                }
                Err(e) => log::error!("search for cached prompts failed: {e}"),
            }
        }
    };
    let is_complete = tokio::time::timeout(SEARCH_TIMEOUT, collect).await.is_ok();
    metrics::counter!("gateway_prompt_searches_total").increment(1);
    log::info!(
        service = &**service,
        asked = asked,
        answered = answered,
        complete = is_complete,
        elapsed_ms = shared.elapsed_since(now).as_millis() as u64;
        "engines asked for cached prompts"
    );
}

fn record_locations<C: Clock>(shared: &Shared<C>, entry: &BackendEntry, parts: &[String]) {
    let now = shared.now();
    let engine = stable_hash(entry.instance.as_bytes());
    let mut prompts = shared.prompts();
    for part in parts {
        let prompt = PromptId::from_last_part(part);
        prompts.record(PromptLocation { prompt, engine }, now);
    }
}

async fn list_cached_parts<C: Clock>(
    shared: &Shared<C>,
    entry: &BackendEntry,
) -> Result<Vec<String>, NetError> {
    const STEP: &str = "list cached prompts";
    let address = entry.address;
    let conn = BackendConnection::open(address, SEARCH_TIMEOUT).await?;
    let sent_at = shared.now();
    let is_available = {
        let fleet = shared.fleet();
        let key = fleet.key_of(&entry.instance);
        key.is_some_and(|key| fleet.is_available(key, sent_at))
    };
    if !is_available {
        return Err(NetError::new(STEP, address, "engine wants no requests"));
    }
    let req = cached_parts_request(&address.to_string());
    let (head, body, _driver) = conn.send(STEP, req).await?.into_parts();
    let notice = decode_server_notice(head.status, &head.headers);
    shared.record_notice(entry, notice, sent_at);
    if head.status != StatusCode::OK {
        let status = format!("status {}", head.status);
        return Err(NetError::new(STEP, address, status));
    }
    let memory = shared.process_memory();
    let body = memory
        .collect(body, MAX_LIST_BYTES, &entry.instance)
        .await?;
    let body = body.whole(STEP, &entry.instance)?;
    decode_cached_parts(&body).map_err(|e| NetError::new(STEP, address, e))
}
