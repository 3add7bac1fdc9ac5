//! Backend servers that decline a request and state for how long they want no more.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{BackendStandin, Fault};
use common::{CallerResponse, Gateway, TestCluster, caller_head, eventually, zone};
use tokio::task::JoinSet;

/// Returns the number of requests that arrived between two instants.
fn arrivals_between(backend: &BackendStandin, from: Instant, until: Instant) -> usize {
    let arrivals = backend.arrivals();
    let is_between = |at: Instant| from < at && at < until;
    arrivals.iter().filter(|a| is_between(a.at)).count()
}

/// Calls until the backend server has declined a request; returns when that arrived.
async fn call_until_declined(gateway: &Gateway, backend: &BackendStandin) -> Instant {
    for i in 0..100 {
        let id = format!("decline-{i}");
        gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        if let Some(arrival) = backend.arrivals().last() {
            return arrival.at;
        }
    }
    panic!("the backend server got no request");
}

/// Returns the `Retry-After` header of a response in seconds.
fn retry_after(response: &CallerResponse) -> f64 {
    let value = &response.head.headers()["retry-after"];
    let text = value.to_str().expect("the header is text");
    text.parse().expect("the header is a number")
}

/// Guards against requests to a server that has asked for none, and against one that stays unused.
#[tokio::test]
async fn server_gets_no_requests_for_the_time_that_it_states() {
    let cluster = TestCluster::start(1).await;
    let gateway = Arc::new(cluster.one_gateway().await);
    let app = &cluster.apps[0];
    app.set_retry_after(Some("1.5"));
    let declined_at = call_until_declined(&gateway, app).await;
    app.set_retry_after(None);
    let until = declined_at + Duration::from_millis(1_500);
    while Instant::now() < until + Duration::from_millis(500) {
        let mut callers = JoinSet::new();
        for i in 0..12 {
            let gateway = gateway.clone();
            callers.spawn(async move {
                let id = format!("a-{i}");
                let response = gateway.call(&caller_head(&id, "/write/a"), "POST").await;
                response.status()
            });
        }
        let statuses = callers.join_all().await;
        assert_eq!(statuses, [200; 12], "the other server takes all calls");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(arrivals_between(app, declined_at, until), 0);
    assert!(!app.runs().is_empty(), "the server is used afterwards");
}

/// Guards against calls that wait, or return at one moment, when no server wants requests.
#[tokio::test]
async fn call_that_no_server_wants_is_refused_with_the_time_left() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    for app in &cluster.apps {
        app.set_retry_after(Some("3"));
    }
    call_until_declined(&gateway, &cluster.apps[0]).await;
    call_until_declined(&gateway, &cluster.apps[1]).await;
    let known_at = Instant::now();
    let mut waits = Vec::new();
    for i in 0..10 {
        let id = format!("a-{i}");
        let sent_at = Instant::now();
        let response = gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        assert_eq!(response.status(), 503);
        assert!(sent_at.elapsed() < Duration::from_millis(500), "at once");
        assert!(response.text().contains("backend_backoff"));
        waits.push(retry_after(&response));
    }
    for app in &cluster.apps {
        assert_eq!(arrivals_between(app, known_at, Instant::now()), 0);
    }
    assert!(waits.iter().all(|wait| (2.0..=4.0).contains(wait)));
    let shortest = waits.iter().copied().fold(f64::INFINITY, f64::min);
    let longest = waits.iter().copied().fold(0.0, f64::max);
    assert!(longest - shortest > 0.2, "callers return spread: {waits:?}");
}

/// Guards against a burst at the end of the time that a server stated.
#[tokio::test]
async fn server_is_tried_before_it_gets_all_requests_again() {
    let cluster = TestCluster::start(1).await;
    let gateway = Arc::new(cluster.one_gateway().await);
    for app in &cluster.apps {
        app.set_retry_after(Some("1"));
    }
    call_until_declined(&gateway, &cluster.apps[0]).await;
    call_until_declined(&gateway, &cluster.apps[1]).await;
    for app in &cluster.apps {
        app.set_retry_after(None);
        app.set_fault(Some(Fault::SlowStart));
    }
    let declined_at = Instant::now();
    let mut callers = JoinSet::new();
    for i in 0..400 {
        let gateway = gateway.clone();
        callers.spawn(async move {
            tokio::time::sleep(Duration::from_millis(800 + i)).await;
            let id = format!("a-{i}");
            gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        });
    }
    // The first response comes half a second after the first trial.
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    for app in &cluster.apps {
        let sent = arrivals_between(app, declined_at, Instant::now());
        assert!((1..=8).contains(&sent), "{sent} requests");
    }
    callers.join_all().await;
}

