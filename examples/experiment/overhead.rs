//! Overhead experiment: the same load directly to engines, and through router and agent.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_net::{Body, HttpClient, HttpVersion, SseDecoder};
use cactusbarrow_standins::{Caller, Cluster, ClusterConfig, EngineConfig, api_key};
use http::Request;
use http_body_util::BodyExt;
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};
use crate::workload::{self, Load};

const TOKENS: usize = 200;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

/// Measures the latency and the CPU time that router and agent add to a stream.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut engine = EngineConfig::new("captions-v1");
    engine.token_interval = TOKEN_INTERVAL;
    engine.slots = 1_000;
    let cluster = Cluster::start(ClusterConfig {
        routers: 1,
        engines: 2,
        zones: 1,
        engine,
        ..ClusterConfig::default()
    })
    .await;
    let streams = if is_short { 20 } else { 120 };
    let direct = run_direct(&cluster, streams).await;
    let load = Load {
        generations: streams,
        interval: Duration::from_millis(20),
        min_tokens: TOKENS,
        max_tokens: TOKENS,
    };
    let routers = Arc::new(RwLock::new(cluster.router_addrs()));
    let cpu = || {
        let agents = cluster.engines.iter().map(|server| server.agent.cpu_time());
        (
            cluster.routers[0].process.cpu_time(),
            agents.sum::<Duration>(),
        )
    };
    let (router_before, agents_before) = cpu();
    let finished = workload::run_load(load, seed, routers, Caller::new(&api_key(0))).await;
    let (router_after, agents_after) = cpu();
    let mut outcome = Outcome::new("overhead", seed);
    workload::check_transcripts(&mut outcome, &finished, &cluster.ledger);
    let through = workload::first_token_times(&finished);
    outcome.set("first_token_ms_direct", direct);
    outcome.set("first_token_ms_through", through);
    outcome.set(
        "first_token_added_ms_p50",
        rounded(through.p50 - direct.p50),
    );
    outcome.set(
        "first_token_added_ms_p95",
        rounded(through.p95 - direct.p95),
    );
    let tokens: usize = finished.iter().map(|f| f.transcript.tokens.len()).sum();
    let per_token = |time: Duration| rounded(time.as_secs_f64() * 1e6 / tokens.max(1) as f64);
    let router = router_after - router_before;
    let agents = agents_after - agents_before;
    outcome.set("router_cpu_us_per_token", per_token(router));
    outcome.set("agent_cpu_us_per_token", per_token(agents));
    let per_core = |time: Duration| (tokens as f64 / time.as_secs_f64().max(1e-9)).round();
    outcome.set("router_tokens_per_s_per_core", per_core(router));
    outcome.set("agent_tokens_per_s_per_core", per_core(agents));
    outcome
}

/// Runs the load directly against the engines, and returns the times to the first token.
async fn run_direct(cluster: &Cluster, streams: usize) -> Percentiles {
    let http = HttpClient::new(HttpVersion::Http1);
    let mut running = JoinSet::new();
    for i in 0..streams {
        let engine = cluster.engines[i % cluster.engines.len()].backend.addr;
        let body = serde_json::json!({
            "prompt": format!("direct forecast {i}"),
            "model_version": "captions-v1",
            "max_tokens": TOKENS,
            "seed": i,
        });
        let req = Request::post(format!("http://{engine}/v1/completions"))
            .body(Body::full(body.to_string()))
            .expect("a valid request");
        running.spawn(read_direct(http.clone(), req));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let times: Vec<Duration> = running.join_all().await.into_iter().flatten().collect();
    Percentiles::of(&times)
}

async fn read_direct(http: HttpClient, req: Request<Body>) -> Option<Duration> {
    let started = Instant::now();
    let mut body = http.send("direct", req).await.ok()?.into_body();
    let mut decoder = SseDecoder::default();
    let mut first = None;
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            decoder.push(&data);
        }
        while let Ok(Some(_)) = decoder.next_event() {
            first.get_or_insert_with(|| started.elapsed());
        }
    }
    first
}
