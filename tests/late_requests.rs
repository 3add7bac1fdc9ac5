//! Requests that arrive late in the graceful stop of a gateway, which runs as a process, or are passed on late.

#[path = "common/gateway_process.rs"]
mod gateway_process;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{
    BackendStandin, CallerHead, EnginePace, Fault, StoreStandin, config_json, entry_json,
};
use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use gateway_process::GatewayProcess;
use http::StatusCode;
use http_body_util::BodyExt;
use rustix::process::Signal;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const KEY: &str = "key-of-late-requests";

/// Grace period of the deployments.
const GRACE: Duration = Duration::from_secs(8);

/// Events of a generation, and time between two of them.
const EVENTS: usize = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Output tokens of a generation that outlasts the grace period.
const LONG_OUTPUT_TOKENS: u64 = 8_000;

/// Generations that are complete before the stop.
const MEASURED: usize = 10;

/// Time-out of the routes for calls, as in the stand-in's configuration.
const CALL_ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Routes of generations that can be resumed, and of ones that cannot.
const STREAM_PATHS: [&str; 2] = ["/stream/a", "/stream/once/a"];

/// How a request ended for its caller.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// With a whole response.
    Whole(StatusCode),
    /// With a response that broke off, or with none.
    Cut,
}

/// A store, an engine, a plain service and a gateway.
struct Deployment {
    _store: StoreStandin,
    engine: BackendStandin,
    app: BackendStandin,
    gateway: GatewayProcess,
    callers: SocketAddr,
    http: HttpClient,
}

impl Deployment {
    async fn start(host: u8) -> Self {
        let store = StoreStandin::start().await.expect("start the store");
        store.put("op/config", &config());
        let engine = BackendStandin::start("engine", 0, EVENT_INTERVAL).await;
        let engine = engine.expect("start an engine");
        engine.set_pace(Some(pace(1.0)));
        let app = BackendStandin::start("app", 0, Duration::ZERO).await;
        let app = app.expect("start a service");
        for (name, backend, service) in [("engine", &engine, "llm"), ("app", &app, "app")] {
            let entry = entry_json(service, backend.addr(), "zona-pa", "ready");
            store.put(&format!("servers/{name}"), &entry);
        }
        let mut gateway = GatewayProcess::start(host, store.addr(), GRACE);
        gateway.wait_for_line("backend server listed");
        gateway.wait_for_line("backend server listed");
        Self {
            callers: gateway.callers,
            _store: store,
            engine,
            app,
            gateway,
            http: HttpClient::new(HttpVersion::Http1),
        }
    }

    /// Completes some generations of each route, from which a gateway may learn their pace.
    async fn measure_pace(&self) {
        let mut measured = JoinSet::new();
        for (i, path) in (0..MEASURED).flat_map(|i| STREAM_PATHS.map(|path| (i, path))) {
            let (http, callers) = (self.http.clone(), self.callers);
            measured.spawn(async move {
                let id = format!("measured-{i}-{path}");
                send(&http, callers, &id, path, 25_000).await
            });
        }
        for end in measured.join_all().await {
            assert_eq!(end, End::Whole(StatusCode::OK), "nothing stops");
        }
    }

    /// Begins a generation that outlasts the grace period, so that the gateway does not exit before its end.
    async fn begin_long_generation(&self) -> TcpStream {
        let text = format!(
            "POST /stream/a HTTP/1.1\r\nhost: ficu.example\r\ncactusbarrow-request-id: long\r\n\
             cactusbarrow-key: {KEY}\r\ncactusbarrow-deadline-ms: 25000\r\n\
             cactusbarrow-token-usage: 500,{LONG_OUTPUT_TOKENS}\r\ncontent-length: 0\r\n\r\n"
        );
        let mut conn = TcpStream::connect(self.callers).await.expect("connect");
        conn.write_all(text.as_bytes()).await.expect("send");
        let mut bytes = [0; 64];
        conn.read_exact(&mut bytes).await.expect("its first event");
        conn
    }

    /// Sends the stop signal; returns the time at which it was sent.
    fn stop(&self) -> Instant {
        self.gateway.signal(Signal::TERM);
        Instant::now()
    }

    /// Returns whether a request ran.
    fn has_run(&self, id: &str) -> bool {
        let runs = [self.engine.runs(), self.app.runs()].concat();
        let mut ids = runs
            .iter()
            .map(|run| &run.headers["cactusbarrow-request-id"]);
        ids.any(|run| run == id)
    }