/// Starts a stream and a second engine that has asked for no requests; ends the engine of the stream.
///
/// Returns the response, and the requests that the second engine got in the time that it stated.
async fn resume_beside_backoff(stated: &str, time: Duration) -> (CallerResponse, usize) {
    let cluster = TestCluster::start_with_interval(2, Duration::from_millis(60)).await;
    let gateway = cluster.one_gateway().await;
    let head = caller_head("long", "/stream/a");
    let long = gateway.call(&head, "POST");
    let others = async {
        let running = || cluster.engines.iter().find(|e| !e.runs().is_empty());
        eventually("the stream runs", || running().is_some()).await;
        let running = running().expect("an engine runs the stream");
        let other = cluster
            .engines
            .iter()
            .find(|e| e.instance() != running.instance());
        let other = other.expect("there are two engines");
        other.set_retry_after(Some(stated));
        let mut i = 0;
        while other.arrivals().is_empty() {
            i += 1;
            let id = format!("short-{i}");
            let head = caller_head(&id, "/stream/a");
            let short = gateway.call(&head, "POST");
            drop(tokio::time::timeout(Duration::from_millis(50), short).await);
        }
        let declined_at = other.arrivals().last().expect("a request arrived").at;
        other.set_retry_after(None);
        tokio::time::sleep(Duration::from_millis(200)).await;
        running.kill();
        tokio::time::sleep(time).await;
        arrivals_between(other, declined_at, declined_at + time)
    };
    tokio::join!(long, others)
}

/// Guards against a stream that is aborted, or resumed too early, when its only other engine wants
/// no requests for a moment.
#[tokio::test]
async fn begun_stream_waits_for_an_engine() {
    let (long, arrivals) = resume_beside_backoff("1.2", Duration::from_millis(1_200)).await;
    assert_eq!(arrivals, 0);
    assert_eq!(long.status(), 200);
    assert_eq!(long.event_ids().len() as u64, common::EVENTS);
}

/// Guards against a stream that waits for an engine until its caller has given up.
#[tokio::test]
async fn begun_stream_ends_when_no_engine_wants_it_in_time() {
    let (long, arrivals) = resume_beside_backoff("60", Duration::from_secs(2)).await;
    assert_eq!(arrivals, 0);
    assert!(long.body.is_none(), "the stream is aborted");
}

/// Time after a statement from which requests count.
const GRACE: Duration = Duration::from_millis(500);

/// Guards against a stated time that is forgotten with the server's entry.
#[tokio::test]
async fn server_gets_no_requests_in_its_stated_time_after_it_is_listed_again() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let app = &cluster.apps[0];
    app.set_retry_after(Some("4"));
    let declined_at = call_until_declined(&gateway, app).await;
    app.set_retry_after(None);
    cluster.store.delete("servers/app-0");
    eventually("the entry is gone", || {
        gateway.handle.status().backends == 2
    })
    .await;
    cluster.put_entry(app, "app", zone(0), "ready");
    eventually("it is listed again", || {
        gateway.handle.status().backends == 3
    })
    .await;
    for i in 0..30 {
        let id = format!("a-{i}");
        let response = gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        assert_eq!(response.status(), 200, "{id}");
    }
    assert_eq!(arrivals_between(app, declined_at, Instant::now()), 0);
}

/// Guards against identity checks of a lost server that go on although it declines them.
#[tokio::test]
async fn lost_server_is_not_asked_for_its_identity_in_its_stated_time() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let app = &cluster.apps[0];
    app.pause_with_full_backlog().await;
    for i in 0..20 {
        let id = format!("lose-{i}");
        gateway.call(&caller_head(&id, "/write/a"), "POST").await;
    }
    app.set_retry_after(Some("60"));
    app.resume();
    let before = Instant::now();
    eventually("its identity is asked for", || {
        arrivals_between(app, before, Instant::now()) > 0
    })
    .await;
    let asked_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let later = arrivals_between(app, asked_at + GRACE, Instant::now());
    assert!(later <= 2, "{later} requests");
}

/// Guards against checks whether a server has ended that reach one which asked for no requests.
#[tokio::test]
async fn broken_call_is_followed_by_few_checks_in_the_stated_time() {
    let cluster = TestCluster::start(0).await;
    let gateway = Arc::new(cluster.one_gateway().await);
    let app = &cluster.apps[0];
    app.set_run_time(Duration::from_millis(1_100));
    app.set_fault(Some(Fault::TruncateResponse));
    let running = {
        let gateway = gateway.clone();
        // Both servers run such calls, so that one of them runs at the first.
        let call = async move |i: usize| {
            let id = format!("long-{i}");
            gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        };
        tokio::spawn(async move { tokio::join!(call(1), call(2), call(3)) })
    };
    eventually("a call runs", || !app.runs().is_empty()).await;
    app.set_retry_after(Some("30"));
    let before = Instant::now();
    let mut declined = JoinSet::new();
    for i in 0..8 {
        let gateway = gateway.clone();
        declined.spawn(async move {
            let id = format!("decline-{i}");
            gateway.call(&caller_head(&id, "/write/a"), "POST").await;
        });
    }
    eventually("a call is declined", || {
        arrivals_between(app, before, Instant::now()) > 0
    })
    .await;
    let declined_at = Instant::now();
    running.await.expect("the calls end");
    tokio::time::sleep(GRACE).await;
    let checks = arrivals_between(app, declined_at + GRACE, Instant::now());
    assert!(checks <= 2, "{checks} requests");
}
