//! Heartbeats between gateways.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter::StoreClient;
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    NamedLimit, PeerHeartbeat, PeerLoad, PromptId, PromptLocation, RetryCount, ServiceId,
};
use cactusbarrow_protocol::generated::{
    BackendLimit, EngineLoad, GatewayHeartbeat, PromptPlace, RetryUse,
};
use prost::Message;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;
use crate::{origin_exchange, origin_store, peer_knowledge, quarantine};

/// Size of the largest heartbeat in bytes, which fits into one packet.
const MAX_HEARTBEAT_BYTES: usize = 1_400;

/// Largest number of engine loads in a heartbeat; there are fewer if the rest leaves no room.
const MAX_HEARTBEAT_LOADS: usize = 38;

/// Size of the largest engine load in bytes.
const MAX_LOAD_BYTES: usize = 25;

/// Largest number of backend servers' limits in a heartbeat, each up to 26 bytes.
const MAX_HEARTBEAT_LIMITS: usize = 4;

/// Largest number of prompts in a heartbeat, each 20 bytes.
const MAX_HEARTBEAT_PROMPTS: usize = 12;

/// Largest number of software versions in a heartbeat, each 20 bytes.
const MAX_HEARTBEAT_VERSIONS: usize = 8;

/// Largest number of peers named in a heartbeat, each 4 bytes.
const MAX_HEARTBEAT_PEERS: usize = 40;

/// Exchanges heartbeats with peers and fetches newer data from them until `stop` is cancelled.
pub(crate) async fn run<C: Clock>(
    shared: Arc<Shared<C>>,
    store: StoreClient,
    stop: CancellationToken,
) {
    let receive = receive_datagrams(shared.clone());
    let send = send_heartbeats(shared.clone());
    let config = peer_knowledge::sync_configuration(shared.clone(), store);
    let servers = peer_knowledge::sync_servers(shared.clone());
    let departures = peer_knowledge::learn_departures(shared);
    let all = async {
        tokio::join!(receive, send, config, servers, departures);
    };
    stop.run_until_cancelled(all).await;
}

async fn send_heartbeats<C: Clock>(shared: Arc<Shared<C>>) {
    let mut sequence = 0;
    loop {
        let now = shared.now();
        shared.record_live_gateways();
        origin_exchange::adopt_orphans(&shared);
        let targets = shared.peers().poll(now);
        if !targets.is_empty() {
            sequence += 1;
            let buf = encode_heartbeat(&shared, sequence);
            for ip in targets {
                let to = SocketAddr::new(IpAddr::V4(ip), shared.settings.peers.port());
                if let Err(e) = shared.peer_socket().send_to(&buf, to).await {
                    log::debug!(step = "send heartbeat", peer:% = to; "not sent: {e}");
                }
            }
        }
        let due = shared.peers().next_due().unwrap_or(now);
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = shared.load_change().notified() => shared.peers().record_load_change(),
        }
    }
}

fn encode_heartbeat<C: Clock>(shared: &Shared<C>, sequence: u64) -> Vec<u8> {
    let now = shared.now();
    let store_status = shared.store_status(now);
    let position = shared.servers_position();
    let peers = shared
        .peers()
        .live_peers(now)
        .take(MAX_HEARTBEAT_PEERS)
        .collect::<Vec<_>>();
    let mut heartbeat = GatewayHeartbeat {
        name: shared.settings.name.clone(),
        incarnation: shared.incarnation(),
        sequence,
        config_version: shared.version().0,
        config_bytes: shared.config_bytes().try_into().unwrap_or(u32::MAX),
        store_era: position.era.0,
        servers_revision: position.revision,
        peers: peers.iter().map(|ip| ip.to_bits()).collect(),
        retries: shared
            .retry_counts(now)
            .map(|(service, count)| {
                let begun = shared.quarantine().own_begun(ServiceId(service));
                retries_to_wire(service, count, begun)
            })
            .collect(),
        is_store_ok: store_status.is_store_ok,
        age_ms: millis_to_wire(store_status.data_age),
        watched_ms: millis_to_wire(shared.store_health().watched_for(now)),
        prompts: shared
            .prompts()
            .own()
            .take(MAX_HEARTBEAT_PROMPTS)
            .map(prompt_to_wire)
            .collect(),
        origins_stored_before: shared.origin_pages().stored_before(),
        stored_versions: shared
            .versions()
            .stored()
            .take(MAX_HEARTBEAT_VERSIONS)
            .map(origin_store::version_to_wire)
            .collect(),
        zone: shared.zone_hash(),
        exits_in_ms: shared.shutdown().exits_in(now).map(millis_to_wire),
        ..GatewayHeartbeat::default()
    };
    heartbeat.limits = shared
        .fleet()
        .named_limits(now)
        .iter()
        .take(MAX_HEARTBEAT_LIMITS)
        .map(|limit| limit_to_wire(limit, now))
        .collect();
    shared.add_departures(&mut heartbeat);
    quarantine::add_to_heartbeat(shared, &mut heartbeat);
    // A longer datagram would be truncated, and the sender taken for lost.
    while heartbeat.encoded_len() > MAX_HEARTBEAT_BYTES && heartbeat.prompts.pop().is_some() {}
    let room = MAX_HEARTBEAT_BYTES.saturating_sub(heartbeat.encoded_len());
    let loads = shared.fleet().own_loads(now);
    let max_loads = (room / MAX_LOAD_BYTES).min(MAX_HEARTBEAT_LOADS);
    heartbeat.loads = loads.iter().take(max_loads).map(load_to_wire).collect();
    heartbeat.encode_to_vec()
}

