//! Zone loss experiment: an eighth of the engines fail at once under load, with the fair queue and
//! with arrival order.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_policy::QueueOrder;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, EngineConfig, api_key};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::{self, Fault, FaultKind, GenerationRecord, Routers};

const ZONES: usize = 8;
const ENGINES: usize = 16;
const SLOTS_PER_ENGINE: usize = 12;
const TOKENS_PER_GENERATION: usize = 120;
const RESUME_BOUND_MS: f64 = 2_000.0;

/// Figures of one queue order.
#[derive(Serialize)]
struct Figures {
    resume_ms: Percentiles,
    /// Generations that broke after their first token and did not complete.
    cut: usize,
    /// Share of all requests that were refused at least once.
    refused_share: f64,
    first_token_ms: Percentiles,
    completed: usize,
    generations: usize,
}

/// Compares the two queue orders; no running generation may be lost under the fair queue.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let ours = measure(QueueOrder::Fair, seed, is_short).await;
    let baseline = measure(QueueOrder::Arrival, seed, is_short).await;
    let mut outcome = Outcome::new("zone_loss", seed);
    outcome.must_be("cut", ours.cut as u64, 0);
    outcome.bound("resume_p99", ours.resume_ms.p99, RESUME_BOUND_MS);
    outcome.set("ours", ours);
    outcome.set("arrival_order", baseline);
    outcome
}

async fn measure(order: QueueOrder, seed: u64, is_short: bool) -> Figures {
    let mut engine = EngineConfig::new("captions-v1");
    engine.slots = SLOTS_PER_ENGINE;
    let mut cfg = ClusterConfig {
        routers: 4,
        engines: ENGINES,
        zones: ZONES,
        engine,
        ..ClusterConfig::default()
    };
    cfg.router.queue_order = order;
    let cluster = Cluster::start(cfg).await;
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let seconds = if is_short { 5 } else { 12 };
    let load = run_load(seed, seconds, routers);
    let kill_zone = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let killed: Vec<_> = cluster.engines.iter().step_by(ZONES).collect();
        killed
            .iter()
            .map(|server| {
                server.agent.kill();
                server.backend.process.kill();
                Fault {
                    at: Instant::now(),
                    backend_server: server.name.clone(),
                    kind: FaultKind::Killed,
                }
            })
            .collect::<Vec<Fault>>()
    };
    let (finished, faults) = tokio::join!(load, kill_zone);
    let refused = finished.iter().filter(|f| !f.refusals.is_empty()).count();
    Figures {
        resume_ms: workload::resume_times(&finished, &faults, FaultKind::Killed),
        cut: finished.iter().filter(|f| is_interrupted(f)).count(),
        refused_share: rounded(refused as f64 / finished.len().max(1) as f64),
        first_token_ms: workload::first_token_times(&finished),
        completed: finished.iter().filter(|f| f.is_complete).count(),
        generations: finished.len(),
    }
}

/// Starts generations at a rate that keeps 95 of 100 slots busy before the loss.
async fn run_load(seed: u64, seconds: u64, routers: Routers) -> Vec<GenerationRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::new(&api_key(0));
    let mut running = JoinSet::new();
    let service_time_s = TOKENS_PER_GENERATION as f64 * 0.020 + 0.060;
    let rate = 0.95 * (ENGINES * SLOTS_PER_ENGINE) as f64 / service_time_s;
    let started = Instant::now();
    let mut i = 0;
    while started.elapsed() < Duration::from_secs(seconds) {
        let due = Duration::from_secs_f64(f64::from(i) / rate);
        tokio::time::sleep(due.saturating_sub(started.elapsed())).await;
        let prompt = format!("forecast {i}");
        running.spawn(workload::generate(
            caller.clone(),
            routers.clone(),
            prompt,
            rng.random(),
            TOKENS_PER_GENERATION,
        ));
        i += 1;
    }
    running.join_all().await
}

/// Returns true if a generation had started and did not complete.
fn is_interrupted(finished: &GenerationRecord) -> bool {
    !finished.is_complete && !finished.transcript.tokens.is_empty()
}
