//! Heartbeats between gateways, and what one learns from another.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_adapter::{KeyValue, StoreClient};
use cactusbarrow_net::{Body, Clock, HttpClient, HttpVersion, NetError, collect_limited};
use cactusbarrow_policy::{PeerHeartbeat, PeerLoad, PromptId, PromptLocation, RetryCount};
use cactusbarrow_protocol::generated::{
    EngineLoad, GatewayHeartbeat, GatewayKnowledge, KnowledgeRequest, PromptPlace, RetryUse,
    StoreItem,
};
use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;
use crate::store_sync;

/// Largest heartbeat that is sent; it fits into one packet.
const MAX_HEARTBEAT_BYTES: usize = 1_400;

/// Largest number of loads in a heartbeat, each up to 23 bytes.
const MAX_LOADS: usize = 38;

/// Largest number of prompts in a heartbeat, each 20 bytes.
const MAX_PROMPTS: usize = 12;

/// Largest number of peers named in a heartbeat, each 4 bytes.
const MAX_NAMED: usize = 40;

/// Largest answer with a gateway's knowledge.
const MAX_KNOWLEDGE_BYTES: usize = 16 << 20;

/// Longest wait until a gateway begins to tell its knowledge, and until it has told all of
/// it: a large configuration takes its time on a slow link.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Peers that are told knowledge at once; others ask again, or ask another gateway.
pub(crate) const MAX_ASKERS: usize = 2;

/// Size of the parts in which knowledge is sent, so that a slow link holds its asker's place.
const PART_BYTES: usize = 4 << 10;

/// Size from which a configuration is read from the store: a few gateways on slow links
/// cannot send it to all others in time, and the store's own link is wide.
const LARGE_CONFIG_BYTES: u64 = 48 << 10;

/// Largest request for a gateway's knowledge.
const MAX_REQUEST_BYTES: usize = 1_024;

/// Time that a watcher's own store gets to bring news before a peer is asked for it.
const WATCHER_DELAY: Duration = Duration::from_millis(500);

/// Shortest time between two requests for knowledge.
const LEARN_INTERVAL: Duration = Duration::from_millis(100);

/// Sends and receives heartbeats until `stop`.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    socket: UdpSocket,
    store: StoreClient,
    incarnation: u64,
    stop: CancellationToken,
) {
    let socket = Arc::new(socket);
    let receive = receive(shared.clone(), socket.clone());
    let send = send(shared.clone(), socket, incarnation);
    let learn = learn(shared, store);
    let all = async {
        tokio::join!(receive, send, learn);
    };
    stop.run_until_cancelled(all).await;
}

async fn send<C: Clock>(shared: Arc<Shared<C>>, socket: Arc<UdpSocket>, incarnation: u64) {
    let mut sequence = 0;
    loop {
        let now = shared.now();
        let targets = shared.peers().poll(now);
        if !targets.is_empty() {
            sequence += 1;
            let buf = encode(&shared, incarnation, sequence);
            for ip in targets {
                let to = SocketAddr::new(IpAddr::V4(ip), shared.settings.peers.port());
                if let Err(e) = socket.send_to(&buf, to).await {
                    log::debug!(step = "send heartbeat", peer:% = to; "not sent: {e}");
                }
            }
        }
        let due = shared.peers().next_due().unwrap_or(now);
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = shared.load_changed().notified() => shared.peers().record_load_change(),
        }
    }
}

fn encode<C: Clock>(shared: &Shared<C>, incarnation: u64, sequence: u64) -> Vec<u8> {
    let now = shared.now();
    let standing = shared.standing(now);
    let mut loads = shared.fleet().own_loads(now);
    loads.truncate(MAX_LOADS);
    let peers = shared
        .peers()
        .live_peers(now)
        .take(MAX_NAMED)
        .collect::<Vec<_>>();
    let heartbeat = GatewayHeartbeat {
        name: shared.settings.name.clone(),
        incarnation,
        sequence,
        config_version: shared.version().0,
        config_bytes: shared.config_bytes().try_into().unwrap_or(u32::MAX),
        servers_revision: shared.servers_revision(),
        loads: loads.iter().map(load_to_wire).collect(),
        peers: peers.iter().map(|ip| ip.to_bits()).collect(),
        retries: shared.retry_counts(now).map(retries_to_wire).collect(),
        is_store_ok: standing.is_store_ok,
        age_ms: standing.age.as_millis().try_into().unwrap_or(u32::MAX),
        prompts: shared
            .prompts()
            .own()
            .take(MAX_PROMPTS)
            .map(prompt_to_wire)
            .collect(),
    };
    heartbeat.encode_to_vec()
}

