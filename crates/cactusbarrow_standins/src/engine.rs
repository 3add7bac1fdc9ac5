//! Stand-in for a model engine that streams completions with token ids.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_net::{Body, BodySender, RequestBody, ServeConfig, collect_limited, serve};
use cactusbarrow_policy::{mix, stable_hash};
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::emulated_process::EmulatedProcess;
use crate::ledger::{Ledger, token_at, token_bytes};

const MAX_BODY_BYTES: usize = 8 << 20;
/// Length of the prompt prefix that identifies a cache entry.
const CACHED_PREFIX_BYTES: usize = 256;

const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// Configuration of a stand-in engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Model version that is loaded at start; `None` for none.
    pub model_version: Option<String>,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time to the first token if the prompt is not cached.
    pub prefill: Duration,
    /// Time to the first token if the prompt is cached.
    pub cached_prefill: Duration,
    /// Maximum number of prompt prefixes in the cache.
    pub cache_entries: usize,
    /// Maximum number of requests that run concurrently; others wait.
    pub slots: usize,
    /// Mean number of tokens between random stalls of a stream; 0 disables stalls.
    pub tokens_per_stall: u32,
    /// Maximum duration of a stall.
    pub max_stall: Duration,
    /// Whether load orders with an outdated fencing token are refused.
    pub checks_fencing: bool,
    /// Time that loading a model version takes.
    pub load_time: Duration,
}

impl EngineConfig {
    /// Creates the configuration of a fast engine on a free loopback port.
    pub fn new(model_version: &str) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            model_version: Some(model_version.to_owned()),
            token_interval: Duration::from_millis(20),
            prefill: Duration::from_millis(60),
            cached_prefill: Duration::from_millis(15),
            cache_entries: 16,
            slots: 64,
            tokens_per_stall: 0,
            max_stall: Duration::ZERO,
            checks_fencing: true,
            load_time: Duration::from_millis(200),
        }
    }
}

impl EngineConfig {
    /// Returns the stall before a token; it depends only on the run's salt and the offset.
    fn stall_at(&self, salt: u64, offset: u32) -> Option<Duration> {
        let random = mix(salt ^ (u64::from(offset) << 32));
        let is_due =
            self.tokens_per_stall > 0 && random.is_multiple_of(u64::from(self.tokens_per_stall));
        let share = mix(random) as f64 / u64::MAX as f64;
        is_due.then(|| self.max_stall.mul_f64(share))
    }
}

/// Counters of a stand-in engine.
#[derive(Debug, Default)]
pub struct EngineStats {
    /// Number of requests started.
    pub started: AtomicUsize,
    /// Number of requests running.
    pub running: AtomicUsize,
    /// Number of requests whose prompt was cached.
    pub cache_hits: AtomicUsize,
    /// Number of tokens of prompts and resumed output that were computed, not cached.
    pub prefilled_tokens: AtomicUsize,
    /// Number of load orders carried out.
    pub loads: AtomicUsize,
    last_request_at: Mutex<Option<Instant>>,
}

