//! Probes backend servers that have fallen silent, and detects their loss and return.

use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_adapter::{
    decode_instance, decode_server_notice, instance_request, report_request,
};
use cactusbarrow_net::{Clock, NetError};
use cactusbarrow_policy::{BackendEntry, BackendKey, HeartbeatAction, LossCause};
use tokio_util::sync::CancellationToken;

use crate::backend_connection::BackendConnection;
use crate::incarnation_check;
use crate::shared::Shared;

/// Interval at which the heartbeats of backend servers are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time-out of a request to a backend server and its response. The fleet considers a silent
/// backend server lost sooner, after `HeartbeatConfig::probe_timeout`.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Checks heartbeats and sends probes until `stop` is cancelled.
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
                    shared.handle_loss(key, LossCause::Silent, "wait for heartbeat");
                }
            }
        }
        shared.expire_missing(now);
        shared.cancel_unreliable_tokens();
    }
}

async fn probe<C: Clock>(shared: Arc<Shared<C>>, key: BackendKey) {
    let Some(entry) = shared.fleet().get(key).map(|b| b.entry.clone()) else {
        return;
    };
    metrics::counter!("gateway_probes_total").increment(1);
    let sent_at = shared.now();
    let exchange = async {
        let conn = BackendConnection::open(entry.address, EXCHANGE_TIMEOUT).await?;
        let req = report_request(&entry.address.to_string());
        conn.send("ask for report", req).await
    };
    let result = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
    match result {
        Ok(Ok(res)) => {
            let notice = decode_server_notice(res.head.status, &res.head.headers);
            shared.record_notice(&entry, notice, sent_at);
            shared.fleet().record_report(key, shared.now());
        }
        Ok(Err(e)) => record_probe_failure(&shared, key, &e),
        // The fleet has already considered the backend server lost.
        Err(_) => {}
    }
}

/// Asks a lost backend server for its instance, to see whether it is back or was replaced.
async fn identify<C: Clock>(shared: Arc<Shared<C>>, key: BackendKey) {
    let Some(entry) = shared.fleet().get(key).map(|b| b.entry.clone()) else {
        return;
    };
    let config = shared.config();
    let spec = config
        .as_ref()
        .and_then(|config| config.services.get(&entry.service));
    let Some(spec) = spec else {
        return;
    };
    metrics::counter!("gateway_identity_checks_total").increment(1);
    let sent_at = shared.now();
    let exchange = async {
        const STEP: &str = "ask for identity";
        let conn = BackendConnection::open(entry.address, EXCHANGE_TIMEOUT).await?;
        if !shared.fleet().accepts_orders(key, shared.now()) {
            return Err(NetError::new(STEP, entry.address, "server wants no checks"));
        }
        let req = instance_request(&entry.address.to_string(), &spec.health_path);
        conn.send(STEP, req).await
    };
    let head = match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(Ok(res)) => res.head,
        // The backend server stays lost until the next check.
        Ok(Err(_)) | Err(_) => return,
    };
    let notice = decode_server_notice(head.status, &head.headers);
    match decode_instance(&head.headers) {
        Some(instance) if instance == *entry.instance => {
            shared.record_notice(&entry, notice, sent_at);
            if is_registered(&shared, key, &entry).await {
                shared.record_alive(key);
            }
        }
        Some(_) => shared.record_loss(key, LossCause::Replaced, "ask for identity"),
        None => shared.record_unnamed_notice(&entry, notice),
    }
}

/// Returns whether the incarnation that registered the entry responds.
async fn is_registered<C: Clock>(
    shared: &Shared<C>,
    key: BackendKey,
    entry: &BackendEntry,
) -> bool {
    if !shared.fleet().accepts_orders(key, shared.now()) {
        return true;
    }
    let exchange = async {
        let conn = BackendConnection::open(entry.address, EXCHANGE_TIMEOUT).await?;
        incarnation_check::check(shared, (key, entry), conn).await
    };
    let result = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
    matches!(result, Ok(Ok(Some(_))))
}

fn record_probe_failure<C: Clock>(shared: &Shared<C>, key: BackendKey, e: &NetError) {
    log::info!(step = e.step, peer = e.peer.as_str(); "probe failed: {e}");
    let cause = shared.fleet().probe_loss_cause(key, e.is_refused);
    shared.record_loss(key, cause, e.step);
}