    /// Waits until the gateway has exited.
    async fn end(mut self) {
        let exit = tokio::task::spawn_blocking(move || self.gateway.wait_for_exit());
        exit.await.expect("the gateway exits");
    }
}

/// Returns a configuration with a route of generations that cannot be resumed beside the others.
fn config() -> String {
    let mut config: Value = serde_json::from_str(&config_json(1, &[KEY])).expect("it is JSON");
    let routes = config["routes"].as_array_mut().expect("routes are listed");
    let mut once = routes[0].clone();
    once["name"] = "r-once".into();
    once["prefix"] = "/stream/once/".into();
    once["streamResume"] = false.into();
    routes.push(once);
    config.to_string()
}

fn pace(slowdown: f64) -> EnginePace {
    EnginePace {
        prompt_tokens_per_ms: 5,
        tokens_per_event: 8,
        slowdown,
    }
}

fn head<'a>(id: &'a str, path: &'a str, deadline_ms: u64) -> CallerHead<'a> {
    CallerHead {
        request_id: id,
        path,
        key: KEY,
        deadline_ms,
        extra: &[("cactusbarrow-token-usage", "500,320")],
    }
}

async fn send(
    http: &HttpClient,
    gateway: SocketAddr,
    id: &str,
    path: &str,
    deadline_ms: u64,
) -> End {
    let method = if path.starts_with("/read/") {
        "GET"
    } else {
        "POST"
    };
    let req = head(id, path, deadline_ms).encode(gateway, method, Body::full("the body"));
    let Ok(res) = http.send("call", req).await else {
        return End::Cut;
    };
    let (head, body) = res.into_parts();
    let is_generation = head.status.is_success() && path.starts_with("/stream/");
    let Ok(body) = body.collect().await else {
        return End::Cut;
    };
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        assert!(head.headers.contains_key("retry-after"), "{id}: {head:?}");
    }
    let body = body.to_bytes();
    let events = String::from_utf8_lossy(&body).matches("id: ").count();
    if is_generation && events != EVENTS {
        return End::Cut;
    }
    End::Whole(head.status)
}

/// Asserts that requests either ended with a whole response of status 200, or are stated not to have run, and have not.
fn assert_whole_or_not_run(deployment: &Deployment, ends: &[(String, End)]) {
    let is_kept = |(id, end): &&(String, End)| match end {
        End::Whole(StatusCode::OK) => true,
        End::Whole(StatusCode::SERVICE_UNAVAILABLE) => !deployment.has_run(id),
        End::Whole(_) | End::Cut => false,
    };
    let broken: Vec<_> = ends.iter().filter(|end| !is_kept(end)).collect();
    assert!(broken.is_empty(), "{broken:?} of {ends:?}");
}

/// Guards against generations that a stopping gateway admits late by the pace of others, and cuts at its exit.
#[tokio::test(flavor = "multi_thread")]
async fn generations_sent_in_a_stop_end_whole_or_do_not_run() {
    const SENT_MS: [u64; 8] = [300, 1_500, 2_600, 3_200, 4_200, 5_300, 5_900, 6_500];
    /// Time since the signal at which the engine slows down.
    const SLOWS_DOWN_MS: u64 = 5_950;
    let deployment = Deployment::start(30).await;
    deployment.measure_pace().await;
    let _long = deployment.begin_long_generation().await;
    let callers = deployment.callers;
    let stopped_at = deployment.stop();
    let mut late = JoinSet::new();
    for (sent_ms, path) in SENT_MS
        .into_iter()
        .flat_map(|at| STREAM_PATHS.map(|path| (at, path)))
    {
        let http = deployment.http.clone();
        late.spawn(async move {
            let at = stopped_at + Duration::from_millis(sent_ms);
            tokio::time::sleep_until(at.into()).await;
            let id = format!("{sent_ms}-{path}");
            let end = send(&http, callers, &id, path, 25_000).await;
            (id, end)
        });
    }
    let slows_down_at = stopped_at + Duration::from_millis(SLOWS_DOWN_MS);
    tokio::time::sleep_until(slows_down_at.into()).await;
    deployment.engine.set_pace(Some(pace(20.0)));
    let ends = late.join_all().await;
    assert_whole_or_not_run(&deployment, &ends);
    deployment.end().await;
}

