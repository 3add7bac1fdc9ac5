//! Fairness experiment: one customer floods a service that small customers also use.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_policy::QueueOrder;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, EngineConfig, api_key};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::{self, GenerationRecord, Routers};

const CUSTOMERS: usize = 10;
const TOKENS: usize = 25;
const SMALL_INTERVAL: Duration = Duration::from_millis(700);
const FLOOD_INTERVAL: Duration = Duration::from_millis(8);

/// Figures of one queue order, for the small customers and for the one that floods.
#[derive(Serialize)]
struct Figures {
    small_first_token_ms: Percentiles,
    small_refused_share: f64,
    small_completed_share: f64,
    flood_first_token_ms: Percentiles,
    flood_refused_share: f64,
}

/// Compares the fair queue with arrival order.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let seconds = if is_short { 4 } else { 10 };
    let ours = measure(QueueOrder::Fair, seed, seconds).await;
    let baseline = measure(QueueOrder::Arrival, seed, seconds).await;
    let mut outcome = Outcome::new("fairness", seed);
    outcome.set("ours", ours);
    outcome.set("arrival_order", baseline);
    outcome
}

async fn measure(order: QueueOrder, seed: u64, seconds: u64) -> Figures {
    let mut engine = EngineConfig::new("captions-v1");
    engine.slots = 8;
    let mut cfg = ClusterConfig {
        routers: 2,
        engines: 4,
        zones: 2,
        customers: CUSTOMERS,
        engine,
        ..ClusterConfig::default()
    };
    cfg.router.queue_order = order;
    let cluster = Cluster::start(cfg).await;
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let duration = Duration::from_secs(seconds);
    let mut small = JoinSet::new();
    for customer in 1..CUSTOMERS {
        small.spawn(run_customer(
            customer,
            SMALL_INTERVAL,
            duration,
            seed,
            routers.clone(),
        ));
    }
    let flood = run_customer(0, FLOOD_INTERVAL, duration, seed, routers);
    let (flood, small) = tokio::join!(flood, small.join_all());
    let small: Vec<GenerationRecord> = small.into_iter().flatten().collect();
    let share = |finished: &[GenerationRecord], is_match: fn(&GenerationRecord) -> bool| {
        let count = finished.iter().filter(|f| is_match(f)).count();
        rounded(count as f64 / finished.len().max(1) as f64)
    };
    let is_refused = |f: &GenerationRecord| !f.refusals.is_empty();
    Figures {
        small_first_token_ms: workload::first_token_times(&small),
        small_refused_share: share(&small, is_refused),
        small_completed_share: share(&small, |f| f.is_complete),
        flood_first_token_ms: workload::first_token_times(&flood),
        flood_refused_share: share(&flood, is_refused),
    }
}

/// Starts generations of one customer at a fixed interval for `duration`.
async fn run_customer(
    customer: usize,
    interval: Duration,
    duration: Duration,
    seed: u64,
    routers: Routers,
) -> Vec<GenerationRecord> {
    let mut rng = StdRng::seed_from_u64(seed ^ (customer as u64) << 40);
    let caller = Caller::new(&api_key(customer));
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut i = 0;
    while started.elapsed() < duration {
        let prompt = format!("caption {i} of customer {customer}");
        running.spawn(workload::generate_once(
            caller.clone(),
            routers.clone(),
            prompt,
            rng.random(),
            TOKENS,
        ));
        i += 1;
        tokio::time::sleep(interval).await;
    }
    running.join_all().await
}
