//! At-most-once experiment: unrepeatable calls while agents, routers and the store fail.

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

const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_ATTEMPTS: usize = 6;
const LOST_RESPONSES_PER_MILLE: u32 = 100;
const FAULT_INTERVAL: Duration = Duration::from_millis(900);

/// One attempt of a call, as its caller observed it.
struct Attempt {
    sent_at: Instant,
    finished_at: Instant,
    result: CallResult,
}

/// What the response to an attempt told the caller about the call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallResult {
    Done,
    /// The response said that the call has not run.
    NotRun,
    /// The response left open whether the call ran.
    Unknown,
    NoResponse,
}

/// A call under one idempotency key, with all its attempts.
struct Call {
    id: String,
    attempts: Vec<Attempt>,
}

/// Runs the load and the faults; no call may run twice or contradict what its caller was told.
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
        .store(LOST_RESPONSES_PER_MILLE, Ordering::Relaxed);
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let writes_before = cluster.store.counts.writes.load(Ordering::Relaxed);
    let started = Instant::now();
    let faults = if is_short { 4 } else { 24 };
    let (calls, faults) = tokio::join!(
        run_calls(calls, seed, routers.clone()),
        inject_faults(&mut cluster, &routers, seed, faults),
    );
    let elapsed = started.elapsed();
    // A frozen process may still run calls after it resumes.
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
        false_not_run += u64::from(has_false_not_run(call, &runs));
        let is_done = call.attempts.iter().any(|a| a.result == CallResult::Done);
        answered_but_not_run += u64::from(is_done && runs.is_empty());
    }
    let last_result = |call: &Call| call.attempts.last().map(|a| a.result);
    let count_ending_with = |result: CallResult| {
        calls
            .iter()
            .filter(|c| last_result(c) == Some(result))
            .count()
    };
    outcome.set("calls", calls.len());
    outcome.set("faults", faults);
    outcome.must_be("ran_twice", ran_twice, 0);
    outcome.must_be("said_not_run_but_ran", false_not_run, 0);
    outcome.must_be("answered_but_not_run", answered_but_not_run, 0);
    outcome.set("completed", count_ending_with(CallResult::Done));
    outcome.set(
        "unknown",
        count_ending_with(CallResult::Unknown) + count_ending_with(CallResult::NoResponse),
    );
    outcome.set("not_run", count_ending_with(CallResult::NotRun));
    let attempts: usize = calls.iter().map(|c| c.attempts.len()).sum();
    outcome.set("tries", attempts);
    outcome.set("store_writes", writes);
    outcome.set(
        "store_writes_per_s",
        rounded(writes as f64 / elapsed.as_secs_f64()),
    );
    let first_attempts: Vec<Duration> = calls
        .iter()
        .filter_map(|c| c.attempts.first().filter(|a| a.result == CallResult::Done))
        .map(|a| a.finished_at - a.sent_at)
        .collect();
    outcome.set("answer_ms", Percentiles::of(&first_attempts));
    outcome
}

/// Returns true if a `not_run` response is false: the call ran, and no later attempt explains it.
fn has_false_not_run(call: &Call, runs: &[Instant]) -> bool {
    let refused_at: Vec<Instant> = call
        .attempts
        .iter()
        .filter(|a| a.result == CallResult::NotRun)
        .map(|a| a.finished_at)
        .collect();
    refused_at.iter().any(|refused_at| {
        runs.iter().any(|run| {
            let has_later_attempt = call
                .attempts
                .iter()
                .any(|a| a.sent_at > *refused_at && a.sent_at < *run);
            !has_later_attempt
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

/// Makes one call, and retries it under the same idempotency key until it succeeds.
async fn make_call(caller: Caller, id: String, seed: u64, routers: Routers) -> Call {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut call = Call {
        id,
        attempts: Vec::new(),
    };
    while call.attempts.len() < MAX_ATTEMPTS {
        let router = {
            let routers = routers.read().expect("no writer panics");
            routers[rng.random_range(0..routers.len())]
        };
        let mut headers = vec![("idempotency-key", call.id.as_str())];
        if call.attempts.is_empty() {
            headers.push(("cactusbarrow-first-attempt", "1"));
        }
        let sent_at = Instant::now();
        let path = "/bookings/slots";
        let res = caller
            .send(
                router,
                Method::POST,
                path,
                &headers,
                &call.id,
                ATTEMPT_TIMEOUT,
            )
            .await;
        let result = match &res {
            Err(_) => CallResult::NoResponse,
            Ok(res) => match res.headers().get("cactusbarrow-outcome") {
                None if res.status() == StatusCode::OK => CallResult::Done,
                Some(outcome) if outcome == "not_run" => CallResult::NotRun,
                _ => CallResult::Unknown,
            },
        };
        call.attempts.push(Attempt {
            sent_at,
            finished_at: Instant::now(),
            result,
        });
        if result == CallResult::Done {
            break;
        }
        let wait = Duration::from_millis(rng.random_range(100..400));
        tokio::time::sleep(wait).await;
    }
    call
}

/// Kills, freezes and restarts agents and routers and takes the store down, in a fixed rotation.
async fn inject_faults(cluster: &mut Cluster, routers: &Routers, seed: u64, count: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    for n in 0..count {
        tokio::time::sleep(FAULT_INTERVAL).await;
        match n % 5 {
            0 => {
                let i = rng.random_range(0..cluster.services.len());
                cluster.services[i].agent.kill_and_wait().await;
                let service = &cluster.services[i];
                let agent = cluster
                    .restart_agent(&service.object, service.backend.addr)
                    .await;
                cluster.services[i].agent = agent;
            }
            1 => {
                let i = rng.random_range(0..cluster.routers.len());
                cluster.routers[i]
                    .process
                    .freeze(Duration::from_millis(2_500));
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
    let killed = cluster.routers.remove(0);
    killed.process.kill();
    cluster.store.remove_node(&killed.cfg.name);
    let mut next = cluster.start_router(100 + n, None).await;
    next.handle
        .wait_for_revision(cactusbarrow_policy::Revision(1))
        .await;
    let mut addrs = routers.write().expect("no reader panics");
    addrs.retain(|addr| *addr != killed.handle.listen);
    addrs.push(next.handle.listen);
    drop(addrs);
    cluster.routers.push(next);
}
