//! Drains, outages of the store, and gateways that learn from each other.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::{StoreMode, config_json};
use common::{KEY, World, eventually, free_ports, head};
use http::StatusCode;

#[tokio::test]
async fn a_draining_engine_gets_no_new_work() {
    let world = World::start(2).await;
    let gateway = world.one_gateway().await;
    world.list(&world.engines[0], "llm", "zona-pa", "draining");
    tokio::time::sleep(Duration::from_millis(600)).await;
    for i in 0..4 {
        let id = format!("g-{i}");
        let answer = gateway.call(&head(&id, "/stream/1"), "POST").await;
        assert_eq!(answer.status(), 200);
    }
    assert!(world.engines[0].runs().is_empty());
}

#[tokio::test]
async fn before_any_configuration_callers_are_told_to_come_back() {
    let world = World::start(1).await;
    world.store.set_mode(StoreMode::Busy);
    let base = free_ports("127.0.0.1");
    let gateway = world.gateway("127.0.0.1", base, "127.0.0.1").await;
    assert_eq!(gateway.health().await, StatusCode::SERVICE_UNAVAILABLE);
    let answer = gateway.call(&head("early", "/read/a"), "GET").await;
    assert_eq!(answer.status(), 503);
    world.store.set_mode(StoreMode::Serving);
    gateway.wait_until_ready().await;
    assert_eq!(gateway.health().await, StatusCode::OK);
}

/// Load pattern: all gateways start again at once, and callers connect before the store has
/// answered for the first time.
#[tokio::test]
async fn a_caller_that_connects_during_the_start_is_served() {
    let world = World::start(1).await;
    for i in 0..5 {
        let base = free_ports("127.0.0.1");
        let gateway = world.gateway("127.0.0.1", base, "127.0.0.1").await;
        let id = format!("first-{i}");
        let answer = gateway.call(&head(&id, "/read/a"), "GET").await;
        assert_eq!(answer.status(), 200);
    }
}

#[tokio::test]
async fn serving_goes_on_while_the_store_is_away() {
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        let world = World::start(2).await;
        let gateway = world.one_gateway().await;
        world.store.set_mode(mode);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let answer = gateway.call(&head("away", "/stream/1"), "POST").await;
        assert_eq!(answer.status(), 200);
        world.store.set_mode(StoreMode::Serving);
        world.store.put("op/config", &config_json(11, &[KEY]));
        eventually("the new version is in force", || {
            gateway.handle.status().version.0 == 11
        })
        .await;
    }
}

#[tokio::test]
async fn a_dropped_history_is_read_anew() {
    let world = World::start(1).await;
    let gateway = world.one_gateway().await;
    world.store.put("op/config", &config_json(20, &[KEY]));
    world.store.drop_history();
    eventually("the new version is in force", || {
        gateway.handle.status().version.0 == 20
    })
    .await;
}

/// Load pattern: the store turns some hosts away and serves the others.
#[tokio::test]
async fn a_gateway_learns_from_another_what_the_store_does_not_tell_it() {
    let world = World::start(2).await;
    let base = free_ports("127.0.0.1");
    let first = world.gateway("127.0.0.1", base, "127.0.0.2").await;
    first.wait_until_ready().await;
    let dead = cactusbarrow_adapter_standins::StoreStandin::start()
        .await
        .expect("start another store");
    dead.set_mode(StoreMode::Busy);
    let cut_off = World {
        store: dead,
        engines: Vec::new(),
        apps: Vec::new(),
    };
    let second = cut_off.gateway("127.0.0.2", base, "127.0.0.1").await;
    second.wait_until_ready().await;
    let answer = second.call(&head("learned", "/stream/1"), "POST").await;
    assert_eq!(answer.status(), 200);
    world.store.put("op/config", &config_json(30, &[KEY]));
    eventually("the version reaches the gateway that is cut off", || {
        second.handle.status().version.0 == 30
    })
    .await;
    world.store.delete("servers/engine-0");
    world.store.delete("servers/engine-1");
    eventually("the list reaches it, too", || {
        second.handle.status().backends == 2
    })
    .await;
}