fn prompt_to_wire(location: PromptLocation) -> PromptPlace {
    PromptPlace {
        prompt: location.prompt.0,
        engine: location.engine,
    }
}

fn load_to_wire(load: &PeerLoad) -> EngineLoad {
    EngineLoad {
        engine: load.engine,
        generations: load.generations.try_into().unwrap_or(u32::MAX),
        unread_tokens: load.unread_tokens.try_into().unwrap_or(u32::MAX),
        memory_tokens: load.memory_tokens.try_into().unwrap_or(u32::MAX),
        is_avoided: load.avoiders > 0,
    }
}

fn retries_to_wire((service, count): (u64, RetryCount)) -> RetryUse {
    RetryUse {
        service,
        requests: count.requests.try_into().unwrap_or(u32::MAX),
        retries: count.retries.try_into().unwrap_or(u32::MAX),
    }
}

fn retries_from_wire(wire: &RetryUse) -> (u64, RetryCount) {
    let count = RetryCount {
        requests: wire.requests.into(),
        retries: wire.retries.into(),
    };
    (wire.service, count)
}

async fn receive<C: Clock>(shared: Arc<Shared<C>>, socket: Arc<UdpSocket>) {
    let mut buf = [0; MAX_HEARTBEAT_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(step = "receive heartbeat"; "not received: {e}");
                continue;
            }
        };
        let IpAddr::V4(ip) = from.ip() else {
            continue;
        };
        match GatewayHeartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => record(&shared, ip, heartbeat),
            Err(e) => log::warn!(peer:% = from; "heartbeat cannot be decoded: {e}"),
        }
    }
}

fn record<C: Clock>(shared: &Shared<C>, from: Ipv4Addr, wire: GatewayHeartbeat) {
    let now = shared.now();
    let heartbeat = PeerHeartbeat {
        incarnation: wire.incarnation,
        sequence: wire.sequence,
        config_version: wire.config_version,
        config_bytes: wire.config_bytes.into(),
        servers_revision: wire.servers_revision,
        loads: wire.loads.iter().map(load_from_wire).collect(),
        peers: wire.peers.into_iter().map(Ipv4Addr::from_bits).collect(),
        retries: wire.retries.iter().map(retries_from_wire).collect(),
        is_store_ok: wire.is_store_ok,
        age: Duration::from_millis(wire.age_ms.into()),
    };
    let loads = {
        let mut peers = shared.peers();
        if !peers.record(from, heartbeat, now) {
            return;
        }
        peers.loads(now)
    };
    record_prompts(shared, &wire.prompts);
    shared.fleet().record_remote_loads(&loads);
    shared.announce_gone();
}

fn record_prompts<C: Clock>(shared: &Shared<C>, places: &[PromptPlace]) {
    let now = shared.now();
    let mut prompts = shared.prompts();
    for place in places {
        let location = PromptLocation {
            prompt: PromptId(place.prompt),
            engine: place.engine,
        };
        prompts.record(location, now);
    }
}

fn load_from_wire(load: &EngineLoad) -> PeerLoad {
    PeerLoad {
        engine: load.engine,
        generations: load.generations.into(),
        unread_tokens: load.unread_tokens.into(),
        memory_tokens: load.memory_tokens.into(),
        avoiders: load.is_avoided.into(),
    }
}

/// Asks a peer for news that the own store does not bring.
async fn learn<C: Clock>(shared: Arc<Shared<C>>, store: StoreClient) {
    let http = HttpClient::new(HttpVersion::Http1);
    loop {
        tokio::time::sleep(LEARN_INTERVAL).await;
        if newer_peer(&shared).is_none() {
            continue;
        }
        if shared.is_watcher(shared.now()) {
            tokio::time::sleep(WATCHER_DELAY).await;
        }
        let Some(peer) = newer_peer(&shared) else {
            continue;
        };
        if is_large_config(&shared, peer) {
            match store_sync::read_configuration(&shared, &store).await {
                Ok(()) => continue,
                Err(e) => log::info!(step = e.step; "large configuration not read: {e}"),
            }
        }
        match ask(&http, &shared, peer).await {
            Ok(knowledge) => adopt(&shared, peer, knowledge),
            Err(e) => log::info!(step = e.step; "peer's knowledge not learned: {e}"),
        }
    }
}

/// Returns whether a peer has a newer configuration that is too large to be asked for.
fn is_large_config<C: Clock>(shared: &Shared<C>, peer: Ipv4Addr) -> bool {
    let version = shared.version().0;
    let bytes = shared.peers().newer_config_bytes(peer, version);
    bytes.is_some_and(|bytes| bytes >= LARGE_CONFIG_BYTES)
}

