//! Backend servers that announce in their responses that they are leaving.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::BackendStandin;
use common::{Gateway, TestCluster, caller_head, eventually, free_ports, zone};

/// Time after which a server that announced its departure gets nothing more.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Returns the requests that arrived at or after `from`, as their paths.
fn arrivals_since(backend: &BackendStandin, from: Instant) -> Vec<String> {
    let arrivals = backend.arrivals().into_iter();
    let later = arrivals.filter(|arrival| arrival.at >= from);
    later.map(|arrival| arrival.path).collect()
}

/// Calls `path` until the backend server has responded, which announces its departure.
async fn call_until_announced(gateway: &Gateway, backend: &BackendStandin, path: &str) -> Instant {
    let before = backend.arrivals().len();
    for i in 0..100 {
        let id = format!("announce-{i}");
        gateway.call(&caller_head(&id, path), "POST").await;
        if backend.arrivals().len() > before {
            return Instant::now();
        }
    }
    panic!("the backend server got no request");
}

async fn call_many(gateway: &Gateway, name: &str, path: &str, count: usize) {
    for i in 0..count {
        let id = format!("{name}-{i}");
        let response = gateway.call(&caller_head(&id, path), "POST").await;
        assert_eq!(response.status(), 200, "{id}");
    }
}

/// Guards against calls to a server that has announced its departure while the store lists it as ready.
#[tokio::test]
async fn server_that_announced_its_leave_gets_no_calls() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    cluster.apps[0].set_leaving(true);
    let left_at = call_until_announced(&gateway, &cluster.apps[0], "/write/a").await;
    call_many(&gateway, "a", "/write/a", 30).await;
    // The entry is written again by the same incarnation.
    cluster.put_entry(&cluster.apps[0], "app", zone(0), "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    call_many(&gateway, "b", "/write/a", 30).await;
    assert_eq!(arrivals_since(&cluster.apps[0], left_at), [""; 0]);
}

/// Guards against a header that the gateway reads but withholds from the caller.
#[tokio::test]
async fn announcement_is_forwarded_to_the_caller() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    for app in &cluster.apps {
        app.set_leaving(true);
    }
    let response = gateway.call(&caller_head("a", "/write/a"), "POST").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.head.headers()["server-leaving"], "1");
}

/// Guards against an entry that vanishes and returns, as from an older copy of the store, and
/// admits the same incarnation again.
#[tokio::test]
async fn returned_entry_does_not_readmit_the_same_incarnation() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let app = &cluster.apps[0];
    app.set_leaving(true);
    let left_at = call_until_announced(&gateway, app, "/write/a").await;
    cluster.store.delete(&format!("servers/{}", app.instance()));
    eventually("the entry is gone", || gateway.handle.status().backends < 3).await;
    cluster.put_entry(app, "app", zone(0), "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    call_many(&gateway, "a", "/write/a", 30).await;
    assert_eq!(arrivals_since(app, left_at), [""; 0]);
}

/// Guards against a restart under the same id that is taken for the process that left.
#[tokio::test]
async fn next_incarnation_is_used_again() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let app = &cluster.apps[0];
    app.set_leaving(true);
    call_until_announced(&gateway, app, "/write/a").await;
    let next = BackendStandin::start(app.instance(), 0, Duration::ZERO)
        .await
        .expect("start a backend server");
    cluster.put_entry(&next, "app", zone(0), "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    call_many(&gateway, "a", "/write/a", 30).await;
    assert!(!next.runs().is_empty(), "the next incarnation is used");
}

/// Guards against peers that learn of a departure only from the store.
#[tokio::test]
async fn peers_learn_of_a_departure_in_heartbeats() {
    let cluster = TestCluster::start(1).await;
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    let second = cluster.gateway("127.0.0.2", base, "127.0.0.1").await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    cluster.apps[0].set_leaving(true);
    call_until_announced(&first, &cluster.apps[0], "/write/a").await;
    tokio::time::sleep(DEPARTURE_TIME).await;
    let told_at = Instant::now();
    call_many(&second, "a", "/write/a", 30).await;
    assert_eq!(arrivals_since(&cluster.apps[0], told_at), [""; 0]);
}

