//! Failover experiment: engines are killed or frozen during generations; some resume later.

use std::sync::atomic::Ordering;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_policy::TokenBuffer;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, Engine, api_key, token_bytes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::report::Outcome;
use crate::workload::{self, Fault, FaultKind, GenerationRecord, Load};

const RESUME_BOUND_MS: f64 = 2_000.0;
/// A freeze after which the engine comes back during the run.
const SHORT_FREEZE: Duration = Duration::from_secs(4);
/// A freeze that outlasts the run.
const LONG_FREEZE: Duration = Duration::from_secs(600);
const RESTART_DELAY: Duration = Duration::from_secs(2);
const FAULT_INTERVAL: Duration = Duration::from_millis(600);

/// Runs the experiment on a cluster with default settings.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let cluster = Cluster::start(ClusterConfig {
        routers: 3,
        engines: 18,
        zones: 4,
        ..ClusterConfig::default()
    })
    .await;
    run_on(cluster, seed, is_short, "failover").await
}

/// Runs the load and the faults on a running cluster.
pub(crate) async fn run_on(mut cluster: Cluster, seed: u64, is_short: bool, name: &str) -> Outcome {
    let load = Load {
        generations: if is_short { 40 } else { 400 },
        interval: Duration::from_millis(25),
        min_tokens: 100,
        max_tokens: 250,
    };
    let routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let fault_count = if is_short { 2 } else { 14 };
    let (finished, faults) = tokio::join!(
        workload::run_load(load, seed, routers, Caller::new(&api_key(0))),
        inject_faults(&mut cluster, seed, fault_count),
    );
    let mut outcome = Outcome::new(name, seed);
    workload::check_transcripts(&mut outcome, &finished, &cluster.ledger);
    outcome.set("faults", faults.len());
    let killed = workload::resume_times(&finished, &faults, FaultKind::Killed);
    let frozen = workload::resume_times(&finished, &faults, FaultKind::Frozen);
    outcome.set(
        "resume_ms",
        serde_json::json!({"killed": killed, "frozen": frozen}),
    );
    outcome.bound("resume_killed_p99", killed.p99, RESUME_BOUND_MS);
    outcome.bound("resume_frozen_p99", frozen.p99, RESUME_BOUND_MS);
    workload::add_extra_work(&mut outcome, &finished, &cluster.ledger);
    let prefilled: usize = cluster
        .engines
        .iter()
        .map(|server| {
            server
                .backend
                .stats
                .prefilled_tokens
                .load(Ordering::Relaxed)
        })
        .sum();
    let prompts: usize = finished.iter().map(|f| f.prompt.len() / 4).sum();
    let delivered: usize = finished.iter().map(|f| f.transcript.tokens.len()).sum();
    let extra_prefill_ratio = prefilled.saturating_sub(prompts) as f64 / delivered.max(1) as f64;
    outcome.set(
        "extra_prefill_tokens_ratio",
        crate::report::rounded(extra_prefill_ratio),
    );
    outcome.set(
        "extra_memory_bytes_per_generation",
        buffered_bytes(&finished) / finished.len().max(1),
    );
    outcome
}

/// Kills and freezes engines alternately, each while it runs generations.
async fn inject_faults(cluster: &mut Cluster, seed: u64, count: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let mut faults = Vec::new();
    let mut to_restart: Vec<(Instant, usize)> = Vec::new();
    let mut frozen_until = vec![None::<Instant>; cluster.engines.len()];
    tokio::time::sleep(FAULT_INTERVAL).await;
    while faults.len() < count {
        tokio::time::sleep(FAULT_INTERVAL).await;
        restart_killed(cluster, &mut to_restart).await;
        let now = Instant::now();
        let busy: Vec<usize> = (0..cluster.engines.len())
            .filter(|i| frozen_until[*i].is_none_or(|until| now > until))
            .filter(|i| {
                !to_restart
                    .iter()
                    .any(|(_, killed_engine)| killed_engine == i)
            })
            .filter(|i| {
                cluster.engines[*i]
                    .backend
                    .stats
                    .running
                    .load(Ordering::Relaxed)
                    > 0
            })
            .collect();
        if busy.is_empty() {
            break;
        }
        let i = busy[rng.random_range(0..busy.len())];
        let engine = &cluster.engines[i];
        let kind = if faults.len() % 2 == 0 {
            engine.backend.process.kill();
            to_restart.push((now, i));
            FaultKind::Killed
        } else {
            let is_short_freeze = faults.len() % 4 == 1;
            let time = if is_short_freeze {
                SHORT_FREEZE
            } else {
                LONG_FREEZE
            };
            engine.backend.process.freeze(time);
            frozen_until[i] = Some(now + time);
            FaultKind::Frozen
        };
        faults.push(Fault {
            at: Instant::now(),
            backend_server: engine.name.clone(),
            kind,
        });
    }
    faults
}

/// Restarts engines at their old addresses, `RESTART_DELAY` after they were killed.
async fn restart_killed(cluster: &mut Cluster, to_restart: &mut Vec<(Instant, usize)>) {
    let is_due = |(at, _): &(Instant, usize)| at.elapsed() >= RESTART_DELAY;
    let due: Vec<(Instant, usize)> = to_restart.iter().copied().filter(is_due).collect();
    to_restart.retain(|killed_engine| !is_due(killed_engine));
    for (_, i) in due {
        let mut cfg = cluster.cfg.engine.clone();
        cfg.listen = cluster.engines[i].backend.addr;
        let salt = 1_000 + i as u64;
        cluster.engines[i].backend = Engine::start(cfg, cluster.ledger.clone(), salt).await;
    }
}

/// Returns the bytes that router and agent buffer for the tokens of all generations.
///
/// A plain proxy has neither of the two buffers, so all of it is extra memory.
fn buffered_bytes(finished: &[GenerationRecord]) -> usize {
    finished
        .iter()
        .map(|f| {
            let mut tokens = TokenBuffer::new();
            for token in &f.transcript.tokens {
                tokens.push(*token, &token_bytes(*token));
            }
            2 * tokens.memory_bytes()
        })
        .sum()
}
