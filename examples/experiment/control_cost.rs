//! Control cost experiment: bytes, CPU time and memory for control at several fleet sizes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusbarrow_document::{BackendServer, Customer, Object, hash_api_key};
use cactusbarrow_net::{ControlClient, SystemClock};
use cactusbarrow_platform::{CommitRequest, ConsulStore, Edit, commit, load_configuration};
use cactusbarrow_policy::Revision;
use cactusbarrow_protocol::generated::Offer;
use cactusbarrow_protocol::generated::control_request::Request;
use cactusbarrow_router::{RouterConfig, RouterHandle};
use cactusbarrow_standins::{Cluster, ClusterConfig, EmulatedProcess};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::report::{Outcome, rounded};

const TARGET_SERVERS: f64 = 12_000.0;
const TARGET_CUSTOMERS: f64 = 9_200.0;
const TARGET_CHANGES_PER_S: f64 = 36_000.0 / 86_400.0;
/// Size of a router's subset of backend servers at target size; see the experiment `membership`.
const TARGET_SUBSET: f64 = 160.0;
/// Higher than the default, so that the cost of a poll is measurable.
const POLLS_PER_S: f64 = 10.0;
const CHANGES: u32 = 20;
const OFFER_TIMEOUT: Duration = Duration::from_secs(2);
const PAGE_BYTES: u64 = 4_096;

/// Cost of polling a subset while the configuration and the load stay the same.
#[derive(Serialize)]
struct PollRow {
    agents: usize,
    loopback_bytes_per_s: f64,
    bytes_per_poll: f64,
    router_cpu_percent: f64,
    agent_cpu_percent: f64,
    process_cpu_percent: f64,
}

/// Cost of storing a configuration, and of adopting changes to it.
#[derive(Serialize)]
struct ConfigRow {
    objects: usize,
    resident_bytes_per_object: f64,
    /// CPU time per change at a router that watches the store.
    adopt_ms_per_change: f64,
    /// CPU time per change at a router that learns of changes from a peer.
    learn_ms_per_change: f64,
    bytes_in_store: u64,
    largest_value: u64,
}

/// Measures each fleet size, and extrapolates to the target size.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut outcome = Outcome::new("control_cost", seed);
    let (sizes, objects): (&[usize], &[usize]) = if is_short {
        (&[4, 8], &[500, 1_000])
    } else {
        (&[0, 10, 20, 40, 80], &[2_000, 5_000, 10_000, 21_200])
    };
    let mut polls = Vec::new();
    for agents in sizes {
        polls.push(measure_polls(*agents).await);
    }
    let mut configs = Vec::new();
    for count in objects {
        configs.push(measure_config(*count).await);
    }
    extrapolate(&mut outcome, &polls, &configs);
    outcome.set("polls", polls);
    outcome.set("configuration", configs);
    outcome
}

fn extrapolate(outcome: &mut Outcome, polls: &[PollRow], configs: &[ConfigRow]) {
    let rate = RouterConfig::new("", "", any_loopback_addr(), any_loopback_addr()).polls_per_second;
    let (Some(poll), Some(config)) = (polls.last(), configs.last()) else {
        return;
    };
    outcome.set("polls_per_s_default", rate);
    outcome.set(
        "target_poll_bytes_per_s",
        rounded(poll.bytes_per_poll * rate),
    );
    outcome.set("target_seconds_between_polls", TARGET_SUBSET / rate);
    let objects = TARGET_SERVERS + TARGET_CUSTOMERS;
    let memory = slope(configs, |c| c.resident_bytes_per_object * c.objects as f64) * objects;
    outcome.set("target_configuration_mb", rounded(memory / 1e6));
    let percent = |ms: f64| rounded(ms * TARGET_CHANGES_PER_S / 10.0);
    outcome.set(
        "target_adopt_cpu_percent",
        percent(config.adopt_ms_per_change),
    );
    outcome.set(
        "target_learn_cpu_percent",
        percent(config.learn_ms_per_change),
    );
}

/// Returns the least-squares slope of a figure over the number of objects.
fn slope(rows: &[ConfigRow], figure: impl Fn(&ConfigRow) -> f64) -> f64 {
    let n = rows.len() as f64;
    let mean_x = rows.iter().map(|r| r.objects as f64).sum::<f64>() / n;
    let mean_y = rows.iter().map(&figure).sum::<f64>() / n;
    let covariance = |r: &ConfigRow| (r.objects as f64 - mean_x) * (figure(r) - mean_y);
    let variance = |r: &ConfigRow| (r.objects as f64 - mean_x).powi(2);
    rows.iter().map(covariance).sum::<f64>() / rows.iter().map(variance).sum::<f64>()
}

async fn measure_polls(agents: usize) -> PollRow {
    let mut cfg = ClusterConfig {
        routers: 1,
        engines: agents,
        zones: 1,
        ..ClusterConfig::default()
    };
    // Health checks stay on the agent's host and are not control traffic between hosts.
    cfg.agent.probe_interval = Duration::from_secs(600);
    cfg.router.polls_per_second = POLLS_PER_S;
    cfg.router.subset.max_whole_group = 1_000;
    let cluster = Cluster::start(cfg).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let router_cpu = cluster.routers[0].process.cpu_time();
    let agents_cpu = || -> Duration { cluster.engines.iter().map(|s| s.agent.cpu_time()).sum() };
    let (agent_cpu, process, bytes) = (agents_cpu(), process_cpu_time(), loopback_bytes());
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let seconds = started.elapsed().as_secs_f64();
    let percent = |time: Duration| rounded(time.as_secs_f64() / seconds * 100.0);
    let sent = (loopback_bytes() - bytes) as f64 / seconds;
    PollRow {
        agents,
        loopback_bytes_per_s: rounded(sent),
        bytes_per_poll: rounded(sent / POLLS_PER_S),
        router_cpu_percent: percent(cluster.routers[0].process.cpu_time() - router_cpu),
        agent_cpu_percent: rounded(percent(agents_cpu() - agent_cpu) / agents.max(1) as f64),
        process_cpu_percent: percent(process_cpu_time() - process),
    }
}