impl EngineStats {
    /// Returns the time at which the last request was received.
    pub fn last_request_at(&self) -> Option<Instant> {
        *self
            .last_request_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_request(&self) {
        *self
            .last_request_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
}

#[derive(Debug)]
struct State {
    cfg: EngineConfig,
    ledger: Ledger,
    stats: Arc<EngineStats>,
    slots: Semaphore,
    cache: Mutex<VecDeque<u64>>,
    loaded: Mutex<Loaded>,
    next_salt: AtomicU64,
}

#[derive(Debug)]
struct Loaded {
    version: Option<String>,
    fencing_token: u64,
}

/// A running stand-in engine in an emulated process of its own.
#[derive(Debug)]
pub struct Engine {
    /// Address that the engine listens on.
    pub addr: SocketAddr,
    /// Counters of the engine.
    pub stats: Arc<EngineStats>,
    /// Emulated process of the engine, which can be killed or frozen.
    pub process: EmulatedProcess,
}

#[derive(Deserialize)]
struct CompletionBody {
    prompt: String,
    max_tokens: u32,
    seed: u64,
    model_version: String,
    #[serde(default)]
    resume_token_ids: Vec<u32>,
}

#[derive(Deserialize)]
struct LoadBody {
    model_version: String,
    fencing_number: u64,
}

#[derive(Serialize)]
struct Chunk {
    choices: [Choice; 1],
}

#[derive(Serialize)]
struct Choice {
    token_ids: Vec<u32>,
    logprobs: Logprobs,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Logprobs {
    content: Vec<TokenBytes>,
}

#[derive(Serialize)]
struct TokenBytes {
    bytes: Vec<u8>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// Each engine needs a `salt` of its own, so that the tokens of any two runs differ.
    pub async fn start(cfg: EngineConfig, ledger: Ledger, salt: u64) -> Self {
        let stats = Arc::new(EngineStats::default());
        let state = Arc::new(State {
            slots: Semaphore::new(cfg.slots),
            loaded: Mutex::new(Loaded {
                version: cfg.model_version.clone(),
                fencing_token: 0,
            }),
            cfg,
            ledger,
            stats: stats.clone(),
            cache: Mutex::default(),
            next_salt: AtomicU64::new(salt << 32),
        });
        let (process, addr) = EmulatedProcess::start(async move {
            let listener = TcpListener::bind(state.cfg.listen)
                .await
                .expect("the engine's address is free");
            let addr = listener.local_addr().expect("a bound listener");
            let service = tower::service_fn(move |req| {
                let state = state.clone();
                async move { Ok::<_, Infallible>(handle(state, req).await) }
            });
            let cfg = ServeConfig::default();
            tokio::spawn(serve(listener, service, cfg, CancellationToken::new()));
            addr
        })
        .await;
        Self {
            addr,
            stats,
            process,
        }
    }
}

impl State {
    fn loaded(&self) -> MutexGuard<'_, Loaded> {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a prompt is cached, and makes it the most recently used entry.
    fn is_cached(&self, prompt: &str) -> bool {
        let prefix = &prompt.as_bytes()[..prompt.len().min(CACHED_PREFIX_BYTES)];
        let key = stable_hash(prefix);
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let found = cache.iter().position(|k| *k == key);
        if let Some(i) = found {
            cache.remove(i);
        }
        cache.push_front(key);
        cache.truncate(self.cfg.cache_entries);
        found.is_some()
    }
}

async fn handle(state: Arc<State>, req: Request<RequestBody>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let body = collect_limited(req.into_body(), MAX_BODY_BYTES, "caller").await;
    let Ok(Some(body)) = body else {
        return status(StatusCode::BAD_REQUEST);
    };
    match path.as_str() {
        "/v1/completions" => match serde_json::from_slice(&body) {
            Ok(body) => complete(state, body),
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        "/load" => match serde_json::from_slice(&body) {
            Ok(body) => load(&state, body).await,
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        "/state" => {
            let version = state.loaded().version.clone();
            let running = state.stats.running.load(Ordering::Relaxed);
            let json = serde_json::json!({"model_version": version, "running": running});
            Response::new(Body::full(json.to_string()))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(Body::Empty);
    *res.status_mut() = status;
    res
}

async fn load(state: &State, body: LoadBody) -> Response<Body> {
    {
        let mut loaded = state.loaded();
        if state.cfg.checks_fencing && body.fencing_number < loaded.fencing_token {
            return status(StatusCode::CONFLICT);
        }
        loaded.fencing_token = body.fencing_number;
        loaded.version = None;
    }
    tokio::time::sleep(state.cfg.load_time).await;
    state.loaded().version = Some(body.model_version);
    state.stats.loads.fetch_add(1, Ordering::Relaxed);
    status(StatusCode::OK)
}

fn complete(state: Arc<State>, req: CompletionBody) -> Response<Body> {
    if state.loaded().version.as_deref() != Some(&req.model_version) {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.stats.record_request();
    let (tx, body) = Body::channel();
    tokio::spawn(async move {
        tokio::select! {
            () = tx.closed() => return,
            () = generate(&state, req, &tx) => {}
        }
        tx.finish();
    });
    Response::new(body)
}

/// Decrements [`EngineStats::running`] when dropped.
struct RunningGuard<'a>(&'a EngineStats);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn generate(state: &State, req: CompletionBody, tx: &BodySender) {
    let Ok(_slot) = state.slots.acquire().await else {
        return;
    };
    state.stats.started.fetch_add(1, Ordering::Relaxed);
    state.stats.running.fetch_add(1, Ordering::Relaxed);
    let _running = RunningGuard(&state.stats);
    let is_cached = state.is_cached(&req.prompt);
    if is_cached {
        state.stats.cache_hits.fetch_add(1, Ordering::Relaxed);
    }
    let prefilled_tokens = if is_cached {
        0
    } else {
        req.prompt.len() / PROMPT_BYTES_PER_TOKEN
    };
    let prefilled_tokens = prefilled_tokens + req.resume_token_ids.len();
    state
        .stats
        .prefilled_tokens
        .fetch_add(prefilled_tokens, Ordering::Relaxed);
    tokio::time::sleep(if is_cached {
        state.cfg.cached_prefill
    } else {
        state.cfg.prefill
    })
    .await;
    let salt = state.next_salt.fetch_add(1, Ordering::Relaxed);
    let mut sequence = Ledger::start_hash(&req.prompt, req.seed);
    for token in &req.resume_token_ids {
        sequence = Ledger::extend_hash(sequence, *token);
    }
    let first = req.resume_token_ids.len() as u32;
    let mut ticks = tokio::time::interval(state.cfg.token_interval);
    for offset in first..req.max_tokens {
        ticks.tick().await;
        if let Some(stall) = state.cfg.stall_at(salt, offset) {
            tokio::time::sleep(stall).await;
            ticks.reset();
        }
        let token = token_at(offset, salt);
        sequence = Ledger::extend_hash(sequence, token);
        state.ledger.record(sequence);
        let is_last = offset + 1 == req.max_tokens;
        if !tx.send(chunk(token, is_last).into()).await {
            return;
        }
    }
    if first >= req.max_tokens {
        let end = "data: {\"choices\":[{\"token_ids\":[],\"finish_reason\":\"length\"}]}\n\n";
        tx.send(end.into()).await;
    }
    tx.send("data: [DONE]\n\n".into()).await;
}

fn chunk(token: u32, is_last: bool) -> String {
    let chunk = Chunk {
        choices: [Choice {
            token_ids: vec![token],
            logprobs: Logprobs {
                content: vec![TokenBytes {
                    bytes: token_bytes(token),
                }],
            },
            finish_reason: is_last.then_some("length"),
        }],
    };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}
