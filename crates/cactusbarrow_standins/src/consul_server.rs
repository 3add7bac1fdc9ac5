//! Stand-in of the platform's key-value service: Consul's KV and catalog over HTTP.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cactusbarrow_net::{Body, ServeConfig, collect_limited, serve};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::host::Host;

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
const PER_MILLE: u32 = 1_000;

/// Faults of the stand-in, which can be changed at any time.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// All calls fail.
    pub is_down: AtomicBool,
    /// Share of writes whose answer is lost after they took effect, per mille.
    pub lost_responses_per_mille: AtomicU32,
    /// Extra time of each call, in milliseconds.
    pub delay_ms: AtomicU64,
}

/// Calls that the stand-in answered.
#[derive(Debug, Default)]
pub struct StoreCounts {
    /// Reads, watches included.
    pub reads: AtomicU64,
    /// Writes.
    pub writes: AtomicU64,
    /// Bytes of values read.
    pub bytes_read: AtomicU64,
    /// Bytes of values written.
    pub bytes_written: AtomicU64,
    /// Largest value ever written, in bytes.
    pub largest_value_bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct Tables {
    index: u64,
    values: BTreeMap<String, (u64, Bytes)>,
    nodes: BTreeMap<String, BTreeMap<String, String>>,
    nodes_index: u64,
}

#[derive(Debug)]
struct State {
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
    faults: Arc<StoreFaults>,
    counts: Arc<StoreCounts>,
}

/// A running stand-in store on a host of its own.
#[derive(Debug)]
pub struct ConsulServer {
    /// Address it listens on.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Arc<StoreFaults>,
    /// Its counts.
    pub counts: Arc<StoreCounts>,
    /// Its host.
    pub host: Host,
    state: Arc<State>,
}

impl ConsulServer {
    /// Starts an empty store.
    pub async fn start(listen: SocketAddr) -> Self {
        let faults = Arc::new(StoreFaults::default());
        let counts = Arc::new(StoreCounts::default());
        let state = Arc::new(State {
            tables: Mutex::default(),
            changed: watch::Sender::new(0),
            faults: faults.clone(),
            counts: counts.clone(),
        });
        let shared = state.clone();
        let (host, addr) = Host::start(async move {
            let listener = TcpListener::bind(listen)
                .await
                .expect("the store's address is free");
            let addr = listener.local_addr().expect("a bound listener");
            let service = tower::service_fn(move |req| {
                let state = shared.clone();
                async move { Ok::<_, Infallible>(state.handle(req).await) }
            });
            let cfg = ServeConfig::default();
            tokio::spawn(serve(listener, service, cfg, CancellationToken::new()));
            addr
        })
        .await;
        Self {
            addr,
            faults,
            counts,
            host,
            state,
        }
    }

    /// Sets a node of the catalog: its name and metadata.
    pub fn set_node(&self, name: &str, meta: &[(&str, &str)]) {
        let meta = meta
            .iter()
            .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
            .collect();
        let mut tables = self.state.tables();
        tables.nodes.insert(name.to_owned(), meta);
        tables.index += 1;
        tables.nodes_index = tables.index;
        self.state.changed.send_replace(tables.index);
    }

    /// Removes a node of the catalog.
    pub fn remove_node(&self, name: &str) {
        let mut tables = self.state.tables();
        tables.nodes.remove(name);
        tables.index += 1;
        tables.nodes_index = tables.index;
        self.state.changed.send_replace(tables.index);
    }