fn newer_peer<C: Clock>(shared: &Shared<C>) -> Option<Ipv4Addr> {
    let now = shared.now();
    let (version, revision) = (shared.version().0, shared.servers_revision());
    let peers = shared.peers();
    let rng = &mut *shared.rng();
    let config = peers.newest_config(version, now, rng);
    config.or_else(|| peers.newest_servers(revision, now, rng))
}

async fn ask<C: Clock>(
    http: &HttpClient,
    shared: &Shared<C>,
    peer: Ipv4Addr,
) -> Result<GatewayKnowledge, NetError> {
    const STEP: &str = "ask peer for its knowledge";
    let addr = SocketAddr::new(IpAddr::V4(peer), shared.settings.peers.port());
    let uri: Uri = format!("http://{addr}/knowledge")
        .parse()
        .map_err(|e| NetError::new(STEP, addr, e))?;
    let known = KnowledgeRequest {
        config_version: shared.version().0,
        servers_revision: shared.servers_revision(),
    };
    let mut req = Request::new(Body::full(known.encode_to_vec()));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = uri;
    let res = http
        .send_and_collect_with_timeouts(STEP, req, HEAD_TIMEOUT, BODY_TIMEOUT, MAX_KNOWLEDGE_BYTES)
        .await?;
    if res.status() != StatusCode::OK {
        let status = format!("status {}", res.status());
        return Err(NetError::new(STEP, addr, status));
    }
    GatewayKnowledge::decode(res.into_body()).map_err(|e| NetError::new(STEP, addr, e))
}

fn adopt<C: Clock>(shared: &Shared<C>, peer: Ipv4Addr, knowledge: GatewayKnowledge) {
    if knowledge.servers_revision <= shared.servers_revision() && knowledge.config.is_none() {
        return;
    }
    log::info!(
        peer:% = peer,
        revision = knowledge.servers_revision,
        own_revision = shared.servers_revision(),
        entries = knowledge.servers.len();
        "knowledge learned from a peer"
    );
    let items = knowledge.servers.into_iter().chain(knowledge.config);
    let items = items.map(item_from_wire).collect();
    let listed: HashSet<String> = knowledge.instances.into_iter().collect();
    store_sync::adopt(shared, items, &listed, knowledge.servers_revision, &peer);
}

fn item_from_wire(wire: StoreItem) -> KeyValue {
    KeyValue {
        key: wire.key,
        value: wire.value,
        revision: wire.revision,
    }
}

fn item_to_wire(item: &KeyValue) -> StoreItem {
    StoreItem {
        key: item.key.clone(),
        value: item.value.clone(),
        revision: item.revision,
    }
}

/// Answers a peer that asks for this gateway's knowledge.
pub(crate) async fn answer<C: Clock>(
    shared: Arc<Shared<C>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let known = match collect_limited(req.into_body(), MAX_REQUEST_BYTES, "peer").await {
        Ok(Some(body)) => KnowledgeRequest::decode(body).ok(),
        Ok(None) | Err(_) => None,
    };
    let Some(known) = known else {
        log::warn!("request for knowledge cannot be decoded");
        let mut res = Response::new(Body::Empty);
        *res.status_mut() = StatusCode::BAD_REQUEST;
        return res;
    };
    let Ok(place) = shared.askers().clone().try_acquire_owned() else {
        let mut res = Response::new(Body::Empty);
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return res;
    };
    let servers_revision = shared.servers_revision();
    let is_newer = shared.version().0 > known.config_version;
    let instances = shared
        .fleet()
        .instances()
        .map(ToString::to_string)
        .collect();
    let replica = shared.replica();
    let newer = |item: &&KeyValue| item.revision > known.servers_revision;
    let knowledge = GatewayKnowledge {
        config: replica
            .config
            .as_ref()
            .filter(|_| is_newer)
            .map(item_to_wire),
        servers: replica
            .servers
            .values()
            .filter(newer)
            .map(item_to_wire)
            .collect(),
        servers_revision,
        instances,
    };
    drop(replica);
    let (tx, body) = Body::channel();
    let mut knowledge = Bytes::from(knowledge.encode_to_vec());
    tokio::spawn(async move {
        while !knowledge.is_empty() {
            let part = knowledge.split_to(PART_BYTES.min(knowledge.len()));
            if !tx.send(part).await {
                break;
            }
        }
        drop(place);
    });
    Response::new(body)
}

/// Wakes the sender of heartbeats when the own load changes.
#[derive(Debug, Default)]
pub(crate) struct LoadChanged(Notify);

impl LoadChanged {
    pub(crate) fn notify(&self) {
        self.0.notify_one();
    }

    async fn notified(&self) {
        self.0.notified().await;
    }
}
