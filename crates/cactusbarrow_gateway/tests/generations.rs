//! Generations over real sockets: complete, without repeated events, and resumed when their
//! engine is lost.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::{BackendStandin, Fault};
use cactusbarrow_policy::OriginConfig;
use common::offset_clock::OffsetClock;
use common::{EVENTS, TestCluster, caller_head, eventually};

/// Returns the event ids of a complete generation.
fn all_event_ids() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Returns the engine that runs a request.
async fn engine_of<'a>(cluster: &'a TestCluster, request_id: &str) -> &'a BackendStandin {
    let has = |engine: &&BackendStandin| {
        let runs = engine.runs();
        runs.iter()
            .any(|run| run.headers["cactusbarrow-request-id"] == request_id)
    };
    eventually("an engine has the request", || {
        cluster.engines.iter().any(|engine| has(&engine))
    })
    .await;
    cluster
        .engines
        .iter()
        .find(has)
        .expect("an engine was found")
}

/// Removes the entry of the holder of the copy of an engine's first run.
fn remove_holder(cluster: &TestCluster, engine: &BackendStandin) {
    let holder = engine.runs()[0].headers["cactusbarrow-kv-backup"].clone();
    let lost = cluster
        .engines
        .iter()
        .find(|engine| engine.addr().to_string().as_bytes() == holder.as_bytes())
        .expect("the holder is one of the engines");
    cluster
        .store
        .delete(&format!("servers/{}", lost.instance()));
}

#[tokio::test]
async fn complete_generation_carries_its_engines_signature() {
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    let response = gateway
        .call(&caller_head("calm", "/stream/1"), "POST")
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.event_ids(), all_event_ids());
    let engine = engine_of(&cluster, "calm").await;
    let signature = &response.head.headers()["cactusbarrow-server-signature"];
    assert_eq!(signature, &format!("{}.calm", engine.instance()));
    let run = &engine.runs()[0];
    assert_eq!(run.headers["cactusbarrow-tenant"], "huka270");
    assert!(
        !run.headers.contains_key("cactusbarrow-key"),
        "the caller's key is not passed on"
    );
    assert!(run.headers.contains_key("cactusbarrow-kv-backup"));
    assert_eq!(run.body, b"the body");
}

/// Guards against engines that end before the first event of a response whose end is that of its
/// connection.
#[tokio::test]
async fn stream_without_events_is_not_complete() {
    let cluster = TestCluster::start(2).await;
    cluster.engines[0].set_fault(Some(Fault::EmptyStream));
    let gateway = cluster.one_gateway().await;
    for i in 0..6 {
        let id = format!("empty-{i}");
        let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
        assert_eq!(response.event_ids(), all_event_ids());
    }
}

/// Guards against callers that forge the headers that gateways send to engines.
#[tokio::test]
async fn internal_headers_of_callers_are_dropped() {
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    let forged = [
        ("cactusbarrow-tenant", "other"),
        ("kv-from", "10.0.0.1:1/x"),
        ("cactusbarrow-hold", "h"),
        ("cactusbarrow-pin-ms", "4000"),
        ("cactusbarrow-expect-instance", "other"),
    ];
    let mut req = caller_head("forged", "/stream/1");
    req.extra = &forged;
    let response = gateway.call(&req, "POST").await;
    assert_eq!(response.status(), 200);
    let run = &engine_of(&cluster, "forged").await.runs()[0];
    assert_eq!(run.headers["cactusbarrow-tenant"], "huka270");
    for name in ["kv-from", "cactusbarrow-hold", "cactusbarrow-pin-ms"] {
        assert!(!run.headers.contains_key(name), "{name} was passed on");
    }
}

/// Checks that a generation is complete although its engine is killed or gets a fault.
async fn assert_resumes_after(fault: Option<Fault>) {
    let cluster = TestCluster::start(4).await;
    let gateway = cluster.one_gateway().await;
    let req = caller_head("hurt", "/stream/1");
    let call = gateway.call(&req, "POST");
    let inject_fault = async {
        let engine = engine_of(&cluster, "hurt").await;
        match fault {
            Some(fault) => engine.set_fault(Some(fault)),
            None => {
                tokio::time::sleep(std::time::Duration::from_millis(200)).await;
                engine.kill();
            }
        }
        engine.instance().to_owned()
    };
    let (response, failed_instance) = tokio::join!(call, inject_fault);
    assert_eq!(
        response.event_ids(),
        all_event_ids(),
        "an event is missing or repeated"
    );
    let signature = &response.head.headers()["cactusbarrow-server-signature"];
    assert_eq!(
        signature,
        &format!("{failed_instance}.hurt"),
        "the head is not that of the first engine"
    );
    let resumed = cluster
        .engines
        .iter()
        .filter(|engine| engine.instance() != failed_instance)
        .flat_map(BackendStandin::runs)
        .find(|run| run.headers["cactusbarrow-request-id"] == "hurt")
        .expect("another engine resumed the generation");
    assert!(
        resumed.headers.contains_key("kv-from"),
        "it was not resumed from the copy"
    );
    assert!(resumed.headers.contains_key("last-event-id"));
}

#[tokio::test]
async fn generation_resumes_when_its_engine_terminates() {
    assert_resumes_after(None).await;
}

#[tokio::test]
async fn generation_resumes_when_its_engine_falls_silent() {
    assert_resumes_after(Some(Fault::Freeze)).await;
}

#[tokio::test]
async fn generation_resumes_when_its_stream_breaks_within_an_event() {
    assert_resumes_after(Some(Fault::TruncateStream)).await;
}

#[tokio::test]
async fn generation_resumes_when_only_its_stream_stalls() {
    assert_resumes_after(Some(Fault::Stall)).await;
}

