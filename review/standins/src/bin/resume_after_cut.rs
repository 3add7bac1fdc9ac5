//! A gateway is partitioned from the store and then killed. Its callers take their streams up at
//! the other gateways, which reach the store.
//!
//! Engines of two software versions serve side by side. The script checks that streams that are
//! taken up go on at least half as often as new ones begin. With `TROUBLE=kill` the gateway is
//! killed without a partition before.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{StoreStandin, config_json};
use review_standins::{
    Answer, Balancer, Call, Engine, EngineConfig, GatewayProcess, Link, Record, Verdict, exit_with,
    has_trouble, send, workdir,
};

const KEY: &str = "key-of-the-review";
const GATEWAYS: usize = 3;
const ENGINES: usize = 18;
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Fewest streams taken up that the rule judges.
const MIN_RESUMED: usize = 12;
/// Time budget of callers and time-out of the route.
const DEADLINE: Duration = Duration::from_secs(25);
/// When the link is cut, for how long, and when the gateway is killed.
const CUT_AT: Duration = Duration::from_secs(8);
const CUT_FOR: Duration = Duration::from_millis(5_500);
const KILL_AT: Duration = Duration::from_millis(13_000);
const RESTART_AFTER: Duration = Duration::from_millis(500);
const TRAFFIC: Duration = Duration::from_secs(20);
const INTERVAL: Duration = Duration::from_millis(70);
/// Prompt and output tokens: some 5 s at the stand-in's pace.
const TOKENS: (u64, u64) = (2_000, 1_200);
/// Retries of a caller, as the sheets of the sites say; one that finds no gateway is not counted.
const MAX_RETRIES: usize = 1;
/// Most connects of a caller.
const MAX_CONNECTS: usize = 6;

/// One try of a caller.
struct Try {
    id: String,
    stream: usize,
    gateway: SocketAddr,
    /// Events that the caller had before, if it takes a stream up.
    resumed_at: Option<u64>,
    sent: Instant,
    ended: Instant,
    answer: Answer,
}

impl Try {
    fn events(&self) -> u64 {
        match &self.answer {
            Answer::Complete { events, .. } | Answer::Cut { events, .. } => *events,
            Answer::NotConnected | Answer::TimedOut => 0,
        }
    }
}

#[tokio::main]
async fn main() {
    let record = Arc::new(Record::create());
    let dir = workdir();
    let verdict = run(&record, &dir).await;
    let _ = std::fs::remove_dir_all(&dir);
    exit_with(verdict);
}

