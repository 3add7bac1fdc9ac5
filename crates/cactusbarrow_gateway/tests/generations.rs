//! Generations over real sockets: whole, once, and through the loss of an engine.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::{BackendStandin, Fault};
use common::{EVENTS, World, eventually, head};

fn whole() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Returns the engine that runs a request.
async fn engine_of<'a>(world: &'a World, request_id: &str) -> &'a BackendStandin {
    let has = |engine: &&BackendStandin| {
        let runs = engine.runs();
        runs.iter()
            .any(|run| run.headers["cactusbarrow-request-id"] == request_id)
    };
    eventually("an engine has the request", || {
        world.engines.iter().any(|engine| has(&engine))
    })
    .await;
    world.engines.iter().find(has).expect("one was found")
}

/// Removes the entry of the engine that keeps the copy of an engine's first run.
fn remove_holder(world: &World, engine: &BackendStandin) {
    let holder = engine.runs()[0].headers["cactusbarrow-kv-backup"].clone();
    let lost = world
        .engines
        .iter()
        .find(|engine| engine.addr().to_string().as_bytes() == holder.as_bytes())
        .expect("the holder is one of the engines");
    world.store.delete(&format!("servers/{}", lost.instance()));
}

#[tokio::test]
async fn a_generation_arrives_whole_with_its_engines_signature() {
    let world = World::start(2).await;
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("calm", "/stream/1"), "POST").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.event_ids(), whole());
    let engine = engine_of(&world, "calm").await;
    let signature = &answer.head.headers()["cactusbarrow-server-signature"];
    assert_eq!(signature, &format!("{}.calm", engine.instance()));
    let run = &engine.runs()[0];
    assert_eq!(run.headers["cactusbarrow-tenant"], "huka270");
    assert!(
        !run.headers.contains_key("cactusbarrow-key"),
        "keys stay here"
    );
    assert!(run.headers.contains_key("cactusbarrow-kv-backup"));
    assert_eq!(run.body, b"the body");
}

#[tokio::test]
async fn a_callers_own_system_headers_are_dropped() {
    let world = World::start(2).await;
    let gateway = world.one_gateway().await;
    let forged = [
        ("cactusbarrow-tenant", "other"),
        ("kv-from", "10.0.0.1:1/x"),
        ("cactusbarrow-hold", "h"),
        ("cactusbarrow-pin-ms", "4000"),
        ("cactusbarrow-expect-instance", "other"),
    ];
    let mut req = head("forged", "/stream/1");
    req.extra = &forged;
    let answer = gateway.call(&req, "POST").await;
    assert_eq!(answer.status(), 200);
    let run = &engine_of(&world, "forged").await.runs()[0];
    assert_eq!(run.headers["cactusbarrow-tenant"], "huka270");
    for name in ["kv-from", "cactusbarrow-hold", "cactusbarrow-pin-ms"] {
        assert!(!run.headers.contains_key(name), "{name} was passed on");
    }
}

async fn survives(fault: Option<Fault>) {
    let world = World::start(4).await;
    let gateway = world.one_gateway().await;
    let req = head("hurt", "/stream/1");
    let call = gateway.call(&req, "POST");
    let hurt = async {
        let engine = engine_of(&world, "hurt").await;
        match fault {
            Some(fault) => engine.set_fault(Some(fault)),
            None => {
                tokio::time::sleep(std::time::Duration::from_millis(200)).await;
                engine.kill();
            }
        }
        engine.instance().to_owned()
    };
    let (answer, hurt) = tokio::join!(call, hurt);
    assert_eq!(
        answer.event_ids(),
        whole(),
        "nothing is missing or repeated"
    );
    let signature = &answer.head.headers()["cactusbarrow-server-signature"];
    assert_eq!(
        signature,
        &format!("{hurt}.hurt"),
        "the first engine's head stays"
    );
    let resumed = world
        .engines
        .iter()
        .filter(|engine| engine.instance() != hurt)
        .flat_map(BackendStandin::runs)
        .find(|run| run.headers["cactusbarrow-request-id"] == "hurt")
        .expect("another engine went on");
    assert!(
        resumed.headers.contains_key("kv-from"),
        "it goes on from the copy"
    );
    assert!(resumed.headers.contains_key("last-event-id"));
}

#[tokio::test]
async fn a_generation_goes_on_when_its_engine_ends() {
    survives(None).await;
}

#[tokio::test]
async fn a_generation_goes_on_when_its_engine_falls_silent() {
    survives(Some(Fault::Freeze)).await;
}

#[tokio::test]
async fn a_generation_goes_on_when_its_stream_breaks_in_an_event() {
    survives(Some(Fault::BreakOff)).await;
}

#[tokio::test]
async fn a_generation_goes_on_when_its_stream_alone_stands_still() {
    survives(Some(Fault::Stall)).await;
}

