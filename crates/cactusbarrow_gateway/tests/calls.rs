//! Calls over real sockets: executed at most once, with unchanged responses and correct refusals.

mod common;

use cactusbarrow_adapter_standins::{CallerHead, Fault, config_json};
use common::{KEY, TestCluster, caller_head, eventually};

#[tokio::test]
async fn call_response_is_passed_on_unchanged() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let response = gateway
        .call(&caller_head("w-1", "/write/a?x=1"), "POST")
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.text(), "answer to w-1");
    let signature = &response.head.headers()["cactusbarrow-server-signature"];
    assert!(signature.to_str().is_ok_and(|s| s.ends_with(".w-1")));
    assert_eq!(cluster.run_count("w-1"), 1);
}

/// Calls a non-idempotent route of backend servers with a fault; returns the response's status.
async fn status_of_single_run(fault: Fault) -> u16 {
    let cluster = TestCluster::start(1).await;
    for app in &cluster.apps {
        app.set_fault(Some(fault));
    }
    let gateway = cluster.one_gateway().await;
    let response = gateway.call(&caller_head("once", "/write/a"), "POST").await;
    assert_eq!(cluster.run_count("once"), 1, "{fault:?}");
    response.status()
}

#[tokio::test]
async fn non_idempotent_call_is_not_retried() {
    assert_eq!(status_of_single_run(Fault::TruncateResponse).await, 502);
    assert_eq!(status_of_single_run(Fault::WrongId).await, 502);
    assert_eq!(
        status_of_single_run(Fault::Hang).await,
        504,
        "at the route's timeout"
    );
    assert_eq!(
        status_of_single_run(Fault::Error).await,
        500,
        "the backend server's response"
    );
}

#[tokio::test]
async fn call_declined_by_all_backends_is_refused_as_not_run() {
    let cluster = TestCluster::start(1).await;
    for app in &cluster.apps {
        app.set_fault(Some(Fault::NotExecuted));
    }
    let gateway = cluster.one_gateway().await;
    let response = gateway.call(&caller_head("full", "/write/a"), "POST").await;
    assert_eq!(response.status(), 503);
    assert!(response.head.headers().contains_key("retry-after"));
    assert_eq!(cluster.run_count("full"), 0);
}

#[tokio::test]
async fn idempotent_call_is_retried_at_another_backend() {
    for fault in [
        Fault::Error,
        Fault::TruncateResponse,
        Fault::WrongId,
        Fault::Hang,
    ] {
        let cluster = TestCluster::start(1).await;
        cluster.apps[0].set_fault(Some(fault));
        let gateway = cluster.one_gateway().await;
        for i in 0..4 {
            let id = format!("r-{i}");
            let response = gateway.call(&caller_head(&id, "/read/a"), "GET").await;
            assert_eq!(response.status(), 200, "{fault:?}");
            assert_eq!(response.text(), format!("answer to {id}"));
        }
    }
}

#[tokio::test]
async fn call_avoids_terminated_backend() {
    let cluster = TestCluster::start(1).await;
    cluster.apps[0].kill();
    let gateway = cluster.one_gateway().await;
    for i in 0..6 {
        let id = format!("w-{i}");
        let response = gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        assert_eq!(response.status(), 200);
        assert_eq!(cluster.run_count(&id), 1);
    }
}

/// The store still lists an instance whose address another instance uses now; that instance must
/// not run the call.
#[tokio::test]
async fn backend_that_was_replaced_runs_nothing() {
    let cluster = TestCluster::start(1).await;
    let app = &cluster.apps[0];
    let stale = cactusbarrow_adapter_standins::entry_json("app", app.addr(), "zona-pa", "ready");
    cluster.store.put("servers/app-old", &stale);
    cluster.store.delete("servers/app-0");
    cluster.store.delete("servers/app-1");
    let gateway = cluster.one_gateway().await;
    let response = gateway
        .call(&caller_head("stale", "/write/a"), "POST")
        .await;
    assert_eq!(response.status(), 503);
    assert_eq!(cluster.run_count("stale"), 0);
}

#[tokio::test]
async fn newest_configuration_decides_routes_and_keys() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let unknown = CallerHead {
        key: "no-such-key",
        ..caller_head("k", "/read/a")
    };
    assert_eq!(gateway.call(&unknown, "GET").await.status(), 401);
    let nowhere = gateway.call(&caller_head("p", "/nowhere/a"), "GET").await;
    assert_eq!(nowhere.status(), 404);
    assert_eq!(nowhere.text(), "failed: no_route\n");
    cluster.store.put("op/config", &config_json(9, &["key-2"]));
    eventually("version 9 is adopted", || {
        gateway.handle.status().version.0 == 9
    })
    .await;
    assert_eq!(
        gateway
            .call(&caller_head("o", "/read/a"), "GET")
            .await
            .status(),
        401
    );
    cluster.store.put("op/config", &config_json(8, &[KEY]));
    cluster.store.put("servers/marker", "{}");
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    assert_eq!(
        gateway.handle.status().version.0,
        9,
        "an older version is not adopted"
    );
}

#[tokio::test]
async fn oversized_body_is_rejected_and_not_run() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let body = cactusbarrow_net::Body::full(vec![b'x'; 70_000]);
    let req = caller_head("big", "/write/a").encode(gateway.addr, "POST", body);
    let res = gateway.http.send("call", req).await.expect("a response");
    assert_eq!(res.status().as_u16(), 413);
    assert_eq!(cluster.run_count("big"), 0);
}

#[tokio::test]
async fn malformed_entries_do_not_affect_other_backends() {
    let cluster = TestCluster::start(1).await;
    for (i, entry) in ["", "[]", "{\"service\":7}", "\u{1}", "{\"state\":\"odd\"}"]
        .iter()
        .enumerate()
    {
        cluster.store.put(&format!("servers/odd-{i}"), entry);
    }
    let gateway = cluster.one_gateway().await;
    let response = gateway.call(&caller_head("fine", "/read/a"), "GET").await;
    assert_eq!(response.status(), 200);
}
