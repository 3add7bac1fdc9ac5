//! Finds out whether the process of an engine has ended after a connection to it broke.

use std::time::Duration;

use cactusbarrow_adapter::{decode_instance, decode_server_notice, instance_request};
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{BackendEntry, LossCause};

use crate::backend_connection::BackendConnection;
use crate::shared::Shared;

/// Times after a connection broke at which it is checked whether the engine's process has ended.
const END_CHECKS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(40),
    Duration::from_millis(120),
];

/// Time-out of a connect that checks whether an engine's process has ended.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// What one check shows about an engine's process.
enum EndCheck {
    /// It has ended: its address refuses connections, or another instance responds there.
    Ended,
    /// It responds.
    Running,
    /// The connection was closed without a response, as by a proxy whose target has ended.
    Closed,
    /// Nothing was heard in time.
    Unclear,
}

/// Returns whether an engine's process has ended.
///
/// An engine that is leaving refuses connections, too, and ends as planned.
pub(crate) async fn has_ended<C: Clock>(shared: &Shared<C>, engine: &BackendEntry) -> bool {
    let broken_at = tokio::time::Instant::now();
    let mut closed = 0;
    for delay in END_CHECKS {
        tokio::time::sleep_until(broken_at + delay).await;
        match check_end(shared, engine).await {
            EndCheck::Ended => return record_engine_end(shared, engine),
            EndCheck::Running => return false,
            EndCheck::Closed => closed += 1,
            EndCheck::Unclear => {}
        }
    }
    closed == END_CHECKS.len() && record_engine_end(shared, engine)
}

/// Asks an engine for its instance.
async fn check_end<C: Clock>(shared: &Shared<C>, engine: &BackendEntry) -> EndCheck {
    let conn = match BackendConnection::open(engine.address, END_CHECK_TIMEOUT).await {
        Ok(conn) => conn,
        Err(e) if e.is_refused => return EndCheck::Ended,
        Err(_) => return EndCheck::Unclear,
    };
    let config = shared.config();
    let spec = config
        .as_ref()
        .and_then(|c| c.services.get(&engine.service));
    let Some(spec) = spec else {
        return EndCheck::Unclear;
    };
    let sent_at = shared.now();
    if !shared.fleet().take_check(engine, sent_at) {
        return EndCheck::Unclear;
    }
    metrics::counter!("gateway_identity_checks_total").increment(1);
    let req = instance_request(&engine.address.to_string(), &spec.health_path);
    let exchange = conn.send("check engine end", req);
    match tokio::time::timeout(END_CHECK_TIMEOUT, exchange).await {
        Ok(Ok(res)) => {
            let notice = decode_server_notice(res.head.status, &res.head.headers);
            match decode_instance(&res.head.headers) {
                Some(instance) if instance == *engine.instance => {
                    shared.record_notice(engine, notice, sent_at);
                    EndCheck::Running
                }
                Some(_) => EndCheck::Ended,
                None => {
                    shared.record_unnamed_notice(engine, notice);
                    EndCheck::Unclear
                }
            }
        }
        Ok(Err(_)) => EndCheck::Closed,
        Err(_) => EndCheck::Unclear,
    }
}

/// Records that an engine has ended; returns whether it ended unexpectedly.
fn record_engine_end<C: Clock>(shared: &Shared<C>, engine: &BackendEntry) -> bool {
    let Some(key) = shared.fleet().key_of(&engine.instance) else {
        return true;
    };
    let cause = shared.fleet().probe_loss_cause(key, true);
    shared.record_loss(key, LossCause::Refused, "check engine end");
    cause == LossCause::Terminated
}
