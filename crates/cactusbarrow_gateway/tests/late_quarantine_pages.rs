//! A write of a page of quarantined requests that is executed late replaces no newer page.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::{BackendStandin, CallerHead, DeadlyRequest};
use cactusbarrow_net::Body;
use cactusbarrow_protocol::generated::QuarantinePage;
use common::{Gateway, TestCluster, caller_head, eventually, free_ports, zone};
use http_body_util::BodyExt;
use prost::Message;

const GATEWAY: &str = "127.0.0.1";
const DEADLY_PATH: &str = "/write/lookup";
/// Number of backend servers, of which each deadly request ends one.
const BACKENDS: usize = 4;
/// Time in which a page is written after a loss, also after a write that is not answered.
const WRITE_TIME: Duration = Duration::from_millis(2_500);

/// Sends a request that is not repeated, and that ends the server that it reaches.
async fn send_deadly(gateway: &Gateway, id: &str, body: &'static str) {
    let head = CallerHead {
        deadline_ms: 3_000,
        ..caller_head(id, DEADLY_PATH)
    };
    let req = head.encode(gateway.addr, "POST", Body::full(body));
    let res = gateway.http.send("call", req).await;
    let res = res.expect("the gateway responds");
    drop(res.into_body().collect().await);
}

/// Returns how many lost attempts the gateway's page in the store names.
fn losses_on_page(cluster: &TestCluster) -> usize {
    let pages = cluster.store.values(&format!("quarantine/{GATEWAY}"));
    let losses = |page: &Vec<u8>| {
        let page = QuarantinePage::decode(page.as_slice()).expect("a page");
        page.lost_generations.len()
    };
    pages.iter().map(losses).sum()
}

/// Load pattern: the store executes a write seconds after its writer has given it up.
#[tokio::test]
async fn late_write_hides_no_loss_that_a_newer_page_names() {
    let mut cluster = TestCluster::start(1).await;
    for i in cluster.apps.len()..BACKENDS {
        let app = BackendStandin::start(&format!("app-{i}"), 0, Duration::ZERO)
            .await
            .expect("start a backend server");
        cluster.put_entry(&app, "app", zone(i), "ready");
        cluster.apps.push(app);
    }
    let deadly = ["first", "second"].map(|body| DeadlyRequest {
        path: DEADLY_PATH.to_owned(),
        body: body.as_bytes().to_vec(),
        delay: Duration::ZERO,
    });
    for app in &cluster.apps {
        app.set_deadly_requests(&deadly);
    }
    let base = free_ports(GATEWAY);
    let gateway = cluster.gateway(GATEWAY, base, GATEWAY).await;
    gateway.wait_until_ready().await;

    cluster.store.set_holds_writes(true);
    send_deadly(&gateway, "early", "first").await;
    tokio::time::sleep(WRITE_TIME).await;
    cluster.store.set_holds_writes(false);
    eventually("the first loss is stored", || losses_on_page(&cluster) == 1).await;
    send_deadly(&gateway, "late", "second").await;
    eventually("both losses are stored", || losses_on_page(&cluster) == 2).await;
    cluster.store.execute_held_writes();
    assert_eq!(losses_on_page(&cluster), 2, "a newer page was replaced");
}
