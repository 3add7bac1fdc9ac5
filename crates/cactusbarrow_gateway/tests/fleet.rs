//! Drains, store outages, and the exchange of data between gateways.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::{StoreMode, config_json};
use common::{KEY, TestCluster, caller_head, eventually, free_ports};
use http::StatusCode;

#[tokio::test]
async fn draining_engine_gets_no_new_work() {
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    cluster.put_entry(&cluster.engines[0], "llm", "zona-pa", "draining");
    tokio::time::sleep(Duration::from_millis(600)).await;
    for i in 0..4 {
        let id = format!("g-{i}");
        let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
        assert_eq!(response.status(), 200);
    }
    assert!(cluster.engines[0].runs().is_empty());
}

#[tokio::test]
async fn callers_are_refused_before_the_first_configuration() {
    let cluster = TestCluster::start(1).await;
    cluster.store.set_mode(StoreMode::Busy);
    let base = free_ports("127.0.0.1");
    let gateway = cluster.gateway("127.0.0.1", base, "127.0.0.1").await;
    assert_eq!(gateway.health().await, StatusCode::SERVICE_UNAVAILABLE);
    let response = gateway.call(&caller_head("early", "/read/a"), "GET").await;
    assert_eq!(response.status(), 503);
    cluster.store.set_mode(StoreMode::Serving);
    gateway.wait_until_ready().await;
    assert_eq!(gateway.health().await, StatusCode::OK);
}

/// Load pattern: all gateways restart at once, and callers connect before the first response of
/// the store.
#[tokio::test]
async fn caller_that_connects_during_start_up_is_served() {
    let cluster = TestCluster::start(1).await;
    for i in 0..5 {
        let base = free_ports("127.0.0.1");
        let gateway = cluster.gateway("127.0.0.1", base, "127.0.0.1").await;
        let id = format!("first-{i}");
        let response = gateway.call(&caller_head(&id, "/read/a"), "GET").await;
        assert_eq!(response.status(), 200);
    }
}

#[tokio::test]
async fn requests_are_served_during_a_store_outage() {
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        let cluster = TestCluster::start(2).await;
        let gateway = cluster.one_gateway().await;
        // No stream begins at a version before the store has the page that names it.
        let response = gateway
            .call(&caller_head("before", "/stream/1"), "POST")
            .await;
        assert_eq!(response.status(), 200, "{mode:?}: {:?}", response.body);
        cluster.store.set_mode(mode);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let response = gateway
            .call(&caller_head("away", "/stream/1"), "POST")
            .await;
        assert_eq!(response.status(), 200, "{mode:?}: {:?}", response.body);
        cluster.store.set_mode(StoreMode::Serving);
        cluster.store.put("op/config", &config_json(11, &[KEY]));
        eventually("the new version is adopted", || {
            gateway.handle.status().version.0 == 11
        })
        .await;
    }
}

/// Guards against a gateway that misses a change because the store no longer has the history
/// after the watched revision.
#[tokio::test]
async fn store_is_read_again_after_it_dropped_its_history() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    cluster.store.put("op/config", &config_json(20, &[KEY]));
    cluster.store.drop_history();
    eventually("the new version is adopted", || {
        gateway.handle.status().version.0 == 20
    })
    .await;
}

/// Load pattern: the store rejects the calls of some hosts and serves the others.
#[tokio::test]
async fn gateway_without_store_access_fetches_data_from_a_peer() {
    let cluster = TestCluster::start(2).await;
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    first.wait_until_ready().await;
    let failing_store = cactusbarrow_adapter_standins::StoreStandin::start()
        .await
        .expect("start another store");
    failing_store.set_mode(StoreMode::Busy);
    let isolated = TestCluster {
        store: failing_store,
        engines: Vec::new(),
        apps: Vec::new(),
    };
    let second = isolated.gateway("127.0.0.2", base, "127.0.0.1").await;
    second.wait_until_ready().await;
    let response = second
        .call(&caller_head("learned", "/stream/1"), "POST")
        .await;
    assert_eq!(response.status(), 200);
    cluster.store.put("op/config", &config_json(30, &[KEY]));
    eventually(
        "the version reaches the gateway without store access",
        || second.handle.status().version.0 == 30,
    )
    .await;
    cluster.store.delete("servers/engine-0");
    cluster.store.delete("servers/engine-1");
    eventually("the list of backend servers reaches it, too", || {
        second.handle.status().backends == 2
    })
    .await;
}

#[tokio::test]
async fn stop_finishes_requests_in_flight() {
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    let req = caller_head("last", "/stream/1").encode(
        gateway.addr,
        "POST",
        cactusbarrow_net::Body::full("the body"),
    );
    let http = gateway.http.clone();
    let call = tokio::spawn(async move {
        let res = http.send("call", req).await.expect("a response");
        http_body_util::BodyExt::collect(res.into_body()).await
    });
    eventually("the generation runs", || cluster.run_count("last") == 1).await;
    assert!(gateway.handle.stop().await, "a connection was aborted");
    let body = call
        .await
        .expect("the task does not panic")
        .expect("the body is complete");
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    assert_eq!(text.matches("data: ").count() as u64, common::EVENTS);
}

