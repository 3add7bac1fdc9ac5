//! Calls that must not be repeated, while agents, routers and the store fail.

use std::sync::atomic::Ordering;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, api_key};
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::Routers;

const TRY_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_TRIES: usize = 6;
const LOST_ANSWERS_PER_MILLE: u32 = 100;
const FAULT_SPACING: Duration = Duration::from_millis(900);

/// One try of a call, as its caller saw it.
struct Try {
    sent: Instant,
    answered: Instant,
    said: Said,
}

/// What a caller was told.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Said {
    Done,
    NotRun,
    Unknown,
    Nothing,
}

struct Call {
    id: String,
    tries: Vec<Try>,
}

/// Runs the experiment.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut cluster = Cluster::start(ClusterConfig {
        routers: 3,
        engines: 0,
        services: 4,
        zones: 4,
        service_delay: Duration::from_millis(20),
        ..ClusterConfig::default()
    })
    .await;
    let calls = if is_short { 60 } else { 1_500 };
    cluster
        .store
        .faults
        .lost_responses_per_mille
        .store(LOST_ANSWERS_PER_MILLE, Ordering::Relaxed);
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let writes_before = cluster.store.counts.writes.load(Ordering::Relaxed);
    let started = Instant::now();
    let faults = if is_short { 4 } else { 24 };
    let (calls, faults) = tokio::join!(
        run_calls(calls, seed, routers.clone()),
        inject(&mut cluster, &routers, seed, faults),
    );
    let elapsed = started.elapsed();
    // Calls that a paused process still holds get time to run.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let writes = cluster.store.counts.writes.load(Ordering::Relaxed) - writes_before;
    report(seed, &calls, &cluster, faults, writes, elapsed)
}

fn report(
    seed: u64,
    calls: &[Call],
    cluster: &Cluster,
    faults: usize,
    writes: u64,
    elapsed: Duration,
) -> Outcome {
    let mut outcome = Outcome::new("at_most_once", seed);
    let mut ran_twice = 0;
    let mut false_not_run = 0;
    let mut answered_but_not_run = 0;
    for call in calls {
        let runs = cluster.calls.run_times(&call.id);
        ran_twice += u64::from(runs.len() > 1);
        false_not_run += u64::from(is_not_run_false(call, &runs));
        let is_done = call.tries.iter().any(|t| t.said == Said::Done);
        answered_but_not_run += u64::from(is_done && runs.is_empty());
    }
    let last_said = |call: &Call| call.tries.last().map(|t| t.said);
    let ended = |said: Said| calls.iter().filter(|c| last_said(c) == Some(said)).count();
    outcome.set("calls", calls.len());
    outcome.set("faults", faults);
    outcome.must_be("ran_twice", ran_twice, 0);
    outcome.must_be("said_not_run_but_ran", false_not_run, 0);
    outcome.must_be("answered_but_not_run", answered_but_not_run, 0);
    outcome.set("completed", ended(Said::Done));
    outcome.set("unknown", ended(Said::Unknown) + ended(Said::Nothing));
    outcome.set("not_run", ended(Said::NotRun));
    let tries: usize = calls.iter().map(|c| c.tries.len()).sum();
    outcome.set("tries", tries);
    outcome.set("store_writes", writes);
    outcome.set(
        "store_writes_per_s",
        rounded(writes as f64 / elapsed.as_secs_f64()),
    );
    let first_tries: Vec<Duration> = calls
        .iter()
        .filter_map(|c| c.tries.first().filter(|t| t.said == Said::Done))
        .map(|t| t.answered - t.sent)
        .collect();
    outcome.set("answer_ms", Percentiles::of(&first_tries));
    outcome
}

/// Returns true if a caller was told `not_run` and a run belongs to a try before that.
fn is_not_run_false(call: &Call, runs: &[Instant]) -> bool {
    let told: Vec<Instant> = call
        .tries
        .iter()
        .filter(|t| t.said == Said::NotRun)
        .map(|t| t.answered)
        .collect();
    told.iter().any(|told| {
        runs.iter().any(|run| {
            let has_later_try = call.tries.iter().any(|t| t.sent > *told && t.sent < *run);
            !has_later_try
        })
    })
}

async fn run_calls(count: usize, seed: u64, routers: Routers) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::new(&api_key(0));
    let mut running = JoinSet::new();
    for i in 0..count {
        let id = format!("booking-{seed}-{i}");
        running.spawn(make_call(caller.clone(), id, rng.random(), routers.clone()));
        tokio::time::sleep(Duration::from_millis(16)).await;
    }
    running.join_all().await
}

/// Makes one call, and repeats it under the same key until it is answered.
async fn make_call(caller: Caller, id: String, seed: u64, routers: Routers) -> Call {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut call = Call {
        id,
        tries: Vec::new(),
    };
    while call.tries.len() < MAX_TRIES {
        let router = {
            let routers = routers.read().expect("no writer panics");
            routers[rng.random_range(0..routers.len())]
        };
        let mut headers = vec![("idempotency-key", call.id.as_str())];
        if call.tries.is_empty() {
            headers.push(("cactusbarrow-first-attempt", "1"));
        }
        let sent = Instant::now();
        let path = "/bookings/slots";
        let res = caller
            .send(router, Method::POST, path, &headers, &call.id, TRY_TIMEOUT)
            .await;
        let said = match &res {
            Err(_) => Said::Nothing,
            Ok(res) => match res.headers().get("cactusbarrow-outcome") {
                None if res.status() == StatusCode::OK => Said::Done,
                Some(outcome) if outcome == "not_run" => Said::NotRun,
                _ => Said::Unknown,
            },
        };
        call.tries.push(Try {
            sent,
            answered: Instant::now(),
            said,
        });
        if said == Said::Done {
            break;
        }
        let wait = Duration::from_millis(rng.random_range(100..400));
        tokio::time::sleep(wait).await;
    }
    call
}

/// Kills, freezes and restarts agents and routers, and takes the store down, in turn.
async fn inject(cluster: &mut Cluster, routers: &Routers, seed: u64, count: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    for n in 0..count {
        tokio::time::sleep(FAULT_SPACING).await;
        match n % 5 {
            0 => {
                let i = rng.random_range(0..cluster.services.len());
                cluster.services[i].agent.kill_and_wait().await;
                let site = &cluster.services[i];
                let agent = cluster.restart_agent(&site.object, site.backend.addr).await;
                cluster.services[i].agent = agent;
            }
            1 => {
                let i = rng.random_range(0..cluster.routers.len());
                cluster.routers[i].host.freeze(Duration::from_millis(2_500));
            }
            2 => {
                cluster.store.set_down(true);
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                cluster.store.set_down(false);
            }
            3 => {
                let i = rng.random_range(0..cluster.services.len());
                let time = Duration::from_millis(3_000);
                cluster.services[i].agent.freeze(time);
            }
            _ => replace_router(cluster, routers, n).await,
        }
    }
    count
}

async fn replace_router(cluster: &mut Cluster, routers: &Routers, n: usize) {
    let dead = cluster.routers.remove(0);
    dead.host.kill();
    cluster.store.remove_node(&dead.cfg.name);
    let mut next = cluster.start_router(100 + n, None).await;
    next.handle
        .wait_for_revision(cactusbarrow_policy::Revision(1))
        .await;
    let mut addrs = routers.write().expect("no reader panics");
    addrs.retain(|addr| *addr != dead.handle.listen);
    addrs.push(next.handle.listen);
    drop(addrs);
    cluster.routers.push(next);
}