/// Load pattern: an engine drops single streams while zones come and go, so that copies
/// are renewed all the while.
#[tokio::test]
async fn a_stream_that_stands_still_moves_on_while_its_copy_is_renewed() {
    let world = World::start(4).await;
    let gateway = world.one_gateway().await;
    let req = head("still", "/stream/1");
    let call = gateway.call(&req, "POST");
    let hurt = async {
        let engine = engine_of(&world, "still").await;
        engine.set_fault(Some(Fault::Stall));
        remove_holder(&world, engine);
    };
    let both = async { tokio::join!(call, hurt).0 };
    let answer = tokio::time::timeout(common::PATIENCE / 2, both)
        .await
        .expect("the stall is noticed although copies are renewed");
    assert_eq!(answer.event_ids(), whole());
}

/// Load pattern: a zone falls silent, and a copy is to be renewed by an engine of it just then.
/// The copy of before still stands elsewhere.
#[tokio::test]
async fn a_copy_that_cannot_be_renewed_is_still_used() {
    let world = World::start_paced(4, Duration::from_millis(70)).await;
    let gateway = world.one_gateway().await;
    let req = head("renewed", "/stream/1");
    let call = gateway.call(&req, "POST");
    let hurt = async {
        let engine = engine_of(&world, "renewed").await;
        remove_holder(&world, engine);
        eventually("the copy is made elsewhere", || {
            engine.copy_orders().len() == 1
        })
        .await;
        engine.set_fault(Some(Fault::RefuseCopies));
        eventually("its renewal is declined", || engine.copy_orders().len() > 1).await;
        engine.set_fault(Some(Fault::BreakOff));
        engine.addr()
    };
    let (answer, first) = tokio::join!(call, hurt);
    assert_eq!(answer.event_ids(), whole());
    let second = world.engines.iter().filter(|engine| engine.addr() != first);
    let runs: Vec<_> = second.flat_map(BackendStandin::runs).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].headers["kv-from"], format!("{first}/h1").as_str());
}

#[tokio::test]
async fn a_caller_that_returns_gets_what_follows_its_last_event() {
    let world = World::start(2).await;
    let gateway = world.one_gateway().await;
    let mut req = head("again", "/stream/1");
    req.extra = &[("last-event-id", "12")];
    let answer = gateway.call(&req, "POST").await;
    assert_eq!(answer.event_ids(), (13..=EVENTS).collect::<Vec<_>>());
}

#[tokio::test]
async fn an_engine_that_fails_before_its_first_event_costs_only_time() {
    let world = World::start(2).await;
    world.engines[0].set_fault(Some(Fault::Error));
    let gateway = world.one_gateway().await;
    for i in 0..4 {
        let id = format!("err-{i}");
        let answer = gateway.call(&head(&id, "/stream/1"), "POST").await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.event_ids(), whole());
    }
}

#[tokio::test]
async fn a_lost_copy_is_made_again_by_the_running_engine() {
    let world = World::start(4).await;
    let gateway = world.one_gateway().await;
    let req = head("copied", "/stream/1");
    let call = gateway.call(&req, "POST");
    let lose = async {
        let engine = engine_of(&world, "copied").await;
        remove_holder(&world, engine);
        eventually("the memory is copied again", || {
            !engine.copy_orders().is_empty()
        })
        .await;
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        engine.kill();
        format!("{}/h1", engine.addr())
    };
    let (answer, copy) = tokio::join!(call, lose);
    assert_eq!(answer.event_ids(), whole());
    let is_resumed = world
        .engines
        .iter()
        .flat_map(BackendStandin::runs)
        .any(|run| {
            run.headers
                .get("kv-from")
                .is_some_and(|from| from.as_bytes() == copy.as_bytes())
        });
    assert!(is_resumed, "it goes on from the new copy");
}

/// Load pattern: a zone ends while prompts that rely on it for their copies are read.
#[tokio::test]
async fn a_copy_whose_holder_is_lost_before_the_first_event_is_made_again() {
    let world = World::start(4).await;
    for engine in &world.engines {
        engine.set_fault(Some(Fault::SlowStart));
    }
    let gateway = world.one_gateway().await;
    let req = head("early", "/stream/1");
    let call = gateway.call(&req, "POST");
    let lose = async {
        let engine = engine_of(&world, "early").await;
        remove_holder(&world, engine);
        engine
    };
    let (answer, engine) = tokio::join!(call, lose);
    assert_eq!(answer.event_ids(), whole());
    assert!(!engine.copy_orders().is_empty(), "the loss was missed");
    eventually("the ordered copy is freed", || {
        engine.release_paths() == ["/kv-handle/h1"]
    })
    .await;
}

#[tokio::test]
async fn without_a_usable_engine_a_caller_is_told_at_once() {
    let world = World::start(0).await;
    let gateway = world.one_gateway().await;
    let answer = gateway.call(&head("none", "/stream/1"), "POST").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.head.headers().contains_key("retry-after"));
    assert_eq!(world.runs_of("none"), 0);
}
