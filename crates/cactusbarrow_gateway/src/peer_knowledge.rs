//! Transfer of a gateway's knowledge to its peers: the configuration, the entries of backend servers as
//! received from the store or another peer, and departures.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_adapter::{KeyValue, StoreClient};
use cactusbarrow_net::{
    Body, Clock, CollectedBody, HttpClient, HttpVersion, NetError, RequestBody,
};
use cactusbarrow_policy::{PeerFetchConfig, PeerFetches, StoreEra, StorePosition};
use cactusbarrow_protocol::generated::{GatewayKnowledge, KnowledgeRequest, StoreItem};
use http::{Method, Request, Response, StatusCode, Uri};
use prost::Message;
use rand::seq::IteratorRandom;
use tokio::task::JoinSet;

use crate::shared::Shared;
use crate::store_sync::{self, PeerData};

/// Size of the largest response with a peer's knowledge.
const MAX_KNOWLEDGE_BYTES: usize = 16 << 20;

/// Longest wait for the head of a response with a peer's knowledge.
const KNOWLEDGE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the body of such a response: a large configuration takes long on a slow
/// link.
const KNOWLEDGE_BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Request of a peer that wants nothing; the fields of what it wants are set to what it has.
const NOTHING_NEWER: KnowledgeRequest = KnowledgeRequest {
    config_version: u64::MAX,
    servers_revision: u64::MAX,
    store_era: u64::MAX,
    wants_departures: false,
};

/// Largest number of peers that are sent a configuration at once; others retry, also at another
/// gateway.
pub(crate) const MAX_CONFIG_TRANSFERS: usize = 2;

/// Largest number of peers that are sent a list of backend servers at once.
pub(crate) const MAX_LIST_TRANSFERS: usize = 8;

/// Size of the chunks in which knowledge is sent. They are small, so that a transfer over a
/// slow link keeps its permit until nearly all of it has been sent.
const KNOWLEDGE_CHUNK_BYTES: usize = 4 << 10;

/// Size from which a configuration is read from the store instead of a peer: a few gateways on
/// slow links cannot send it to all others in time, and the store's link has more bandwidth.
const LARGE_CONFIG_BYTES: u64 = 48 << 10;

/// Size of the largest request for this gateway's knowledge.
const MAX_KNOWLEDGE_REQUEST_BYTES: usize = 1_024;

/// Time in which a watcher waits for a change from the store before it asks a peer for it.
const WATCHER_DELAY: Duration = Duration::from_millis(500);

/// Shortest time between two requests for a peer's knowledge.
const PEER_SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Fetches the configuration from peers that have a newer one.
pub(crate) async fn sync_configuration<C: Clock>(shared: Arc<Shared<C>>, store: StoreClient) {
    let http = HttpClient::new(HttpVersion::Http1).with_memory(shared.process_memory().clone());
    let fetch = |peer| fetch_configuration(http.clone(), shared.clone(), store.clone(), peer);
    let choose = |fetches: &PeerFetches, now| {
        let version = shared.version().0;
        let peer = shared
            .peers()
            .newest_config(version, now, &mut *shared.rng(), |ip| {
                fetches.is_candidate(ip, now)
            });
        // A large one is read from the store, and a second read would delay the first.
        peer.filter(|peer| fetches.is_idle() || !is_large_config(&shared, *peer))
    };
    let apply = |peer, knowledge: Option<GatewayKnowledge>| {
        if let Some(config) = knowledge.and_then(|knowledge| knowledge.config) {
            store_sync::apply_peer_configuration(&shared, item_from_wire(config), &peer);
        }
        let version = shared.version().0;
        shared.peers().newer_config_bytes(peer, version).is_none()
    };
    let cfg = PeerFetchConfig::for_configuration();
    sync_from_peers(&shared, cfg, choose, fetch, apply).await;
}

