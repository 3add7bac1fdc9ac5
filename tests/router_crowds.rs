//! Memory and descriptors of a router and an agent, as processes, beside crowds of callers that stop in the middle of a
//! request.

#[path = "common/caller_crowd.rs"]
mod caller_crowd;
#[path = "common/daemon_process.rs"]
mod daemon_process;
#[path = "common/process_usage.rs"]
mod process_usage;
#[path = "common/raw_backend.rs"]
#[allow(dead_code, reason = "each test file uses some of the functions")]
mod raw_backend;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_document::hash_api_key;
use cactusbarrow_net::{Body, BodySender};
use cactusbarrow_protocol::{CALL_PATH, GENERATE_PATH};
use cactusbarrow_standins::{Caller, Cluster, ConsulServer, Engine, EngineConfig, Ledger};
use caller_crowd::{CallerCrowd, CrowdHead, CrowdRequest};
use daemon_process::{Process, reserve_addrs, run_client, wait_ready, write_file};
use http::{Method, Request};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use process_usage::UsageWatch;
use raw_backend::{ConnectionEnd, RawBackend};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

const API_KEY: &str = "secret-of-crowds";
const VERSION: &str = "captions-v1";
const COMPLETIONS_PATH: &str = "/v1/completions";
const CALLS_PATH: &str = "/bookings/lookup";

/// Number of the call whose response fills the buffers of its connections, and the size of the response, in bytes.
const LARGE_CASE: usize = 1;
const LARGE_RESPONSE_BYTES: usize = 8 << 20;

/// Memory of the host of each process, in bytes, and the part of it that is for what callers send.
const MEMORY_BYTES: usize = 128_000_000;
const BODY_MEMORY_BYTES: usize = 32 << 20;

/// Descriptors that each process may open.
const DESCRIPTORS: u64 = 600;

/// Largest body of a request, and number of requests that the router serves at once.
const BODY_BYTES: usize = 1 << 20;
const MAX_IN_FLIGHT: usize = 50;

/// Tries of an ordinary caller, its time-out, and the time between two tries.
const TRIES: usize = 20;
const TIMEOUT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(300);

/// Crowds of connections, of large bodies, and of streams on one connection of HTTP/2.
const CONNECTIONS: usize = 900;
const BODIES: usize = 300;
const STREAMS: usize = 3_000;

/// One crowd at a time: each is to have the machine for itself.
static TURN: Mutex<()> = Mutex::const_new(());

/// A process under test with its addresses for callers, control messages and operators.
struct Daemon {
    usage: UsageWatch,
    addrs: [SocketAddr; 3],
    _process: Process,
}

impl Daemon {
    fn start(role: &str, name: &str, settings: &str) -> Self {
        let addrs = reserve_addrs();
        let [listen, control, admin] = addrs;
        let settings = format!(
            "name: {name}\nlisten: {listen}\ncontrol: {control}\nadmin: {admin}\nlog_level: error\n\
             body_memory_bytes: {BODY_MEMORY_BYTES}\n{settings}"
        );
        let file = write_file(&format!("{name}.yaml"), &settings);
        let process = with_descriptor_limit(|| Process::start(role, &file));
        Self {
            usage: UsageWatch::start(process.pid(), addrs.to_vec()),
            addrs,
            _process: process,
        }
    }

    fn check_usage(&self, crowd: &str) {
        let peak = self.usage.peak();
        let peak = peak.unwrap_or_else(|| panic!("{crowd}: the process has ended"));
        println!("{crowd}: {peak:?}");
        let memory = peak.memory_bytes.max(peak.with_unread_bytes);
        assert!(memory < MEMORY_BYTES, "{crowd}: {peak:?}");
        assert!(peak.descriptors < DESCRIPTORS as usize, "{crowd}: {peak:?}");
    }
}

/// Starts a process that inherits a limit of its open descriptors.
fn with_descriptor_limit(start: impl FnOnce() -> Process) -> Process {
    let own = getrlimit(Resource::Nofile);
    let limited = Rlimit {
        current: Some(DESCRIPTORS),
        ..own
    };
    setrlimit(Resource::Nofile, limited).expect("a lower limit can be set");
    let process = start();
    setrlimit(Resource::Nofile, own).expect("the limit can be restored");
    process
}

/// A router, an agent and an engine.
struct Site {
    router: Daemon,
    agent: Daemon,
    _service_agent: Daemon,
    _store: ConsulServer,
    _engine: Engine,
}

impl Site {
    async fn start() -> Self {
        Self::start_with("").await
    }