async fn measure_config(objects: usize) -> ConfigRow {
    let cluster = Cluster::start(ClusterConfig {
        routers: 0,
        engines: 1,
        zones: 1,
        ..ClusterConfig::default()
    })
    .await;
    let template = cluster.engines[0].object.clone();
    let servers = objects * 12_000 / 21_200;
    let edits = (0..objects)
        .map(|i| Edit::Set(filler_object(i, servers, &template)))
        .collect();
    let revision = cluster.commit("fill", edits).await;
    let before = resident_bytes();
    let store = cluster.store_client();
    let watching = start_router(idle_router("router-0", 1_000), &store, revision).await;
    let resident = resident_bytes().saturating_sub(before);
    let learning = start_router(idle_router("router-1", 0), &store, revision).await;
    // Excludes the work that a router does once at start-up.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let cpu = || (watching.0.cpu_time(), learning.0.cpu_time());
    let before = cpu();
    apply_changes(&store, &template, &watching.1, &learning.1).await;
    let after = cpu();
    let per_change = |time: Duration| rounded(time.as_secs_f64() * 1e3 / f64::from(CHANGES));
    let counts = &cluster.store.counts;
    ConfigRow {
        objects,
        resident_bytes_per_object: rounded(resident as f64 / objects as f64),
        adopt_ms_per_change: per_change(after.0 - before.0),
        learn_ms_per_change: per_change(after.1 - before.1),
        bytes_in_store: stored_bytes(&store).await,
        largest_value: counts
            .largest_value_bytes
            .load(std::sync::atomic::Ordering::Relaxed),
    }
}

/// Returns the configuration of a router with many peers that polls no agents, since the agents of
/// filler objects do not exist.
fn idle_router(name: &str, watchers_per_zone: usize) -> RouterConfig {
    let peer = |i| cactusbarrow_router::Peer {
        name: format!("peer-{i}"),
        zone: "zone-0".to_owned(),
        control: SocketAddr::from(([127, 0, 0, 1], 9)),
    };
    let mut cfg = RouterConfig::new(name, "zone-0", any_loopback_addr(), any_loopback_addr());
    cfg.polls_per_second = 0.01;
    cfg.subset.max_whole_group = 0;
    cfg.subset.min_per_group = 0;
    cfg.seeds = (0..90).map(peer).collect();
    cfg.watchers_per_zone = watchers_per_zone;
    cfg.idle_read_interval = Duration::from_secs(600);
    cfg.gossip_interval = Duration::from_secs(600);
    cfg
}

async fn start_router(
    cfg: RouterConfig,
    store: &ConsulStore,
    revision: Revision,
) -> (EmulatedProcess, RouterHandle) {
    let store = store.clone();
    let (process, handle) = EmulatedProcess::start(async move {
        cactusbarrow_router::start(cfg, store, SystemClock, CancellationToken::new()).await
    })
    .await;
    let mut handle = handle.expect("the router starts");
    handle.wait_for_revision(revision).await;
    (process, handle)
}

/// Changes one backend server repeatedly; one router watches the store, the other is offered each
/// revision.
async fn apply_changes(
    store: &ConsulStore,
    template: &BackendServer,
    watching: &RouterHandle,
    learning: &RouterHandle,
) {
    let control = ControlClient::new();
    for i in 0..CHANGES {
        let base = load_configuration(store).await.expect("the store responds");
        let mut changed = template.clone();
        changed.max_in_flight = 1_000 + i;
        let req = CommitRequest {
            operation: format!("change-{i}"),
            base: base.root.revision(),
            edits: vec![Edit::Set(Object::BackendServer(changed))],
        };
        let revision = commit(store, &req).await.expect("accepted").revision;
        wait_for_revision(watching, revision).await;
        let offer = Request::Offer(Offer {
            revision: revision.0,
            from: watching.control.to_string(),
        });
        let offered = control.call(learning.control, offer, OFFER_TIMEOUT).await;
        offered.expect("the learner responds");
        wait_for_revision(learning, revision).await;
    }
}

async fn wait_for_revision(router: &RouterHandle, revision: Revision) {
    let mut revisions = router.subscribe_config();
    let adopted = revisions.wait_for(|fleet| fleet.revision() >= revision);
    adopted.await.expect("the router lives");
}

async fn stored_bytes(store: &ConsulStore) -> u64 {
    let configuration = load_configuration(store).await.expect("the store responds");
    let shards = configuration.shards.values();
    shards.map(|shard| shard.encode().len() as u64).sum()
}

fn filler_object(i: usize, servers: usize, template: &BackendServer) -> Object {
    if i < servers {
        return Object::BackendServer(BackendServer {
            name: format!("filler-engine-{i}"),
            zone: format!("zone-{}", i % 8),
            ..template.clone()
        });
    }
    Object::Customer(Customer {
        name: format!("filler-customer-{i}"),
        key_sha256: hash_api_key(&format!("filler {i}")),
        max_in_flight: 100,
        tokens_per_second: 10_000,
        services: Vec::new(),
    })
}

fn any_loopback_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the bytes that crossed the loopback interface, headers included.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    text.lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn process_cpu_time() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten();
    tasks
        .flatten()
        .map(|task| cactusbarrow_standins::thread_cpu_time(&task.file_name().to_string_lossy()))
        .sum()
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
