//! Heartbeats between gateways, and what one learns from another.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_adapter::{Item, Snapshot};
use cactusbarrow_net::{Body, Clock, HttpClient, HttpVersion, NetError};
use cactusbarrow_policy::{PeerHeartbeat, PeerLoad};
use cactusbarrow_protocol::generated::{EngineLoad, GatewayHeartbeat, GatewayKnowledge, StoreItem};
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;
use crate::store_sync;

/// Largest heartbeat that is sent; it fits into one packet.
const MAX_HEARTBEAT_BYTES: usize = 1_400;

/// Largest number of loads in a heartbeat, each up to 21 bytes.
const MAX_LOADS: usize = 50;

/// Largest number of peers named in a heartbeat, each 4 bytes.
const MAX_NAMED: usize = 40;

/// Largest answer with a gateway's knowledge.
const MAX_KNOWLEDGE_BYTES: usize = 16 << 20;

/// Longest wait for a gateway's knowledge.
const KNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the own store gets to bring news before a peer is asked for it.
const NEWS_DELAY: Duration = Duration::from_millis(250);

/// Sends and receives heartbeats until `stop`.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    socket: UdpSocket,
    incarnation: u64,
    stop: CancellationToken,
) {
    let socket = Arc::new(socket);
    let receive = receive(shared.clone(), socket.clone());
    let send = send(shared.clone(), socket, incarnation);
    let learn = learn(shared);
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
            () = shared.load_changed().notified() => shared.peers().record_change(),
        }
    }
}

fn encode<C: Clock>(shared: &Shared<C>, incarnation: u64, sequence: u64) -> Vec<u8> {
    let now = shared.now();
    let loads = shared
        .fleet()
        .own_loads()
        .take(MAX_LOADS)
        .collect::<Vec<_>>();
    let peers = shared
        .peers()
        .heard(now)
        .take(MAX_NAMED)
        .collect::<Vec<_>>();
    let heartbeat = GatewayHeartbeat {
        name: shared.settings.name.clone(),
        incarnation,
        sequence,
        config_version: shared.version().0,
        servers_revision: shared.servers_revision(),
        loads: loads.iter().map(load_to_wire).collect(),
        peers: peers.iter().map(|ip| ip.to_bits()).collect(),
    };
    heartbeat.encode_to_vec()
}

fn load_to_wire(load: &PeerLoad) -> EngineLoad {
    EngineLoad {
        engine: load.engine,
        generations: load.generations.try_into().unwrap_or(u32::MAX),
        unread_tokens: load.unread_tokens.try_into().unwrap_or(u32::MAX),
    }
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
        servers_revision: wire.servers_revision,
        loads: wire.loads.iter().map(load_from_wire).collect(),
        peers: wire.peers.into_iter().map(Ipv4Addr::from_bits).collect(),
    };
    let loads = {
        let mut peers = shared.peers();
        if !peers.record(from, heartbeat, now) {
            return;
        }
        peers.loads(now)
    };
    shared.fleet().record_remote_loads(&loads);
}

fn load_from_wire(load: &EngineLoad) -> PeerLoad {
    PeerLoad {
        engine: load.engine,
        generations: load.generations.into(),
        unread_tokens: load.unread_tokens.into(),
    }
}

/// Asks a peer for news that the own store does not bring.
async fn learn<C: Clock>(shared: Arc<Shared<C>>) {
    let http = HttpClient::new(HttpVersion::Http1);
    loop {
        tokio::time::sleep(NEWS_DELAY / 2).await;
        let Some(peer) = newer_peer(&shared) else {
            continue;
        };
        tokio::time::sleep(NEWS_DELAY).await;
        if newer_peer(&shared).is_none() {
            continue;
        }
        match ask(&http, &shared, peer).await {
            Ok(knowledge) => adopt(&shared, peer, knowledge),
            Err(e) => log::info!(step = e.step; "peer's knowledge not learned: {e}"),
        }
    }
}

fn newer_peer<C: Clock>(shared: &Shared<C>) -> Option<Ipv4Addr> {
    let now = shared.now();
    let peers = shared.peers();
    let config = peers.newest_config(shared.version().0, now);
    // Watches end at different revisions; only a store that is away makes that matter.
    let servers = || {
        let is_away = shared.is_store_away();
        is_away.then(|| peers.newest_servers(shared.servers_revision(), now))?
    };
    config.or_else(servers)
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
    let mut req = Request::new(Body::Empty);
    *req.uri_mut() = uri;
    let res = http
        .send_whole(STEP, req, KNOWLEDGE_TIMEOUT, MAX_KNOWLEDGE_BYTES)
        .await?;
    GatewayKnowledge::decode(res.into_body()).map_err(|e| NetError::new(STEP, addr, e))
}

fn adopt<C: Clock>(shared: &Arc<Shared<C>>, peer: Ipv4Addr, knowledge: GatewayKnowledge) {
    if let Some(config) = knowledge.config {
        let item = item_from_wire(config);
        store_sync::offer_configuration(shared, &item, &peer);
    }
    if shared.is_store_away() && knowledge.servers_revision > shared.servers_revision() {
        log::info!(
            peer:% = peer,
            revision = knowledge.servers_revision,
            own_revision = shared.servers_revision();
            "list of backend servers learned from a peer"
        );
        let snapshot = Snapshot {
            items: knowledge.servers.into_iter().map(item_from_wire).collect(),
            revision: knowledge.servers_revision,
        };
        store_sync::adopt_backends(shared, snapshot);
    }
}

fn item_from_wire(wire: StoreItem) -> Item {
    Item {
        key: wire.key,
        value: wire.value,
        revision: wire.revision,
    }
}

fn item_to_wire(item: &Item) -> StoreItem {
    StoreItem {
        key: item.key.clone(),
        value: item.value.clone(),
        revision: item.revision,
    }
}

/// Answers a peer that asks for this gateway's knowledge.
pub(crate) async fn answer<C: Clock>(
    shared: Arc<Shared<C>>,
    _req: Request<Incoming>,
) -> Response<Body> {
    let knowledge = {
        let replica = shared.replica();
        GatewayKnowledge {
            config: replica.config.as_ref().map(item_to_wire),
            servers: replica.servers.values().map(item_to_wire).collect(),
            servers_revision: replica.servers_revision,
        }
    };
    Response::new(Body::full(knowledge.encode_to_vec()))
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
