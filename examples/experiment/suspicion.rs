//! Suspicion experiment: resume latency against extra work at several suspicion time-outs.

use std::sync::atomic::Ordering;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_document::Preference;
use cactusbarrow_policy::{Favor, GenerationConfig};
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, EngineConfig, api_key};
use serde::Serialize;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::{self, Fault, FaultKind, Load};

/// Outlasts the run.
const FREEZE_DURATION: Duration = Duration::from_secs(600);
const FREEZE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Figures of one setting.
#[derive(Serialize)]
struct Row {
    favor: &'static str,
    floor_ms: u64,
    ceiling_ms: u64,
    is_fixed: bool,
    resume_ms: Percentiles,
    extra_tokens_ratio: f64,
    extra_prefill_tokens_ratio: f64,
    /// Attempts after the first that no fault made necessary.
    needless_attempts: usize,
    completed: usize,
    generations: usize,
}

/// Measures each time-out and preference; every generation must complete.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut outcome = Outcome::new("suspicion", seed);
    let min_timeouts_ms: &[u64] = if is_short {
        &[300]
    } else {
        &[150, 400, 700, 1_000, 1_500]
    };
    let mut rows = Vec::new();
    for favor in [Favor::Latency, Favor::Resources] {
        for min_timeout_ms in min_timeouts_ms {
            rows.push(measure(favor, *min_timeout_ms, false, seed, is_short).await);
        }
    }
    // The baseline: one fixed time-out for all suspicions, and no second attempt beside the first.
    rows.push(measure(Favor::Resources, 2_000, true, seed, is_short).await);
    let missing: usize = rows.iter().map(|r| r.generations - r.completed).sum();
    outcome.must_be("not_completed", missing as u64, 0);
    outcome.set("rows", rows);
    outcome
}

async fn measure(favor: Favor, floor_ms: u64, is_fixed: bool, seed: u64, is_short: bool) -> Row {
    let mut config = GenerationConfig::for_favor(favor);
    let timeout = Duration::from_millis(floor_ms);
    config.suspicion.min_token_timeout = timeout;
    config.suspicion.max_token_timeout = if is_fixed { timeout } else { timeout * 2 };
    if is_fixed {
        config.suspicion.engine_timeout = timeout;
        config.suspicion.agent_timeout = timeout;
        config.suspicion.first_token_timeout = timeout;
    }
    let mut engine = EngineConfig::new("captions-v1");
    // Short time-outs falsely suspect engines whose streams only stall.
    engine.tokens_per_stall = 150;
    engine.max_stall = Duration::from_millis(900);
    let mut cfg = ClusterConfig {
        routers: 2,
        engines: 14,
        zones: 2,
        engine,
        favor: match favor {
            Favor::Latency => Preference::Latency,
            Favor::Resources => Preference::Resources,
        },
        ..ClusterConfig::default()
    };
    cfg.router.latency_generation = config;
    cfg.router.resources_generation = config;
    let cluster = Cluster::start(cfg).await;
    let load = Load {
        generations: if is_short { 30 } else { 200 },
        interval: Duration::from_millis(30),
        min_tokens: 80,
        max_tokens: 160,
    };
    let routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let freezes = if is_short { 1 } else { 6 };
    let (finished, faults) = tokio::join!(
        workload::run_load(load, seed, routers, Caller::new(&api_key(0))),
        freeze_engines(&cluster, freezes),
    );
    let affected: usize = faults
        .iter()
        .map(|fault| {
            let is_affected = |f: &&workload::GenerationRecord| {
                f.transcript
                    .resume_delay(fault.at, &fault.backend_server)
                    .is_some()
            };
            finished.iter().filter(is_affected).count()
        })
        .sum();
    let sum = |f: fn(&cactusbarrow_standins::EngineStats) -> usize| {
        let engines = cluster.engines.iter();
        engines.map(|e| f(&e.backend.stats)).sum::<usize>()
    };
    let started = sum(|s| s.started.load(Ordering::Relaxed));
    let prefilled = sum(|s| s.prefilled_tokens.load(Ordering::Relaxed));
    let prompts: usize = finished.iter().map(|f| f.prompt.len() / 4).sum();
    let delivered: usize = finished.iter().map(|f| f.transcript.tokens.len()).sum();
    let share = |extra: f64| rounded(extra / delivered.max(1) as f64);
    Row {
        favor: match favor {
            Favor::Latency => "latency",
            Favor::Resources => "resources",
        },
        floor_ms,
        ceiling_ms: config.suspicion.max_token_timeout.as_millis() as u64,
        is_fixed,
        resume_ms: workload::resume_times(&finished, &faults, FaultKind::Frozen),
        extra_tokens_ratio: share(cluster.ledger.tokens_produced() as f64 - delivered as f64),
        extra_prefill_tokens_ratio: share(prefilled as f64 - prompts as f64),
        needless_attempts: started.saturating_sub(finished.len() + affected),
        completed: finished.iter().filter(|f| f.is_complete).count(),
        generations: finished.len(),
    }
}

/// Freezes the busiest engines one by one until the end of the run.
async fn freeze_engines(cluster: &Cluster, count: usize) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..count {
        tokio::time::sleep(FREEZE_INTERVAL).await;
        let is_new = |name: &str| faults.iter().all(|f| f.backend_server != name);
        let busiest = cluster
            .engines
            .iter()
            .filter(|server| is_new(&server.name))
            .max_by_key(|server| server.backend.stats.running.load(Ordering::Relaxed));
        let Some(server) = busiest else { break };
        server.backend.process.freeze(FREEZE_DURATION);
        faults.push(Fault {
            at: Instant::now(),
            backend_server: server.name.clone(),
            kind: FaultKind::Frozen,
        });
    }
    faults
}
