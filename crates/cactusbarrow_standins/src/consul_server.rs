//! Stand-in for the platform's key-value store: the KV store and the catalog of Consul over HTTP.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cactusbarrow_net::{Body, RequestBody, ServeConfig, collect_limited, serve};
use http::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::emulated_process::EmulatedProcess;

/// Maximum size of a stored value.
const MAX_VALUE_BYTES: usize = 1 << 20;
const PER_MILLE: u32 = 1_000;

/// Faults that the stand-in injects; they can be changed at any time.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Whether all calls fail.
    pub is_down: AtomicBool,
    /// Share of writes whose response is lost after they took effect, per mille.
    pub lost_responses_per_mille: AtomicU32,
    /// Latency added to each call, in milliseconds.
    pub delay_ms: AtomicU64,
}

/// Counters of the calls that the stand-in served.
#[derive(Debug, Default)]
pub struct StoreCounts {
    /// Number of reads, including blocking queries.
    pub reads: AtomicU64,
    /// Number of writes.
    pub writes: AtomicU64,
    /// Total size of the values read.
    pub bytes_read: AtomicU64,
    /// Total size of the values written.
    pub bytes_written: AtomicU64,
    /// Size of the largest value written.
    pub largest_value_bytes: AtomicU64,
}

#[derive(Debug, Default)]
struct Tables {
    index: u64,
    /// Modification index and value of each key.
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

/// A running stand-in store in an emulated process of its own.
#[derive(Debug)]
pub struct ConsulServer {
    /// Address that the store listens on.
    pub addr: SocketAddr,
    /// Faults that the store injects.
    pub faults: Arc<StoreFaults>,
    /// Counters of the store.
    pub counts: Arc<StoreCounts>,
    /// Emulated process of the store, which can be killed or frozen.
    pub process: EmulatedProcess,
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
        let (process, addr) = EmulatedProcess::start(async move {
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
            process,
            state,
        }
    }

    /// Adds a node with its metadata to the catalog, or replaces it.
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

    /// Removes a node from the catalog.
    pub fn remove_node(&self, name: &str) {
        let mut tables = self.state.tables();
        tables.nodes.remove(name);
        tables.index += 1;
        tables.nodes_index = tables.index;
        self.state.changed.send_replace(tables.index);
    }

    /// Starts an outage in which all calls fail, or ends it.
    pub fn set_down(&self, is_down: bool) {
        self.faults.is_down.store(is_down, Ordering::Relaxed);
        // Wakes blocking queries, so that they fail at once.
        self.state.changed.send_modify(|_| {});
    }
}

impl State {
    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<RequestBody>) -> Response<Body> {
        let delay = self.faults.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let is_down = || self.faults.is_down.load(Ordering::Relaxed);
        if is_down() {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "no leader");
        }
        let res = self.dispatch(req).await;
        if is_down() {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "no leader");
        }
        res
    }

    async fn dispatch(&self, req: Request<RequestBody>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let method = req.method().clone();
        let Ok(Some(body)) = collect_limited(req.into_body(), MAX_VALUE_BYTES, "caller").await
        else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "value is too large");
        };
        if path == "/v1/catalog/nodes" {
            self.wait(&query, |tables| tables.nodes_index).await;
            return self.nodes(&query);
        }
        let Some(key) = path.strip_prefix("/v1/kv/") else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        match method {
            Method::GET => {
                let current_index = |tables: &Tables| tables.values.get(key).map_or(0, |v| v.0);
                self.wait(&query, current_index).await;
                self.read(key)
            }
            Method::PUT => self.write(key, &query, body),
            Method::DELETE => {
                self.counts.writes.fetch_add(1, Ordering::Relaxed);
                self.tables().values.remove(key);
                text_response(StatusCode::OK, "true")
            }
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    /// Holds a blocking query until the index differs from the query's or its wait time has elapsed.
    async fn wait(&self, query: &str, current_index: impl Fn(&Tables) -> u64) {
        let Some(after) = query_parameter(query, "index").and_then(|v| v.parse::<u64>().ok())
        else {
            return;
        };
        let wait = query_parameter(query, "wait")
            .and_then(|v| v.strip_suffix("ms")?.parse().ok())
            .map_or(Duration::from_secs(300), Duration::from_millis);
        let mut changed = self.changed.subscribe();
        let index_changed = async {
            loop {
                changed.mark_unchanged();
                if current_index(&self.tables()) != after
                    || self.faults.is_down.load(Ordering::Relaxed)
                {
                    return;
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // The response is the same whether or not the wait timed out.
        let _ = tokio::time::timeout(wait, index_changed).await;
    }

    fn read(&self, key: &str) -> Response<Body> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let tables = self.tables();
        let Some((index, value)) = tables.values.get(key) else {
            return text_response(StatusCode::NOT_FOUND, "");
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
        json_response(json.to_string(), *index)
    }

    fn write(&self, key: &str, query: &str, value: Bytes) -> Response<Body> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let len = value.len() as u64;
        self.counts.bytes_written.fetch_add(len, Ordering::Relaxed);
        self.counts
            .largest_value_bytes
            .fetch_max(len, Ordering::Relaxed);
        let is_written = {
            let mut tables = self.tables();
            let current = tables.values.get(key).map_or(0, |v| v.0);
            let expected = query_parameter(query, "cas").and_then(|v| v.parse::<u64>().ok());
            let is_written = expected.is_none_or(|expected| expected == current);
            if is_written {
                tables.index += 1;
                let index = tables.index;
                tables.values.insert(key.to_owned(), (index, value));
                self.changed.send_replace(index);
            }
            is_written
        };
        let lost_per_mille = self.faults.lost_responses_per_mille.load(Ordering::Relaxed);
        if lost_per_mille > 0 && rand::random::<u32>() % PER_MILLE < lost_per_mille {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "answer lost");
        }
        text_response(StatusCode::OK, if is_written { "true" } else { "false" })
    }

    fn nodes(&self, query: &str) -> Response<Body> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let tables = self.tables();
        let nodes: Vec<serde_json::Value> = tables
            .nodes
            .iter()
            .filter(|(_, meta)| matches_filter(meta, query_parameter(query, "filter")))
            .map(|(name, meta)| serde_json::json!({"Node": name, "Address": "", "Meta": meta}))
            .collect();
        json_response(
            serde_json::Value::from(nodes).to_string(),
            tables.nodes_index,
        )
    }
}

/// Returns whether a node matches a filter; without a filter, every node matches.
///
/// Only the filters that the system sends are supported.
fn matches_filter(meta: &BTreeMap<String, String>, filter: Option<&str>) -> bool {
    let has = |key: &str, value: &str| meta.get(key).is_some_and(|v| v == value);
    match filter {
        None => true,
        Some(filter) if filter.contains("cactusbarrow-role") => has("cactusbarrow-role", "router"),
        Some(_) => has("state", "leaving"),
    }
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut res = Response::new(Body::full(text));
    *res.status_mut() = status;
    res
}

fn json_response(json: String, index: u64) -> Response<Body> {
    let mut res = Response::new(Body::full(json));
    res.headers_mut()
        .insert("x-consul-index", http::HeaderValue::from(index));
    res
}
