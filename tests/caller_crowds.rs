//! Memory and descriptors of a gateway, as a process, beside crowds of callers that stop in the middle of a request.

#[path = "common/caller_crowd.rs"]
mod caller_crowd;
#[path = "common/gateway_process.rs"]
mod gateway_process;
#[path = "common/process_usage.rs"]
mod process_usage;
#[path = "common/raw_backend.rs"]
#[allow(dead_code, reason = "each test file uses some of the functions")]
mod raw_backend;

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_adapter_standins::{
    BackendStandin, CallerHead, StoreStandin, config_json, entry_json,
};
use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use caller_crowd::{CallerCrowd, CrowdHead, CrowdRequest};
use gateway_process::GatewayProcess;
use http_body_util::BodyExt;
use process_usage::{ProcessUsage, UsageWatch};
use raw_backend::{ConnectionEnd, RawBackend};
use serde_json::Value;
use tokio::sync::Mutex;

const KEY: &str = "key-1";

/// Largest body of a request, in bytes.
const BODY_BYTES: usize = 1 << 20;

/// Time-out of callers and routes, longer than any of the tests takes.
const DEADLINE_MS: u64 = 25_000;

/// Bytes of a response that fills the buffers of its connection.
const LARGE_RESPONSE_BYTES: usize = 6 << 20;

/// Events of a generation, one each 10 ms, so that it outlasts a test's crowd.
const ENGINE_EVENTS: u64 = 2_000;

/// Tries of an ordinary caller, and the time between two.
const TRIES: usize = 20;
const PAUSE: Duration = Duration::from_millis(300);

/// Crowds of connections, and of large bodies.
const CONNECTIONS: usize = 900;
const BODIES: usize = 300;

/// Limits of a process, as the platform's settings state them.
#[derive(Clone, Copy, Debug)]
struct ProcessLimits {
    memory_mb: usize,
    descriptors: usize,
}

const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 128,
    descriptors: 600,
};

/// One crowd at a time: each is to have the machine for itself.
static TURN: Mutex<()> = Mutex::const_new(());

/// A gateway with its store and backend servers.
struct Site {
    gateway: GatewayProcess,
    usage: UsageWatch,
    _store: StoreStandin,
    _backends: [BackendStandin; 2],
}

fn config(body_bytes: usize) -> String {
    let mut config: Value = serde_json::from_str(&config_json(7, &[KEY])).expect("JSON");
    for route in config["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = DEADLINE_MS.into();
    }
    let mut large = config["routes"][2].clone();
    large["name"] = "r-large".into();
    large["prefix"] = "/large/".into();
    large["service"] = "large".into();
    config["routes"].as_array_mut().expect("a list").push(large);
    let mut large = config["services"][1].clone();
    large["name"] = "large".into();
    config["services"]
        .as_array_mut()
        .expect("a list")
        .push(large);
    config["limits"]["maxBodyBytes"] = body_bytes.into();
    config.to_string()
}

impl Site {
    async fn start(host: u8, limits: ProcessLimits, body_bytes: usize) -> Self {
        let store = StoreStandin::start().await.expect("start the store");
        store.put("op/config", &config(body_bytes));
        let interval = Duration::from_millis(10);
        let backend = BackendStandin::start("sound", 1, interval).await;
        let backend = backend.expect("start a server");
        let engine = BackendStandin::start("engine", ENGINE_EVENTS, interval).await;
        let engine = engine.expect("start an engine");
        let (_, large) = RawBackend::start(|_, _| (large_response(), ConnectionEnd::Close)).await;
        store.put(
            "servers/sound",
            &backend.entry_json("app", "zona-pa", "ready"),
        );
        store.put(
            "servers/large",
            &entry_json("large", large, "zona-pa", "ready"),
        );
        store.put(
            "servers/engine",
            &engine.entry_json("llm", "zona-pa", "ready"),
        );
        let ProcessLimits {
            memory_mb,
            descriptors,
        } = limits;
        let limits = format!("memoryMb: {memory_mb}\n  maxFds: {descriptors}");
        let edits = [("memoryMb: 260", limits.as_str())];
        let grace = Duration::from_secs(8);
        let mut gateway = GatewayProcess::start_with_edits(host, store.addr(), grace, &edits);
        for _ in 0..3 {
            gateway.wait_for_line("backend server listed");
        }
        let usage = UsageWatch::start(gateway.pid(), listeners(gateway.callers).to_vec());
        Self {
            gateway,
            usage,
            _store: store,
            _backends: [backend, engine],
        }
    }

