//! Routers and agents end within their drain time-out, admit nothing late, and name the work that they cut.

use std::net::SocketAddr;
use std::sync::{Mutex, Once, PoisonError};
use std::time::Duration;

use cactusbarrow_agent::{AgentConfig, AgentHandle, BackendKind};
use cactusbarrow_net::SystemClock;
use cactusbarrow_protocol::CALL_PATH;
use cactusbarrow_standins::{
    BackendWithAgent, CallLedger, Caller, Cluster, ClusterConfig, Engine, PlainService,
    PlainServiceConfig, RouterProcess, Transcript, api_key,
};
use http::Method;
use log::kv::{Key, Value, VisitSource};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Drain time-out of the tests, after which the processes are killed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time of calls and generations that no drain waits for.
const ENDLESS: Duration = Duration::from_secs(600);
const ENDLESS_TOKENS: usize = 100_000;
/// Time until a request has reached its backend server.
const START_TIME: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Slots of the cluster's plain service.
const SERVICE_SLOTS: u32 = 64;

/// Lines that the processes of this test have logged.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineRecorder;

impl log::Log for LineRecorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = record.args().to_string();
        // The visitor below never fails.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        LINES
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    fn flush(&self) {}
}

struct FieldVisitor<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        *self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

fn record_lines() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&LineRecorder).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns whether a line has been logged that contains all the given texts.
fn is_logged(texts: &[&str]) -> bool {
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    lines
        .iter()
        .any(|line| texts.iter().all(|text| line.contains(text)))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends a request on a connection and returns the response, which the server closes.
async fn exchange(conn: &mut TcpStream, head: &str, body: &str) -> String {
    let length = body.len();
    let key = api_key(0);
    let text = format!(
        "{head} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut response = Vec::new();
    let exchanged = async {
        conn.write_all(text.as_bytes()).await?;
        conn.read_to_end(&mut response).await
    };
    if let Err(e) = exchanged.await {
        return format!("broken: {e}");
    }
    String::from_utf8_lossy(&response).into_owned()
}

async fn start_agent(service: SocketAddr) -> AgentHandle {
    let cfg = AgentConfig {
        initial_max_in_flight: 4,
        drain_timeout: DRAIN_TIMEOUT,
        ..AgentConfig::new(
            "slow",
            any_port(),
            any_port(),
            service,
            BackendKind::Service,
        )
    };
    cactusbarrow_agent::start(cfg, SystemClock, CancellationToken::new())
        .await
        .expect("the agent starts")
}

async fn start_slow_service(calls: &CallLedger) -> PlainService {
    let cfg = PlainServiceConfig {
        listen: any_port(),
        delay: ENDLESS,
    };
    PlainService::start(cfg, calls.clone()).await
}

/// The drain time-out passed twice: for the work, and then for the connections.
#[tokio::test(flavor = "multi_thread")]
async fn agent_ends_within_its_drain_timeout_and_names_the_calls_that_it_cuts() {
    record_lines();
    let calls = CallLedger::default();
    let service = start_slow_service(&calls).await;
    let agent = start_agent(service.addr).await;
    // The agent takes calls once it has probed the service.
    tokio::time::sleep(START_TIME).await;
    let mut conn = TcpStream::connect(agent.listen).await.expect("connect");
    let call = tokio::spawn(async move {
        let head = format!("POST {CALL_PATH}/cut-by-agent");
        exchange(&mut conn, &head, "").await
    });
    tokio::time::sleep(START_TIME).await;
    assert_eq!(calls.received(), 1, "the call is in flight");
    let is_clean = tokio::time::timeout(DRAIN_TIMEOUT, agent.stop()).await;
    assert_eq!(is_clean.ok(), Some(false));
    assert!(is_logged(&["call is cut at the exit", "/cut-by-agent"]));
    call.abort();
}

fn cluster_config() -> ClusterConfig {
    let mut cfg = ClusterConfig {
        routers: 1,
        engines: 2,
        services: 1,
        service_delay: ENDLESS,
        ..ClusterConfig::default()
    };
    cfg.router.drain_timeout = DRAIN_TIMEOUT;
    cfg.agent.drain_timeout = DRAIN_TIMEOUT;
    // Generations stay at their agent until it exits.
    cfg.agent.move_after = ENDLESS;
    cfg
}

/// Opens a stream that does not end, and reads it in the background; returns the generation.
async fn open_endless_stream(router: SocketAddr, seed: u64) -> String {
    let body = Cluster::completion_body("an endless deposition", seed, ENDLESS_TOKENS);
    let mut transcript = Transcript::default();
    let mut stream = Caller::new(&api_key(0))
        .open(router, &[], &body, &transcript)
        .await
        .expect("the stream opens");
    let read = tokio::time::timeout(START_TIME, stream.read(&mut transcript));
    assert!(read.await.is_err(), "the stream is still open");
    let last_event = transcript.last_event_id.clone().expect("an event");
    tokio::spawn(async move { stream.read(&mut transcript).await });
    let generation = last_event.split('.').next();
    generation.unwrap_or_default().to_owned()
}

/// Attempts that an agent's exit ends are named, and their generations continue at another engine.
#[tokio::test(flavor = "multi_thread")]
async fn agent_names_the_attempts_that_it_cuts() {
    record_lines();
    let cluster = Cluster::start(cluster_config()).await;
    let generation = open_endless_stream(cluster.routers[0].handle.listen, 1).await;
    for engine in &cluster.engines {
        engine.shutdown.cancel();
    }
    let is_named = async {
        while !is_logged(&["attempt is cut at the exit", &generation]) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let is_named = tokio::time::timeout(DRAIN_TIMEOUT, is_named).await;
    assert!(is_named.is_ok(), "no line names {generation}");
}

/// Streams were aborted after the drain time-out, the stop counted as clean then, and no line named them.
#[tokio::test(flavor = "multi_thread")]
async fn router_ends_within_its_drain_timeout_and_answers_or_names_what_it_cuts() {
    record_lines();
    let mut cluster = Cluster::start(cluster_config()).await;
    let RouterProcess {
        handle, process, ..
    } = cluster.routers.remove(0);
    let router = handle.listen;
    let generation = open_endless_stream(router, 2).await;
    let call = tokio::spawn(async move {
        Caller::new(&api_key(0))
            .send(router, Method::POST, "/bookings/cut", &[], "", TIMEOUT)
            .await
    });
    tokio::time::sleep(START_TIME).await;
    let is_clean = tokio::time::timeout(DRAIN_TIMEOUT, handle.stop()).await;
    assert_eq!(is_clean.ok(), Some(false));
    assert!(is_logged(&["generation is cut at the exit", &generation]));
    let answer = call.await.expect("the call ends").expect("an answer");
    let text = format!("{answer:?}");
    assert!(text.contains("shutting_down"), "{text}");
    assert!(text.contains("unknown"), "{text}");
    drop(process);
}

/// Requests on the connections that were accepted last began work that the exit cut.
#[tokio::test(flavor = "multi_thread")]
async fn router_admits_nothing_in_a_stop_that_may_outlast_it() {
    record_lines();
    let mut cluster = Cluster::start(cluster_config()).await;
    let RouterProcess {
        handle, process, ..
    } = cluster.routers.remove(0);
    let router = handle.listen;
    open_endless_stream(router, 3).await;
    let mut generation_conn = TcpStream::connect(router).await.expect("connect");
    let mut call_conn = TcpStream::connect(router).await.expect("connect");
    let stop = tokio::spawn(handle.stop());
    while TcpStream::connect(router).await.is_ok() {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let body = Cluster::completion_body("a late deposition", 4, 10);
    let (generation, call) = tokio::join!(
        exchange(&mut generation_conn, "POST /v1/completions", &body),
        exchange(&mut call_conn, "POST /bookings/late", ""),
    );
    for response in [generation, call] {
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains("\"shutting_down\""), "{response}");
        assert!(response.contains("\"not_run\""), "{response}");
    }
    stop.await.expect("the router stops");
    drop(process);
}

/// Guards against work that waits for a free slot in a router that stops, and is started late and cut.
#[tokio::test(flavor = "multi_thread")]
async fn work_that_waits_in_a_router_is_refused_when_its_stop_begins() {
    record_lines();
    let mut cfg = cluster_config();
    cfg.engines = 1;
    cfg.engine.slots = 1;
    let mut cluster = Cluster::start(cfg).await;
    let RouterProcess {
        handle, process, ..
    } = cluster.routers.remove(0);
    let router = handle.listen;
    open_endless_stream(router, 4).await;
    let send = async |head: &str, body: &str| {
        let mut conn = TcpStream::connect(router).await.expect("connect");
        exchange(&mut conn, head, body).await
    };
    let body = Cluster::completion_body("a waiting deposition", 5, 10);
    let mut calls = JoinSet::new();
    for i in 0..SERVICE_SLOTS {
        let mut conn = TcpStream::connect(router).await.expect("connect");
        calls.spawn(async move { exchange(&mut conn, &format!("POST /bookings/{i}"), "").await });
    }
    let started = tokio::time::timeout(START_TIME, calls.join_next()).await;
    assert!(started.is_err(), "the calls are open");
    let mut waiting = std::pin::pin!(async {
        tokio::join!(
            send("POST /v1/completions", &body),
            send("POST /bookings/waiting", ""),
        )
    });
    let queued = tokio::time::timeout(START_TIME, &mut waiting).await;
    assert!(queued.is_err(), "no slot is free: {queued:?}");
    let stop = tokio::spawn(handle.stop());
    let (generation, call) = tokio::select! {
        biased;
        open = calls.join_next() => panic!("they wait as long as an open call: {open:?}"),
        refused = &mut waiting => refused,
    };
    for response in [generation, call] {
        assert!(response.contains("\"shutting_down\""), "{response}");
        assert!(response.contains("\"not_run\""), "{response}");
    }
    stop.await.expect("the router stops");
    drop(process);
}

/// Guards against a generation that a stopping router gives up, although it may have run, when its engine is lost.
#[tokio::test(flavor = "multi_thread")]
async fn generation_that_loses_its_engine_in_a_stop_goes_on() {
    let mut cfg = cluster_config();
    cfg.engine.prefill = START_TIME * 2;
    let mut cluster = Cluster::start(cfg).await;
    let RouterProcess {
        handle, process, ..
    } = cluster.routers.remove(0);
    let router = handle.listen;
    let body = Cluster::completion_body("a deposition that moves", 6, 10);
    let response = tokio::spawn(async move {
        let mut conn = TcpStream::connect(router).await.expect("connect");
        exchange(&mut conn, "POST /v1/completions", &body).await
    });
    let has_request =
        |engine: &BackendWithAgent<Engine>| engine.backend.stats.last_request_at().is_some();
    let placed = async {
        while !cluster.engines.iter().any(has_request) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let placed = tokio::time::timeout(TIMEOUT, placed).await;
    placed.expect("the generation reaches an engine");
    let stop = tokio::spawn(handle.stop());
    while TcpStream::connect(router).await.is_ok() {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    for engine in cluster.engines.iter().filter(|engine| has_request(engine)) {
        engine.agent.kill();
        engine.backend.process.kill();
    }
    let response = response.await.expect("the request ends");
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.contains("[DONE]"), "{response}");
    stop.await.expect("the router stops");
    drop(process);
}

/// Guards against a repeatable call that a stopping router gives up, although it may have run, when its server hangs.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_whose_server_hangs_in_a_stop_goes_on() {
    let mut cfg = cluster_config();
    cfg.services = 2;
    let mut cluster = Cluster::start(cfg).await;
    let RouterProcess {
        handle, process, ..
    } = cluster.routers.remove(0);
    let router = handle.listen;
    cluster.calls.set_hanging(true);
    let response = tokio::spawn(async move {
        let mut conn = TcpStream::connect(router).await.expect("connect");
        exchange(&mut conn, "GET /bookings/lookup", "").await
    });
    let sent = async {
        while cluster.calls.received() == 0 {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let sent = tokio::time::timeout(TIMEOUT, sent).await;
    sent.expect("the lookup reaches the service");
    cluster.calls.set_hanging(false);
    let stop = tokio::spawn(handle.stop());
    let response = response.await.expect("the request ends");
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(cluster.calls.received() > 1, "it was sent once more");
    stop.await.expect("the router stops");
    drop(process);
}