/// Fetches the list of backend servers from peers that have a newer one.
pub(crate) async fn sync_servers<C: Clock>(shared: Arc<Shared<C>>) {
    let http = HttpClient::new(HttpVersion::Http1).with_memory(shared.process_memory().clone());
    let fetch = |peer| fetch_servers(http.clone(), shared.clone(), peer);
    let choose = |fetches: &PeerFetches, now| {
        let position = shared.servers_position();
        let peers = shared.peers();
        peers.newest_servers(position, now, &mut *shared.rng(), |ip| {
            fetches.is_candidate(ip, now)
        })
    };
    let apply = |peer, knowledge| apply_servers(&shared, peer, knowledge);
    let cfg = PeerFetchConfig::default();
    sync_from_peers(&shared, cfg, choose, fetch, apply).await;
}

/// Fetches data from peers that are ahead of this gateway, which may not reach the store or not watch
/// it; further peers are asked while one is silent.
///
/// `choose` draws a peer that is ahead, and `apply` returns whether its response brought something new.
async fn sync_from_peers<C, F>(
    shared: &Shared<C>,
    cfg: PeerFetchConfig,
    choose: impl Fn(&PeerFetches, Instant) -> Option<Ipv4Addr>,
    fetch: impl Fn(Ipv4Addr) -> F,
    apply: impl Fn(Ipv4Addr, Option<GatewayKnowledge>) -> bool,
) where
    C: Clock,
    F: Future<Output = Option<GatewayKnowledge>> + Send + 'static,
{
    let mut fetches = PeerFetches::new(cfg);
    let mut running = JoinSet::new();
    let mut behind_since = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(PEER_SYNC_INTERVAL) => {}
            Some(fetched) = running.join_next() => {
                match fetched {
                    Ok((peer, knowledge)) => {
                        let is_newer = apply(peer, knowledge);
                        fetches.record_end(peer, is_newer, shared.now());
                    }
                    Err(e) => {
                        log::error!("knowledge not fetched from a peer: {e}");
                        fetches = PeerFetches::new(cfg);
                    }
                }
                continue;
            }
        }
        let now = shared.now();
        let Some(peer) = choose(&fetches, now) else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        let is_expected_from_store =
            now.saturating_duration_since(since) < WATCHER_DELAY && shared.is_watcher(now);
        if !is_expected_from_store && fetches.may_start(now) {
            fetches.record_start(peer, now);
            let fetched = fetch(peer);
            running.spawn(async move { (peer, fetched.await) });
        }
    }
}

/// Fetches a peer's configuration, or reads it from the store if it is large.
async fn fetch_configuration<C: Clock>(
    http: HttpClient,
    shared: Arc<Shared<C>>,
    store: StoreClient,
    peer: Ipv4Addr,
) -> Option<GatewayKnowledge> {
    if is_large_config(&shared, peer) {
        match store_sync::read_configuration(&shared, &store).await {
            Ok(()) if !is_large_config(&shared, peer) => return None,
            Ok(()) => log::info!(peer:% = peer; "store lacks the configuration of a peer"),
            Err(e) => log::info!(step = e.step; "large configuration not read: {e}"),
        }
    }
    let known = KnowledgeRequest {
        config_version: shared.version().0,
        ..NOTHING_NEWER
    };
    fetch_knowledge(&http, &shared, peer, known).await
}

/// Fetches a peer's list of backend servers.
async fn fetch_servers<C: Clock>(
    http: HttpClient,
    shared: Arc<Shared<C>>,
    peer: Ipv4Addr,
) -> Option<GatewayKnowledge> {
    let (version, position) = (shared.version().0, shared.servers_position());
    // Only a configuration that was written again after a restore comes with the list; a newer one
    // may be large.
    let has_newer_config = shared.peers().newer_config_bytes(peer, version).is_some();
    let known = KnowledgeRequest {
        config_version: if has_newer_config { u64::MAX } else { version },
        store_era: position.era.0,
        servers_revision: position.revision,
        wants_departures: false,
    };
    fetch_knowledge(&http, &shared, peer, known).await
}

/// Learns the departures that peers know, once after the start: their heartbeats report only those that
/// they noticed themselves.
pub(crate) async fn learn_departures<C: Clock>(shared: Arc<Shared<C>>) {
    let http = HttpClient::new(HttpVersion::Http1).with_memory(shared.process_memory().clone());
    loop {
        tokio::time::sleep(PEER_SYNC_INTERVAL).await;
        let peer = {
            let live = shared.peers().live_peers(shared.now()).collect::<Vec<_>>();
            live.into_iter().choose(&mut *shared.rng())
        };
        let Some(peer) = peer else {
            continue;
        };
        let known = KnowledgeRequest {
            wants_departures: true,
            ..NOTHING_NEWER
        };
        if let Some(knowledge) = fetch_knowledge(&http, &shared, peer, known).await {
            shared.record_peer_departures(&knowledge.departures);
            return;
        }
    }
}