/// Guards against a running stream that ends when its engine announces its departure, and against new
/// generations, probes and orders there.
#[tokio::test]
async fn leaving_engine_completes_its_stream_and_gets_nothing_new() {
    let cluster = TestCluster::start_with_interval(2, Duration::from_millis(200)).await;
    let gateway = cluster.one_gateway().await;
    // The engine announces its departure in the head of the response, after its report.
    for engine in &cluster.engines {
        engine.set_run_time(Duration::from_millis(300));
    }
    let head = caller_head("long", "/stream/a");
    let long = gateway.call(&head, "POST");
    let others = async {
        let leaving = || cluster.engines.iter().find(|e| !e.runs().is_empty());
        eventually("the stream runs", || leaving().is_some()).await;
        let leaving = leaving().expect("an engine runs the stream");
        leaving.set_leaving(true);
        for engine in &cluster.engines {
            engine.set_run_time(Duration::ZERO);
        }
        tokio::time::sleep(DEPARTURE_TIME).await;
        let from = Instant::now();
        let call = async |i: usize| {
            let id = format!("short-{i}");
            let head = caller_head(&id, "/stream/a");
            let response = gateway.call(&head, "POST");
            drop(tokio::time::timeout(Duration::from_millis(400), response).await);
        };
        tokio::join!(call(1), call(2), call(3), call(4));
        arrivals_since(leaving, from)
    };
    let (long, arrivals) = tokio::join!(long, others);
    assert_eq!(long.status(), 200);
    assert_eq!(long.event_ids().len() as u64, common::EVENTS);
    assert_eq!(cluster.run_count("long"), 1);
    assert_eq!(arrivals, [""; 0]);
}

/// Guards against an older copy of the store that lists the server as ready again.
#[tokio::test]
async fn restored_store_does_not_readmit_a_departed_server() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let app = &cluster.apps[0];
    let copy = cluster.store.copy();
    app.set_leaving(true);
    let left_at = call_until_announced(&gateway, app, "/write/a").await;
    cluster.put_entry(app, "app", zone(0), "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.store.restore(&copy);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // The server writes its entry again, as all do after a restore.
    cluster.put_entry(app, "app", zone(0), "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    call_many(&gateway, "a", "/write/a", 30).await;
    assert_eq!(arrivals_since(app, left_at), [""; 0]);
}

/// Guards against a departure that only the response to a probe announces.
#[tokio::test]
async fn response_to_a_probe_announces_a_departure() {
    // The engines are probed, as their streams pause for longer than a heartbeat.
    let cluster = TestCluster::start_with_interval(2, Duration::from_millis(300)).await;
    let gateway = cluster.one_gateway().await;
    let head = caller_head("long", "/stream/a");
    let long = gateway.call(&head, "POST");
    let others = async {
        let running = || cluster.engines.iter().find(|e| !e.runs().is_empty());
        eventually("the stream runs", || running().is_some()).await;
        let leaving = running().expect("an engine runs the stream");
        tokio::time::sleep(Duration::from_millis(400)).await;
        leaving.set_leaving(true);
        tokio::time::sleep(DEPARTURE_TIME).await;
        let from = Instant::now();
        let call = async |i: usize| {
            let id = format!("short-{i}");
            let head = caller_head(&id, "/stream/a");
            let response = gateway.call(&head, "POST");
            drop(tokio::time::timeout(Duration::from_millis(400), response).await);
        };
        tokio::join!(call(1), call(2), call(3), call(4));
        arrivals_since(leaving, from)
    };
    tokio::select! {
        _ = long => panic!("the stream ends last"),
        arrivals = others => assert_eq!(arrivals, [""; 0]),
    }
}
