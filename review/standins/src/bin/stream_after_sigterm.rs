//! Two of a zone's three gateways get SIGTERM, as in a rolling restart, while callers go on.
//!
//! Most generations are short and some are long. The script checks that each request sent later
//! than three seconds after the SIGTERM of its gateway, and passed on to an engine, gets a complete
//! answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use adapter_standins::{StoreStandin, config_json};
use cactusbarrow_adapter_standins as adapter_standins;
use review_standins::{
    Answer, Balancer, Call, Engine, EngineConfig, GatewayProcess, Record, Verdict, exit_with,
    has_trouble, send, workdir,
};

const KEY: &str = "key-of-the-review";
const GATEWAYS: usize = 3;
/// Gateways that are stopped at once; the site files have up to seven.
const STOPPED: usize = 2;
const ENGINES: usize = 6;
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Requests sent up to this time after the SIGTERM may be cut, as the rule says.
const EXCUSED: Duration = Duration::from_secs(3);
/// Distance to the bounds of the rule, for what the script itself takes.
const MARGIN: Duration = Duration::from_millis(100);
/// `timeoutMs` of the route and time budget of callers.
const DEADLINE: Duration = Duration::from_secs(25);
const WARM_UP: Duration = Duration::from_secs(12);
const TRAFFIC: Duration = Duration::from_secs(28);
const INTERVAL: Duration = Duration::from_millis(40);
/// One generation of this many is long.
const LONG_EVERY: usize = 10;
/// Prompt and output tokens: some 0.6 s and 7 s at the stand-in's pace.
const SHORT: (u64, u64) = (500, 128);
const LONG: (u64, u64) = (5_000, 1_600);

/// One attempt of a caller.
struct Attempt {
    id: String,
    gateway: SocketAddr,
    is_long: bool,
    sent: Instant,
    ended: Instant,
    answer: Answer,
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
    let Ok(store) = StoreStandin::start().await else {
        return Verdict::NotRun;
    };
    store.put("op/config", &config_json(1, &[KEY]));
    let mut engines = Vec::new();
    for i in 0..ENGINES {
        let Ok(engine) = Engine::start(&format!("i-{i}"), EngineConfig::default()).await else {
            return Verdict::NotRun;
        };
        store.put(
            &format!("servers/i-{i}"),
            &engine.entry("llm", "zona-pa", "v1"),
        );
        engines.push(engine);
    }
    let mut gateways: Vec<GatewayProcess> = (0..GATEWAYS)
        .map(|i| GatewayProcess::new(dir, i, "zona-pa", store.addr()))
        .collect();
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
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let begun = Instant::now();
    let mut stopped_at: Option<Instant> = None;
    let mut is_restarted = false;
    let mut callers = Vec::new();
    let mut number = 0;
    while begun.elapsed() < TRAFFIC {
        if has_trouble() && stopped_at.is_none() && begun.elapsed() >= WARM_UP {
            for gateway in &gateways[..STOPPED] {
                gateway.signal("TERM");
            }
            stopped_at = Some(Instant::now());
            record.say(&format!("SIGTERM to {STOPPED} of {GATEWAYS} gateways"));
        }
        if stopped_at.is_some() && !is_restarted {
            let ended = gateways[..STOPPED]
                .iter_mut()
                .filter_map(|g| g.has_ended().then_some(()));
            if ended.count() == STOPPED {
                record.say("the stopped gateways have ended and are started again");
                is_restarted = true;
                for gateway in &mut gateways[..STOPPED] {
                    let _ = gateway.start();
                }
            }
        }
        callers.push(tokio::spawn(caller(
            number,
            balancer.clone(),
            attempts.clone(),
        )));
        number += 1;
        tokio::time::sleep(INTERVAL).await;
    }
    for caller in callers {
        let _ = caller.await;
    }
    let stopped: Vec<SocketAddr> = gateways[..STOPPED].iter().map(|g| g.callers).collect();
    judge(
        record,
        &attempts.lock().expect("not poisoned"),
        &engines,
        &stopped,
        stopped_at,
    )
}