    /// Makes all calls fail, or ends the outage.
    pub fn set_down(&self, is_down: bool) {
        self.faults.is_down.store(is_down, Ordering::Relaxed);
        // Waiting watches notice the outage.
        self.state.changed.send_modify(|_| {});
    }
}

impl State {
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let delay = self.faults.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let is_down = || self.faults.is_down.load(Ordering::Relaxed);
        if is_down() {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "no leader");
        }
        let res = self.answer(req).await;
        if is_down() {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "no leader");
        }
        res
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let method = req.method().clone();
        let Ok(Some(body)) = collect_limited(req.into_body(), MAX_VALUE_BYTES, "caller").await
        else {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "value is too large");
        };
        if path == "/v1/catalog/nodes" {
            self.wait(&query, |tables| tables.nodes_index).await;
            return self.nodes(&query);
        }
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return plain(StatusCode::NOT_FOUND, "no such path");
        };
        match method {
            Method::GET => {
                let index_of = |tables: &Tables| tables.values.get(key).map_or(0, |v| v.0);
                self.wait(&query, index_of).await;
                self.read(key)
            }
            Method::PUT => self.write(key, &query, body),
            Method::DELETE => {
                self.counts.writes.fetch_add(1, Ordering::Relaxed);
                self.tables().values.remove(key);
                plain(StatusCode::OK, "true")
            }
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    /// Holds a blocking query until its index has passed or its wait is over.
    async fn wait(&self, query: &str, index_of: impl Fn(&Tables) -> u64) {
        let Some(after) = parameter(query, "index").and_then(|v| v.parse::<u64>().ok()) else {
            return;
        };
        let wait = parameter(query, "wait")
            .and_then(|v| v.strip_suffix("ms")?.parse().ok())
            .map_or(Duration::from_secs(300), Duration::from_millis);
        let mut changed = self.changed.subscribe();
        let passed = async {
            loop {
                changed.mark_unchanged();
                if index_of(&self.tables()) != after || self.faults.is_down.load(Ordering::Relaxed)
                {
                    return;
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // A wait that is over is answered as one that was not.
        let _ = tokio::time::timeout(wait, passed).await;
    }

    fn read(&self, key: &str) -> Response<Body> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let tables = self.tables();
        let Some((index, value)) = tables.values.get(key) else {
            return plain(StatusCode::NOT_FOUND, "");
        };
        let len = value.len() as u64;
        self.counts.bytes_read.fetch_add(len, Ordering::Relaxed);
        let json = serde_json::json!([{
            "Key": key,
            "Value": STANDARD.encode(value),
            "Flags": 0,
            "LockIndex": 0,
            "CreateIndex": index,
            "ModifyIndex": index,
        }]);
        with_index(json.to_string(), *index)
    }

    fn write(&self, key: &str, query: &str, value: Bytes) -> Response<Body> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let len = value.len() as u64;
        self.counts.bytes_written.fetch_add(len, Ordering::Relaxed);
        self.counts
            .largest_value_bytes
            .fetch_max(len, Ordering::Relaxed);
        let is_done = {
            let mut tables = self.tables();
            let held = tables.values.get(key).map_or(0, |v| v.0);
            let expected = parameter(query, "cas").and_then(|v| v.parse::<u64>().ok());
            let is_done = expected.is_none_or(|expected| expected == held);
            if is_done {
                tables.index += 1;
                let index = tables.index;
                tables.values.insert(key.to_owned(), (index, value));
                self.changed.send_replace(index);
            }
            is_done
        };
        let lost = self.faults.lost_responses_per_mille.load(Ordering::Relaxed);
        if lost > 0 && rand::random::<u32>() % PER_MILLE < lost {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "answer lost");
        }
        plain(StatusCode::OK, if is_done { "true" } else { "false" })
    }

    fn nodes(&self, query: &str) -> Response<Body> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let tables = self.tables();
        let nodes: Vec<serde_json::Value> = tables
            .nodes
            .iter()
            .filter(|(_, meta)| is_wanted(meta, parameter(query, "filter")))
            .map(|(name, meta)| serde_json::json!({"Node": name, "Address": "", "Meta": meta}))
            .collect();
        with_index(
            serde_json::Value::from(nodes).to_string(),
            tables.nodes_index,
        )
    }
}

/// Applies the filters that the system uses; without one every node is wanted.
fn is_wanted(meta: &BTreeMap<String, String>, filter: Option<&str>) -> bool {
    let has = |key: &str, value: &str| meta.get(key).is_some_and(|v| v == value);
    match filter {
        None => true,
        Some(filter) if filter.contains("cactusbarrow-role") => has("cactusbarrow-role", "router"),
        Some(_) => has("state", "leaving"),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut res = Response::new(Body::full(text));
    *res.status_mut() = status;
    res
}

fn with_index(json: String, index: u64) -> Response<Body> {
    let mut res = Response::new(Body::full(json));
    res.headers_mut()
        .insert("x-consul-index", http::HeaderValue::from(index));
    res
}
