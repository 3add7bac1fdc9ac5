//! Zones of engines end one after the other: generations with and without copies of memory.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_adapter::parse_settings;
use cactusbarrow_adapter_standins::{
    CallerHead, EngineEmulator, EngineFleet, EngineModel, StoreStandin, config_json, entry_json,
    event_count, settings_yaml,
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
/// First port of the gateways with copies and without; listeners close a little after a stop.
const PORTS: [u16; 2] = [24_400, 24_420];
const PROMPT_TOKENS: u64 = 5_000;
const SHARED_TOKENS: u64 = 200;

/// Generations a second: three quarters of what the engines carry without losses.
const RATE: f64 = 2.2;

/// Time between the ends of two zones, and how long one stays away.
const ZONE_INTERVAL: Duration = Duration::from_millis(4_500);
const AWAY: Duration = Duration::from_millis(1_200);

/// Longest time to the first event and longest pause of a generation that is on time.
const FIRST_EVENT_BOUND_MS: f64 = 4_500.0;
const PAUSE_BOUND_MS: f64 = 700.0;

const PATIENCE: Duration = Duration::from_secs(25);
const KEY: &str = "key-1";

#[derive(Serialize)]
struct Figures {
    generations: usize,
    complete: usize,
    /// Share of all that was complete, and late by its first event or by a pause.
    late_share: f64,
    first_event_ms: Percentiles,
    longest_pause_ms: Percentiles,
    /// Tokens read for each token of a prompt.
    read_per_prompt_token: f64,
    wrong_events: u64,
}

/// How one generation went.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    is_complete: bool,
    first_event: Duration,
    longest_pause: Duration,
    wrong_events: u64,
}

/// Runs the experiment.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let ours = measure(true, seed, is_short).await;
    let baseline = measure(false, seed, is_short).await;
    let mut outcome = Outcome::new("backup", seed);
    outcome.must_be("wrong_events", ours.wrong_events + baseline.wrong_events, 0);
    outcome.set("ours", ours);
    outcome.set("without_copies", baseline);
    outcome
}

/// The engines of a run; each place is taken by one instance after the other.
struct Engines {
    store: StoreStandin,
    fleet: EngineFleet,
    places: Vec<Mutex<EngineEmulator>>,
    started: AtomicU64,
}

impl Engines {
    async fn start(has_copies: bool) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        store.put("op/config", &configuration(has_copies));
        let engines = Self {
            store,
            fleet: EngineFleet::default(),
            places: Vec::new(),
            started: AtomicU64::new(0),
        };
        let mut places = Vec::new();
        for i in 0..ENGINES {
            places.push(Mutex::new(engines.start_one(i).await));
        }
        Self { places, ..engines }
    }

    async fn start_one(&self, place: usize) -> EngineEmulator {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let instance = format!("engine-{place}-{number}");
        let engine = EngineEmulator::start(&instance, EngineModel::default(), &self.fleet)
            .await
            .expect("an engine starts");
        let entry = entry_json("llm", engine.addr(), zone(place), "ready");
        self.store.put(&format!("servers/{instance}"), &entry);
        engine
    }

    fn at(&self, place: usize) -> std::sync::MutexGuard<'_, EngineEmulator> {
        let engine = self.places[place].lock();
        engine.unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the zones in turn, each second time without a sign.
    async fn end_zones(&self) {
        for round in 0.. {
            tokio::time::sleep(ZONE_INTERVAL).await;
            let ended = (0..ENGINES).filter(|place| place % ZONES.len() == round % ZONES.len());
            let ended: Vec<usize> = ended.collect();
            for place in &ended {
                self.at(*place).terminate(round % 2 == 1);
            }
            tokio::time::sleep(AWAY).await;
            for place in ended {
                let engine = self.start_one(place).await;
                let old = std::mem::replace(&mut *self.at(place), engine);
                // Entries lapse when three heartbeats are missing; this one does at once.
                self.store.delete(&format!("servers/{}", old.instance()));
            }
        }
    }
}

fn zone(place: usize) -> &'static str {
    ZONES[place % ZONES.len()]
}

