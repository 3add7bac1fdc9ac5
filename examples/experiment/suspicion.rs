//! Suspicion of engines: resume latency against extra work, at several settings.

use std::sync::atomic::Ordering;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_document::Preference;
use cactusbarrow_policy::{Favor, GenerationConfig};
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, EngineConfig, api_key};
use serde::Serialize;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::{self, Fault, FaultKind, Load};

const FREEZE: Duration = Duration::from_secs(600);
const FREEZE_SPACING: Duration = Duration::from_millis(1_000);

/// One line of the table.
#[derive(Serialize)]
struct Row {
    favor: &'static str,
    floor_ms: u64,
    ceiling_ms: u64,
    is_fixed: bool,
    resume_ms: Percentiles,
    extra_tokens_ratio: f64,
    extra_prefill_tokens_ratio: f64,
    /// Attempts that no fault called for.
    needless_attempts: usize,
    completed: usize,
    generations: usize,
}

/// Runs the experiment.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut outcome = Outcome::new("suspicion", seed);
    let floors: &[u64] = if is_short {
        &[300]
    } else {
        &[150, 400, 700, 1_000, 1_500]
    };
    let mut rows = Vec::new();
    for favor in [Favor::Latency, Favor::Resources] {
        for floor in floors {
            rows.push(measure(favor, *floor, false, seed, is_short).await);
        }
    }
    // The baseline: one fixed timeout for all, and no second attempt beside the first.
    rows.push(measure(Favor::Resources, 2_000, true, seed, is_short).await);
    let missing: usize = rows.iter().map(|r| r.generations - r.completed).sum();
    outcome.must_be("not_completed", missing as u64, 0);
    outcome.set("rows", rows);
    outcome
}

async fn measure(favor: Favor, floor_ms: u64, is_fixed: bool, seed: u64, is_short: bool) -> Row {
    let mut tuning = GenerationConfig::for_favor(favor);
    let floor = Duration::from_millis(floor_ms);
    tuning.suspicion.min_token_timeout = floor;
    tuning.suspicion.max_token_timeout = if is_fixed { floor } else { floor * 2 };
    if is_fixed {
        tuning.suspicion.engine_timeout = floor;
        tuning.suspicion.agent_timeout = floor;
        tuning.suspicion.first_token_timeout = floor;
    }
    let mut engine = EngineConfig::new("captions-v1");
    // Streams that stall without being dead are what early suspicion gets wrong.
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
    cfg.router.latency_generation = tuning;
    cfg.router.resources_generation = tuning;
    let cluster = Cluster::start(cfg).await;
    let load = Load {
        generations: if is_short { 30 } else { 200 },
        spacing: Duration::from_millis(30),
        min_tokens: 80,
        max_tokens: 160,
    };
    let routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let freezes = if is_short { 1 } else { 6 };
    let (finished, faults) = tokio::join!(
        workload::run_load(load, seed, routers, Caller::new(&api_key(0))),
        freeze(&cluster, freezes),
    );
    let affected: usize = faults
        .iter()
        .map(|fault| {
            let is_affected = |f: &&workload::Finished| {
                f.transcript
                    .resume_delay(fault.at, &fault.backend_server)
                    .is_some()
            };
            finished.iter().filter(is_affected).count()
        })
        .sum();
    let sum = |f: fn(&cactusbarrow_standins::EngineStats) -> usize| {
        let engines = cluster.engines.iter();
        engines.map(|site| f(&site.backend.stats)).sum::<usize>()
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
        ceiling_ms: tuning.suspicion.max_token_timeout.as_millis() as u64,
        is_fixed,
        resume_ms: workload::resume_times(&finished, &faults, FaultKind::Frozen),
        extra_tokens_ratio: share(cluster.ledger.tokens_produced() as f64 - delivered as f64),
        extra_prefill_tokens_ratio: share(prefilled as f64 - prompts as f64),
        needless_attempts: started.saturating_sub(finished.len() + affected),
        completed: finished.iter().filter(|f| f.is_complete).count(),
        generations: finished.len(),
    }
}

/// Freezes busy engines one by one, for good.
async fn freeze(cluster: &Cluster, count: usize) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    for _ in 0..count {
        tokio::time::sleep(FREEZE_SPACING).await;
        let is_new = |name: &str| faults.iter().all(|f| f.backend_server != name);
        let busiest = cluster
            .engines
            .iter()
            .filter(|site| is_new(&site.name))
            .max_by_key(|site| site.backend.stats.running.load(Ordering::Relaxed));
        let Some(site) = busiest else { break };
        site.backend.host.freeze(FREEZE);
        faults.push(Fault {
            at: Instant::now(),
            backend_server: site.name.clone(),
            kind: FaultKind::Frozen,
        });
    }
    faults
}
