//! Checks which incarnation of an engine a connection leads to.
//!
//! Load pattern: an engine starts again under its id and address, at another software version, and its entry
//! tells later. The versions of streams are those of entries, so a stream goes only to the incarnation that
//! registered the entry.

use std::time::Duration;

use cactusbarrow_adapter::{decode_report_incarnation, decode_server_notice, report_request};
use cactusbarrow_net::{Clock, NetError};
use cactusbarrow_policy::{BackendEntry, BackendKey, LossCause};

use crate::backend_connection::BackendConnection;
use crate::shared::Shared;

const STEP: &str = "check incarnation";

/// Time-out of a further connect to an engine that closes its connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Size of the largest report that is read.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Which incarnation a report is from.
enum Reporter {
    /// The one of the entry, as far as is known; the connection follows unless the engine has closed it.
    Registered(Option<BackendConnection>),
    /// Another one.
    Other,
}

/// Returns a connection to the incarnation that registered `entry`, which is `conn` unless the engine closes
/// it after its report; `None` if another incarnation responds.
pub(crate) async fn check<C: Clock>(
    shared: &Shared<C>,
    (key, entry): (BackendKey, &BackendEntry),
    conn: BackendConnection,
) -> Result<Option<BackendConnection>, NetError> {
    if !entry.states_incarnation() {
        return Ok(Some(conn));
    }
    match ask(shared, (key, entry), conn).await? {
        Reporter::Registered(Some(conn)) => return Ok(Some(conn)),
        Reporter::Registered(None) => {}
        Reporter::Other => return Ok(None),
    }
    // One incarnation listens at a time, so the one that reports after a connection was opened has accepted it.
    let conn = BackendConnection::open(entry.address, CONNECT_TIMEOUT).await?;
    let reporting = BackendConnection::open(entry.address, CONNECT_TIMEOUT).await?;
    match ask(shared, (key, entry), reporting).await? {
        Reporter::Registered(_) => Ok(Some(conn)),
        Reporter::Other => Ok(None),
    }
}

/// Asks for a report and compares its incarnation with that of the entry; fails if the response is no report.
async fn ask<C: Clock>(
    shared: &Shared<C>,
    (key, entry): (BackendKey, &BackendEntry),
    conn: BackendConnection,
) -> Result<Reporter, NetError> {
    metrics::counter!("gateway_incarnation_checks_total").increment(1);
    let req = report_request(&entry.address.to_string());
    let (head, body, conn) = conn
        .exchange(STEP, req, MAX_REPORT_BYTES, shared.process_memory())
        .await?;
    let report = decode_report_incarnation(head.status, &body);
    if report.is_some_and(|incarnation| !entry.may_be_of(incarnation)) {
        shared.record_loss(key, LossCause::Restarted, STEP);
        return Ok(Reporter::Other);
    }
    // That a report is served does not show that requests are, so it ends no stated time.
    let notice = decode_server_notice(head.status, &head.headers);
    shared.record_statement(entry, notice);
    if report.is_none() {
        let message = format!("status {} without a report", head.status);
        return Err(NetError::new(STEP, entry.address, message));
    }
    shared.fleet().record_report(key, shared.now());
    Ok(Reporter::Registered(conn))
}
