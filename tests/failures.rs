//! Tests over loopback sockets of what callers receive when processes, the store or callers fail.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_document::Object;
use cactusbarrow_platform::Edit;
use cactusbarrow_standins::{
    Caller, Cluster, ClusterConfig, StreamEnd, TokenCheck, Transcript, api_key,
};
use http::{Method, Response};

const TOKENS: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(20);
const PROMPT: &str = "a deposition";

async fn small_cluster() -> Cluster {
    let mut cfg = ClusterConfig {
        routers: 2,
        engines: 3,
        services: 2,
        customers: 2,
        ..ClusterConfig::default()
    };
    cfg.agent.move_after = Duration::from_millis(300);
    cfg.agent.drain_timeout = Duration::from_secs(20);
    Cluster::start(cfg).await
}

fn caller() -> Caller {
    Caller::new(&api_key(0))
}

fn body(seed: u64) -> String {
    Cluster::completion_body(PROMPT, seed, TOKENS)
}

/// Reads a stream until the transcript has at least a quarter of the tokens, then disconnects.
async fn read_some(
    router: SocketAddr,
    headers: &[(&str, &str)],
    body: &str,
    transcript: &mut Transcript,
) {
    let mut stream = caller()
        .open(router, headers, body, transcript)
        .await
        .expect("the stream opens");
    // The rest stays unread, as after a broken connection.
    while transcript.tokens.len() < TOKENS / 4 {
        let read = tokio::time::timeout(Duration::from_millis(50), stream.read(transcript));
        assert!(read.await.is_err(), "the stream is still open");
    }
}

/// Opens a stream after the transcript's last event and reads it to its end.
async fn read_rest(
    router: SocketAddr,
    headers: &[(&str, &str)],
    body: &str,
    transcript: &mut Transcript,
) -> StreamEnd {
    match caller().open(router, headers, body, transcript).await {
        Ok(mut stream) => stream.read(transcript).await,
        Err(end) => end,
    }
}

/// Asserts that the transcript holds each token of one generation exactly once.
fn assert_complete(cluster: &Cluster, seed: u64, transcript: &Transcript) {
    let check = cluster
        .ledger
        .check_tokens(PROMPT, seed, &transcript.tokens, TOKENS);
    assert_eq!(check, TokenCheck::default());
    assert_eq!(transcript.tokens.len(), TOKENS);
}