fn configuration(has_copies: bool) -> String {
    let mut config: Value = serde_json::from_str(&config_json(1, &[KEY])).unwrap_or_default();
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

/// Returns the address of a gateway; runs at the same time have networks of their own.
fn ip(gateway: usize) -> String {
    let network = 1 + std::process::id() % 250;
    format!("127.{network}.3.{}", gateway + 1)
}

async fn measure(has_copies: bool, seed: u64, is_short: bool) -> Figures {
    let engines = Arc::new(Engines::start(has_copies).await);
    let port = PORTS[usize::from(!has_copies)];
    let gateways = start_gateways(engines.store.addr(), port).await;
    let seconds = if is_short { 7 } else { 40 };
    let load = offer(seed, Duration::from_secs(seconds), port);
    let courses = tokio::select! {
        courses = load => courses,
        () = engines.end_zones() => Vec::new(),
    };
    for gateway in gateways {
        gateway.stop().await;
    }
    let prompts = courses.len() as u64 * PROMPT_TOKENS;
    let complete: Vec<&Course> = courses.iter().filter(|c| c.is_complete).collect();
    let times = |time: fn(&Course) -> Duration| -> Vec<Duration> {
        complete.iter().map(|course| time(course)).collect()
    };
    let late = complete.iter().filter(|course| is_late(course)).count();
    Figures {
        generations: courses.len(),
        complete: complete.len(),
        late_share: rounded(late as f64 / complete.len().max(1) as f64),
        first_event_ms: Percentiles::of(&times(|c| c.first_event)),
        longest_pause_ms: Percentiles::of(&times(|c| c.longest_pause)),
        read_per_prompt_token: rounded(
            engines.fleet.prefill_tokens() as f64 / prompts.max(1) as f64,
        ),
        wrong_events: courses.iter().map(|c| c.wrong_events).sum(),
    }
}

fn is_late(course: &Course) -> bool {
    course.first_event.as_secs_f64() * 1e3 > FIRST_EVENT_BOUND_MS
        || course.longest_pause.as_secs_f64() * 1e3 > PAUSE_BOUND_MS
}

async fn offer(seed: u64, time: Duration, port: u16) -> Vec<Course> {
    let mut rng = StdRng::seed_from_u64(seed);
    let http = HttpClient::new(HttpVersion::Http1);
    let mut running = JoinSet::new();
    let begun = Instant::now();
    let mut due = Duration::ZERO;
    while due < time {
        tokio::time::sleep(due.saturating_sub(begun.elapsed())).await;
        let number: u64 = rng.random();
        let ip = ip(rng.random_range(0..GATEWAYS)).parse();
        let gateway = SocketAddr::new(ip.expect("an address"), port);
        running.spawn(generate(http.clone(), gateway, number));
        // Arrivals are spread evenly around the mean interval.
        let interval = rng.random_range(0.0..2.0) / RATE;
        due += Duration::from_secs_f64(interval);
    }
    running.join_all().await
}

/// Asks for one generation and notes how its events arrive.
async fn generate(http: HttpClient, gateway: SocketAddr, number: u64) -> Course {
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
        key: KEY,
        deadline_ms: PATIENCE.as_millis() as u64,
        extra: &extra,
    };
    let begun = Instant::now();
    let mut course = Course::default();
    let req = head.encode(gateway, "POST", Body::full("the body"));
    let res = match http.send("ask for a generation", req).await {
        Ok(res) if res.status().is_success() => res,
        Ok(res) => {
            eprintln!("{id} refused: {}", res.status());
            return course;
        }
        Err(e) => {
            eprintln!("{id} has no answer: {e}");
            return course;
        }
    };
    let mut body = res.into_body();
    let mut cutter = EventSplitter::default();
    let mut last = 0;
    let mut at = begun;
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            cutter.push(data);
        }
        while let Ok(Some(event)) = cutter.next_event() {
            let expected = format!("id: {0}\ndata: token {0} of {prompt}\n\n", last + 1);
            course.wrong_events += u64::from(event.bytes != expected.as_bytes());
            let now = Instant::now();
            if last == 0 {
                course.first_event = now - begun;
            } else {
                course.longest_pause = course.longest_pause.max(now - at);
            }
            at = now;
            last += 1;
        }
    }
    course.is_complete = last == event_count(&prompt);
    if !course.is_complete {
        eprintln!("{id} broke off after event {last} at {:?}", begun.elapsed());
    }
    course
}
