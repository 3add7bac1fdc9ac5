//! Engines that die or freeze in the middle of generations; some come back late.

use std::sync::atomic::Ordering;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_policy::TokenBuffer;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, Engine, api_key, token_bytes};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::report::Outcome;
use crate::workload::{self, Fault, FaultKind, Finished, Load};

const RESUME_BOUND_MS: f64 = 2_000.0;
/// How long a frozen engine stays frozen, if it comes back.
const SHORT_FREEZE: Duration = Duration::from_secs(4);
const LONG_FREEZE: Duration = Duration::from_secs(600);
const REPLACE_AFTER: Duration = Duration::from_secs(2);
const FAULT_SPACING: Duration = Duration::from_millis(600);

/// Runs the experiment.
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

/// Runs the load and the faults on a cluster that has started.
pub(crate) async fn run_on(mut cluster: Cluster, seed: u64, is_short: bool, name: &str) -> Outcome {
    let load = Load {
        generations: if is_short { 40 } else { 400 },
        spacing: Duration::from_millis(25),
        min_tokens: 100,
        max_tokens: 250,
    };
    let routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let faults_wanted = if is_short { 2 } else { 14 };
    let (finished, faults) = tokio::join!(
        workload::run_load(load, seed, routers, Caller::new(&api_key(0))),
        inject(&mut cluster, seed, faults_wanted),
    );
    let mut outcome = Outcome::new(name, seed);
    workload::judge(&mut outcome, &finished, &cluster.ledger);
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
        .map(|site| site.backend.stats.prefilled_tokens.load(Ordering::Relaxed))
        .sum();
    let prompts: usize = finished.iter().map(|f| f.prompt.len() / 4).sum();
    let delivered: usize = finished.iter().map(|f| f.transcript.tokens.len()).sum();
    let again = prefilled.saturating_sub(prompts) as f64 / delivered.max(1) as f64;
    outcome.set("extra_prefill_tokens_ratio", crate::report::rounded(again));
    outcome.set(
        "extra_memory_bytes_per_generation",
        held_bytes(&finished) / finished.len().max(1),
    );
    outcome
}

/// Kills and freezes engines in turn, each while it runs generations.
async fn inject(cluster: &mut Cluster, seed: u64, count: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let mut faults = Vec::new();
    let mut to_replace: Vec<(Instant, usize)> = Vec::new();
    let mut frozen_until = vec![None::<Instant>; cluster.engines.len()];
    tokio::time::sleep(FAULT_SPACING).await;
    while faults.len() < count {
        tokio::time::sleep(FAULT_SPACING).await;
        replace_dead(cluster, &mut to_replace).await;
        let now = Instant::now();
        let busy: Vec<usize> = (0..cluster.engines.len())
            .filter(|i| frozen_until[*i].is_none_or(|until| now > until))
            .filter(|i| !to_replace.iter().any(|(_, dead)| dead == i))
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
            engine.backend.host.kill();
            to_replace.push((now, i));
            FaultKind::Killed
        } else {
            let is_late_return = faults.len() % 4 == 1;
            let time = if is_late_return {
                SHORT_FREEZE
            } else {
                LONG_FREEZE
            };
            engine.backend.host.freeze(time);
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

/// Starts engines anew, at their old addresses, some time after they were killed.
async fn replace_dead(cluster: &mut Cluster, to_replace: &mut Vec<(Instant, usize)>) {
    let is_due = |(at, _): &(Instant, usize)| at.elapsed() >= REPLACE_AFTER;
    let due: Vec<(Instant, usize)> = to_replace.iter().copied().filter(is_due).collect();
    to_replace.retain(|dead| !is_due(dead));
    for (_, i) in due {
        let mut cfg = cluster.cfg.engine.clone();
        cfg.listen = cluster.engines[i].backend.addr;
        let salt = 1_000 + i as u64;
        cluster.engines[i].backend = Engine::start(cfg, cluster.ledger.clone(), salt).await;
    }
}

/// Returns the memory that router and agent hold for the tokens of all generations.
///
/// An unfailed run through a plain proxy would hold neither copy.
fn held_bytes(finished: &[Finished]) -> usize {
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
