//! Requests that are still open when the grace period of a shutdown ends.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_adapter_standins::{CallerHead, Fault, config_json};
use cactusbarrow_net::Body;
use common::{CallerResponse, EVENTS, EVENTUALLY_TIMEOUT, Gateway, KEY, TestCluster, caller_head};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns a configuration whose time-outs end after the grace period.
fn config_with_long_timeouts() -> String {
    let mut config: Value =
        serde_json::from_str(&config_json(7, &[KEY])).expect("the sample is JSON");
    for route in config["routes"].as_array_mut().expect("routes are listed") {
        route["timeoutMs"] = 60_000.into();
    }
    config.to_string()
}

/// Sends the head of a request and the first bytes of its body.
async fn send_part(gateway: SocketAddr, id: &str, path: &str, body: &str) -> TcpStream {
    let mut conn = TcpStream::connect(gateway).await.expect("connect");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: ficu.example\r\ncactusbarrow-request-id: {id}\r\n\
         cactusbarrow-key: {KEY}\r\ncactusbarrow-deadline-ms: 60000\r\ncontent-length: 8\r\n\r\n{body}"
    );
    conn.write_all(head.as_bytes()).await.expect("send");
    conn
}

/// Returns the status line of the response that has arrived.
async fn status_line(conn: &mut TcpStream) -> String {
    let mut buf = [0; 1_024];
    let read = tokio::time::timeout(EVENTUALLY_TIMEOUT, conn.read(&mut buf)).await;
    let count = read.unwrap_or(Ok(0)).unwrap_or(0);
    let text = String::from_utf8_lossy(&buf[..count]);
    text.lines().next().unwrap_or("no response").to_owned()
}

/// Guards against requests that are cut without an answer when the process exits.
#[tokio::test]
async fn open_requests_are_answered_before_the_process_exits() {
    let cluster = TestCluster::start(1).await;
    cluster.store.put("op/config", &config_with_long_timeouts());
    let gateway = cluster.one_gateway().await;
    let hanging = cluster.apps.iter().chain(&cluster.engines);
    hanging.for_each(|backend| backend.set_fault(Some(Fault::Hang)));
    let mut conns = [
        send_part(gateway.addr, "arriving", "/write/1", "part").await,
        send_part(gateway.addr, "call", "/write/1", "the body").await,
        send_part(gateway.addr, "stream", "/stream/1", "the body").await,
    ];
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stop = gateway.handle.stop();
    let read = async {
        let mut lines = Vec::new();
        for conn in &mut conns {
            lines.push(status_line(conn).await);
        }
        lines
    };
    let mut stop = std::pin::pin!(stop);
    let lines = tokio::select! {
        biased;
        lines = read => lines,
        is_clean = &mut stop => panic!("requests are open at the exit; clean: {is_clean}"),
    };
    assert!(lines[0].starts_with("HTTP/1.1 503"), "{lines:?}");
    assert!(lines[1].starts_with("HTTP/1.1 502"), "{lines:?}");
    assert!(lines[2].starts_with("HTTP/1.1 502"), "{lines:?}");
    drop(conns);
    assert!(stop.await, "all connections ended");
}

/// Guards against requests that wait, and are refused only at the end of a stop in which they could not be served.
#[tokio::test]
async fn requests_that_wait_are_refused_when_a_stop_begins() {
    let cluster = TestCluster::start(1).await;
    cluster.store.put("op/config", &config_with_long_timeouts());
    let gateway = cluster.one_gateway().await;
    cluster
        .apps
        .iter()
        .for_each(|app| app.set_fault(Some(Fault::Hang)));
    cluster.engines[0].set_retry_after(Some("30"));
    let mut open = send_part(gateway.addr, "call", "/write/1", "the body").await;
    let mut conns = [
        send_part(gateway.addr, "body", "/stream/1", "part").await,
        send_part(gateway.addr, "engine", "/stream/1", "the body").await,
    ];
    tokio::time::sleep(Duration::from_millis(200)).await;
    tokio::spawn(gateway.handle.stop());
    let waiting = async {
        let mut lines = Vec::new();
        for conn in &mut conns {
            lines.push(status_line(conn).await);
        }
        lines
    };
    let lines = tokio::select! {
        biased;
        line = status_line(&mut open) => panic!("they wait as long as an open call: {line}"),
        lines = waiting => lines,
    };
    for line in lines {
        assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    }
    assert_eq!(cluster.run_count("body") + cluster.run_count("engine"), 0);
}

const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Time of the stop at which a request arrives that keeps the gateway from ending early.
const HOLD: Duration = Duration::from_millis(2_000);

/// Times of the stop, of 4 s, at which generations arrive.
const EARLY: Duration = Duration::from_millis(300);
const LATE: Duration = Duration::from_millis(2_900);

/// Deadlines that end before the exit for a generation that arrives early, and for one that arrives late.
const EARLY_DEADLINE_MS: u64 = 2_800;
const LATE_DEADLINE_MS: u64 = 500;

/// Last event of a caller that resumes near the end, which takes two intervals.
const NEAR_END: u64 = EVENTS - 2;

/// Guards against generations that a stopping gateway admits by how long others took and cuts at its exit (review/2).
#[tokio::test]
async fn generation_that_would_be_cut_at_the_exit_is_not_sent_to_an_engine() {
    let cluster = TestCluster::start_with_interval(2, EVENT_INTERVAL).await;
    let Gateway {
        handle, addr, http, ..
    } = cluster.one_gateway().await;
    let send = async |id: &str, deadline_ms: Option<u64>, last_event: Option<u64>| {
        let last_event = last_event.map(|last_event| last_event.to_string());
        let extra: Vec<_> = last_event
            .iter()
            .flat_map(|last_event| [("last-event-id", &**last_event), ("resumes", "measured")])
            .collect();
        let head = caller_head(id, "/stream/1");
        let head = CallerHead {
            deadline_ms: deadline_ms.unwrap_or(head.deadline_ms),
            extra: &extra,
            ..head
        };
        let req = head.encode(addr, "POST", Body::full("the body"));
        let res = http.send("call", req).await.expect("the gateway responds");
        CallerResponse::collect(res).await
    };
    let measured = send("measured", None, None).await;
    assert_eq!(measured.event_ids().len() as u64, EVENTS);
    let send_at = async |at: Duration, id: &str, deadline_ms, last_event| {
        tokio::time::sleep(at).await;
        send(id, deadline_ms, last_event).await
    };
    let hold = async {
        tokio::time::sleep(HOLD).await;
        let mut conn = send_part(addr, "arriving", "/write/1", "part").await;
        status_line(&mut conn).await
    };
    let (is_clean, _, early, in_time, late, end) = tokio::join!(
        handle.stop(),
        hold,
        send_at(EARLY, "early", None, None),
        send_at(EARLY, "in-time", Some(EARLY_DEADLINE_MS), None),
        send_at(LATE, "late", None, Some(NEAR_END)),
        send_at(LATE, "late-end", Some(LATE_DEADLINE_MS), Some(NEAR_END)),
    );
    assert!(is_clean, "a generation was open at the exit");
    for (id, refused) in [("early", early), ("late", late)] {
        assert_eq!(refused.status(), 503, "{id}");
        assert!(refused.head.headers().contains_key("retry-after"), "{id}");
        assert_eq!(cluster.run_count(id), 0, "{id}");
    }
    assert_eq!(in_time.event_ids().len() as u64, EVENTS);
    assert_eq!(end.event_ids(), [EVENTS - 1, EVENTS]);
}
