//! Tests of signals to a gateway that runs as a process, and of what its log tells about its end.

#[path = "common/gateway_process.rs"]
mod gateway_process;

use std::time::Duration;

use cactusbarrow_adapter_standins::{
    BackendStandin, CallerHead, EnginePace, StoreStandin, config_json, entry_json,
};
use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use gateway_process::GatewayProcess;
use http_body_util::BodyExt;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

const KEY: &str = "key-of-stops";

/// Grace period of a graceful stop.
const GRACE: Duration = Duration::from_secs(4);

/// Grace period of the deployments.
const LONG_GRACE: Duration = Duration::from_secs(8);

/// Receive buffer of a caller that reads slowly, in bytes.
const SLOW_READER_BUFFER: u32 = 4_096;

/// Time within which all streams have to begin.
const START_TIMEOUT: Duration = Duration::from_secs(10);

async fn start_store() -> StoreStandin {
    let store = StoreStandin::start().await.expect("start the store");
    store.put("op/config", &config_json(1, &[KEY]));
    store
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_right_after_the_start_do_not_kill_the_gateway() {
    let store = start_store().await;
    let mut rounds = JoinSet::new();
    for host in 10..20 {
        let store = store.addr();
        rounds.spawn_blocking(move || {
            let mut gateway = GatewayProcess::start(host, store, GRACE);
            gateway.wait_for_line("gateway started");
            gateway.signal(Signal::HUP);
            gateway.signal(Signal::TERM);
            gateway.wait_for_exit()
        });
    }
    for (code, log) in rounds.join_all().await {
        assert_eq!(code, Some(0), "{log}");
        assert!(log.contains("stop signal received"), "{log}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_names_each_stream_that_is_cut_at_the_exit() {
    const STREAMS: usize = 60;
    const EVENTS: u64 = 1_000;
    let store = start_store().await;
    let interval = Duration::from_millis(20);
    let engine = BackendStandin::start("engine", EVENTS, interval)
        .await
        .expect("start an engine");
    let entry = entry_json("llm", engine.addr(), "zona-pa", "ready");
    store.put("servers/engine", &entry);
    let mut gateway = GatewayProcess::start(2, store.addr(), GRACE);
    gateway.wait_for_line("backend server listed");
    let mut callers = JoinSet::new();
    for i in 0..STREAMS {
        let id = format!("cut-{i}-");
        let head = CallerHead {
            request_id: &id,
            path: "/stream/a",
            key: KEY,
            deadline_ms: 20_000,
            extra: &[("cactusbarrow-token-usage", "10,10")],
        };
        let req = head.encode(gateway.callers, "POST", Body::full("the body"));
        callers.spawn(async move {
            let http = HttpClient::new(HttpVersion::Http1);
            let res = http.send("call", req).await.expect("a response");
            res.into_body().collect().await.is_err()
        });
    }
    let all_run = async {
        while engine.runs().len() < STREAMS {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let all_run = tokio::time::timeout(START_TIMEOUT, all_run).await;
    all_run.expect("all streams begin");
    gateway.signal(Signal::TERM);
    let (_, log) = tokio::task::spawn_blocking(move || gateway.wait_for_exit())
        .await
        .expect("the log is read");
    for is_cut in callers.join_all().await {
        assert!(is_cut, "a stream looked complete");
    }
    let cut = log.lines().filter(|line| line.contains("cut at the exit"));
    let cut: Vec<&str> = cut.collect();
    for i in 0..STREAMS {
        let id = format!("\"cut-{i}-\"");
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(&id)).collect();
        assert!(
            cut.iter().any(|line| line.contains(&id)),
            "{id} is missing; {} of {STREAMS} are named; {lines:?}",
            cut.len()
        );
    }
    assert!(!log.contains("caller_gone"), "callers did not leave");
    let last = log.lines().rfind(|line| line.contains("gateway stopped"));
    assert!(last.is_some(), "the log ends before the end");
}

/// Guards against generations that a gateway which has completed none admits in its stop, and cuts at its exit.
#[tokio::test(flavor = "multi_thread")]
async fn generation_of_unknown_duration_is_not_admitted_in_a_stop() {
    let store = start_store().await;
    let engine = BackendStandin::start("engine", 400, Duration::from_millis(25))
        .await
        .expect("start an engine");
    let entry = entry_json("llm", engine.addr(), "zona-pa", "ready");
    store.put("servers/engine", &entry);
    let mut gateway = GatewayProcess::start(3, store.addr(), LONG_GRACE);
    gateway.wait_for_line("backend server listed");
    gateway.signal(Signal::TERM);
    gateway.wait_for_line("leaving the load balancer's rotation");
    let head = CallerHead {
        request_id: "unknown-duration",
        path: "/stream/a",
        key: KEY,
        deadline_ms: 25_000,
        extra: &[],
    };
    let req = head.encode(gateway.callers, "POST", Body::full("the body"));
    let http = HttpClient::new(HttpVersion::Http1);
    let res = http.send("call", req).await.expect("a response");
    assert_eq!(res.status(), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert!(engine.runs().is_empty(), "the generation was sent on");
}

/// Guards against responses that their engine has completed and that a slow reader loses at the exit.
#[tokio::test(flavor = "multi_thread")]
async fn complete_stream_reaches_a_slow_reader_after_the_exit() {
    const EVENTS: u64 = 1_000;
    let store = start_store().await;
    let engine = BackendStandin::start("engine", EVENTS, Duration::ZERO)
        .await
        .expect("start an engine");
    let entry = entry_json("llm", engine.addr(), "zona-pa", "ready");
    store.put("servers/engine", &entry);
    let mut gateway = GatewayProcess::start(4, store.addr(), GRACE);
    gateway.wait_for_line("backend server listed");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SLOW_READER_BUFFER)
        .expect("a small buffer");
    let mut conn = socket.connect(gateway.callers).await.expect("connect");
    let head = format!(
        "POST /stream/a HTTP/1.1\r\nhost: ficu.example\r\ncactusbarrow-request-id: slow\r\n\
         cactusbarrow-key: {KEY}\r\ncactusbarrow-deadline-ms: 20000\r\n\
         cactusbarrow-token-usage: 10,10\r\ncontent-length: 0\r\n\r\n"
    );
    conn.write_all(head.as_bytes()).await.expect("send");
    let mut body = vec![0; 100];
    conn.read_exact(&mut body).await.expect("a response");
    gateway.signal(Signal::TERM);
    let (_, log) = tokio::task::spawn_blocking(move || gateway.wait_for_exit())
        .await
        .expect("the log is read");
    let read = conn.read_to_end(&mut body).await;
    let text = String::from_utf8_lossy(&body);
    assert!(
        read.is_ok() && text.ends_with("0\r\n\r\n"),
        "{read:?} {log}"
    );
}

/// Guards against generations that a stopping gateway admits late by the pace of others, and cuts at its exit because
/// their engine slows down.
#[tokio::test(flavor = "multi_thread")]
async fn generation_that_slows_down_in_a_stop_is_not_cut() {
    const MEASURED: usize = 10;
    /// Time since the signal from which a cut is not excused by a generation that began early.
    const LATE: Duration = Duration::from_millis(3_300);
    let pace = |slowdown| {
        Some(EnginePace {
            prompt_tokens_per_ms: 5,
            tokens_per_event: 8,
            slowdown,
        })
    };
    let store = start_store().await;
    let engine = BackendStandin::start("engine", 0, Duration::from_millis(25))
        .await
        .expect("start an engine");
    engine.set_pace(pace(1.0));
    let entry = entry_json("llm", engine.addr(), "zona-pa", "ready");
    store.put("servers/engine", &entry);
    let mut gateway = GatewayProcess::start(5, store.addr(), LONG_GRACE);
    gateway.wait_for_line("backend server listed");
    let http = HttpClient::new(HttpVersion::Http1);
    let send = async |id: &str| {
        let head = CallerHead {
            request_id: id,
            path: "/stream/a",
            key: KEY,
            deadline_ms: 25_000,
            extra: &[("cactusbarrow-token-usage", "500,320")],
        };
        let req = head.encode(gateway.callers, "POST", Body::full("the body"));
        http.send("call", req).await.expect("a response")
    };
    for i in 0..MEASURED {
        let res = send(&format!("measured-{i}")).await;
        assert!(res.into_body().collect().await.is_ok(), "nothing stops");
    }
    let mut open = TcpStream::connect(gateway.callers).await.expect("connect");
    open.write_all(b"POST ").await.expect("send");
    gateway.signal(Signal::TERM);
    tokio::time::sleep(LATE).await;
    let res = send("late").await;
    if res.status() == 200 {
        engine.set_pace(pace(8.0));
        assert!(res.into_body().collect().await.is_ok(), "it was cut");
    } else {
        assert_eq!(res.status(), 503);
        assert_eq!(engine.runs().len(), MEASURED, "it did not run");
    }
}

/// Guards against bodies without a stated end that look whole because the process that sends them is killed.
#[tokio::test(flavor = "multi_thread")]
async fn body_without_a_stated_end_is_not_whole_if_its_gateway_is_killed() {
    const BODY_BYTES: usize = 3 << 20;
    let store = start_store().await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = vec![0; 4_096];
                let count = conn.read(&mut buf).await.unwrap_or(0);
                let is_call = buf[..count].starts_with(b"GET /read/");
                let head = "HTTP/1.1 200 OK\r\ncactusbarrow-request-id: whole\r\n\
                            cactusbarrow-server-signature: s.whole\r\n\r\n";
                let body = if is_call { BODY_BYTES } else { 0 };
                let sent = [head.as_bytes(), &vec![b'x'; body]].concat();
                // The gateway may have left.
                let _ = conn.write_all(&sent).await;
            });
        }
    });
    store.put("servers/app", &entry_json("app", addr, "zona-pa", "ready"));
    let mut gateway = GatewayProcess::start(6, store.addr(), GRACE);
    gateway.wait_for_line("backend server listed");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SLOW_READER_BUFFER)
        .expect("a small buffer");
    let mut conn = socket.connect(gateway.callers).await.expect("connect");
    let head = format!(
        "GET /read/a HTTP/1.1\r\nhost: ficu.example\r\ncactusbarrow-request-id: whole\r\n\
         cactusbarrow-key: {KEY}\r\ncactusbarrow-deadline-ms: 20000\r\n\r\n"
    );
    conn.write_all(head.as_bytes()).await.expect("send");
    let mut body = vec![0; 2_000];
    conn.read_exact(&mut body).await.expect("a response");
    assert!(body.starts_with(b"HTTP/1.0 200"), "it has no stated end");
    gateway.signal(Signal::KILL);
    tokio::task::spawn_blocking(move || gateway.wait_for_exit())
        .await
        .expect("the log is read");
    let read = conn.read_to_end(&mut body).await;
    assert!(
        read.is_err() || body.len() > BODY_BYTES,
        "{} bytes look whole",
        body.len()
    );
}