/// Returns whether a peer has a newer configuration that is too large to be fetched from it.
fn is_large_config<C: Clock>(shared: &Shared<C>, peer: Ipv4Addr) -> bool {
    let version = shared.version().0;
    let bytes = shared.peers().newer_config_bytes(peer, version);
    bytes.is_some_and(|bytes| bytes >= LARGE_CONFIG_BYTES)
}

/// Fetches what a peer has beyond `known`; the result is logged.
async fn fetch_knowledge<C: Clock>(
    http: &HttpClient,
    shared: &Shared<C>,
    peer: Ipv4Addr,
    known: KnowledgeRequest,
) -> Option<GatewayKnowledge> {
    let asked_at = shared.now();
    let result = try_fetch_knowledge(http, shared, peer, known).await;
    let elapsed = shared.elapsed_since(asked_at);
    metrics::histogram!("gateway_knowledge_seconds").record(elapsed.as_secs_f64());
    let elapsed_ms = elapsed.as_millis() as u64;
    match &result {
        Ok(knowledge) => log::info!(
            peer:% = peer,
            position:% = position_from_wire(knowledge.store_era, knowledge.servers_revision),
            own_position:% = shared.servers_position(),
            entries = knowledge.servers.len(),
            has_config = knowledge.config.is_some(),
            elapsed_ms = elapsed_ms;
            "knowledge fetched from a peer"
        ),
        Err(e) => log::info!(
            step = e.step,
            elapsed_ms = elapsed_ms;
            "knowledge not fetched from a peer: {e}"
        ),
    }
    result.ok()
}

async fn try_fetch_knowledge<C: Clock>(
    http: &HttpClient,
    shared: &Shared<C>,
    peer: Ipv4Addr,
    known: KnowledgeRequest,
) -> Result<GatewayKnowledge, NetError> {
    const STEP: &str = "ask peer for its knowledge";
    let addr = SocketAddr::new(IpAddr::V4(peer), shared.settings.peers.port());
    let uri: Uri = format!("http://{addr}/knowledge")
        .parse()
        .map_err(|e| NetError::new(STEP, addr, e))?;
    let mut req = Request::new(Body::full(known.encode_to_vec()));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = uri;
    let res = http
        .send_and_collect_with_timeouts(
            STEP,
            req,
            KNOWLEDGE_HEAD_TIMEOUT,
            KNOWLEDGE_BODY_TIMEOUT,
            MAX_KNOWLEDGE_BYTES,
        )
        .await?;
    if res.status() != StatusCode::OK {
        let status = format!("status {}", res.status());
        return Err(NetError::new(STEP, addr, status));
    }
    GatewayKnowledge::decode(res.into_body()).map_err(|e| NetError::new(STEP, addr, e))
}

/// Applies a list of backend servers that a peer sent; returns whether it was newer.
fn apply_servers<C: Clock>(
    shared: &Shared<C>,
    peer: Ipv4Addr,
    knowledge: Option<GatewayKnowledge>,
) -> bool {
    let Some(knowledge) = knowledge else {
        return false;
    };
    let position = position_from_wire(knowledge.store_era, knowledge.servers_revision);
    let is_newer = position > shared.servers_position();
    let servers = knowledge.servers.into_iter();
    let data = PeerData {
        config: knowledge.config.map(item_from_wire),
        servers: servers.map(item_from_wire).collect(),
        listed: knowledge.instances.into_iter().collect(),
        missing: knowledge.missing,
        missing_for: Duration::from_millis(knowledge.missing_ms.into()),
        position,
    };
    store_sync::apply_peer_data(shared, data, &peer);
    is_newer
}

pub(crate) fn position_from_wire(era: u64, revision: u64) -> StorePosition {
    StorePosition {
        era: StoreEra(era),
        revision,
    }
}

