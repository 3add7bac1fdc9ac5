//! A store, backend servers and gateways on loopback.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_adapter::parse_settings;
use cactusbarrow_adapter_standins::{
    BackendStandin, CallerHead, StoreStandin, config_json, entry_json, settings_yaml,
};
use cactusbarrow_gateway::{GatewayHandle, start};
use cactusbarrow_net::{Body, HttpClient, HttpVersion, SystemClock};
use http::{Response, StatusCode};
use http_body_util::BodyExt;

pub(crate) const KEY: &str = "key-1";
pub(crate) const EVENTS: u64 = 30;

/// Longest wait for what has to happen in the end.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Finds four ports in a row that are free on an address.
pub(crate) fn free_ports(ip: &str) -> u16 {
    loop {
        let step = NEXT_PORT.fetch_add(4, Ordering::Relaxed);
        let base = 21_000 + (std::process::id() as u16 % 500) * 20 + step % 20_000;
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        if (base..base + 4).all(is_free) {
            return base;
        }
    }
}

/// The outside of the gateways.
pub(crate) struct World {
    pub(crate) store: StoreStandin,
    pub(crate) engines: Vec<BackendStandin>,
    pub(crate) apps: Vec<BackendStandin>,
}

impl World {
    /// Starts a store with a configuration, engines in two zones and two plain servers.
    pub(crate) async fn start(engines: usize) -> Self {
        Self::start_paced(engines, Duration::from_millis(20)).await
    }

    /// Starts the same with one event of a generation every `pace`.
    pub(crate) async fn start_paced(engines: usize, pace: Duration) -> Self {
        let store = StoreStandin::start().await.expect("start the store");
        store.put("op/config", &config_json(7, &[KEY]));
        let mut world = Self {
            store,
            engines: Vec::new(),
            apps: Vec::new(),
        };
        for i in 0..engines {
            let engine = BackendStandin::start(&format!("engine-{i}"), EVENTS, pace)
                .await
                .expect("start an engine");
            world.list(&engine, "llm", zone(i), "ready");
            world.engines.push(engine);
        }
        for i in 0..2 {
            let app = BackendStandin::start(&format!("app-{i}"), 0, Duration::ZERO)
                .await
                .expect("start a plain server");
            world.list(&app, "app", zone(i), "ready");
            world.apps.push(app);
        }
        world
    }

    /// Writes the entry of a backend server.
    pub(crate) fn list(&self, backend: &BackendStandin, service: &str, zone: &str, state: &str) {
        let key = format!("servers/{}", backend.instance());
        self.store
            .put(&key, &entry_json(service, backend.addr(), zone, state));
    }

    /// Returns how often requests ran, on all backend servers.
    pub(crate) fn runs_of(&self, request_id: &str) -> usize {
        let of = |backend: &BackendStandin| {
            let runs = backend.runs();
            let is_own = |run: &&cactusbarrow_adapter_standins::Run| {
                run.headers["cactusbarrow-request-id"] == request_id
            };
            runs.iter().filter(is_own).count()
        };
        self.engines.iter().chain(&self.apps).map(of).sum()
    }

    /// Starts a gateway on an address of the loopback network.
    pub(crate) async fn gateway(&self, ip: &str, base: u16, seed: &str) -> Gateway {
        let yaml = settings_yaml(&format!("front-{ip}"), ip, base, seed, self.store.addr());
        let settings = parse_settings(&yaml).expect("settings are valid");
        let addr = settings.callers;
        let health = settings.health;
        let handle = start(settings, SystemClock).await.expect("start a gateway");
        Gateway {
            handle,
            addr,
            health,
            http: HttpClient::new(HttpVersion::Http1),
        }
    }

    /// Starts the only gateway and waits until it is ready.
    pub(crate) async fn one_gateway(&self) -> Gateway {
        let base = free_ports("127.0.0.1");
        let gateway = self.gateway("127.0.0.1", base, "127.0.0.1").await;
        gateway.wait_until_ready().await;
        gateway
    }
}

pub(crate) fn zone(i: usize) -> &'static str {
    ["zona-pa", "zona-ct"][i % 2]
}

/// A gateway and a caller of it.
pub(crate) struct Gateway {
    pub(crate) handle: GatewayHandle<SystemClock>,
    pub(crate) addr: SocketAddr,
    pub(crate) health: SocketAddr,
    pub(crate) http: HttpClient,
}

impl Gateway {
    pub(crate) async fn wait_until_ready(&self) {
        eventually("the gateway is ready", || self.handle.status().is_ready).await;
    }

    /// Asks as the platform's balancer does.
    pub(crate) async fn health(&self) -> StatusCode {
        let mut req = http::Request::new(Body::Empty);
        *req.uri_mut() = format!("http://{}/ready", self.health)
            .parse()
            .expect("uri");
        let res = self.http.send("ask health", req).await;
        res.expect("the gateway answers health checks").status()
    }

    /// Sends a request and reads the whole answer; `Err` if it breaks off.
    pub(crate) async fn call(&self, head: &CallerHead<'_>, method: &str) -> Answer {
        let body = if method == "GET" {
            Body::Empty
        } else {
            Body::full("the body")
        };
        let req = head.encode(self.addr, method, body);
        let res = self
            .http
            .send("call", req)
            .await
            .expect("the gateway answers");
        let (head, body) = res.into_parts();
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .ok();
        Answer {
            head: Response::from_parts(head, ()),
            body,
        }
    }
}

/// An answer as its caller got it.
pub(crate) struct Answer {
    pub(crate) head: Response<()>,
    /// `None` if it broke off.
    pub(crate) body: Option<Bytes>,
}

impl Answer {
    pub(crate) fn status(&self) -> u16 {
        self.head.status().as_u16()
    }

    pub(crate) fn text(&self) -> &str {
        let body = self.body.as_ref().expect("the answer is whole");
        std::str::from_utf8(body).expect("answers are text")
    }

    /// Returns the ids of the events.
    pub(crate) fn event_ids(&self) -> Vec<u64> {
        self.text()
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }
}

pub(crate) fn head<'a>(request_id: &'a str, path: &'a str) -> CallerHead<'a> {
    CallerHead {
        request_id,
        path,
        key: KEY,
        deadline_ms: 8_000,
        extra: &[],
    }
}

/// Waits until something holds; fails the test if it does not in time.
pub(crate) async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(tokio::time::Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
