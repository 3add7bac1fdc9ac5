//! A request that ends each engine that begins to run it comes again and again, at a time of few
//! other requests.
//!
//! The script checks that it reaches engines in at most three retries later than `stableWindowMs`
//! after the third engine has ended. With `TROUBLE=day` there are many other requests; with
//! `TROUBLE=0` the request ends no engine.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{StoreStandin, config_json};
use review_standins::{
    Answer, Call, Engine, EngineConfig, GatewayProcess, Record, Run, Verdict, exit_with,
    has_trouble, send, workdir,
};

const KEY: &str = "key-of-the-review";
const GATEWAYS: usize = 3;
const ENGINES: usize = 6;
const DEADLY_PATH: &str = "/read/deadly";
/// `stableWindowMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach engines later than that after the third end.
const MAX_RETRIES: usize = 3;
/// Ends after which the rule counts.
const COUNTED_ENDS: usize = 3;
/// An engine is back after this time; its old entry leaves the store after three heartbeats.
const RESTART_AFTER: Duration = Duration::from_secs(3);
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);
const DEADLINE: Duration = Duration::from_millis(2_500);
const WARM_UP: Duration = Duration::from_secs(20);
const DEADLY_FOR: Duration = Duration::from_secs(50);
const DEADLY_INTERVAL: Duration = Duration::from_secs(2);
/// Intervals of sound requests at night and by day.
const NIGHT_INTERVAL: Duration = Duration::from_secs(60);
const DAY_INTERVAL: Duration = Duration::from_millis(50);

/// What engines ran and when they ended.
#[derive(Default)]
struct History {
    engines: Vec<Engine>,
    ends: Vec<Instant>,
}

type SharedHistory = Arc<Mutex<History>>;

#[tokio::main]
async fn main() {
    let record = Arc::new(Record::create());
    let dir = workdir();
    let verdict = run(&record, &dir).await;
    let _ = std::fs::remove_dir_all(&dir);
    exit_with(verdict);
}

/// Runs an engine, which starts again with a new id each time that it has ended.
async fn keep_engine(index: usize, store: StoreStandin, history: SharedHistory) {
    let mut addr = SocketAddr::from(([127, 0, 0, 1], 0));
    for life in 0_u32.. {
        let instance = format!("i-{index}-{life}");
        let cfg = EngineConfig {
            deadly_path: has_trouble().then(|| DEADLY_PATH.to_owned()),
            ..EngineConfig::default()
        };
        let Ok(engine) = Engine::start_at(addr, &instance, cfg).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        addr = engine.addr;
        let key = format!("servers/{instance}");
        store.put(&key, &engine.entry("app", "zona-pa", "v1"));
        history
            .lock()
            .expect("not poisoned")
            .engines
            .push(engine.clone());
        engine.ended().await;
        history
            .lock()
            .expect("not poisoned")
            .ends
            .push(Instant::now());
        let entries = store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_EXPIRY).await;
            entries.delete(&key);
        });
        tokio::time::sleep(RESTART_AFTER).await;
    }
}

fn call(id: &str, path: &str) -> Call {
    Call {
        id: id.to_owned(),
        method: "GET",
        path: path.to_owned(),
        key: KEY.to_owned(),
        deadline: DEADLINE,
        tokens: (0, 0),
        last_event: None,
        resumes: None,
    }
}

async fn run(record: &Arc<Record>, dir: &std::path::Path) -> Verdict {
    let is_day = std::env::var("TROUBLE").as_deref() == Ok("day");
    let Ok(store) = StoreStandin::start().await else {
        return Verdict::NotRun;
    };
    store.put("op/config", &config_json(1, &[KEY]));
    let history = SharedHistory::default();
    for index in 0..ENGINES {
        tokio::spawn(keep_engine(index, store.clone(), history.clone()));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut gateways: Vec<GatewayProcess> = (0..GATEWAYS)
        .map(|i| GatewayProcess::new(dir, i, "zona-pa", store.addr()))
        .collect();
    for gateway in &mut gateways {
        if gateway.start().is_err() {
            record.say("a gateway cannot be started");
            return Verdict::NotRun;
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let addrs: Vec<SocketAddr> = gateways.iter().map(|g| g.callers).collect();
    let sound_interval = if is_day { DAY_INTERVAL } else { NIGHT_INTERVAL };
    let sound = tokio::spawn(send_sound(addrs.clone(), sound_interval, record.clone()));
    tokio::time::sleep(WARM_UP).await;
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < DEADLY_FOR {
        let id = format!("deadly-{number}");
        let (sent, _, answer) = send(addrs[number % addrs.len()], &call(&id, DEADLY_PATH)).await;
        record.line(sent, &format!("{id}: {answer:?}"));
        number += 1;
        tokio::time::sleep(DEADLY_INTERVAL).await;
    }
    sound.abort();
    judge(record, &history.lock().expect("not poisoned"))
}

/// Sends sound requests, each with a path of its own.
async fn send_sound(gateways: Vec<SocketAddr>, interval: Duration, record: Arc<Record>) {
    for number in 0_usize.. {
        tokio::time::sleep(interval).await;
        let id = format!("sound-{number}");
        let path = format!("/read/{number}");
        let (sent, _, answer) = send(gateways[number % gateways.len()], &call(&id, &path)).await;
        if !matches!(answer, Answer::Complete { status: 200, .. }) || interval == NIGHT_INTERVAL {
            record.line(sent, &format!("{id}: {answer:?}"));
        }
    }
}

fn judge(record: &Record, history: &History) -> Verdict {
    let mut runs: Vec<Run> = history.engines.iter().flat_map(Engine::runs).collect();
    runs.retain(|run| run.id.starts_with("deadly-"));
    runs.sort_by_key(|run| run.at);
    for run in &runs {
        record.line(run.at, &format!("{} reaches an engine", run.id));
    }
    let mut ends = history.ends.clone();
    ends.sort();
    for end in &ends {
        record.line(*end, "an engine has ended");
    }
    if runs.is_empty() {
        record.say("the request never reached an engine");
        return Verdict::NotRun;
    }
    let Some(third) = ends.get(COUNTED_ENDS - 1) else {
        record.say(&format!(
            "{} engines ended, {} runs",
            ends.len(),
            runs.len()
        ));
        return Verdict::Held;
    };
    let late = runs.iter().filter(|run| run.at > *third + STABLE_WINDOW);
    let mut retries: Vec<&str> = late.map(|run| run.id.as_str()).collect();
    retries.dedup();
    record.say(&format!(
        "{} engines ended; the request reached engines in {} retries later than 3 s after the third end",
        ends.len(),
        retries.len()
    ));
    if retries.len() > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