    /// Sends an ordinary request, and again while it is refused as not run or its connection is closed.
    async fn serves_ordinary_request(&self, id: &str, body_bytes: usize) -> bool {
        for i in 0..TRIES {
            let http = HttpClient::new(HttpVersion::Http1);
            let body = Body::full(vec![b'x'; body_bytes]);
            let id = format!("{id}-{i}");
            let req = ordinary_head(&id).encode(self.gateway.callers, "POST", body);
            if let Ok(res) = http.send("call", req).await {
                let status = res.status().as_u16();
                let body = res.into_body().collect().await;
                assert!(matches!(status, 200 | 408 | 429 | 503), "{id}: {status}");
                if status == 200 && body.is_ok() {
                    return true;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    fn peak(&self, crowd: &str) -> ProcessUsage {
        let peak = self.usage.peak();
        peak.unwrap_or_else(|| panic!("{crowd}: the gateway has ended"))
    }
}

fn ordinary_head(id: &str) -> CallerHead<'_> {
    CallerHead {
        request_id: id,
        path: "/read/a",
        key: KEY,
        deadline_ms: DEADLINE_MS,
        extra: &[],
    }
}

/// Returns the addresses for callers, health checks and peers.
fn listeners(callers: SocketAddr) -> [SocketAddr; 3] {
    let at = |i| SocketAddr::new(callers.ip(), callers.port() + i);
    [at(0), at(1), at(2)]
}

fn large_response() -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: {LARGE_RESPONSE_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + LARGE_RESPONSE_BYTES, b'x');
    bytes
}

fn crowd_head(path: &str) -> CrowdHead {
    CrowdHead {
        lines: format!(
            "POST {path} HTTP/1.1\r\nhost: ficu.example\r\ncactusbarrow-key: {KEY}\r\n\
             cactusbarrow-deadline-ms: {DEADLINE_MS}\r\ncactusbarrow-token-usage: 5000,190\r\n"
        ),
        id_header: "cactusbarrow-request-id",
    }
}

/// A crowd at one of a gateway's listeners.
#[derive(Clone, Copy)]
struct Crowd {
    request: CrowdRequest,
    count: usize,
    path: &'static str,
    /// Which of [`listeners`].
    listener: usize,
}

impl Crowd {
    const fn new(request: CrowdRequest, count: usize) -> Self {
        Self {
            request,
            count,
            path: "/write/a",
            listener: 0,
        }
    }
}

/// Guards against callers that end a gateway, or keep it from serving others.
async fn check(host: u8, crowds: &[Crowd]) {
    let _turn = TURN.lock().await;
    let site = Site::start(host, LIMITS, BODY_BYTES).await;
    assert!(
        site.serves_ordinary_request("calm", BODY_BYTES).await,
        "a request inside the limits is refused in calm"
    );
    let mut callers = Vec::new();
    let mut names = String::new();
    for Crowd {
        request,
        count,
        path,
        listener,
    } in crowds
    {
        let addr = listeners(site.gateway.callers)[*listener];
        callers.push(CallerCrowd::start(addr, &crowd_head(path), *request, *count).await);
        names += &format!("{count} x {request:?} at {path} ");
    }
    let is_served_beside = site.serves_ordinary_request("beside", 800).await;
    let peak = site.peak(&names);
    println!("{names}: {peak:?}, an ordinary request beside it served: {is_served_beside}");
    drop(callers);
    let is_served_after = site.serves_ordinary_request("after", 800).await;
    site.peak(&names);
    assert!(
        peak.with_unread_bytes.max(peak.memory_bytes) < LIMITS.memory_mb * 1_000_000,
        "{names}: {peak:?}"
    );
    assert!(peak.descriptors < LIMITS.descriptors, "{names}: {peak:?}");
    assert!(is_served_beside, "{names}: none is served beside them");
    assert!(is_served_after, "{names}: none is served after them");
}

const SILENT: Crowd = Crowd::new(CrowdRequest::Silent, CONNECTIONS);
const HALF_HEADS: Crowd = Crowd::new(CrowdRequest::HalfHead, CONNECTIONS);
const TINY_BODIES: Crowd = Crowd::new(CrowdRequest::StalledBody { bytes: 10 }, CONNECTIONS);
const SMALL_BODIES: Crowd = Crowd::new(CrowdRequest::StalledBody { bytes: 16 << 10 }, CONNECTIONS);
const LARGE_BODIES: Crowd = Crowd::new(CrowdRequest::StalledBody { bytes: BODY_BYTES }, BODIES);
const WHOLE_BODIES: Crowd = Crowd::new(CrowdRequest::WholeBody { bytes: BODY_BYTES }, BODIES);
const LARGE_CHUNKS: Crowd = Crowd::new(CrowdRequest::StalledChunk { bytes: BODY_BYTES }, BODIES);
const SMALL_CHUNKS: Crowd = Crowd::new(
    CrowdRequest::StalledChunks {
        chunk_bytes: 1,
        chunks: 100_000,
    },
    BODIES,
);
const ANNOUNCED: Crowd = Crowd::new(
    CrowdRequest::Announced {
        bytes: 40 << 30,
        sent: 8 << 20,
    },
    BODIES,
);
const SENT: Crowd = Crowd::new(
    CrowdRequest::StalledChunks {
        chunk_bytes: 50_000,
        chunks: 160,
    },
    BODIES,
);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_descriptors_for_others() {
    check(220, &[SILENT]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads_leave_descriptors_for_others() {
    check(221, &[HALF_HEADS]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_stalled_bodies_leave_a_gateway_within_its_limits() {
    check(222, &[TINY_BODIES]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_stalled_bodies_leave_a_gateway_within_its_limits() {
    check(223, &[SMALL_BODIES]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_stalled_bodies_leave_a_gateway_within_its_limits() {
    check(224, &[LARGE_BODIES]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_whole_bodies_leave_a_gateway_within_its_limits() {
    check(225, &[WHOLE_BODIES]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_stalled_chunks_leave_a_gateway_within_its_limits() {
    check(226, &[LARGE_CHUNKS]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_stalled_chunks_leave_a_gateway_within_its_limits() {
    check(227, &[SMALL_CHUNKS]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_bodies_above_the_limit_leave_a_gateway_within_its_limits() {
    check(228, &[ANNOUNCED]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sent_bodies_above_the_limit_leave_a_gateway_within_its_limits() {
    check(229, &[SENT]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_after_an_expected_100_leave_a_gateway_within_its_limits() {
    let request = CrowdRequest::ExpectContinue { bytes: BODY_BYTES };
    check(230, &[Crowd::new(request, CONNECTIONS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_bytes_leave_a_gateway_within_its_limits() {
    let request = CrowdRequest::Pipelined { sent: 4 << 20 };
    let crowd = Crowd {
        path: "/stream/a",
        ..Crowd::new(request, BODIES)
    };
    check(231, &[crowd]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_chunk_extensions_and_trailers_leave_a_gateway_within_its_limits() {
    let extension = CrowdRequest::ChunkExtension { sent: 1 << 20 };
    check(249, &[Crowd::new(extension, BODIES)]).await;
    let trailers = CrowdRequest::Trailers { sent: 1 << 20 };
    check(250, &[Crowd::new(trailers, BODIES)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_leave_a_gateway_within_its_limits() {
    let crowd = Crowd {
        path: "/large/case-1.a",
        ..Crowd::new(CrowdRequest::UnreadResponse, BODIES)
    };
    check(232, &[crowd]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_the_health_and_peer_listeners_leave_descriptors_for_others() {
    for (host, listener) in [(233, 1), (234, 2)] {
        check(host, &[Crowd { listener, ..SILENT }]).await;
    }
}

/// Guards against limits that each crowd keeps, and all together exceed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_of_all_kinds_together_leave_a_gateway_within_its_limits() {
    let crowds = [
        WHOLE_BODIES,
        LARGE_BODIES,
        TINY_BODIES,
        LARGE_CHUNKS,
        SMALL_CHUNKS,
        ANNOUNCED,
        HALF_HEADS,
        Crowd {
            listener: 1,
            ..SILENT
        },
        Crowd {
            listener: 2,
            ..SILENT
        },
        SILENT,
    ];
    check(235, &crowds).await;
}

/// Guards against callers that stop short of the end of a large body, and so keep others from sending one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_body_is_served_beside_stalled_ones() {
    let _turn = TURN.lock().await;
    let site = Site::start(236, LIMITS, BODY_BYTES).await;
    let head = crowd_head("/write/a");
    for request in [LARGE_BODIES.request, LARGE_CHUNKS.request] {
        let _crowd =
            CallerCrowd::start(site.gateway.callers, &head, request, LARGE_BODIES.count).await;
        let is_served = site.serves_ordinary_request("large", BODY_BYTES).await;
        assert!(is_served, "a large body is refused beside {request:?}");
    }
}

/// Prints what crowds of the size that a gateway of a deployment may meet cost it, for `docs/CAPACITY.md`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement, for release builds"]
async fn costs_of_large_crowds() {
    const LARGE: usize = 4 << 20;
    const LIMITS: ProcessLimits = ProcessLimits {
        memory_mb: 260,
        descriptors: 4_100,
    };
    let stalled = |bytes| CrowdRequest::StalledBody { bytes };
    let crowds = [
        (3_500, CrowdRequest::Silent),
        (3_500, CrowdRequest::HalfHead),
        (4_300, stalled(10)),
        (3_500, stalled(16_000)),
        (2_000, stalled(300 << 10)),
        (300, stalled(LARGE)),
        (300, CrowdRequest::WholeBody { bytes: LARGE }),
        (
            300,
            CrowdRequest::StalledChunks {
                chunk_bytes: 60_000,
                chunks: 69,
            },
        ),
        (300, CrowdRequest::StalledChunk { bytes: LARGE }),
        (
            200,
            CrowdRequest::StalledChunks {
                chunk_bytes: 1,
                chunks: 200_000,
            },
        ),
        (
            300,
            CrowdRequest::Announced {
                bytes: 40 << 30,
                sent: 8 << 20,
            },
        ),
        (
            300,
            CrowdRequest::StalledChunks {
                chunk_bytes: 60_000,
                chunks: 1_070,
            },
        ),
    ];
    let _turn = TURN.lock().await;
    for (i, (count, request)) in crowds.into_iter().enumerate() {
        let site = Site::start(237 + i as u8, LIMITS, LARGE).await;
        let head = crowd_head("/write/a");
        let crowd = CallerCrowd::start(site.gateway.callers, &head, request, count).await;
        let is_served = site.serves_ordinary_request("beside", 800).await;
        let peak = site.peak("crowd");
        drop(crowd);
        println!(
            "{count} x {request:?}: {} MB, {} with unread, {} descriptors, served: {is_served}",
            peak.memory_bytes / 1_000_000,
            peak.with_unread_bytes / 1_000_000,
            peak.descriptors
        );
    }
}
