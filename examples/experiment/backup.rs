//! Backup experiment: zones of engines terminate in turn, with and without copies of engine memory.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_adapter::parse_settings;
use cactusbarrow_adapter_standins::{
    CallerHead, EngineEmulator, EngineFleet, EngineModel, StoreStandin, config_json, entry_json,
    event_count, reserved_network, settings_yaml,
};
use cactusbarrow_gateway::{GatewayHandle, start};
use cactusbarrow_net::{Body, EventSplitter, HttpClient, HttpVersion, SystemClock};
use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 12;
const GATEWAYS: usize = 2;
/// First port of the gateways with copies and without; they differ since listeners stay open for
/// a short time after a stop.
const FIRST_PORTS: [u16; 2] = [24_400, 24_420];
const PROMPT_TOKENS: u64 = 5_000;
/// Tokens of the prompt part that all prompts share.
const SHARED_TOKENS: u64 = 200;

/// Three quarters of the rate that the engines sustain without losses.
const GENERATIONS_PER_SECOND: f64 = 2.2;

/// Time from the restart of one zone to the termination of the next.
const ZONE_INTERVAL: Duration = Duration::from_millis(4_500);
/// Time from the termination of a zone to its restart.
const ZONE_DOWNTIME: Duration = Duration::from_millis(1_200);

/// Longest time to the first event of a generation that is not late.
const FIRST_EVENT_BOUND_MS: f64 = 4_500.0;
/// Longest pause between events of a generation that is not late.
const PAUSE_BOUND_MS: f64 = 700.0;

const GENERATION_TIMEOUT: Duration = Duration::from_secs(25);
const API_KEY: &str = "key-1";

/// Figures of one run.
#[derive(Serialize)]
struct Figures {
    generations: usize,
    complete: usize,
    /// Share of the complete generations whose first event or longest pause was late.
    late_share: f64,
    first_event_ms: Percentiles,
    longest_pause_ms: Percentiles,
    /// Tokens that engines prefilled for each prompt token.
    read_per_prompt_token: f64,
    wrong_events: u64,
}

/// How the events of one generation arrived.
#[derive(Clone, Copy, Debug, Default)]
struct GenerationResult {
    is_complete: bool,
    first_event: Duration,
    longest_pause: Duration,
    wrong_events: u64,
}

/// Runs the same load with and without copies; no caller may get a wrong event.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let ours = measure(true, seed, is_short).await;
    let baseline = measure(false, seed, is_short).await;
    let mut outcome = Outcome::new("backup", seed);
    outcome.must_be("wrong_events", ours.wrong_events + baseline.wrong_events, 0);
    outcome.set("ours", ours);
    outcome.set("without_copies", baseline);
    outcome
}

/// The engines of a run; each slot holds one instance after the other.
struct Engines {
    store: StoreStandin,
    fleet: EngineFleet,
    slots: Vec<Mutex<EngineEmulator>>,
    started_count: AtomicU64,
}

impl Engines {
    async fn start(has_copies: bool) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op/config", &configuration(has_copies));
        let engines = Self {
            store,
            fleet: EngineFleet::default(),
            slots: Vec::new(),
            started_count: AtomicU64::new(0),
        };
        let mut slots = Vec::new();
        for i in 0..ENGINES {
            slots.push(Mutex::new(engines.start_one(i).await));
        }
        Self { slots, ..engines }
    }

    async fn start_one(&self, slot: usize) -> EngineEmulator {
        let number = self.started_count.fetch_add(1, Ordering::Relaxed);
        let instance = format!("engine-{slot}-{number}");
        let engine = EngineEmulator::start(&instance, EngineModel::default(), &self.fleet)
            .await
            .expect("an engine starts");
        let entry = entry_json("llm", engine.addr(), zone(slot), "ready");
        self.store.put(&format!("servers/{instance}"), &entry);
        engine
    }

    fn lock_slot(&self, slot: usize) -> std::sync::MutexGuard<'_, EngineEmulator> {
        let engine = self.slots[slot].lock();
        engine.unwrap_or_else(PoisonError::into_inner)
    }

    /// Terminates and restarts the zones in turn, every second time without closing connections.
    async fn terminate_zones(&self) {
        for round in 0.. {
            tokio::time::sleep(ZONE_INTERVAL).await;
            let terminated = (0..ENGINES).filter(|slot| slot % ZONES.len() == round % ZONES.len());
            let terminated: Vec<usize> = terminated.collect();
            for slot in &terminated {
                self.lock_slot(*slot).terminate(round % 2 == 1);
            }
            tokio::time::sleep(ZONE_DOWNTIME).await;
            for slot in terminated {
                let engine = self.start_one(slot).await;
                let old = std::mem::replace(&mut *self.lock_slot(slot), engine);
                // Deleted at once; the platform would do so only after three missed heartbeats.
                self.store.delete(&format!("servers/{}", old.instance()));
            }
        }
    }
}

fn zone(slot: usize) -> &'static str {
    ZONES[slot % ZONES.len()]
}

fn configuration(has_copies: bool) -> String {
    let mut config: Value = serde_json::from_str(&config_json(1, &[API_KEY])).unwrap_or_default();
    config["services"][0]["engine"]["backups"] = json!(has_copies);
    config.to_string()
}

