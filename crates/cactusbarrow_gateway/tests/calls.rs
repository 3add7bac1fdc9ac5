//! Calls over real sockets: at most once, the engine's own answer, true refusals.

mod common;

use cactusbarrow_adapter_standins::{CallerHead, Fault, config_json};
use common::{KEY, World, eventually, head};

#[tokio::test]
async fn a_call_gets_its_servers_answer_unchanged() {
    let world = World::start(1).await;
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("w-1", "/write/a?x=1"), "POST").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.text(), "answer to w-1");
    let signature = &answer.head.headers()["cactusbarrow-server-signature"];
    assert!(signature.to_str().is_ok_and(|s| s.ends_with(".w-1")));
    assert_eq!(world.runs_of("w-1"), 1);
}

async fn runs_once(fault: Fault) -> u16 {
    let world = World::start(1).await;
    for app in &world.apps {
        app.set_fault(Some(fault));
    }
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("once", "/write/a"), "POST").await;
    assert_eq!(world.runs_of("once"), 1, "{fault:?}");
    answer.status()
}

#[tokio::test]
async fn a_call_that_may_run_once_is_not_sent_again() {
    assert_eq!(runs_once(Fault::CutAnswer).await, 502);
    assert_eq!(runs_once(Fault::WrongId).await, 502);
    assert_eq!(runs_once(Fault::Hang).await, 504, "at the route's timeout");
    assert_eq!(
        runs_once(Fault::Error).await,
        500,
        "the server's own answer"
    );
}

#[tokio::test]
async fn a_call_that_no_server_takes_is_told_as_not_run() {
    let world = World::start(1).await;
    for app in &world.apps {
        app.set_fault(Some(Fault::NotExecuted));
    }
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("full", "/write/a"), "POST").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.head.headers().contains_key("retry-after"));
    assert_eq!(world.runs_of("full"), 0);
}

#[tokio::test]
async fn a_lookup_goes_to_another_server_when_one_fails_it() {
    for fault in [Fault::Error, Fault::CutAnswer, Fault::WrongId, Fault::Hang] {
        let world = World::start(1).await;
        world.apps[0].set_fault(Some(fault));
        let gateway = world.one_gateway().await;
        for i in 0..4 {
            let id = format!("r-{i}");
            let answer = gateway.call(&head(&id, "/read/a"), "GET").await;
            assert_eq!(answer.status(), 200, "{fault:?}");
            assert_eq!(answer.text(), format!("answer to {id}"));
        }
    }
}

#[tokio::test]
async fn a_call_avoids_a_server_that_has_ended() {
    let world = World::start(1).await;
    world.apps[0].kill();
    let gateway = world.one_gateway().await;
    for i in 0..6 {
        let id = format!("w-{i}");
        let answer = gateway.call(&head(&id, "/write/a"), "POST").await;
        assert_eq!(answer.status(), 200);
        assert_eq!(world.runs_of(&id), 1);
    }
}

#[tokio::test]
async fn a_server_under_another_instance_runs_nothing() {
    let world = World::start(1).await;
    let app = &world.apps[0];
    let stale = cactusbarrow_adapter_standins::entry_json("app", app.addr(), "zona-pa", "ready");
    world.store.put("servers/app-old", &stale);
    world.store.delete("servers/app-0");
    world.store.delete("servers/app-1");
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("stale", "/write/a"), "POST").await;
    assert_eq!(answer.status(), 503);
    assert_eq!(world.runs_of("stale"), 0);
}

#[tokio::test]
async fn only_the_configuration_refuses_routes_and_keys() {
    let world = World::start(1).await;
    let gateway = world.one_gateway().await;
    let unknown = CallerHead {
        key: "no-such-key",
        ..head("k", "/read/a")
    };
    assert_eq!(gateway.call(&unknown, "GET").await.status(), 401);
    assert_eq!(
        gateway.call(&head("p", "/nowhere/a"), "GET").await.status(),
        404
    );
    world.store.put("op/config", &config_json(9, &["key-2"]));
    eventually("version 9 is in force", || {
        gateway.handle.status().version.0 == 9
    })
    .await;
    assert_eq!(
        gateway.call(&head("o", "/read/a"), "GET").await.status(),
        401
    );
    world.store.put("op/config", &config_json(8, &[KEY]));
    world.store.put("servers/marker", "{}");
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    assert_eq!(
        gateway.handle.status().version.0,
        9,
        "an older version never returns"
    );
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected_and_not_run() {
    let world = World::start(1).await;
    let gateway = world.one_gateway().await;
    let body = cactusbarrow_net::Body::full(vec![b'x'; 70_000]);
    let req = head("big", "/write/a").encode(gateway.addr, "POST", body);
    let res = gateway.http.send("call", req).await.expect("an answer");
    assert_eq!(res.status().as_u16(), 413);
    assert_eq!(world.runs_of("big"), 0);
}

#[tokio::test]
async fn strange_entries_name_no_server_and_harm_no_other() {
    let world = World::start(1).await;
    for (i, entry) in ["", "[]", "{\"service\":7}", "\u{1}", "{\"state\":\"odd\"}"]
        .iter()
        .enumerate()
    {
        world.store.put(&format!("servers/odd-{i}"), entry);
    }
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("fine", "/read/a"), "GET").await;
    assert_eq!(answer.status(), 200);
}