/// Guards against callers that wait one after another, past their deadlines, for a read of the store.
#[tokio::test]
async fn callers_that_resume_are_answered_by_their_deadlines_while_the_store_is_silent() {
    let cluster = TestCluster::start(2).await;
    let gateway = std::sync::Arc::new(cluster.one_gateway().await);
    cluster.store.set_mode(StoreMode::Silent);
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..20 {
        let gateway = gateway.clone();
        callers.spawn(async move {
            let id = format!("resume-{i}");
            let req = cactusbarrow_adapter_standins::CallerHead {
                deadline_ms: 1_000,
                ..generation_head(&id, &[("last-event-id", "4")])
            };
            gateway.call(&req, "POST").await.status()
        });
    }
    let answered = tokio::time::timeout(Duration::from_secs(3), callers.join_all()).await;
    let statuses = answered.expect("all callers are answered");
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
}

/// Returns a request for a generation with additional headers.
fn generation_head<'a>(
    request_id: &'a str,
    extra: &'a [(&'static str, &'a str)],
) -> cactusbarrow_adapter_standins::CallerHead<'a> {
    cactusbarrow_adapter_standins::CallerHead {
        extra,
        ..caller_head(request_id, "/stream/1")
    }
}

/// Returns the instances of the engines that ran a request.
fn engines_of(cluster: &TestCluster, request_id: &str) -> Vec<String> {
    let ran = |engine: &&cactusbarrow_adapter_standins::BackendStandin| {
        let runs = engine.runs();
        runs.iter()
            .any(|run| run.headers["cactusbarrow-request-id"] == request_id)
    };
    let engines = cluster.engines.iter().filter(ran);
    engines.map(|engine| engine.instance().to_owned()).collect()
}

/// Header that names the parts of a prompt; the last part is unique to it.
const PROMPT_HEADER: (&str, &str) = ("cactusbarrow-prompt-prefix", "5c1e07a2:200,E4402b7d:5000");

/// Load pattern: a gateway was killed, and its callers reconnect to another one, which knows
/// from heartbeats where their prompts are cached.
#[tokio::test]
async fn caller_of_a_killed_gateway_is_sent_to_the_engine_with_its_prompt() {
    let cluster = TestCluster::start(8).await;
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    let second = cluster.gateway("127.0.0.2", base, "127.0.0.1").await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    let extra = [PROMPT_HEADER];
    let req = generation_head("before", &extra).encode(
        first.addr,
        "POST",
        cactusbarrow_net::Body::full("the body"),
    );
    let http = first.http.clone();
    let call = tokio::spawn(async move { http.send("call", req).await.map(|_| ()) });
    eventually("the generation runs", || cluster.run_count("before") == 1).await;
    // The prompt is in the next two heartbeats.
    tokio::time::sleep(Duration::from_millis(900)).await;
    call.abort();
    let extra = [PROMPT_HEADER, ("last-event-id", "4"), ("resumes", "before")];
    let response = second.call(&generation_head("after", &extra), "POST").await;
    assert_eq!(response.event_ids().first(), Some(&5));
    assert_eq!(
        engines_of(&cluster, "after"),
        engines_of(&cluster, "before")
    );
}

/// Load pattern: all gateways lost power, so none knows where prompts are cached.
#[tokio::test]
async fn restarted_gateway_asks_the_engines_for_cached_prompts() {
    let cluster = TestCluster::start(8).await;
    let first = cluster.one_gateway().await;
    let extra = [PROMPT_HEADER];
    let response = first.call(&generation_head("before", &extra), "POST").await;
    assert_eq!(response.status(), 200);
    first.handle.stop().await;
    let second = cluster.one_gateway().await;
    let extra = [PROMPT_HEADER, ("last-event-id", "4"), ("resumes", "before")];
    let response = second.call(&generation_head("after", &extra), "POST").await;
    assert_eq!(response.event_ids().first(), Some(&5));
    assert_eq!(
        engines_of(&cluster, "after"),
        engines_of(&cluster, "before")
    );
}

/// Load pattern: callers reconnect after their connections were lost, shortly before their
/// time-outs.
#[tokio::test]
async fn caller_without_time_for_its_generation_is_refused_at_once() {
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    for i in 0..5 {
        let id = format!("usual-{i}");
        let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
        assert_eq!(response.status(), 200);
    }
    let late = cactusbarrow_adapter_standins::CallerHead {
        deadline_ms: 100,
        ..caller_head("late", "/stream/1")
    };
    let response = gateway.call(&late, "POST").await;
    assert_eq!(response.status(), 503);
    assert!(response.head.headers().contains_key("retry-after"));
    assert_eq!(cluster.run_count("late"), 0);
}
