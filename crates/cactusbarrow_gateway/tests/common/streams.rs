//! Streams that callers begin at engines of one software version and resume at another gateway.

use std::collections::BTreeSet;

use cactusbarrow_adapter_standins::{CallerHead, Fault};
use cactusbarrow_net::{Body, Clock, EventSplitter};
use http_body_util::BodyExt;

use super::{CallerResponse, EVENTS, Gateway, TestCluster, caller_head};

/// Number of streams in tests whose engines are chosen at random.
pub(crate) const STREAMS: usize = 4;

/// Software versions of a service in which few engines have the version of the streams.
pub(crate) const MOSTLY_V2: [&str; 8] = ["v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2"];

/// Returns the software versions that wrote the events of a response.
pub(crate) fn writers(response: &CallerResponse) -> BTreeSet<&str> {
    let events = response.text().lines();
    let events = events.filter(|line| line.starts_with("data: "));
    events
        .map(|line| line.rsplit(' ').next().unwrap_or_default())
        .collect()
}

/// Sets a fault of all engines that do not have this software version.
pub(crate) fn set_fault_of_others(cluster: &TestCluster, software: &str, fault: Option<Fault>) {
    let others = cluster.engines.iter();
    for engine in others.filter(|engine| engine.software() != software) {
        engine.set_fault(fault);
    }
}

/// Has an engine of `software` begin a stream whose caller leaves after some events; returns the
/// id of the last one that the caller received.
pub(crate) async fn begin_stream(
    cluster: &TestCluster,
    gateway: &Gateway,
    request_id: &str,
    software: &str,
) -> u64 {
    set_fault_of_others(cluster, software, Some(Fault::NotExecuted));
    let head = caller_head(request_id, "/stream/1");
    let req = head.encode(gateway.addr, "POST", Body::full("the body"));
    let res = gateway.http.send("call", req).await;
    let mut body = res.expect("the gateway responds").into_body();
    let mut splitter = EventSplitter::default();
    let mut last_event = 0;
    while last_event < 4 {
        let frame = body.frame().await.expect("the stream goes on");
        let frame = frame.expect("the connection is sound");
        splitter.push(frame.data_ref().expect("a frame has data"));
        while let Some(event) = splitter.next_event().expect("events are well-formed") {
            let text = String::from_utf8_lossy(&event.bytes);
            assert!(text.contains(software), "begun by another version: {text}");
            last_event = event.id.expect("events have ids");
        }
    }
    set_fault_of_others(cluster, software, None);
    last_event
}

/// Sends the request of a caller that resumes a stream after `last_event`.
pub(crate) async fn resume_stream<C: Clock>(
    gateway: &Gateway<C>,
    request_id: &str,
    resumes: &str,
    last_event: u64,
) -> CallerResponse {
    let last_event = last_event.to_string();
    let extra = [("last-event-id", &*last_event), ("resumes", resumes)];
    let head = CallerHead {
        extra: &extra,
        ..caller_head(request_id, "/stream/1")
    };
    gateway.call(&head, "POST").await
}

/// Resumes streams at `gateway` and checks that the version of their first events completes them.
pub(crate) async fn assert_resumed_at_v1(gateway: &Gateway, begun: &[(String, u64)]) {
    for (id, last_event) in begun {
        let response = resume_stream(gateway, &format!("{id}-again"), id, *last_event).await;
        assert_eq!(response.status(), 200);
        assert_eq!(
            response.event_ids(),
            (last_event + 1..=EVENTS).collect::<Vec<_>>()
        );
        assert_eq!(writers(&response), BTreeSet::from(["v1"]));
    }
}

/// Has engines of `v1` begin some streams; returns the ids of their requests and last events.
pub(crate) async fn begin_streams(cluster: &TestCluster, gateway: &Gateway) -> Vec<(String, u64)> {
    let mut begun = Vec::new();
    for i in 0..STREAMS {
        let id = format!("begun-{i}");
        let last_event = begin_stream(cluster, gateway, &id, "v1").await;
        begun.push((id, last_event));
    }
    begun
}
