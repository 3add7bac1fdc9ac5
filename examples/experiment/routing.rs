//! Routing experiment: prefix affinity with bounded load against round robin.

use std::sync::atomic::Ordering;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use cactusbarrow_policy::BalancingStrategy;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, EngineConfig, api_key};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::{self, Routers};

/// Distinct prompt prefixes, drawn with falling frequency.
const PREFIX_COUNT: usize = 60;
const PREFIX_BYTES: usize = 300;
const TOKENS_PER_GENERATION: usize = 25;

/// Figures of one balancing strategy.
#[derive(Serialize)]
struct Figures {
    first_token_ms: Percentiles,
    cache_hit_share: f64,
    /// Largest ratio of an engine's share of the requests to its share of the slots.
    load_spread: f64,
    completed: usize,
}

/// Compares affinity with round robin; every request must complete under affinity.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let requests = if is_short { 200 } else { 1_500 };
    let ours = measure(BalancingStrategy::Affinity, seed, requests).await;
    let baseline = measure(BalancingStrategy::RoundRobin, seed, requests).await;
    let mut outcome = Outcome::new("routing", seed);
    outcome.must_be("completed", ours.completed as u64, requests as u64);
    outcome.set("ours", ours);
    outcome.set("round_robin", baseline);
    outcome
}

async fn measure(strategy: BalancingStrategy, seed: u64, requests: usize) -> Figures {
    let mut engine = EngineConfig::new("captions-v1");
    engine.prefill = Duration::from_millis(250);
    engine.cached_prefill = Duration::from_millis(25);
    engine.cache_entries = 12;
    let mut cfg = ClusterConfig {
        routers: 2,
        engines: 8,
        zones: 2,
        engine,
        // Every other engine is half as large and half as fast.
        customize_engine: |i, cfg| EngineConfig {
            slots: if i % 2 == 0 { 16 } else { 8 },
            token_interval: Duration::from_millis(if i % 2 == 0 { 15 } else { 30 }),
            ..cfg.clone()
        },
        ..ClusterConfig::default()
    };
    cfg.router.balancing.strategy = strategy;
    let cluster = Cluster::start(cfg).await;
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::new(&api_key(0));
    let mut running = JoinSet::new();
    for i in 0..requests {
        let prefix = draw_prefix(&mut rng);
        let prompt = format!("{:<PREFIX_BYTES$}request {i}", format!("prefix {prefix}"));
        let generation_seed = rng.random();
        running.spawn(workload::generate(
            caller.clone(),
            routers.clone(),
            prompt,
            generation_seed,
            TOKENS_PER_GENERATION,
        ));
        tokio::time::sleep(Duration::from_millis(14)).await;
    }
    let finished = running.join_all().await;
    let counts: Vec<(usize, usize, usize)> = cluster
        .engines
        .iter()
        .map(|server| {
            let stats = &server.backend.stats;
            (
                stats.started.load(Ordering::Relaxed),
                stats.cache_hits.load(Ordering::Relaxed),
                server.object.max_in_flight as usize,
            )
        })
        .collect();
    let started: usize = counts.iter().map(|c| c.0).sum();
    let hits: usize = counts.iter().map(|c| c.1).sum();
    let slots: usize = counts.iter().map(|c| c.2).sum();
    let spread = counts
        .iter()
        .map(|(s, _, n)| (*s as f64 / started as f64) / (*n as f64 / slots as f64))
        .fold(0.0, f64::max);
    Figures {
        first_token_ms: workload::first_token_times(&finished),
        cache_hit_share: rounded(hits as f64 / started as f64),
        load_spread: rounded(spread),
        completed: finished.iter().filter(|f| f.is_complete).count(),
    }
}

/// Draws the index of a prefix; low indices are drawn far more often than high ones.
fn draw_prefix(rng: &mut StdRng) -> usize {
    let share: f64 = rng.random();
    ((PREFIX_COUNT as f64).powf(share) - 1.0) as usize
}