    /// Starts the same with further settings of the router.
    async fn start_with(settings: &str) -> Self {
        let store = ConsulServer::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let engine = Engine::start(EngineConfig::new(VERSION), Ledger::default(), 1).await;
        let agent = Daemon::start(
            "agent",
            "crowd-agent",
            &format!("backend: {}\nkind: engine\n", engine.addr),
        );
        let (_, service) = RawBackend::start(|case, _| {
            let bytes = if case == LARGE_CASE {
                LARGE_RESPONSE_BYTES
            } else {
                1
            };
            (response(bytes), ConnectionEnd::Close)
        })
        .await;
        let service_agent = Daemon::start(
            "agent",
            "crowd-bookings",
            &format!("backend: {service}\nkind: service\n"),
        );
        let router = Daemon::start(
            "router",
            "crowd-router",
            &format!(
                "zone: zone-a\nstore: {}\nmax_body_bytes: {BODY_BYTES}\nmax_in_flight: {MAX_IN_FLIGHT}\n{settings}",
                store.addr
            ),
        );
        let file = write_file("crowd-document.yaml", &document(&agent, &service_agent));
        let file = file.to_str().expect("a path in UTF-8");
        let applied = run_client(store.addr, &["apply", file, "--operation", "first"]);
        assert!(applied.status.success(), "{applied:?}");
        wait_ready(router.addrs[2]).await;
        let site = Self {
            router,
            agent,
            _service_agent: service_agent,
            _store: store,
            _engine: engine,
        };
        let is_served = site.serves_ordinary_request().await;
        assert!(is_served, "a request is refused in calm");
        site
    }