#[tokio::test]
async fn a_stop_finishes_what_is_in_flight() {
    let world = World::start(2).await;
    let gateway = world.one_gateway().await;
    let req = head("last", "/stream/1").encode(
        gateway.addr,
        "POST",
        cactusbarrow_net::Body::full("the body"),
    );
    let http = gateway.http.clone();
    let call = tokio::spawn(async move {
        let res = http.send("call", req).await.expect("an answer");
        http_body_util::BodyExt::collect(res.into_body()).await
    });
    eventually("the generation runs", || world.runs_of("last") == 1).await;
    assert!(gateway.handle.stop().await, "nothing was cut");
    let body = call
        .await
        .expect("the call ended")
        .expect("the body is whole");
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    assert_eq!(text.matches("data: ").count() as u64, common::EVENTS);
}

/// A caller's request for a generation whose prompt has a part of its own.
fn returning<'a>(
    request_id: &'a str,
    extra: &'a [(&'static str, &'a str)],
) -> cactusbarrow_adapter_standins::CallerHead<'a> {
    cactusbarrow_adapter_standins::CallerHead {
        extra,
        ..head(request_id, "/stream/1")
    }
}

/// Returns the instances that ran a request.
fn engines_of(world: &World, request_id: &str) -> Vec<String> {
    let ran = |engine: &&cactusbarrow_adapter_standins::BackendStandin| {
        let runs = engine.runs();
        runs.iter()
            .any(|run| run.headers["cactusbarrow-request-id"] == request_id)
    };
    let engines = world.engines.iter().filter(ran);
    engines.map(|engine| engine.instance().to_owned()).collect()
}

const PROMPT: (&str, &str) = ("cactusbarrow-prompt-prefix", "5c1e07a2:200,E4402b7d:5000");

/// Load pattern: a gateway was killed, and its callers return to another one that was told
/// where their prompts are kept.
#[tokio::test]
async fn a_caller_whose_gateway_ended_returns_to_the_engine_with_its_prompt() {
    let world = World::start(8).await;
    let base = free_ports("127.0.0.1");
    let first = world.gateway("127.0.0.1", base, "127.0.0.2").await;
    let second = world.gateway("127.0.0.2", base, "127.0.0.1").await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    let extra = [PROMPT];
    let req = returning("before", &extra).encode(
        first.addr,
        "POST",
        cactusbarrow_net::Body::full("the body"),
    );
    let http = first.http.clone();
    let call = tokio::spawn(async move { http.send("call", req).await.map(|_| ()) });
    eventually("the generation runs", || world.runs_of("before") == 1).await;
    // Two heartbeats tell of the prompt.
    tokio::time::sleep(Duration::from_millis(900)).await;
    call.abort();
    let extra = [PROMPT, ("last-event-id", "4")];
    let answer = second.call(&returning("after", &extra), "POST").await;
    assert_eq!(answer.event_ids().first(), Some(&5));
    assert_eq!(engines_of(&world, "after"), engines_of(&world, "before"));
}

/// Load pattern: all gateways lost power, so none remembers where prompts are kept.
#[tokio::test]
async fn a_gateway_that_remembers_nothing_asks_the_engines_for_a_prompt() {
    let world = World::start(8).await;
    let first = world.one_gateway().await;
    let extra = [PROMPT];
    let answer = first.call(&returning("before", &extra), "POST").await;
    assert_eq!(answer.status(), 200);
    first.handle.stop().await;
    let second = world.one_gateway().await;
    let extra = [PROMPT, ("last-event-id", "4")];
    let answer = second.call(&returning("after", &extra), "POST").await;
    assert_eq!(answer.event_ids().first(), Some(&5));
    assert_eq!(engines_of(&world, "after"), engines_of(&world, "before"));
}

/// Load pattern: callers return from connections that lost their other end, with little of
/// their time left.
#[tokio::test]
async fn a_caller_without_time_for_its_generation_is_told_at_once() {
    let world = World::start(2).await;
    let gateway = world.one_gateway().await;
    for i in 0..5 {
        let id = format!("usual-{i}");
        let answer = gateway.call(&head(&id, "/stream/1"), "POST").await;
        assert_eq!(answer.status(), 200);
    }
    let late = cactusbarrow_adapter_standins::CallerHead {
        deadline_ms: 100,
        ..head("late", "/stream/1")
    };
    let answer = gateway.call(&late, "POST").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.head.headers().contains_key("retry-after"));
    assert_eq!(world.runs_of("late"), 0);
}
