//! Prompts of which a shared part ends each engine that begins to respond to them.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{BackendStandin, CallerHead};
use common::{CallerResponse, EVENTS, Gateway, TestCluster, caller_head, free_ports};
use tokio::task::JoinSet;

/// Part that ends engines.
const DEADLY: &str = "91bd3f06";

/// Time in which all gateways have to know a part under which five engines have ended.
const RECOGNITION_TIME: Duration = Duration::from_secs(3);

/// Number of requests with the part that may reach engines after that.
const TOLERATED_RUNS: usize = 3;

/// Duration of the load that a test replays.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Sends a generation whose prompt has these shared parts, besides one of its own.
async fn generate(gateway: &Gateway, request_id: &str, shared: &str) -> CallerResponse {
    let parts = format!("{shared},e0{}:900", request_id.replace('-', ""));
    let extra = [("cactusbarrow-prompt-prefix", parts.as_str())];
    let head = CallerHead {
        extra: &extra,
        ..caller_head(request_id, "/stream/1")
    };
    gateway.call(&head, "POST").await
}

fn deadly_prompt() -> String {
    format!("5c1e07a2:200,{DEADLY}:400")
}

/// Sends one generation after another with a sound prompt that has its first part in common with
/// the deadly ones; returns how many were incomplete although they arrived later than `from`.
async fn send_sound(gateway: Arc<Gateway>, name: String, from: Instant, until: Instant) -> usize {
    let mut failures = 0;
    for i in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            break;
        }
        let parts = format!("5c1e07a2:200,50{name}{i}:400");
        let response = generate(&gateway, &format!("sound-{name}-{i}"), &parts).await;
        let is_complete = response.body.is_some() && response.event_ids().len() as u64 == EVENTS;
        failures += usize::from(sent_at >= from && !is_complete);
    }
    failures
}

/// Sends a deadly generation every second, to one gateway after the other.
async fn send_deadly(gateways: [Arc<Gateway>; 2], until: Instant) {
    let mut calls = JoinSet::new();
    for i in 0.. {
        if Instant::now() >= until {
            break;
        }
        let gateway = gateways[i % 2].clone();
        calls.spawn(async move {
            generate(&gateway, &format!("deadly-{i}"), &deadly_prompt()).await;
        });
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    calls.join_all().await;
}

/// Returns when the deadly runs started.
fn deadly_runs(cluster: &TestCluster) -> Vec<Instant> {
    let runs = cluster.engines.iter().flat_map(BackendStandin::runs);
    let is_deadly = |run: &cactusbarrow_adapter_standins::Run| {
        let id = &run.headers["cactusbarrow-request-id"];
        id.to_str().is_ok_and(|id| id.starts_with("deadly"))
    };
    runs.filter(is_deadly).map(|run| run.started_at).collect()
}

/// Starts engines that end under the deadly part, and two gateways that are peers.
async fn start(engines: usize) -> (TestCluster, [Arc<Gateway>; 2]) {
    let cluster = TestCluster::start(engines).await;
    for engine in &cluster.engines {
        engine.set_deadly_parts(&[DEADLY]);
    }
    let base = free_ports("127.0.0.1");
    let first = cluster.gateway("127.0.0.1", base, "127.0.0.2").await;
    let second = cluster.gateway("127.0.0.2", base, "127.0.0.1").await;
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    (cluster, [Arc::new(first), Arc::new(second)])
}

/// Replays deadly and sound generations at both gateways; checks that few deadly ones reach engines
/// once the part can be known, and that the sound ones are complete.
async fn replay_load(cluster: &TestCluster, gateways: &[Arc<Gateway>; 2]) {
    let until = Instant::now() + LOAD_TIME;
    let from = until - LOAD_TIME / 3;
    let mut sound = JoinSet::new();
    for i in 0..6 {
        let gateway = gateways[i % 2].clone();
        sound.spawn(send_sound(gateway, format!("{i}a"), from, until));
    }
    send_deadly(gateways.clone(), until).await;
    let failures: usize = sound.join_all().await.into_iter().sum();
    let mut ends: Vec<Instant> = cluster
        .engines
        .iter()
        .filter_map(BackendStandin::killed_at)
        .collect();
    ends.sort_unstable();
    if let Some(fifth) = ends.get(4) {
        let runs = deadly_runs(cluster);
        let is_late = |started_at: &&Instant| **started_at > *fifth + RECOGNITION_TIME;
        let late = runs.iter().filter(is_late).count();
        let ended = ends.len();
        assert!(
            late <= TOLERATED_RUNS,
            "{late} deadly requests reached engines after the part could be known; {ended} ended"
        );
    }
    assert_eq!(failures, 0, "sound generations were incomplete");
}

/// Guards against requests that end one engine after the other, at whichever gateway they arrive.
#[tokio::test]
async fn deadly_part_stops_reaching_engines() {
    let (cluster, gateways) = start(40).await;
    replay_load(&cluster, &gateways).await;
}

/// Guards against gateways that all restart and have to see engines end again.
#[tokio::test]
async fn deadly_part_is_known_after_all_gateways_ended() {
    let (cluster, gateways) = start(40).await;
    replay_load(&cluster, &gateways).await;
    for gateway in gateways {
        let gateway = Arc::into_inner(gateway).expect("no caller is left");
        gateway.handle.stop().await;
    }
    let runs = deadly_runs(&cluster).len();
    let next = cluster.one_gateway().await;
    for i in 0..3 {
        let response = generate(&next, &format!("deadly-again-{i}"), &deadly_prompt()).await;
        assert_eq!(response.status(), 503);
        assert!(response.head.headers().contains_key("retry-after"));
    }
    assert_eq!(deadly_runs(&cluster).len(), runs);
    let sound = generate(&next, "sound-again", "5c1e07a2:200,50b:400").await;
    assert_eq!(sound.event_ids().len() as u64, EVENTS);
}