    /// Sends an ordinary call to the plain service, and again while it is refused or its connection is closed.
    async fn serves_ordinary_call(&self) -> bool {
        for _ in 0..TRIES {
            let caller = Caller::new(API_KEY);
            let headers = [("x-case", "case-2.")];
            let router = self.router.addrs[0];
            let sent = caller.send(router, Method::POST, CALLS_PATH, &headers, "", TIMEOUT);
            if sent.await.is_ok_and(|res| res.status().is_success()) {
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    /// Sends an ordinary request, and again while it is refused or its connection is closed.
    async fn serves_ordinary_request(&self) -> bool {
        for seed in 0..TRIES {
            let caller = Caller::new(API_KEY);
            let body = Cluster::completion_body("a forecast", seed as u64, 5);
            let router = self.router.addrs[0];
            let sent = caller.send(router, Method::POST, COMPLETIONS_PATH, &[], &body, TIMEOUT);
            if sent.await.is_ok_and(|res| res.status().is_success()) {
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }
}

fn response(bytes: usize) -> Vec<u8> {
    let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n").into_bytes();
    response.resize(response.len() + bytes, b'x');
    response
}

fn document(agent: &Daemon, service_agent: &Daemon) -> String {
    let [listen, control, _] = agent.addrs;
    let [service_listen, service_control, _] = service_agent.addrs;
    format!(
        "service:\n  name: captions\n  protocol: completions\n  model: captions\n  \
         versions:\n    - model_version: {VERSION}\n      weight: 10000\n\
         ---\nmodel_version:\n  name: {VERSION}\n  model: captions\n  weights: store/captions-v1\n\
         ---\ncustomer:\n  name: isobar\n  key_sha256: {}\n  max_in_flight: 1000\n  \
         tokens_per_second: 100000\n\
         ---\nbackend_server:\n  name: crowd-agent\n  service: captions\n  zone: zone-a\n  \
         agent_address: {listen}\n  control_address: {control}\n  model_version: {VERSION}\n  \
         max_in_flight: 16\n\
         ---\nservice:\n  name: bookings\n  protocol: http\n  path_prefix: /bookings\n  \
         routes:\n    - {{method: POST, path: /lookup, repeatable: true}}\n\
         ---\nbackend_server:\n  name: crowd-bookings\n  service: bookings\n  zone: zone-a\n  \
         agent_address: {service_listen}\n  control_address: {service_control}\n  \
         max_in_flight: 400\n",
        hash_api_key(API_KEY)
    )
}

/// Which process a crowd calls, and on which of its addresses.
#[derive(Clone, Copy, Debug)]
enum Target {
    Router(usize),
    Agent(usize),
}

impl Target {
    fn daemon(self, site: &Site) -> (&Daemon, SocketAddr) {
        match self {
            Self::Router(i) => (&site.router, site.router.addrs[i]),
            Self::Agent(i) => (&site.agent, site.agent.addrs[i]),
        }
    }

    fn path(self) -> String {
        match self {
            Self::Router(_) => COMPLETIONS_PATH.to_owned(),
            Self::Agent(_) => GENERATE_PATH.to_owned(),
        }
    }
}

const ROUTER: Target = Target::Router(0);
const AGENT: Target = Target::Agent(0);

/// Guards against callers that end a process, or keep it from serving others.
async fn check(target: Target, request: CrowdRequest, count: usize) {
    let _turn = TURN.lock().await;
    let site = Site::start().await;
    let (daemon, addr) = target.daemon(&site);
    let path = target.path();
    let head = CrowdHead {
        lines: format!(
            "POST {path} HTTP/1.1\r\nhost: {addr}\r\nauthorization: Bearer {API_KEY}\r\n"
        ),
        id_header: "x-request-id",
    };
    let name = format!("{count} x {request:?} at {target:?}");
    let crowd = CallerCrowd::start(addr, &head, request, count).await;
    check_service(&site, daemon, &name, crowd).await;
}

/// Checks what the process of a crowd takes, and that an ordinary request is served beside the crowd and after it.
async fn check_service<T>(site: &Site, daemon: &Daemon, name: &str, crowd: T) {
    let is_served_beside = site.serves_ordinary_request().await;
    daemon.check_usage(name);
    drop(crowd);
    assert!(is_served_beside, "{name}: none is served beside them");
    assert!(
        site.serves_ordinary_request().await,
        "{name}: none is served after them"
    );
    daemon.check_usage(name);
}

/// Requests on one connection of HTTP/2, whose bodies stop after their first bytes.
struct StalledStreams {
    _senders: Vec<BodySender>,
    _requests: JoinSet<()>,
}

impl StalledStreams {
    async fn start(addr: SocketAddr, path: &str, count: usize) -> Self {
        let conn = TcpStream::connect(addr).await.expect("connect");
        let (send, conn) = http2::handshake(TokioExecutor::new(), TokioIo::new(conn))
            .await
            .expect("a connection of HTTP/2");
        let mut requests = JoinSet::new();
        requests.spawn(async move {
            let _ = conn.await;
        });
        let mut senders = Vec::new();
        for _ in 0..count {
            let (tx, body) = Body::channel();
            tx.send(Bytes::from_static(b"first bytes")).await;
            senders.push(tx);
            let req = Request::post(format!("http://{addr}{path}"))
                .header("authorization", format!("Bearer {API_KEY}"))
                .body(body)
                .expect("a request");
            let mut send = send.clone();
            requests.spawn(async move {
                let _ = send.send_request(req).await;
            });
            tokio::task::yield_now().await;
        }
        // The requests that the server admits have arrived once it answers another.
        tokio::time::sleep(PAUSE).await;
        Self {
            _senders: senders,
            _requests: requests,
        }
    }
}

/// Guards against callers that do the same on few connections.
async fn check_streams(target: Target, path: &str) {
    const CROWD_CONNECTIONS: usize = 2;
    let _turn = TURN.lock().await;
    let site = Site::start().await;
    let (daemon, addr) = target.daemon(&site);
    let mut crowd = Vec::new();
    for _ in 0..CROWD_CONNECTIONS {
        crowd.push(StalledStreams::start(addr, path, STREAMS).await);
    }
    let name = format!("{CROWD_CONNECTIONS} x {STREAMS} streams at {target:?}");
    check_service(&site, daemon, &name, crowd).await;
}

const LARGE: CrowdRequest = CrowdRequest::StalledBody { bytes: BODY_BYTES };
const TINY: CrowdRequest = CrowdRequest::StalledBody { bytes: 10 };
const WHOLE: CrowdRequest = CrowdRequest::WholeBody { bytes: BODY_BYTES };
const SMALL_CHUNKS: CrowdRequest = CrowdRequest::StalledChunks {
    chunk_bytes: 1,
    chunks: 100_000,
};
const LARGE_CHUNK: CrowdRequest = CrowdRequest::StalledChunk { bytes: BODY_BYTES };
const ANNOUNCED: CrowdRequest = CrowdRequest::Announced {
    bytes: 40 << 30,
    sent: 8 << 20,
};
const CONTROL_MESSAGE: CrowdRequest = CrowdRequest::StalledControlMessage { bytes: BODY_BYTES };
const SENT: CrowdRequest = CrowdRequest::StalledChunks {
    chunk_bytes: 50_000,
    chunks: 160,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_a_router_descriptors_for_others() {
    check(ROUTER, CrowdRequest::Silent, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads_leave_a_router_descriptors_for_others() {
    check(ROUTER, CrowdRequest::HalfHead, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_stalled_bodies_leave_a_router_within_its_limits() {
    check(ROUTER, TINY, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_leave_a_router_within_its_limits() {
    for request in [LARGE, WHOLE, LARGE_CHUNK] {
        check(ROUTER, request, BODIES).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_stalled_chunks_leave_a_router_within_its_limits() {
    check(ROUTER, SMALL_CHUNKS, BODIES).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_above_the_limit_leave_a_router_within_its_limits() {
    for request in [ANNOUNCED, SENT] {
        check(ROUTER, request, BODIES).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_after_an_expected_100_leave_a_router_within_its_limits() {
    let request = CrowdRequest::ExpectContinue { bytes: BODY_BYTES };
    check(ROUTER, request, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_bytes_leave_a_router_within_its_limits() {
    check(ROUTER, CrowdRequest::Pipelined { sent: 4 << 20 }, BODIES).await;
}

/// Guards against callers that read nothing and so keep what others wait for on the same connection to an agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_leave_a_router_within_its_limits() {
    const UNREAD_RESPONSES: usize = 40;
    let _turn = TURN.lock().await;
    let site = Site::start().await;
    assert!(
        site.serves_ordinary_call().await,
        "a call is refused in calm"
    );
    let addr = site.router.addrs[0];
    let head = CrowdHead {
        lines: format!(
            "POST {CALLS_PATH} HTTP/1.1\r\nhost: {addr}\r\nauthorization: Bearer {API_KEY}\r\n\
             x-case: case-{LARGE_CASE}.\r\n"
        ),
        id_header: "x-request-id",
    };
    let request = CrowdRequest::UnreadResponse;
    let crowd = CallerCrowd::start(addr, &head, request, UNREAD_RESPONSES).await;
    // Their responses fill the buffers of the router.
    tokio::time::sleep(PAUSE).await;
    let is_served = site.serves_ordinary_call().await;
    let name = format!("{UNREAD_RESPONSES} unread responses");
    check_service(&site, &site.router, &name, crowd).await;
    assert!(is_served, "{name}: no call is served beside them");
}

/// Guards against callers of HTTP/2 that read nothing, and so keep all connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_streams_leave_a_router_connections_for_others() {
    const UNREAD_STREAMS: usize = 60;
    let _turn = TURN.lock().await;
    let site = Site::start_with("max_connections: 40\n").await;
    let addr = site.router.addrs[0];
    let mut crowd = JoinSet::new();
    for _ in 0..UNREAD_STREAMS {
        let Ok(conn) = TcpStream::connect(addr).await else {
            continue;
        };
        let handshake = http2::Builder::new(TokioExecutor::new())
            .initial_stream_window_size(1_024)
            .handshake(TokioIo::new(conn));
        let Ok((mut send, conn)) = handshake.await else {
            continue;
        };
        crowd.spawn(async move {
            let _ = conn.await;
        });
        let req = Request::post(format!("http://{addr}{CALLS_PATH}"))
            .header("authorization", format!("Bearer {API_KEY}"))
            .header("x-case", format!("case-{LARGE_CASE}."))
            .body(Body::Empty)
            .expect("a request");
        if let Ok(Ok(res)) = tokio::time::timeout(TIMEOUT, send.send_request(req)).await {
            crowd.spawn(async move {
                let _unread = (res, send);
                std::future::pending::<()>().await;
            });
        }
    }
    let name = format!("{UNREAD_STREAMS} unread streams");
    check_service(&site, &site.router, &name, crowd).await;
}

/// Guards against control messages that are announced and sent in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_control_messages_leave_a_router_within_its_limits() {
    check(Target::Router(1), CONTROL_MESSAGE, BODIES).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_control_messages_leave_an_agent_within_its_limits() {
    check(Target::Agent(1), CONTROL_MESSAGE, BODIES).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_streams_leave_a_router_within_its_limits() {
    check_streams(ROUTER, COMPLETIONS_PATH).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_the_admin_address_leave_a_router_descriptors_for_others() {
    check(Target::Router(2), CrowdRequest::Silent, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_the_control_address_leave_a_router_descriptors_for_others() {
    check(Target::Router(1), CrowdRequest::Silent, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_an_agent_descriptors_for_others() {
    check(AGENT, CrowdRequest::Silent, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_stalled_bodies_leave_an_agent_within_its_limits() {
    check(AGENT, TINY, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_leave_an_agent_within_its_limits() {
    for request in [LARGE, WHOLE, LARGE_CHUNK, ANNOUNCED, SENT] {
        check(AGENT, request, BODIES).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_stalled_chunks_leave_an_agent_within_its_limits() {
    check(AGENT, SMALL_CHUNKS, BODIES).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_streams_leave_an_agent_within_its_limits() {
    check_streams(AGENT, GENERATE_PATH).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_calls_leave_an_agent_within_its_limits() {
    check_streams(AGENT, &format!("{CALL_PATH}/a")).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_the_admin_address_leave_an_agent_descriptors_for_others() {
    check(Target::Agent(2), CrowdRequest::Silent, CONNECTIONS).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_at_the_control_address_leave_an_agent_descriptors_for_others() {
    check(Target::Agent(1), CrowdRequest::Silent, CONNECTIONS).await;
}