/// Guards against requests that arrive in time, end late, and are then passed on and cut.
#[tokio::test(flavor = "multi_thread")]
async fn generation_whose_body_ends_late_in_a_stop_ends_whole_or_does_not_run() {
    const BODY_ENDS_MS: [u64; 3] = [2_900, 4_500, 6_200];
    let deployment = Deployment::start(31).await;
    deployment.measure_pace().await;
    let mut open = JoinSet::new();
    let signal = tokio::sync::watch::Sender::new(None::<Instant>);
    for (ends_ms, path) in BODY_ENDS_MS
        .into_iter()
        .flat_map(|at| STREAM_PATHS.map(|path| (at, path)))
    {
        let id = format!("body-{ends_ms}-{path}");
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: ficu.example\r\ncactusbarrow-request-id: {id}\r\n\
             cactusbarrow-key: {KEY}\r\ncactusbarrow-deadline-ms: 25000\r\n\
             cactusbarrow-token-usage: 500,320\r\nconnection: close\r\ncontent-length: 8\r\n\r\nthe "
        );
        let mut conn = TcpStream::connect(deployment.callers)
            .await
            .expect("connect");
        conn.write_all(text.as_bytes()).await.expect("send");
        let mut signal = signal.subscribe();
        open.spawn(async move {
            let stopped_at = *signal.wait_for(Option::is_some).await.expect("a signal");
            let at = stopped_at.expect("a signal") + Duration::from_millis(ends_ms);
            let mut bytes = Vec::new();
            let written = tokio::time::timeout_at(at.into(), conn.read_to_end(&mut bytes)).await;
            if written.is_err() {
                // The gateway may have responded and left.
                let _ = conn.write_all(b"body").await;
                let _ = conn.read_to_end(&mut bytes).await;
            }
            (id, raw_end(&bytes))
        });
    }
    // The heads have arrived before the signal.
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.engine.set_pace(Some(pace(6.0)));
    signal.send_replace(Some(deployment.stop()));
    let ends = open.join_all().await;
    assert_whole_or_not_run(&deployment, &ends);
    deployment.end().await;
}

/// Returns how a request ended whose response was read to the end of its connection.
fn raw_end(bytes: &[u8]) -> End {
    let text = String::from_utf8_lossy(bytes);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let Some(status) = status else {
        return End::Cut;
    };
    let is_cut = status == StatusCode::OK && !text.ends_with("0\r\n\r\n");
    if is_cut { End::Cut } else { End::Whole(status) }
}

/// Guards against calls that a stopping gateway passes on and gives up before their time is over.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_is_passed_on_in_a_stop_has_its_whole_time() {
    const SENT_MS: [u64; 11] = [
        500, 2_600, 4_000, 6_000, 6_200, 6_300, 6_400, 6_480, 6_550, 6_700, 7_000,
    ];
    let deployment = Deployment::start(32).await;
    deployment.app.set_fault(Some(Fault::Hang));
    let callers = deployment.callers;
    let _long = deployment.begin_long_generation().await;
    let stopped_at = deployment.stop();
    let mut late = JoinSet::new();
    for (sent_ms, path) in SENT_MS
        .into_iter()
        .flat_map(|at| ["/read/a", "/write/a"].map(|path| (at, path)))
    {
        let http = deployment.http.clone();
        late.spawn(async move {
            let at = stopped_at + Duration::from_millis(sent_ms);
            tokio::time::sleep_until(at.into()).await;
            let id = format!("{sent_ms}-{path}");
            let sent_at = Instant::now();
            let end = send(&http, callers, &id, path, 2_500).await;
            (id, end, sent_at.elapsed())
        });
    }
    let ends = late.join_all().await;
    let is_kept = |(id, end, waited): &&(String, End, Duration)| match end {
        End::Whole(StatusCode::GATEWAY_TIMEOUT) => *waited >= CALL_ROUTE_TIMEOUT,
        End::Whole(StatusCode::SERVICE_UNAVAILABLE) => !deployment.has_run(id),
        End::Whole(_) | End::Cut => false,
    };
    let broken: Vec<_> = ends.iter().filter(|end| !is_kept(end)).collect();
    assert!(broken.is_empty(), "{broken:?} of {ends:?}");
    let is_admitted =
        |(_, end, _): &(String, End, Duration)| *end == End::Whole(StatusCode::GATEWAY_TIMEOUT);
    assert!(ends.iter().any(is_admitted), "no call was passed on");
    deployment.end().await;
}
