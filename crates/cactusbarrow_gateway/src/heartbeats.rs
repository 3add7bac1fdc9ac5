//! Asks quiet backend servers for signs of life.

use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_adapter::{decode_instance, instance_request, report_request};
use cactusbarrow_net::{Clock, NetError};
use cactusbarrow_policy::{BackendKey, HeartbeatAction, LossCause};
use tokio_util::sync::CancellationToken;

use crate::exchange::Connection;
use crate::shared::Shared;

/// Interval at which heartbeats are judged.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a report; the heartbeat's own limit is shorter.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Judges heartbeats until `stop`.
pub(crate) async fn run<C: Clock>(shared: Arc<Shared<C>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        let now = shared.now();
        let actions = shared.fleet().poll_heartbeats(now);
        for action in actions {
            match action {
                HeartbeatAction::Probe(key) => {
                    tokio::spawn(probe(shared.clone(), key));
                }
                HeartbeatAction::Identify(key) => {
                    tokio::spawn(identify(shared.clone(), key));
                }
                HeartbeatAction::Lost(key) => {
                    shared.announce_loss(key, LossCause::Silent, "wait for heartbeat");
                }
            }
        }
        for instance in shared.fleet().expire_missing(now) {
            log::info!(instance = &*instance; "entry did not come back after the outage");
        }
        shared.announce_gone();
    }
}

async fn probe<C: Clock>(shared: Arc<Shared<C>>, key: BackendKey) {
    let Some(address) = shared.fleet().get(key).map(|b| b.entry.address) else {
        return;
    };
    metrics::counter!("gateway_probes_total").increment(1);
    let exchange = async {
        let conn = Connection::open(address, REPORT_TIMEOUT).await?;
        let req = report_request(&address.to_string());
        conn.send("ask for report", req).await
    };
    let result = tokio::time::timeout(REPORT_TIMEOUT, exchange).await;
    match result {
        Ok(Ok(_)) => shared.record_heard(key),
        Ok(Err(e)) => on_failure(&shared, key, &e),
        // The heartbeat's own limit has decided by now.
        Err(_) => {}
    }
}

/// Asks a backend server that was lost which instance it is now.
async fn identify<C: Clock>(shared: Arc<Shared<C>>, key: BackendKey) {
    let Some(entry) = shared.fleet().get(key).map(|b| b.entry.clone()) else {
        return;
    };
    let routes = shared.routes();
    let spec = routes
        .as_ref()
        .and_then(|set| set.services.get(&entry.service));
    let Some(spec) = spec else {
        return;
    };
    metrics::counter!("gateway_identity_checks_total").increment(1);
    let exchange = async {
        let conn = Connection::open(entry.address, REPORT_TIMEOUT).await?;
        let req = instance_request(&entry.address.to_string(), &spec.health_path);
        conn.send("ask for identity", req).await
    };
    let identity = match tokio::time::timeout(REPORT_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => decode_instance(&answer.head.headers),
        // It stays lost until the next check.
        Ok(Err(_)) | Err(_) => return,
    };
    match identity {
        Some(instance) if instance == *entry.instance => shared.record_heard(key),
        Some(_) => shared.record_loss(key, LossCause::Replaced, "ask for identity"),
        None => {}
    }
}

fn on_failure<C: Clock>(shared: &Shared<C>, key: BackendKey, e: &NetError) {
    log::info!(step = e.step, peer = e.peer.as_str(); "probe failed: {e}");
    // An engine that refuses a connection has ended, and its streams with it.
    shared.record_loss(key, LossCause::Silent, e.step);
}
