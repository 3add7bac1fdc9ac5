//! Router loss experiment: routers are killed during streams; callers resume at other routers.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, api_key};

use crate::report::{Outcome, Percentiles};
use crate::workload::{self, GenerationRecord, Load, Routers};

const KILL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Runs a load while routers are killed, and measures how long the streams pause.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut cluster = Cluster::start(ClusterConfig {
        routers: 4,
        engines: 12,
        zones: 4,
        ..ClusterConfig::default()
    })
    .await;
    let load = Load {
        generations: if is_short { 30 } else { 300 },
        interval: Duration::from_millis(25),
        min_tokens: 100,
        max_tokens: 250,
    };
    let routers: Routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let kills = if is_short { 1 } else { 6 };
    let (finished, kill_times) = tokio::join!(
        workload::run_load(load, seed, routers.clone(), Caller::new(&api_key(0))),
        kill_routers(&mut cluster, &routers, kills),
    );
    let mut outcome = Outcome::new("router_loss", seed);
    workload::check_transcripts(&mut outcome, &finished, &cluster.ledger);
    outcome.set("routers_killed", kill_times.len());
    let disconnects: usize = finished.iter().map(|f| f.disconnects).sum();
    outcome.set("connections_broken", disconnects);
    let gaps = gaps_at_kills(&finished, &kill_times);
    outcome.set("resume_ms", Percentiles::of(&gaps));
    workload::add_extra_work(&mut outcome, &finished, &cluster.ledger);
    outcome
}

/// Kills routers one by one, and starts a replacement for each.
async fn kill_routers(cluster: &mut Cluster, routers: &Routers, count: usize) -> Vec<Instant> {
    let mut times = Vec::new();
    for n in 0..count {
        tokio::time::sleep(KILL_INTERVAL).await;
        let i = n % cluster.routers.len();
        let killed = cluster.routers.remove(i);
        let killed_addr = killed.handle.listen;
        routers
            .write()
            .expect("no reader panics")
            .retain(|addr| *addr != killed_addr);
        killed.process.kill();
        times.push(Instant::now());
        cluster.store.remove_node(&killed.cfg.name);
        let mut next = cluster.start_router(100 + n, None).await;
        next.handle
            .wait_for_revision(cactusbarrow_policy::Revision(1))
            .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        routers
            .write()
            .expect("no reader panics")
            .push(next.handle.listen);
        cluster.routers.insert(i, next);
    }
    times
}

/// Returns the gaps in the output of disconnected callers at the times of the kills.
fn gaps_at_kills(finished: &[GenerationRecord], kills: &[Instant]) -> Vec<Duration> {
    finished
        .iter()
        .filter(|f| f.disconnects > 0)
        .flat_map(|f| {
            kills.iter().filter_map(|kill| {
                let next = f.transcript.arrivals.iter().position(|a| a.at > *kill)?;
                let last = &f.transcript.arrivals[next.checked_sub(1)?];
                let gap = f.transcript.arrivals[next].at - last.at;
                // Shorter gaps occur in streams through routers that were not killed.
                (gap > Duration::from_millis(90)).then_some(gap)
            })
        })
        .collect()
}