fn item_from_wire(wire: StoreItem) -> KeyValue {
    KeyValue {
        key: wire.key,
        value: wire.value,
        position: position_from_wire(wire.era, wire.revision),
    }
}

fn item_to_wire(item: &KeyValue) -> StoreItem {
    StoreItem {
        key: item.key.clone(),
        value: item.value.clone(),
        revision: item.position.revision,
        era: item.position.era.0,
    }
}

/// Sends a peer the part of this gateway's knowledge that is newer than the peer's.
pub(crate) async fn serve_knowledge<C: Clock>(
    shared: Arc<Shared<C>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let memory = shared.process_memory();
    let body = req.into_body();
    let known = match body
        .collect(memory, MAX_KNOWLEDGE_REQUEST_BYTES, "peer")
        .await
    {
        Ok(CollectedBody::Whole(body)) => KnowledgeRequest::decode(body).ok(),
        Ok(CollectedBody::TooLarge | CollectedBody::GivenUp) | Err(_) => None,
    };
    let Some(known) = known else {
        log::warn!("request for knowledge cannot be decoded");
        let mut res = Response::new(Body::Empty);
        *res.status_mut() = StatusCode::BAD_REQUEST;
        return res;
    };
    let knowledge = newer_knowledge(&shared, &known);
    let permits = match knowledge.config {
        Some(_) => shared.config_permits(),
        None => shared.list_permits(),
    };
    let Ok(permit) = permits.clone().try_acquire_owned() else {
        let mut res = Response::new(Body::Empty);
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return res;
    };
    let (tx, body) = Body::channel();
    let mut knowledge = Bytes::from(knowledge.encode_to_vec());
    let send = async move {
        while !knowledge.is_empty() {
            let chunk = knowledge.split_to(KNOWLEDGE_CHUNK_BYTES.min(knowledge.len()));
            if !tx.send(chunk).await {
                return;
            }
        }
        tx.finish();
    };
    tokio::spawn(async move {
        let _permit = permit;
        // A peer that was cut off must not keep the permit from others.
        if tokio::time::timeout(KNOWLEDGE_BODY_TIMEOUT, send)
            .await
            .is_err()
        {
            log::info!("knowledge not sent to a peer in time");
        }
    });
    Response::new(body)
}

/// Returns the part of this gateway's knowledge that is newer than a peer's.
fn newer_knowledge<C: Clock>(shared: &Shared<C>, known: &KnowledgeRequest) -> GatewayKnowledge {
    let position = shared.servers_position();
    let known_position = position_from_wire(known.store_era, known.servers_revision);
    let is_newer = |item: &&KeyValue| item.position > known_position;
    let version = shared.version().0;
    // The operator may have written the same version again after a restore of the store.
    let is_config_newer = |item: &&KeyValue| {
        version > known.config_version || (version == known.config_version && is_newer(item))
    };
    let has_newer_list = position > known_position;
    let (instances, missing): (_, Vec<(String, Instant)>) = {
        let fleet = shared.fleet();
        // A peer whose list is as new needs no names.
        let instances = fleet.instances().filter(|_| has_newer_list);
        let instances = instances.map(ToString::to_string).collect();
        let missing = fleet.missing_instances();
        let missing = missing.map(|(instance, until)| (instance.to_string(), until));
        (instances, missing.collect())
    };
    let departures = if known.wants_departures {
        shared.fleet().known_departures().map(|id| id.0).collect()
    } else {
        Vec::new()
    };
    let now = shared.now();
    let last_renewal = missing.iter().map(|(_, until)| *until).max();
    let missing_for =
        last_renewal.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
    let store_cache = shared.store_cache();
    let config = store_cache.config.as_ref().filter(is_config_newer);
    let servers = store_cache.servers().filter(is_newer);
    GatewayKnowledge {
        config: config.map(item_to_wire),
        servers: servers.map(item_to_wire).collect(),
        store_era: position.era.0,
        servers_revision: position.revision,
        instances,
        missing: missing.into_iter().map(|(instance, _)| instance).collect(),
        departures,
        // Zero states no time.
        missing_ms: missing_for.as_millis().clamp(1, u32::MAX.into()) as u32,
    }
}
