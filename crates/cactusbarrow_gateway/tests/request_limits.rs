//! Backend servers that name a limit for the requests of all gateways together.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::BackendStandin;
use common::{Gateway, TestCluster, caller_head, free_ports};
use tokio::task::JoinSet;

/// Limit that a backend server names, in requests per second.
const LIMIT: f64 = 2.0;

/// Time after which the gateways keep to a limit.
const ADOPTION_TIME: Duration = Duration::from_secs(3);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the number of requests that a limit allows in a window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the largest number of runs in a window that starts later than `from`.
fn most_in_window(backend: &BackendStandin, from: Instant) -> usize {
    let runs = backend.runs();
    let starts: Vec<Instant> = runs.iter().map(|run| run.started_at).collect();
    let in_window = |start: &Instant| {
        let is_inside = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        starts.iter().filter(is_inside).count()
    };
    let windows = starts.iter().filter(|start| **start >= from);
    windows.map(in_window).max().unwrap_or(0)
}

/// Result of the calls of one caller.
#[derive(Clone, Copy, Default)]
struct CallCount {
    answered: usize,
    refused: usize,
    other: usize,
}

/// Calls `gateway` about 20 times a second until `until`.
async fn call_until(gateway: Arc<Gateway>, name: String, until: Instant) -> CallCount {
    let mut count = CallCount::default();
    for i in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{name}-{i}");
        let started_at = Instant::now();
        let response = gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        let is_immediate = started_at.elapsed() < Duration::from_millis(500);
        match response.status() {
            200 => count.answered += 1,
            503 if is_immediate && response.head.headers().contains_key("retry-after") => {
                count.refused += 1;
            }
            _ => count.other += 1,
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    count
}

/// Starts gateways that are peers.
async fn start_gateways(cluster: &TestCluster, count: u8) -> Vec<Arc<Gateway>> {
    let base = free_ports("127.0.0.1");
    let mut gateways = Vec::new();
    for i in 1..=count {
        let seed = if i == 1 { "127.0.0.2" } else { "127.0.0.1" };
        let gateway = cluster.gateway(&format!("127.0.0.{i}"), base, seed).await;
        gateway.wait_until_ready().await;
        gateways.push(Arc::new(gateway));
    }
    gateways
}

async fn call_all(gateways: &[Arc<Gateway>], name: &str, until: Instant) -> CallCount {
    let mut callers = JoinSet::new();
    for (i, gateway) in gateways.iter().enumerate() {
        callers.spawn(call_until(gateway.clone(), format!("{name}{i}"), until));
    }
    let mut sum = CallCount::default();
    for count in callers.join_all().await {
        sum.answered += count.answered;
        sum.refused += count.refused;
        sum.other += count.other;
    }
    sum
}

/// Guards against gateways that together send more than a backend server takes.
#[tokio::test]
async fn gateways_together_keep_to_a_named_limit() {
    let cluster = TestCluster::start(1).await;
    let gateways = start_gateways(&cluster, 3).await;
    cluster.apps[0].set_request_limit(Some("2.0"));
    let named_at = Instant::now();
    let count = call_all(&gateways, "a", named_at + ADOPTION_TIME + 2 * WINDOW).await;
    let most = most_in_window(&cluster.apps[0], named_at + ADOPTION_TIME);
    assert!(most <= allowed(), "{most} requests, {} allowed", allowed());
    assert!(most > 0, "the backend server is still used");
    assert_eq!(
        (count.refused, count.other),
        (0, 0),
        "the other one takes the rest"
    );
}

/// Guards against waiting for a backend server that takes no more.
#[tokio::test]
async fn call_that_no_backend_takes_is_refused_at_once() {
    let cluster = TestCluster::start(1).await;
    let gateways = start_gateways(&cluster, 2).await;
    for app in &cluster.apps {
        app.set_request_limit(Some("2.0"));
    }
    let named_at = Instant::now();
    let count = call_all(&gateways, "a", named_at + ADOPTION_TIME + WINDOW).await;
    for app in &cluster.apps {
        let most = most_in_window(app, named_at + ADOPTION_TIME);
        assert!(most <= allowed(), "{most} requests, {} allowed", allowed());
    }
    assert!(
        count.refused > count.answered,
        "most calls exceed the limits"
    );
    assert_eq!(count.other, 0);
}

/// Guards against limits that are exceeded while gateways start and end, or that outlast their need.
#[tokio::test]
async fn limit_holds_while_gateways_come_and_go() {
    let cluster = TestCluster::start(1).await;
    let mut gateways = start_gateways(&cluster, 3).await;
    cluster.apps[0].set_request_limit(Some("2.0"));
    let named_at = Instant::now();
    call_all(&gateways, "a", named_at + ADOPTION_TIME).await;
    let last = Arc::into_inner(gateways.remove(2)).expect("no caller is left");
    last.handle.stop().await;
    call_all(&gateways, "b", Instant::now() + WINDOW).await;
    let base = gateways[0].addr.port();
    let next = cluster.gateway("127.0.0.9", base, "127.0.0.1").await;
    next.wait_until_ready().await;
    gateways.push(Arc::new(next));
    call_all(&gateways, "c", Instant::now() + WINDOW).await;
    let most = most_in_window(&cluster.apps[0], named_at + ADOPTION_TIME);
    assert!(most <= allowed(), "{most} requests, {} allowed", allowed());
    cluster.apps[0].set_request_limit(None);
    call_all(&gateways, "d", Instant::now() + ADOPTION_TIME).await;
    let lifted_at = Instant::now();
    call_all(&gateways, "e", lifted_at + WINDOW).await;
    let most = most_in_window(&cluster.apps[0], lifted_at);
    assert!(
        most > 2 * allowed(),
        "{most} requests after the limit ended"
    );
}
