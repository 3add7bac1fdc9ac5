//! Drain experiment: planned stops by the configuration, the platform's list and a stop signal.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_document::Object;
use cactusbarrow_platform::Edit;
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, api_key};

use crate::report::Outcome;
use crate::workload::{self, Load, Routers};

const NEW_WORK_BOUND_MS: f64 = 3_000.0;
const DRAIN_INTERVAL: Duration = Duration::from_millis(1_500);

/// The drain of one engine.
struct Drain {
    /// Index of the engine.
    engine: usize,
    ordered_at: Instant,
}

/// Runs a load during the drains; no stream may break, and all must finish.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut cfg = ClusterConfig {
        routers: 3,
        engines: 12,
        zones: 4,
        ..ClusterConfig::default()
    };
    cfg.agent.move_after = Duration::from_secs(2);
    cfg.agent.drain_timeout = Duration::from_secs(12);
    let mut cluster = Cluster::start(cfg).await;
    let load = Load {
        generations: if is_short { 100 } else { 1_600 },
        interval: Duration::from_millis(12),
        min_tokens: 5,
        max_tokens: 300,
    };
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let drains = if is_short { 3 } else { 6 };
    let (finished, drains) = tokio::join!(
        workload::run_load(load, seed, routers.clone(), Caller::new(&api_key(0))),
        drain_engines(&mut cluster, &routers, drains),
    );
    let mut outcome = Outcome::new("drain", seed);
    workload::check_transcripts(&mut outcome, &finished, &cluster.ledger);
    let interrupted: usize = finished
        .iter()
        .map(|f| f.disconnects + f.refusals.len())
        .sum();
    outcome.set("drains", drains.len());
    outcome.must_be("streams_cut", interrupted as u64, 0);
    let last_new_work_ms = drains
        .iter()
        .filter_map(|drain| {
            let last = cluster.engines[drain.engine]
                .backend
                .stats
                .last_request_at()?;
            last.checked_duration_since(drain.ordered_at)
        })
        .max()
        .unwrap_or_default()
        .as_secs_f64()
        * 1e3;
    outcome.set(
        "new_work_after_drain_ms_max",
        crate::report::rounded(last_new_work_ms),
    );
    outcome.bound("new_work_after_drain", last_new_work_ms, NEW_WORK_BOUND_MS);
    let unfinished = finished.iter().filter(|f| !f.is_complete).count();
    outcome.must_be("not_finished", unfinished as u64, 0);
    outcome
}

/// Drains engines in each of the three ways in turn, then stops one router gracefully.
async fn drain_engines(cluster: &mut Cluster, routers: &Routers, count: usize) -> Vec<Drain> {
    let mut drains = Vec::new();
    for engine in 0..count {
        tokio::time::sleep(DRAIN_INTERVAL).await;
        let server = &cluster.engines[engine];
        let ordered_at = Instant::now();
        match engine % 3 {
            0 => {
                let mut object = server.object.clone();
                object.draining = true;
                let edits = vec![Edit::Set(Object::BackendServer(object))];
                cluster.commit(&format!("drain-{engine}"), edits).await;
            }
            1 => cluster.store.set_node(
                &server.name,
                &[
                    ("cactusbarrow-role", "backend-server"),
                    ("zone", &server.object.zone),
                    ("state", "leaving"),
                ],
            ),
            _ => server.shutdown.cancel(),
        }
        drains.push(Drain { engine, ordered_at });
    }
    let last = cluster.routers.pop().expect("there are three routers");
    routers
        .write()
        .expect("no reader panics")
        .retain(|addr| *addr != last.handle.listen);
    let stopped = last.handle.stop().await;
    assert!(
        stopped,
        "the router closes its streams within its drain time-out"
    );
    drains
}