/// Load pattern: an engine stalls single streams while zones fail and recover, so that copies
/// are renewed all the time.
#[tokio::test]
async fn stall_is_detected_while_the_copy_is_renewed() {
    let cluster = TestCluster::start(4).await;
    let gateway = cluster.one_gateway().await;
    let req = caller_head("still", "/stream/1");
    let call = gateway.call(&req, "POST");
    let inject_fault = async {
        let engine = engine_of(&cluster, "still").await;
        engine.set_fault(Some(Fault::Stall));
        remove_holder(&cluster, engine);
    };
    let both = async { tokio::join!(call, inject_fault).0 };
    let response = tokio::time::timeout(common::EVENTUALLY_TIMEOUT / 2, both)
        .await
        .expect("the stall is detected although copies are renewed");
    assert_eq!(response.event_ids(), all_event_ids());
}

/// Load pattern: a zone falls silent just when one of its engines is to renew a copy. The
/// previous copy is still held elsewhere.
#[tokio::test]
async fn previous_copy_is_used_when_its_renewal_failed() {
    let cluster = TestCluster::start_with_interval(4, Duration::from_millis(70)).await;
    let gateway = cluster.one_gateway().await;
    let req = caller_head("renewed", "/stream/1");
    let call = gateway.call(&req, "POST");
    let inject_fault = async {
        let engine = engine_of(&cluster, "renewed").await;
        remove_holder(&cluster, engine);
        eventually("the memory is copied elsewhere", || {
            engine.copy_orders().len() == 1
        })
        .await;
        engine.set_fault(Some(Fault::RefuseCopies));
        eventually("its renewal is declined", || engine.copy_orders().len() > 1).await;
        engine.set_fault(Some(Fault::TruncateStream));
        engine.addr()
    };
    let (response, first) = tokio::join!(call, inject_fault);
    assert_eq!(response.event_ids(), all_event_ids());
    let second = cluster
        .engines
        .iter()
        .filter(|engine| engine.addr() != first);
    let runs: Vec<_> = second.flat_map(BackendStandin::runs).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].headers["kv-from"], format!("{first}/h1").as_str());
}

#[tokio::test]
async fn reconnecting_caller_gets_the_events_after_its_last_one() {
    let cluster = TestCluster::start(2).await;
    let clock = OffsetClock::default();
    let gateway = cluster.one_gateway_with_clock(clock.clone()).await;
    // The caller names no origin, so the gateway has to know that there was no other version.
    clock.advance(OriginConfig::default().retention);
    let mut req = caller_head("again", "/stream/1");
    req.extra = &[("last-event-id", "12")];
    let response = gateway.call(&req, "POST").await;
    assert_eq!(response.event_ids(), (13..=EVENTS).collect::<Vec<_>>());
}

#[tokio::test]
async fn engine_failure_before_the_first_event_is_hidden_from_the_caller() {
    let cluster = TestCluster::start(2).await;
    cluster.engines[0].set_fault(Some(Fault::Error));
    let gateway = cluster.one_gateway().await;
    for i in 0..4 {
        let id = format!("err-{i}");
        let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
        assert_eq!(response.status(), 200);
        assert_eq!(response.event_ids(), all_event_ids());
    }
}

#[tokio::test]
async fn lost_copy_is_replaced_by_the_running_engine() {
    let cluster = TestCluster::start(4).await;
    let gateway = cluster.one_gateway().await;
    let req = caller_head("copied", "/stream/1");
    let call = gateway.call(&req, "POST");
    let lose = async {
        let engine = engine_of(&cluster, "copied").await;
        remove_holder(&cluster, engine);
        eventually("the memory is copied again", || {
            !engine.copy_orders().is_empty()
        })
        .await;
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        engine.kill();
        format!("{}/h1", engine.addr())
    };
    let (response, copy) = tokio::join!(call, lose);
    assert_eq!(response.event_ids(), all_event_ids());
    let is_resumed = cluster
        .engines
        .iter()
        .flat_map(BackendStandin::runs)
        .any(|run| {
            run.headers
                .get("kv-from")
                .is_some_and(|from| from.as_bytes() == copy.as_bytes())
        });
    assert!(is_resumed, "it was not resumed from the new copy");
}

/// Load pattern: a zone is lost while engines elsewhere read prompts whose copies it holds.
#[tokio::test]
async fn copy_is_replaced_when_its_holder_is_lost_before_the_first_event() {
    let cluster = TestCluster::start(4).await;
    for engine in &cluster.engines {
        engine.set_fault(Some(Fault::SlowStart));
    }
    let gateway = cluster.one_gateway().await;
    let req = caller_head("early", "/stream/1");
    let call = gateway.call(&req, "POST");
    let lose = async {
        let engine = engine_of(&cluster, "early").await;
        remove_holder(&cluster, engine);
        engine
    };
    let (response, engine) = tokio::join!(call, lose);
    assert_eq!(response.event_ids(), all_event_ids());
    assert!(
        !engine.copy_orders().is_empty(),
        "the loss of the holder was missed"
    );
    eventually("the ordered copy is released", || {
        engine.release_paths() == ["/kv-handle/h1"]
    })
    .await;
}

#[tokio::test]
async fn caller_is_refused_at_once_without_a_usable_engine() {
    let cluster = TestCluster::start(0).await;
    let gateway = cluster.one_gateway().await;
    let response = gateway
        .call(&caller_head("none", "/stream/1"), "POST")
        .await;
    assert_eq!(response.status(), 503);
    assert!(response.head.headers().contains_key("retry-after"));
    assert_eq!(cluster.run_count("none"), 0);
}