async fn run(record: &Arc<Record>, dir: &std::path::Path) -> Verdict {
    let has_cut = has_trouble() && std::env::var("TROUBLE").as_deref() != Ok("kill");
    let Ok(store) = StoreStandin::start().await else {
        return Verdict::NotRun;
    };
    store.put("op/config", &config_json(1, &[KEY]));
    for i in 0..ENGINES {
        let Ok(engine) = Engine::start(&format!("i-{i}"), EngineConfig::default()).await else {
            return Verdict::NotRun;
        };
        let version = VERSIONS[i % VERSIONS.len()];
        store.put(
            &format!("servers/i-{i}"),
            &engine.entry("llm", "zona-pa", version),
        );
    }
    let mut links = Vec::new();
    let mut gateways = Vec::new();
    for i in 0..GATEWAYS {
        let Ok(link) = Link::start(store.addr()).await else {
            return Verdict::NotRun;
        };
        gateways.push(GatewayProcess::new(dir, i, "zona-pa", link.addr));
        links.push(link);
    }
    for gateway in &mut gateways {
        if gateway.start().is_err() {
            record.say("a gateway cannot be started");
            return Verdict::NotRun;
        }
    }
    let balancer = Balancer::start(gateways.iter().map(|g| (g.callers, g.health)).collect());
    let started = Instant::now();
    while balancer.in_rotation().len() < GATEWAYS {
        if started.elapsed() > Duration::from_secs(15) {
            record.say("the gateways did not become ready");
            return Verdict::NotRun;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let begun = Instant::now();
    let mut steps = 0;
    let mut callers = Vec::new();
    let mut number = 0;
    while begun.elapsed() < TRAFFIC {
        let now = begun.elapsed();
        if steps == 0 && now >= CUT_AT {
            steps = 1;
            if has_cut {
                links[0].set_cut(true);
                record.say("a gateway is partitioned from the store");
            }
        }
        if steps == 1 && now >= KILL_AT {
            steps = 2;
            if has_trouble() {
                gateways[0].signal("KILL");
                record.say("the gateway is killed");
            }
        }
        if steps == 2 && now >= KILL_AT + RESTART_AFTER {
            steps = 3;
            if has_trouble() && gateways[0].has_ended() {
                let _ = gateways[0].start();
            }
        }
        if steps == 3 && now >= CUT_AT + CUT_FOR {
            steps = 4;
            links[0].set_cut(false);
            record.say("the partition, if there was one, has healed");
        }
        callers.push(tokio::spawn(caller(
            number,
            balancer.clone(),
            tries.clone(),
        )));
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
    for caller in callers {
        let _ = caller.await;
    }
    judge(
        record,
        &tries.lock().expect("not poisoned"),
        gateways[0].callers,
    )
}

/// Sends one generation, and takes it up again after a broken channel or a refusal.
async fn caller(number: usize, balancer: Balancer, tries: Arc<Mutex<Vec<Try>>>) {
    let begun = Instant::now();
    let mut last_event: Option<u64> = None;
    let mut origin: Option<String> = None;
    let mut retries_left = MAX_RETRIES;
    for attempt in 0..MAX_CONNECTS {
        let id = format!("{number:05}-{attempt}");
        let call = Call {
            id: id.clone(),
            method: "POST",
            path: "/stream/x".to_owned(),
            key: KEY.to_owned(),
            deadline: DEADLINE.saturating_sub(begun.elapsed()),
            tokens: TOKENS,
            last_event,
            resumes: origin.clone(),
        };
        let gateway = balancer.choose(number + attempt);
        let resumed_at = last_event;
        let is_retry = attempt > 0;
        let (sent, ended, answer) = send(gateway, &call).await;
        let (wait, events) = match &answer {
            Answer::Complete {
                status: 200,
                events,
                ..
            } => (None, *events),
            Answer::TimedOut => (None, 0),
            Answer::Complete { retry_after, .. } => (Some(retry_after.unwrap_or(0.0)), 0),
            Answer::NotConnected => (Some(0.0), 0),
            Answer::Cut { events, .. } => (Some(0.0), *events),
        };
        if is_retry && !matches!(answer, Answer::NotConnected) {
            retries_left -= 1;
        }
        if events > 0 {
            last_event = Some(last_event.unwrap_or(0) + events);
            origin.get_or_insert(id.clone());
        }
        let done = Try {
            id,
            stream: number,
            gateway,
            resumed_at,
            sent,
            ended,
            answer,
        };
        tries.lock().expect("not poisoned").push(done);
        let Some(wait) = wait.filter(|_| retries_left > 0) else {
            return;
        };
        tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.0, 8.0))).await;
    }
}

/// Judges the tries; those at the gateway that was cut off and killed don't count as taken up at a
/// machine in touch.
fn judge(record: &Record, tries: &[Try], disturbed: SocketAddr) -> Verdict {
    let mut resumed: Vec<(usize, bool)> = Vec::new();
    let (mut new, mut new_begun) = (0, 0);
    for t in tries {
        let Try {
            id,
            gateway,
            resumed_at,
            sent,
            ended,
            answer,
            ..
        } = t;
        let ended = record.at(*ended);
        let text = format!("{id} to {gateway}, has {resumed_at:?}: ended {ended:.3}, {answer:?}");
        record.line(*sent, &text);
        let is_connected = !matches!(answer, Answer::NotConnected);
        if resumed_at.is_none() {
            new += usize::from(is_connected);
            new_begun += usize::from(t.events() > 0);
        } else if is_connected && *gateway != disturbed {
            match resumed.iter_mut().find(|(stream, _)| *stream == t.stream) {
                Some((_, goes_on)) => *goes_on |= t.events() > 0,
                None => resumed.push((t.stream, t.events() > 0)),
            }
        }
    }
    let goes_on = resumed.iter().filter(|(_, goes_on)| *goes_on).count();
    let count = resumed.len();
    record.say(&format!(
        "{new_begun} of {new} new streams began; {goes_on} of {count} streams that were taken up went on"
    ));
    if new == 0 || new_begun * 2 < new {
        record.say("too few new streams began");
        return Verdict::NotRun;
    }
    let share = goes_on as f64 / count.max(1) as f64;
    let is_broken = count >= MIN_RESUMED && share < 0.5 * new_begun as f64 / new as f64;
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
