//! Queries the state of processes over their admin endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_net::{Body, HttpClient, HttpVersion, NetError};
use http::Request;

use crate::output::ProcessReport;

const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Queries the state of the process with the admin address `addr`.
pub(crate) async fn query(addr: SocketAddr) -> ProcessReport {
    let address = addr.to_string();
    match read_status(addr).await {
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

async fn read_status(addr: SocketAddr) -> Result<serde_json::Value, NetError> {
    const READ_STATUS: &str = "read status";
    let req = Request::get(format!("http://{addr}/status"))
        .body(Body::Empty)
        .map_err(|e| NetError::new(READ_STATUS, addr, e))?;
    let http = HttpClient::new(HttpVersion::Http1);
    let res = http
        .send_and_collect(READ_STATUS, req, QUERY_TIMEOUT, MAX_RESPONSE_BYTES)
        .await?;
    serde_json::from_slice(res.body()).map_err(|e| NetError::new(READ_STATUS, addr, e))
}