async fn call(
    router: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response<Bytes> {
    caller()
        .send(router, method, path, headers, body, TIMEOUT)
        .await
        .expect("the router responds")
}

fn header(res: &Response<Bytes>, name: &str) -> String {
    let value = res.headers().get(name).map(|v| v.to_str().unwrap_or(""));
    value.unwrap_or("").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_at_another_router_after_router_failure() {
    let mut cluster = small_cluster().await;
    let mut transcript = Transcript::default();
    let first_router = cluster.routers.remove(0);
    read_some(first_router.handle.listen, &[], &body(1), &mut transcript).await;
    first_router.process.kill();
    let other_router = cluster.routers[0].handle.listen;
    let end = read_rest(other_router, &[], &body(1), &mut transcript).await;
    assert_eq!(end, StreamEnd::Done);
    assert_complete(&cluster, 1, &transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_survives_failure_of_its_engine_and_agent() {
    let cluster = small_cluster().await;
    let mut transcript = Transcript::default();
    let router = cluster.routers[0].handle.listen;
    let kill = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        for engine in &cluster.engines {
            if engine.backend.stats.running.load(Ordering::Relaxed) > 0 {
                engine.agent.kill();
                engine.backend.process.kill();
            }
        }
    };
    let body = body(2);
    let (end, ()) = tokio::join!(read_rest(router, &[], &body, &mut transcript), kill);
    assert_eq!(end, StreamEnd::Done);
    assert_complete(&cluster, 2, &transcript);
}

/// A resumed stream must not continue with tokens of a new generation when the router and the
/// agents that held the old one have failed.
#[tokio::test(flavor = "multi_thread")]
async fn resume_is_refused_after_failure_of_router_and_agents() {
    let mut cluster = small_cluster().await;
    let mut transcript = Transcript::default();
    let mut first_router = cluster.routers.remove(0);
    read_some(first_router.handle.listen, &[], &body(3), &mut transcript).await;
    first_router.process.kill_and_wait().await;
    for engine in &mut cluster.engines {
        engine.agent.kill_and_wait().await;
    }
    let received_tokens = transcript.tokens.clone();
    let other_router = cluster.routers[0].handle.listen;
    let end = read_rest(other_router, &[], &body(3), &mut transcript).await;
    assert!(
        matches!(&end, StreamEnd::Refused(response) if response.contains("generation_lost")),
        "{end:?}"
    );
    assert_eq!(
        transcript.tokens, received_tokens,
        "no tokens of another generation"
    );
}

/// Guards against a second generation for a request that is repeated at another router.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_one_idempotency_key_share_one_generation() {
    let cluster = small_cluster().await;
    let headers = [("idempotency-key", "shared")];
    let (first_router, second_router) = (
        cluster.routers[0].handle.listen,
        cluster.routers[1].handle.listen,
    );
    let (mut first, mut second) = (Transcript::default(), Transcript::default());
    let body = body(4);
    let delayed_read = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        read_rest(second_router, &headers, &body, &mut second).await
    };
    let ends = tokio::join!(
        read_rest(first_router, &headers, &body, &mut first),
        delayed_read
    );
    assert_eq!(ends, (StreamEnd::Done, StreamEnd::Done));
    assert_eq!(first.tokens, second.tokens);
    assert_complete(&cluster, 4, &first);
    let started: usize = cluster
        .engines
        .iter()
        .map(|engine| engine.backend.stats.started.load(Ordering::Relaxed))
        .sum();
    assert_eq!(started, 1, "one generation was run");
}

/// Guards against reading a generation through a reused key or another customer's event id.
#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_is_bound_to_its_body_and_customer() {
    let cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let headers = [("idempotency-key", "mine")];
    let mut transcript = Transcript::default();
    read_some(router, &headers, &body(5), &mut transcript).await;
    let end = read_rest(router, &headers, &body(6), &mut Transcript::default()).await;
    assert!(
        matches!(&end, StreamEnd::Refused(response) if response.contains("key_conflict")),
        "{end:?}"
    );
    let other_customer = Caller::new(&api_key(1));
    let mut copied_transcript = transcript.clone();
    let opened = other_customer
        .open(router, &[], &body(5), &copied_transcript)
        .await;
    assert!(
        matches!(&opened, Err(StreamEnd::Refused(response)) if response.contains("generation_lost")),
        "{opened:?}"
    );
    copied_transcript.last_event_id = None;
    let mut own_stream = other_customer
        .open(router, &headers, &body(5), &copied_transcript)
        .await
        .expect("the same key of another customer names another request");
    let mut other = Transcript::default();
    assert_eq!(own_stream.read(&mut other).await, StreamEnd::Done);
    assert_ne!(other.tokens, transcript.tokens);
}

