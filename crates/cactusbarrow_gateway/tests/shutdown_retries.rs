//! When callers may return that a stopping gateway refuses, by what its peers tell.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_adapter_standins::CallerHead;
use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use common::{CallerResponse, Gateway, TestCluster, caller_head, free_ports};
use tokio::net::TcpStream;

/// Time in which gateways learn of one another.
const HEARTBEAT_TIME: Duration = Duration::from_millis(1_000);

/// Time in which the beginning of a stop is learned.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// Wait of a caller whose retry is taken at once by another gateway, in seconds.
const SHORT_WAIT_S: f64 = 0.1;

/// Least time in seconds until the first of two gateways is back that stop with a grace period of 4 s.
const EXIT_AND_RESTART_S: f64 = 3.0;

/// Returns the time after which a caller may retry a generation that the gateway refuses, in seconds.
async fn refused_wait(gateway: SocketAddr, id: &str) -> f64 {
    let head = CallerHead {
        deadline_ms: 25_000,
        ..caller_head(id, "/stream/1")
    };
    let req = head.encode(gateway, "POST", Body::full("the body"));
    let http = HttpClient::new(HttpVersion::Http1);
    let res = http.send("call", req).await.expect("a response");
    let res = CallerResponse::collect(res).await;
    assert_eq!(res.status(), 503);
    let wait = res.head.headers()["retry-after"].to_str().expect("text");
    wait.parse().expect("a number of seconds")
}

/// Guards against callers that wait for the load balancer although another gateway would serve them at once, and
/// against ones that return while all gateways stop.
#[tokio::test]
async fn refused_callers_return_when_another_gateway_serves() {
    let cluster = TestCluster::start(1).await;
    let base = free_ports("127.0.0.41");
    let first = cluster.gateway("127.0.0.41", base, "127.0.0.42").await;
    let second = cluster.gateway("127.0.0.42", base, "127.0.0.41").await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    tokio::time::sleep(HEARTBEAT_TIME).await;
    // Connections without a request keep the gateways from their exit for a time.
    let _open = (
        TcpStream::connect(first.addr).await.expect("connect"),
        TcpStream::connect(second.addr).await.expect("connect"),
    );
    let Gateway { handle, addr, .. } = first;
    tokio::spawn(handle.stop());
    tokio::time::sleep(NOTICE_TIME).await;
    let wait = refused_wait(addr, "one-stops").await;
    assert!(wait < SHORT_WAIT_S, "{wait} s although the other serves");
    let Gateway { handle, .. } = second;
    tokio::spawn(handle.stop());
    tokio::time::sleep(NOTICE_TIME).await;
    let wait = refused_wait(addr, "both-stop").await;
    assert!(wait > EXIT_AND_RESTART_S, "{wait} s although both stop");
}