fn millis_to_wire(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
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

fn retries_to_wire(service: u64, count: RetryCount, begun: u64) -> RetryUse {
    RetryUse {
        service,
        requests: count.requests.try_into().unwrap_or(u32::MAX),
        retries: count.retries.try_into().unwrap_or(u32::MAX),
        begun,
    }
}

fn retries_from_wire(wire: &RetryUse) -> (u64, RetryCount) {
    let count = RetryCount {
        requests: wire.requests.into(),
        retries: wire.retries.into(),
    };
    (wire.service, count)
}

fn begun_from_wire(wire: &RetryUse) -> (ServiceId, u64) {
    (ServiceId(wire.service), wire.begun)
}

async fn receive_datagrams<C: Clock>(shared: Arc<Shared<C>>) {
    let mut buf = [0; MAX_HEARTBEAT_BYTES];
    loop {
        let (len, from) = match shared.peer_socket().recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(step = "receive datagram"; "not received: {e}");
                continue;
            }
        };
        let IpAddr::V4(ip) = from.ip() else {
            continue;
        };
        if origin_exchange::is_origin_message(&buf[..len]) {
            origin_exchange::receive(&shared, ip, &buf[..len]);
            continue;
        }
        match GatewayHeartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => record_heartbeat(&shared, ip, &heartbeat),
            Err(e) => log::warn!(peer:% = from; "heartbeat cannot be decoded: {e}"),
        }
    }
}

fn record_heartbeat<C: Clock>(shared: &Shared<C>, from: Ipv4Addr, wire: &GatewayHeartbeat) {
    let now = shared.now();
    let heartbeat = PeerHeartbeat {
        incarnation: wire.incarnation,
        sequence: wire.sequence,
        config_version: wire.config_version,
        config_bytes: wire.config_bytes.into(),
        servers_position: peer_knowledge::position_from_wire(wire.store_era, wire.servers_revision),
        loads: wire.loads.iter().map(load_from_wire).collect(),
        peers: wire
            .peers
            .iter()
            .copied()
            .map(Ipv4Addr::from_bits)
            .collect(),
        retries: wire.retries.iter().map(retries_from_wire).collect(),
        begun: wire.retries.iter().map(begun_from_wire).collect(),
        is_store_ok: wire.is_store_ok,
        data_age: Duration::from_millis(wire.age_ms.into()),
        watched_for: Duration::from_millis(wire.watched_ms.into()),
        zone: wire.zone,
        exits_in: wire.exits_in_ms.map(|ms| Duration::from_millis(ms.into())),
    };
    let (loads, begun) = {
        let mut peers = shared.peers();
        let begun = peers.begun_since_last(from, &heartbeat);
        if !peers.record(from, heartbeat, now) {
            return;
        }
        (peers.loads(now), begun)
    };
    shared
        .unstored_origins()
        .record_stored(from, wire.incarnation, wire.origins_stored_before);
    let stored = wire.stored_versions.iter().copied();
    shared.record_peer_stored(from, stored.map(origin_store::version_from_wire));
    for (service, count) in begun {
        shared.quarantine().count_begun(service, count, now);
    }
    record_prompts(shared, &wire.prompts);
    record_limits(shared, &wire.limits);
    shared.record_peer_departures(&wire.departures);
    shared.record_live_gateways();
    quarantine::apply_heartbeat(shared, wire);
    shared.fleet().record_remote_loads(&loads);
    shared.cancel_unreliable_tokens();
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

fn limit_to_wire(limit: &NamedLimit, now: Instant) -> BackendLimit {
    let age = now.saturating_duration_since(limit.named_at).as_millis();
    BackendLimit {
        backend: limit.backend,
        per_s: limit.per_s,
        age_ms: age.try_into().unwrap_or(u32::MAX),
    }
}

fn record_limits<C: Clock>(shared: &Shared<C>, limits: &[BackendLimit]) {
    let now = shared.now();
    let mut fleet = shared.fleet();
    for limit in limits {
        let age = Duration::from_millis(limit.age_ms.into());
        let reported = NamedLimit {
            backend: limit.backend,
            per_s: limit.per_s,
            // A host that has just started has no instant that long ago.
            named_at: now.checked_sub(age).unwrap_or(now),
        };
        fleet.record_peer_limit(reported, now);
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

/// Wakes the sender of heartbeats when this gateway's load or data change.
#[derive(Debug, Default)]
pub(crate) struct LoadChangeSignal(Notify);

impl LoadChangeSignal {
    pub(crate) fn notify(&self) {
        self.0.notify_one();
    }

    async fn notified(&self) {
        self.0.notified().await;
    }
}
