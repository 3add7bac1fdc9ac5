//! Failures over real sockets: what callers get when processes, the store and callers misbehave.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

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
    cfg.agent.grace = Duration::from_secs(20);
    Cluster::start(cfg).await
}

fn caller() -> Caller {
    Caller::new(&api_key(0))
}

fn body(seed: u64) -> String {
    Cluster::completion_body(PROMPT, seed, TOKENS)
}

/// Reads a stream until the transcript has some tokens.
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
    // The rest is left unread, as by a caller whose connection broke.
    while transcript.tokens.len() < TOKENS / 4 {
        let read = tokio::time::timeout(Duration::from_millis(50), stream.read(transcript));
        assert!(read.await.is_err(), "the stream is still open");
    }
}

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

fn judge(cluster: &Cluster, seed: u64, transcript: &Transcript) {
    let judgement = cluster
        .ledger
        .check_tokens(PROMPT, seed, &transcript.tokens, TOKENS);
    assert_eq!(judgement, TokenCheck::default());
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
        .expect("the router answers")
}

fn header(res: &Response<Bytes>, name: &str) -> String {
    let value = res.headers().get(name).map(|v| v.to_str().unwrap_or(""));
    value.unwrap_or("").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_goes_on_at_another_router() {
    let mut cluster = small_cluster().await;
    let mut transcript = Transcript::default();
    let first = cluster.routers.remove(0);
    read_some(first.handle.listen, &[], &body(1), &mut transcript).await;
    first.host.kill();
    let other = cluster.routers[0].handle.listen;
    let end = read_rest(other, &[], &body(1), &mut transcript).await;
    assert_eq!(end, StreamEnd::Done);
    judge(&cluster, 1, &transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_survives_the_host_of_its_agent_and_engine() {
    let cluster = small_cluster().await;
    let mut transcript = Transcript::default();
    let router = cluster.routers[0].handle.listen;
    let kill = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        for site in &cluster.engines {
            if site.backend.stats.running.load(Ordering::Relaxed) > 0 {
                site.agent.kill();
                site.backend.host.kill();
            }
        }
    };
    let body = body(2);
    let (end, ()) = tokio::join!(read_rest(router, &[], &body, &mut transcript), kill);
    assert_eq!(end, StreamEnd::Done);
    judge(&cluster, 2, &transcript);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_whose_holder_died_with_its_router_ends_definitely() {
    let mut cluster = small_cluster().await;
    let mut transcript = Transcript::default();
    let mut first = cluster.routers.remove(0);
    read_some(first.handle.listen, &[], &body(3), &mut transcript).await;
    first.host.kill_and_wait().await;
    for site in &mut cluster.engines {
        site.agent.kill_and_wait().await;
    }
    let had = transcript.tokens.clone();
    let other = cluster.routers[0].handle.listen;
    let end = read_rest(other, &[], &body(3), &mut transcript).await;
    assert!(
        matches!(&end, StreamEnd::Refused(answer) if answer.contains("generation_lost")),
        "{end:?}"
    );
    assert_eq!(transcript.tokens, had, "no other generation's tokens");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_readers_under_one_key_share_one_generation() {
    let cluster = small_cluster().await;
    let headers = [("idempotency-key", "shared")];
    let (one, two) = (
        cluster.routers[0].handle.listen,
        cluster.routers[1].handle.listen,
    );
    let (mut first, mut second) = (Transcript::default(), Transcript::default());
    let body = body(4);
    let late = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        read_rest(two, &headers, &body, &mut second).await
    };
    let ends = tokio::join!(read_rest(one, &headers, &body, &mut first), late);
    assert_eq!(ends, (StreamEnd::Done, StreamEnd::Done));
    assert_eq!(first.tokens, second.tokens);
    judge(&cluster, 4, &first);
    let started: usize = cluster
        .engines
        .iter()
        .map(|site| site.backend.stats.started.load(Ordering::Relaxed))
        .sum();
    assert_eq!(started, 1, "one generation was run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_a_conflict_and_another_customer_reads_nothing() {
    let cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let headers = [("idempotency-key", "mine")];
    let mut transcript = Transcript::default();
    read_some(router, &headers, &body(5), &mut transcript).await;
    let end = read_rest(router, &headers, &body(6), &mut Transcript::default()).await;
    assert!(
        matches!(&end, StreamEnd::Refused(answer) if answer.contains("key_conflict")),
        "{end:?}"
    );
    let thief = Caller::new(&api_key(1));
    let mut stolen = transcript.clone();
    let opened = thief.open(router, &[], &body(5), &stolen).await;
    assert!(
        matches!(&opened, Err(StreamEnd::Refused(answer)) if answer.contains("generation_lost")),
        "{opened:?}"
    );
    stolen.last_event_id = None;
    let mut own = thief
        .open(router, &headers, &body(5), &stolen)
        .await
        .expect("the same key of another customer is another request");
    let mut other = Transcript::default();
    assert_eq!(own.read(&mut other).await, StreamEnd::Done);
    assert_ne!(other.tokens, transcript.tokens);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_engine_hands_its_generations_on() {
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
        let busy = (0..cluster.engines.len()).find(is_busy).expect("one runs");
        let mut object = cluster.engines[busy].object.clone();
        object.draining = true;
        let edits = vec![Edit::Set(Object::BackendServer(object))];
        cluster.commit("drain", edits).await;
        busy
    };
    let (end, busy) = tokio::join!(read_rest(router, &[], &body, &mut transcript), drain);
    assert_eq!(end, StreamEnd::Done);
    judge(&cluster, 7, &transcript);
    let last = transcript.arrivals.last().expect("tokens arrived");
    let places: Vec<&str> = transcript
        .arrivals
        .iter()
        .map(|a| a.backend_server.as_str())
        .collect();
    assert_ne!(
        last.backend_server, cluster.engines[busy].name,
        "{places:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stamp_is_answered_again_and_run_once() {
    let cluster = small_cluster().await;
    let headers = [("idempotency-key", "stamp-1")];
    let path = "/bookings/stamps";
    let one = cluster.routers[0].handle.listen;
    let two = cluster.routers[1].handle.listen;
    let first = call(one, Method::POST, path, &headers, "stamp-1").await;
    assert_eq!(first.body(), "done stamp-1");
    let second = call(two, Method::POST, path, &headers, "stamp-1").await;
    assert_eq!(second.body(), "done stamp-1");
    assert_eq!(cluster.calls.run_times("stamp-1").len(), 1);
    let other = call(two, Method::POST, path, &headers, "stamp-2").await;
    assert_eq!(header(&other, "cactusbarrow-reason"), "key_conflict");
    assert!(cluster.calls.run_times("stamp-2").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stamp_during_an_outage_is_not_run_and_can_be_tried_again() {
    let cluster = small_cluster().await;
    let router = cluster.routers[0].handle.listen;
    let path = "/bookings/stamps";
    cluster.store.set_down(true);
    let first = [
        ("idempotency-key", "stamp-3"),
        ("cactusbarrow-first-attempt", "1"),
    ];
    let refused = call(router, Method::POST, path, &first, "stamp-3").await;
    assert_eq!(header(&refused, "cactusbarrow-outcome"), "not_run");
    assert_eq!(header(&refused, "cactusbarrow-reason"), "store_unavailable");
    assert_eq!(header(&refused, "retry-after"), "3");
    let again = call(router, Method::POST, path, &first[..1], "stamp-3").await;
    assert_eq!(header(&again, "cactusbarrow-outcome"), "unknown");
    let unnamed = call(router, Method::POST, path, &[], "stamp-4").await;
    assert_eq!(header(&unnamed, "cactusbarrow-outcome"), "not_run");
    let lookup = call(router, Method::GET, "/bookings/stamps", &[], "").await;
    assert_eq!(lookup.body(), "ok", "lookups need no store");
    cluster.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let done = call(router, Method::POST, path, &first[..1], "stamp-3").await;
    assert_eq!(done.body(), "done stamp-3");
    assert_eq!(cluster.calls.run_times("stamp-3").len(), 1);
    assert!(cluster.calls.run_times("stamp-4").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stamp_whose_agent_dies_stays_unknown() {
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
        for site in &cluster.services {
            site.agent.kill();
        }
    };
    let path = "/bookings/stamps";
    let (res, ()) = tokio::join!(call(router, Method::POST, path, &headers, "stamp-5"), kill);
    assert_eq!(header(&res, "cactusbarrow-outcome"), "unknown");
    let other = cluster.routers[1].handle.listen;
    let again = call(other, Method::POST, path, &headers, "stamp-5").await;
    assert_eq!(header(&again, "cactusbarrow-outcome"), "unknown");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(cluster.calls.run_times("stamp-5").len() <= 1);
}

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
        .expect("the router answers");
    refusals.push(render("unknown caller", &res));
    insta::assert_snapshot!(refusals.join("\n"));
}

fn render(name: &str, res: &Response<Bytes>) -> String {
    let retry = header(res, "retry-after");
    let text = String::from_utf8_lossy(res.body());
    format!("{name}: {} retry-after={retry:?}\n  {text}", res.status())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_no_engine_can_take_is_told_not_run() {
    let mut cluster = small_cluster().await;
    for site in &mut cluster.engines {
        // A request that reached a dying agent may have been run, and would be told so.
        site.agent.kill_and_wait().await;
    }
    let router = cluster.routers[0].handle.listen;
    let res = call(router, Method::POST, "/v1/completions", &[], &body(8)).await;
    assert_eq!(header(&res, "cactusbarrow-outcome"), "not_run");
    assert_eq!(header(&res, "retry-after"), "1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_started_in_an_outage_learns_from_its_peers() {
    let mut cluster = small_cluster().await;
    let revision = cluster.routers[0].handle.revision();
    cluster.store.set_down(true);
    let mut late = cluster.start_router(7, None).await;
    late.handle.wait_for_revision(revision).await;
    assert_eq!(late.handle.revision(), revision);
    let router = late.handle.listen;
    cluster.routers.push(late);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut transcript = Transcript::default();
    let end = read_rest(router, &[], &body(9), &mut transcript).await;
    assert_eq!(end, StreamEnd::Done);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_without_its_version_is_ordered_to_load_it() {
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
    judge(&cluster, 10, &transcript);
    assert_eq!(
        stats.loads.load(Ordering::Relaxed),
        1,
        "one order is enough"
    );
}