/// Sends one generation, and retries it once as the pages tell callers to.
async fn caller(number: usize, balancer: Balancer, attempts: Arc<Mutex<Vec<Attempt>>>) {
    let is_long = number % LONG_EVERY == 7;
    let begun = Instant::now();
    let mut last_event = None;
    for attempt in 0..2 {
        let call = Call {
            id: format!("{number:05}-{attempt}"),
            method: "POST",
            path: "/stream/x".to_owned(),
            key: KEY.to_owned(),
            deadline: DEADLINE.saturating_sub(begun.elapsed()),
            tokens: if is_long { LONG } else { SHORT },
            last_event,
            resumes: None,
        };
        let gateway = balancer.choose(number * 7 + attempt);
        let (sent, ended, answer) = send(gateway, &call).await;
        let wait = match &answer {
            Answer::Complete { status: 200, .. } | Answer::TimedOut => None,
            Answer::Complete { retry_after, .. } => Some(retry_after.unwrap_or(0.0)),
            Answer::NotConnected => Some(0.0),
            Answer::Cut { events, .. } => {
                let events = last_event.unwrap_or(0) + events;
                last_event = (events > 0).then_some(events);
                Some(0.0)
            }
        };
        let id = call.id;
        let attempt = Attempt {
            id,
            gateway,
            is_long,
            sent,
            ended,
            answer,
        };
        attempts.lock().expect("not poisoned").push(attempt);
        let Some(wait) = wait else {
            return;
        };
        tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.0, 5.0))).await;
    }
}

fn judge(
    record: &Record,
    attempts: &[Attempt],
    engines: &[Engine],
    stopped: &[SocketAddr],
    stopped_at: Option<Instant>,
) -> Verdict {
    let runs: Vec<_> = engines.iter().flat_map(|e| e.runs()).collect();
    let (mut complete, mut refused, mut excused, mut broken, mut late) = (0, 0, 0, 0, 0);
    for attempt in attempts {
        let Attempt {
            id,
            gateway,
            is_long,
            sent,
            ended,
            answer,
        } = attempt;
        let run = runs.iter().find(|run| run.id == *id);
        let text = format!(
            "{id} {} to {gateway}: ended {:.3}, engine {}, {answer:?}",
            if *is_long { "long" } else { "short" },
            record.at(*ended),
            run.map_or("not reached".to_owned(), |r| format!(
                "reached {:.3}",
                record.at(r.at)
            )),
        );
        record.line(*sent, &text);
        let after = stopped_at.filter(|_| stopped.contains(gateway));
        let after = after.and_then(|at| sent.checked_duration_since(at));
        let is_late = after.is_some_and(|after| after > EXCUSED + MARGIN && after < GRACE);
        late += u32::from(is_late && run.is_some());
        match answer {
            Answer::Complete { status: 200, .. } => complete += 1,
            Answer::Complete { .. } | Answer::NotConnected => refused += 1,
            Answer::Cut { .. } | Answer::TimedOut if is_late && run.is_some() => {
                broken += 1;
                let after = after.unwrap_or_default().as_secs_f64();
                record.say(&format!(
                    "LOST: {id} was sent {after:.3} s after the SIGTERM: {text}"
                ));
            }
            Answer::Cut { .. } if after.is_some() && after < Some(GRACE) => excused += 1,
            Answer::Cut { .. } | Answer::TimedOut => {
                broken += 1;
                record.say(&format!("LOST without a stop of its gateway: {text}"));
            }
        }
    }
    record.say(&format!(
        "{} attempts: {complete} complete, {refused} refused or not connected, {excused} cut and \
         excused, {late} passed on later than 3 s after SIGTERM, {broken} lost",
        attempts.len()
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
