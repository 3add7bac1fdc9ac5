//! Retry storm experiment: calls to a hanging service, with and without a retry budget.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_policy::BalancingStrategy;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, api_key};
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::Routers;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_INTERVAL: Duration = Duration::from_millis(8);
/// Retries per request; too many ever to run out.
const UNLIMITED_RETRIES: f64 = 1_000.0;

/// Figures of one balancing strategy, with or without a budget.
#[derive(Serialize)]
struct Figures {
    requests: usize,
    calls_per_request: f64,
    answered_share: f64,
    refused_after_ms: Percentiles,
    /// Share of the requests sent from 2 s after the recovery of the service that succeeded.
    answered_share_after_recovery: f64,
}

/// Compares the default retry budget and strategy with two baselines.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let requests = if is_short { 150 } else { 800 };
    let (affinity, round_robin) = (BalancingStrategy::Affinity, BalancingStrategy::RoundRobin);
    let mut outcome = Outcome::new("retry_storm", seed);
    outcome.set("ours", measure(affinity, None, seed, requests).await);
    let with_budget = measure(round_robin, None, seed, requests).await;
    outcome.set("round_robin_with_budget", with_budget);
    let without_budget = measure(round_robin, Some(UNLIMITED_RETRIES), seed, requests).await;
    outcome.set("round_robin_no_budget", without_budget);
    outcome
}

async fn measure(
    strategy: BalancingStrategy,
    retries: Option<f64>,
    seed: u64,
    requests: usize,
) -> Figures {
    let mut cfg = ClusterConfig {
        routers: 2,
        engines: 0,
        services: 4,
        zones: 2,
        ..ClusterConfig::default()
    };
    cfg.router.retries_per_request = retries.unwrap_or(cfg.router.retries_per_request);
    cfg.router.balancing.strategy = strategy;
    let cluster = Cluster::start(cfg).await;
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    cluster.calls.set_hanging(true);
    let (answered, failure_times) = call_all(requests, seed, &routers).await;
    let calls = cluster.calls.received();
    cluster.calls.set_hanging(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (answered_later, _) = call_all(requests / 4, seed, &routers).await;
    Figures {
        requests,
        calls_per_request: rounded(calls as f64 / requests as f64),
        answered_share: rounded(answered as f64 / requests as f64),
        refused_after_ms: Percentiles::of(&failure_times),
        answered_share_after_recovery: rounded(answered_later as f64 / (requests / 4) as f64),
    }
}

/// Makes repeatable calls; returns how many succeeded, and how long the others took to fail.
async fn call_all(requests: usize, seed: u64, routers: &Routers) -> (usize, Vec<Duration>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::new(&api_key(0));
    let mut running = JoinSet::new();
    for _ in 0..requests {
        let router = {
            let routers = routers.read().expect("no writer panics");
            routers[rng.random_range(0..routers.len())]
        };
        let caller = caller.clone();
        running.spawn(async move {
            let started = Instant::now();
            let res = caller
                .send(
                    router,
                    Method::GET,
                    "/bookings/lookup",
                    &[],
                    "",
                    CALL_TIMEOUT,
                )
                .await;
            let is_answered = res.is_ok_and(|res| res.status().is_success());
            (is_answered, started.elapsed())
        });
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let results = running.join_all().await;
    let answered = results.iter().filter(|r| r.0).count();
    let failure_times = results.iter().filter(|r| !r.0).map(|r| r.1).collect();
    (answered, failure_times)
}
