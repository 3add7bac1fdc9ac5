//! Departures of backend servers that gateways learn beside cuts, outages and restores of the store.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{StoreMode, StoreStandin, config_json};
use cactusbarrow_protocol::generated::GatewayHeartbeat;
use common::cut_proxy::CutProxy;
use common::{Gateway, KEY, TestCluster, caller_head, eventually, free_ports, zone};
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, UdpSocket};

/// Time for a change of the store to reach all gateways.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Duration of a cut in which entries would expire if it were an outage of the store.
const CUT: Duration = Duration::from_secs(2);

/// Calls a gateway for some time; returns whether any call was answered with status 200.
async fn is_any_answered(gateway: &Gateway, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut is_answered = false;
    for i in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("after-{i}");
        let response = gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        is_answered |= response.status() == 200;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    is_answered
}

/// Guards against a gateway that takes its own cut for an outage of the store, after which removed
/// entries may be written again, and goes on using a server that has left.
#[tokio::test]
async fn server_that_left_after_a_cut_of_one_gateway_gets_no_calls_there() {
    let cluster = TestCluster::start(0).await;
    cluster.store.delete("servers/app-1");
    let proxy = CutProxy::start(cluster.store.addr()).await;
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    let second =
        TestCluster::gateway_with_store("127.0.0.2", base, "127.0.0.1", proxy.addr()).await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    proxy.set_cut(true);
    tokio::time::sleep(CUT).await;
    let forwarded = proxy.forwarded();
    proxy.set_cut(false);
    eventually("the second gateway calls the store", || {
        proxy.forwarded() > forwarded
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.store.delete("servers/app-0");
    for gateway in [&first, &second] {
        tokio::time::sleep(PROPAGATION / 2).await;
        eventually("the entry is gone", || {
            gateway.handle.status().backends == 0
        })
        .await;
    }
    assert!(!is_any_answered(&second, Duration::from_millis(500)).await);
}

/// Guards against a drain that lasts only until the next entry of the same incarnation, as from a
/// writer that is behind.
#[tokio::test]
async fn drained_server_that_is_listed_as_ready_again_gets_no_calls() {
    for is_removed_between in [false, true] {
        let cluster = TestCluster::start(0).await;
        let gateway = cluster.one_gateway().await;
        let app = &cluster.apps[0];
        cluster.put_entry(app, "app", zone(0), "draining");
        eventually("the drain is known", || {
            gateway.handle.status().backends == 1
        })
        .await;
        if is_removed_between {
            cluster.store.delete("servers/app-0");
            tokio::time::sleep(PROPAGATION).await;
        }
        cluster.put_entry(app, "app", zone(0), "ready");
        tokio::time::sleep(PROPAGATION).await;
        let before = app.arrivals().len();
        assert!(is_any_answered(&gateway, Duration::from_millis(500)).await);
        assert_eq!(
            app.arrivals().len(),
            before,
            "removed: {is_removed_between}"
        );
    }
}

/// Guards against a peer that read an older copy of the store and lists a server that this gateway
/// knows to have left.
#[tokio::test]
async fn peer_with_an_older_copy_does_not_list_a_departed_server_again() {
    let cluster = TestCluster::start(0).await;
    let copy = cluster.store.copy();
    let proxy = CutProxy::start(cluster.store.addr()).await;
    let base = free_ports("127.0.0.1");
    let first = TestCluster::gateway_with_store("127.0.0.1", base, "127.0.0.2", proxy.addr()).await;
    first.wait_until_ready().await;
    cluster.store.delete("servers/app-0");
    eventually("the entry is gone", || first.handle.status().backends == 1).await;
    // The first gateway learns of the restore only from its peer, which knows the copy alone.
    proxy.set_cut(true);
    cluster.store.restore(&copy);
    let second = cluster.gateway("127.0.0.2", base, "127.0.0.1").await;
    second.wait_until_ready().await;
    tokio::time::sleep(PROPAGATION).await;
    let before = cluster.apps[0].arrivals().len();
    assert!(is_any_answered(&first, Duration::from_secs(1)).await);
    assert_eq!(cluster.apps[0].arrivals().len(), before);
}

/// Guards against a departure that only one gateway noticed, and that is forgotten with its end.
#[tokio::test]
async fn gateway_that_starts_later_learns_of_departures_from_any_peer() {
    let cluster = TestCluster::start(0).await;
    let app = &cluster.apps[0];
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    let second = cluster.gateway("127.0.0.2", base, "127.0.0.1").await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    app.set_leaving(true);
    while app.arrivals().is_empty() {
        assert!(is_any_answered(&first, Duration::from_millis(20)).await);
    }
    tokio::time::sleep(PROPAGATION).await;
    first.handle.stop().await;
    let third = cluster.gateway("127.0.0.3", base, "127.0.0.2").await;
    third.wait_until_ready().await;
    tokio::time::sleep(PROPAGATION).await;
    let before = app.arrivals().len();
    assert!(is_any_answered(&third, Duration::from_millis(500)).await);
    assert_eq!(app.arrivals().len(), before);
}

/// Starts a peer that claims to have the newest list, and that accepts requests for it and is silent.
async fn start_silent_peer(addr: SocketAddr, to: SocketAddr) {
    let socket = UdpSocket::bind(addr).await.expect("bind the socket");
    let listener = TcpListener::bind(addr).await.expect("bind the listener");
    tokio::spawn(async move {
        let mut kept = Vec::new();
        for sequence in 1.. {
            let heartbeat = GatewayHeartbeat {
                incarnation: 1,
                sequence,
                store_era: 99,
                servers_revision: 99,
                config_version: 99,
                ..GatewayHeartbeat::default()
            };
            let sent = socket.send_to(&heartbeat.encode_to_vec(), to).await;
            sent.expect("send a heartbeat");
            let accepted = tokio::time::timeout(Duration::from_millis(100), listener.accept());
            if let Ok(Ok((mut conn, _))) = accepted.await {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
                conn.write_all(head).await.expect("write the head");
                kept.push(conn);
            }
        }
    });
}

/// Starts a gateway, one that has no access to the store, and a silent peer of the second.
async fn gateways_beside_a_silent_peer() -> (TestCluster, Gateway, Gateway) {
    let cluster = TestCluster::start(0).await;
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    first.wait_until_ready().await;
    let store = StoreStandin::start().await.expect("start another store");
    store.set_mode(StoreMode::Busy);
    let second =
        TestCluster::gateway_with_store("127.0.0.2", base, "127.0.0.1", store.addr()).await;
    second.wait_until_ready().await;
    let addr = |ip: [u8; 4]| SocketAddr::from((ip, base + 2));
    start_silent_peer(addr([127, 0, 0, 3]), addr([127, 0, 0, 2])).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    (cluster, first, second)
}

/// Guards against a gateway that waits for one peer, which is silent or wrong about what it knows,
/// while others could tell it of a departure.
#[tokio::test]
async fn drain_reaches_a_gateway_beside_a_silent_peer_with_a_newer_claim() {
    let (cluster, _first, second) = gateways_beside_a_silent_peer().await;
    cluster.put_entry(&cluster.apps[0], "app", zone(0), "draining");
    eventually("the drain is known", || {
        second.handle.status().backends == 1
    })
    .await;
}

/// Guards against a configuration that does not arrive because one peer, which claims a newer one, is
/// silent.
#[tokio::test]
async fn configuration_reaches_a_gateway_beside_a_silent_peer_with_a_newer_claim() {
    let (cluster, _first, second) = gateways_beside_a_silent_peer().await;
    cluster.store.put("op/config", &config_json(8, &[KEY]));
    eventually("the version is adopted", || {
        second.handle.status().version.0 == 8
    })
    .await;
}
