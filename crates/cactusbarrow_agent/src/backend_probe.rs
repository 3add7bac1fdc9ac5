//! Health probes of the backend server, and load orders to a model engine.

use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_net::{Body, Clock};
use cactusbarrow_policy::LoadOrder;
use http::Request;
use serde::{Deserialize, Serialize};

use crate::agent::Agent;
use crate::config::BackendKind;

const MAX_RESPONSE_BYTES: usize = 64 << 10;
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

#[derive(Deserialize)]
struct EngineState {
    model_version: Option<String>,
}

#[derive(Serialize)]
struct LoadRequest<'a> {
    model_version: &'a str,
    fencing_number: u64,
}

/// Probes the backend server until the agent stops.
pub(crate) async fn run<C: Clock>(agent: Arc<Agent<C>>) {
    loop {
        let is_alive = match agent.cfg.kind {
            BackendKind::Engine => probe_engine(&agent).await,
            BackendKind::Service => probe_service(&agent).await,
        };
        agent.health().record_probe(is_alive);
        tokio::select! {
            () = agent.stop.cancelled() => return,
            () = tokio::time::sleep(agent.cfg.probe_interval) => {}
        }
    }
}

async fn probe_engine<C: Clock>(agent: &Arc<Agent<C>>) -> bool {
    let Some(state) = get(agent, "/state").await else {
        return false;
    };
    let Ok(state) = serde_json::from_slice::<EngineState>(&state) else {
        return false;
    };
    let order = {
        let mut orders = agent.engine_orders();
        orders.record_loaded(state.model_version.as_deref());
        orders.next_order(agent.clock.now())
    };
    if let Some(order) = order {
        agent.tasks.spawn(run_order(agent.clone(), order));
    }
    true
}

async fn probe_service<C: Clock>(agent: &Arc<Agent<C>>) -> bool {
    // Any response counts as alive, since a plain service need not implement the path.
    get(agent, "/healthz").await.is_some()
}

async fn get<C: Clock>(agent: &Agent<C>, path: &str) -> Option<bytes::Bytes> {
    let req = Request::get(format!("http://{}{path}", agent.cfg.backend))
        .body(Body::Empty)
        .ok()?;
    let timeout = agent.cfg.probe_interval;
    let res = agent
        .http
        .send_and_collect("probe", req, timeout, MAX_RESPONSE_BYTES)
        .await;
    res.ok().map(http::Response::into_body)
}

async fn run_order<C: Clock>(agent: Arc<Agent<C>>, order: LoadOrder) {
    let is_loaded = load_version(&agent, &order).await;
    let result = if is_loaded { "done" } else { "failed" };
    metrics::counter!("cactusbarrow_agent_orders_total", "result" => result).increment(1);
    log::info!(
        backend_server = agent.cfg.name,
        version = order.version,
        fence = order.fencing_token.0,
        done = is_loaded;
        "load order finished"
    );
    let now = agent.clock.now();
    agent.engine_orders().record_result(&order, is_loaded, now);
}

async fn load_version<C: Clock>(agent: &Agent<C>, order: &LoadOrder) -> bool {
    let body = serde_json::to_vec(&LoadRequest {
        model_version: &order.version,
        fencing_number: order.fencing_token.0,
    });
    let Ok(body) = body else { return false };
    let req = Request::post(format!("http://{}/load", agent.cfg.backend))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::full(body));
    let Ok(req) = req else { return false };
    let res = agent
        .http
        .send_and_collect("load order", req, LOAD_TIMEOUT, MAX_RESPONSE_BYTES)
        .await;
    match res {
        Ok(res) => res.status().is_success(),
        Err(e) => {
            log::warn!(step = e.step, peer = e.peer; "{e}");
            false
        }
    }
}