/// Guards against a drain that breaks a stream or leaves its generation at the draining engine.
#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_moves_its_generations() {
    let cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let mut transcript = Transcript::default();
    let body = body(7);
    let drain = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let is_busy = |i: &usize| {
            let stats = &cluster.engines[*i].backend.stats;
            stats.running.load(Ordering::Relaxed) > 0
        };
        let busy = (0..cluster.engines.len())
            .find(is_busy)
            .expect("one engine is busy");
        let mut object = cluster.engines[busy].object.clone();
        object.draining = true;
        let edits = vec![Edit::Set(Object::BackendServer(object))];
        cluster.commit("drain", edits).await;
        busy
    };
    let (end, busy) = tokio::join!(read_rest(router, &[], &body, &mut transcript), drain);
    assert_eq!(end, StreamEnd::Done);
    assert_complete(&cluster, 7, &transcript);
    let last = transcript.arrivals.last().expect("tokens arrived");
    let backend_servers: Vec<&str> = transcript
        .arrivals
        .iter()
        .map(|a| a.backend_server.as_str())
        .collect();
    assert_ne!(
        last.backend_server, cluster.engines[busy].name,
        "{backend_servers:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_call_runs_once_and_gets_the_same_response() {
    let cluster = small_cluster().await;
    let headers = [("idempotency-key", "stamp-1")];
    let path = "/bookings/stamps";
    let first_router = cluster.routers[0].handle.listen;
    let second_router = cluster.routers[1].handle.listen;
    let first = call(first_router, Method::POST, path, &headers, "stamp-1").await;
    assert_eq!(first.body(), "done stamp-1");
    let second = call(second_router, Method::POST, path, &headers, "stamp-1").await;
    assert_eq!(second.body(), "done stamp-1");
    assert_eq!(cluster.calls.run_times("stamp-1").len(), 1);
    let other = call(second_router, Method::POST, path, &headers, "stamp-2").await;
    assert_eq!(header(&other, "cactusbarrow-reason"), "key_conflict");
    assert!(cluster.calls.run_times("stamp-2").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn call_during_store_outage_is_not_run_and_can_be_retried() {
    let cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let path = "/bookings/stamps";
    cluster.store.set_down(true);
    let headers = [
        ("idempotency-key", "stamp-3"),
        ("cactusbarrow-first-attempt", "1"),
    ];
    let refused = call(router, Method::POST, path, &headers, "stamp-3").await;
    assert_eq!(header(&refused, "cactusbarrow-outcome"), "not_run");
    assert_eq!(header(&refused, "cactusbarrow-reason"), "store_unavailable");
    assert_eq!(header(&refused, "retry-after"), "3");
    let retry = call(router, Method::POST, path, &headers[..1], "stamp-3").await;
    assert_eq!(header(&retry, "cactusbarrow-outcome"), "unknown");
    let without_key = call(router, Method::POST, path, &[], "stamp-4").await;
    assert_eq!(header(&without_key, "cactusbarrow-outcome"), "not_run");
    let lookup = call(router, Method::GET, "/bookings/stamps", &[], "").await;
    assert_eq!(lookup.body(), "ok", "repeatable calls need no store");
    cluster.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let done = call(router, Method::POST, path, &headers[..1], "stamp-3").await;
    assert_eq!(done.body(), "done stamp-3");
    assert_eq!(cluster.calls.run_times("stamp-3").len(), 1);
    assert!(cluster.calls.run_times("stamp-4").is_empty());
}

/// A call may have run when its agent fails, so a retry must neither run it again nor report it as
/// not run.
#[tokio::test(flavor = "multi_thread")]
async fn call_stays_unknown_after_failure_of_its_agent() {
    let cluster = Cluster::start(ClusterConfig {
        routers: 2,
        engines: 0,
        services: 2,
        service_delay: Duration::from_millis(600),
        ..ClusterConfig::default()
    })
    .await;
    let router = cluster.routers[0].handle.listen;
    let headers = [("idempotency-key", "stamp-5")];
    let kill = async {
        while cluster.calls.received() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for service in &cluster.services {
            service.agent.kill();
        }
    };
    let path = "/bookings/stamps";
    let (res, ()) = tokio::join!(call(router, Method::POST, path, &headers, "stamp-5"), kill);
    assert_eq!(header(&res, "cactusbarrow-outcome"), "unknown");
    let other_router = cluster.routers[1].handle.listen;
    let retry = call(other_router, Method::POST, path, &headers, "stamp-5").await;
    assert_eq!(header(&retry, "cactusbarrow-outcome"), "unknown");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(cluster.calls.run_times("stamp-5").len() <= 1);
}

/// A response whose body stopped had no deadline, so its caller got no end at all.
#[tokio::test(flavor = "multi_thread")]
async fn response_whose_body_stops_is_aborted_at_the_deadline() {
    let cluster = small_cluster().await;
    cluster.calls.set_stopping_in_bodies(true);
    let router = cluster.routers[0].handle.listen;
    let start = Instant::now();
    let res = caller()
        .send(router, Method::GET, "/bookings/stamps", &[], "", TIMEOUT)
        .await;
    let elapsed = start.elapsed();
    let e = res.expect_err("the response is not complete");
    assert_eq!(e.step, "read body", "after {elapsed:?}: {e}");
    assert!(elapsed < TIMEOUT / 2, "after {elapsed:?}: {e}");
}

/// Guards against unintended changes of the status, `retry-after` or body of a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_typed() {
    let cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let completions = "/v1/completions";
    let mut refusals = Vec::new();
    let key = [("idempotency-key", "k")];
    let too_large = "x".repeat((4 << 20) + 1);
    let position = [("last-event-id", "x")];
    let unknown_model = "{\"model\": \"x\", \"prompt\": \"\"}";
    let known_model = "{\"model\": \"captions\", \"prompt\": \"\"}";
    let post = async |name: &str, headers: &[(&str, &str)], path: &str, body: &str| {
        let res = call(router, Method::POST, path, headers, body).await;
        render(name, &res)
    };
    refusals.push(post("no such path", &[], "/nowhere", "{}").await);
    refusals.push(post("malformed body", &[], completions, "{\"model\": 3}").await);
    refusals.push(post("malformed body of a retry", &key, completions, "{}").await);
    refusals.push(post("no such model", &[], completions, unknown_model).await);
    refusals.push(post("bad position", &position, completions, known_model).await);
    refusals.push(post("body too large", &[], completions, &too_large).await);
    let stranger = Caller::new("nobody");
    let res = stranger
        .send(router, Method::POST, completions, &[], "{}", TIMEOUT)
        .await
        .expect("the router responds");
    refusals.push(render("unknown caller", &res));
    insta::assert_snapshot!(refusals.join("\n"));
}

fn render(name: &str, res: &Response<Bytes>) -> String {
    let retry = header(res, "retry-after");
    let text = String::from_utf8_lossy(res.body());
    format!("{name}: {} retry-after={retry:?}\n  {text}", res.status())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_live_agents_is_reported_not_run() {
    let mut cluster = small_cluster().await;
    for engine in &mut cluster.engines {
        // A request that reaches a failing agent may have run and has outcome `unknown`.
        engine.agent.kill_and_wait().await;
    }
    let router = cluster.routers[0].handle.listen;
    let res = call(router, Method::POST, "/v1/completions", &[], &body(8)).await;
    assert_eq!(header(&res, "cactusbarrow-outcome"), "not_run");
    assert_eq!(header(&res, "retry-after"), "1");
}

#[tokio::test(flavor = "multi_thread")]
async fn router_started_during_store_outage_gets_configuration_from_peers() {
    let mut cluster = small_cluster().await;
    let revision = cluster.routers[0].handle.revision();
    cluster.store.set_down(true);
    let mut new_router = cluster.start_router(7, None).await;
    new_router.handle.wait_for_revision(revision).await;
    assert_eq!(new_router.handle.revision(), revision);
    let router = new_router.handle.listen;
    cluster.routers.push(new_router);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut transcript = Transcript::default();
    let end = read_rest(router, &[], &body(9), &mut transcript).await;
    assert_eq!(end, StreamEnd::Done);
}

/// Guards against a load order that is never sent, or sent more than once.
#[tokio::test(flavor = "multi_thread")]
async fn engine_without_its_model_version_is_ordered_to_load_it() {
    let mut cfg = ClusterConfig {
        routers: 1,
        engines: 1,
        zones: 1,
        ..ClusterConfig::default()
    };
    cfg.engine.model_version = None;
    let cluster = Cluster::start(cfg).await;
    let router = cluster.routers[0].handle.listen;
    let stats = &cluster.engines[0].backend.stats;
    while stats.loads.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut transcript = Transcript::default();
    let end = read_rest(router, &[], &body(10), &mut transcript).await;
    assert_eq!(end, StreamEnd::Done);
    assert_complete(&cluster, 10, &transcript);
    assert_eq!(
        stats.loads.load(Ordering::Relaxed),
        1,
        "the load order is sent once"
    );
}

/// Guards against a stream that a router has begun and given up, and that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_a_router_gives_up_does_not_look_complete() {
    let mut cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let started = Instant::now();
    let whole = tokio::spawn(async move {
        caller()
            .send(
                router,
                Method::POST,
                "/v1/completions",
                &[],
                &body(11),
                TIMEOUT,
            )
            .await
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for engine in &mut cluster.engines {
        engine.agent.kill_and_wait().await;
    }
    let whole = whole.await.expect("the caller does not panic");
    assert!(started.elapsed() < TIMEOUT, "the router gave up before");
    assert!(whole.is_err(), "{whole:?}");
}

/// Guards against an error that a router reports in a stream and that is discarded when it breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_stream_that_a_router_gives_up_reaches_its_caller() {
    let mut cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let read = tokio::spawn(async move {
        let mut transcript = Transcript::default();
        let stream = caller().open(router, &[], &body(12), &transcript).await;
        let mut stream = stream.expect("the stream opens");
        stream.read(&mut transcript).await
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for engine in &mut cluster.engines {
        engine.agent.kill_and_wait().await;
    }
    let end = read.await.expect("the caller does not panic");
    assert!(matches!(end, StreamEnd::Refused(_)), "{end:?}");
}
