//! Asking processes for their state.

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_net::{Body, HttpClient, HttpVersion, NetError};
use http::Request;

use crate::output::ProcessReport;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Asks a process for its state.
pub(crate) async fn ask(addr: SocketAddr) -> ProcessReport {
    let address = addr.to_string();
    match read(addr).await {
        Ok(status) => ProcessReport {
            address,
            status: Some(status),
            error: None,
        },
        Err(e) => ProcessReport {
            address,
            status: None,
            error: Some(e.to_string()),
        },
    }
}

async fn read(addr: SocketAddr) -> Result<serde_json::Value, NetError> {
    const STEP: &str = "read status";
    let req = Request::get(format!("http://{addr}/status"))
        .body(Body::Empty)
        .map_err(|e| NetError::new(STEP, addr, e))?;
    let http = HttpClient::new(HttpVersion::Http1);
    let res = http
        .send_and_collect(STEP, req, TIMEOUT, MAX_ANSWER_BYTES)
        .await?;
    serde_json::from_slice(res.body()).map_err(|e| NetError::new(STEP, addr, e))
}