async fn start_gateways(store: SocketAddr, port: u16) -> Vec<GatewayHandle<SystemClock>> {
    let mut gateways = Vec::new();
    for i in 0..GATEWAYS {
        let (ip, seed) = (ip(i), ip((i + 1) % GATEWAYS));
        let yaml = settings_yaml(&format!("gateway-{i}"), &ip, port, &seed, store);
        let settings = parse_settings(&yaml).expect("settings are valid");
        let gateway = start(settings, SystemClock).await;
        gateways.push(gateway.expect("a gateway starts"));
    }
    let is_ready = |gateway: &GatewayHandle<_>| gateway.status().backends == ENGINES;
    while !gateways.iter().all(is_ready) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    gateways
}

/// Returns the address of a gateway; concurrent runs use different loopback networks.
fn ip(gateway: usize) -> String {
    format!("127.{}.3.{}", reserved_network(), gateway + 1)
}

async fn measure(has_copies: bool, seed: u64, is_short: bool) -> Figures {
    let engines = Arc::new(Engines::start(has_copies).await);
    let port = FIRST_PORTS[usize::from(!has_copies)];
    let gateways = start_gateways(engines.store.addr(), port).await;
    let seconds = if is_short { 7 } else { 40 };
    let load = run_load(seed, Duration::from_secs(seconds), port);
    let results = tokio::select! {
        results = load => results,
        () = engines.terminate_zones() => Vec::new(),
    };
    for gateway in gateways {
        gateway.stop().await;
    }
    let prompts = results.len() as u64 * PROMPT_TOKENS;
    let complete: Vec<&GenerationResult> = results.iter().filter(|r| r.is_complete).collect();
    let times = |time: fn(&GenerationResult) -> Duration| -> Vec<Duration> {
        complete.iter().map(|result| time(result)).collect()
    };
    let late = complete.iter().filter(|result| is_late(result)).count();
    Figures {
        generations: results.len(),
        complete: complete.len(),
        late_share: rounded(late as f64 / complete.len().max(1) as f64),
        first_event_ms: Percentiles::of(&times(|r| r.first_event)),
        longest_pause_ms: Percentiles::of(&times(|r| r.longest_pause)),
        read_per_prompt_token: rounded(
            engines.fleet.prefill_tokens() as f64 / prompts.max(1) as f64,
        ),
        wrong_events: results.iter().map(|r| r.wrong_events).sum(),
    }
}

fn is_late(result: &GenerationResult) -> bool {
    result.first_event.as_secs_f64() * 1e3 > FIRST_EVENT_BOUND_MS
        || result.longest_pause.as_secs_f64() * 1e3 > PAUSE_BOUND_MS
}

async fn run_load(seed: u64, time: Duration, port: u16) -> Vec<GenerationResult> {
    let mut rng = StdRng::seed_from_u64(seed);
    let http = HttpClient::new(HttpVersion::Http1);
    let mut running = JoinSet::new();
    let started = Instant::now();
    let mut next_start = Duration::ZERO;
    while next_start < time {
        tokio::time::sleep(next_start.saturating_sub(started.elapsed())).await;
        let number: u64 = rng.random();
        let ip = ip(rng.random_range(0..GATEWAYS)).parse();
        let gateway = SocketAddr::new(ip.expect("an address"), port);
        running.spawn(generate(http.clone(), gateway, number));
        // Intervals are uniform between zero and twice the mean.
        let interval = rng.random_range(0.0..2.0) / GENERATIONS_PER_SECOND;
        next_start += Duration::from_secs_f64(interval);
    }
    running.join_all().await
}

/// Requests one generation and records how its events arrive.
async fn generate(http: HttpClient, gateway: SocketAddr, number: u64) -> GenerationResult {
    let prompt = format!("{number:x}");
    let prefix = format!(
        "c0ffee:{SHARED_TOKENS},{prompt}:{}",
        PROMPT_TOKENS - SHARED_TOKENS
    );
    let id = format!("request-{prompt}");
    let extra = [("cactusbarrow-prompt-prefix", prefix.as_str())];
    let head = CallerHead {
        request_id: &id,
        path: "/stream/a",
        key: API_KEY,
        deadline_ms: GENERATION_TIMEOUT.as_millis() as u64,
        extra: &extra,
    };
    let started = Instant::now();
    let mut result = GenerationResult::default();
    let req = head.encode(gateway, "POST", Body::full("the body"));
    let res = match http.send("request a generation", req).await {
        Ok(res) if res.status().is_success() => res,
        Ok(res) => {
            eprintln!("{id}: refused: {}", res.status());
            return result;
        }
        Err(e) => {
            eprintln!("{id}: no response: {e}");
            return result;
        }
    };
    let mut body = res.into_body();
    let mut splitter = EventSplitter::default();
    let mut last = 0;
    let mut last_event_at = started;
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            splitter.push(data);
        }
        while let Ok(Some(event)) = splitter.next_event() {
            let expected = format!("id: {0}\ndata: token {0} of {prompt}\n\n", last + 1);
            result.wrong_events += u64::from(event.bytes != expected.as_bytes());
            let now = Instant::now();
            if last == 0 {
                result.first_event = now - started;
            } else {
                result.longest_pause = result.longest_pause.max(now - last_event_at);
            }
            last_event_at = now;
            last += 1;
        }
    }
    result.is_complete = last == event_count(&prompt);
    if !result.is_complete {
        eprintln!(
            "{id}: stream broke after event {last} at {:?}",
            started.elapsed()
        );
    }
    result
}
