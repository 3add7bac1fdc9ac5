//! HTTP endpoints for metrics, health checks and process status.

use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::Context;
use cactusbarrow_net::{
    Body, ConnectionLimit, ProcessMemory, RequestBody, ServeConfig, listen, serve,
};
use http::{HeaderValue, Request, Response, StatusCode, header};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Connections to the endpoints at once.
const MAX_CONNECTIONS: usize = 32;

/// Process state reported by `/status` and `/readyz`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub(crate) struct Status {
    /// Name of the process.
    pub(crate) name: String,
    /// `router`, `agent` or `gateway`.
    pub(crate) role: &'static str,
    /// Whether the process accepts new work.
    pub(crate) ready: bool,
    /// Current revision of the configuration.
    pub(crate) revision: u64,
}

/// Installs the global metrics recorder.
pub(crate) fn install_metrics_recorder() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("install the metrics recorder")?;
    Ok(handle)
}

/// Serves the endpoints on `addr` until `shutdown` is cancelled.
pub(crate) async fn start(
    addr: SocketAddr,
    metrics: PrometheusHandle,
    status: watch::Receiver<Status>,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let (listener, _) = listen(addr)
        .await
        .with_context(|| format!("listen on {addr} for metrics and health"))?;
    let service = tower::service_fn(move |req: Request<RequestBody>| {
        let res = respond(req.uri().path(), &metrics, &status.borrow());
        std::future::ready(Ok::<_, Infallible>(res))
    });
    let cfg = ServeConfig {
        connections: ConnectionLimit::new(&ProcessMemory::default(), MAX_CONNECTIONS),
        ..ServeConfig::default()
    };
    tokio::spawn(serve(listener, service, cfg, shutdown));
    Ok(())
}

fn respond(path: &str, metrics: &PrometheusHandle, status: &Status) -> Response<Body> {
    match path {
        "/metrics" => {
            metrics.run_upkeep();
            text_response(StatusCode::OK, metrics.render())
        }
        "/healthz" => text_response(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if status.ready => text_response(StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/status" => {
            let json = serde_json::to_string(status).unwrap_or_default();
            text_response(StatusCode::OK, json)
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n".to_owned()),
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut res = Response::new(Body::full(text));
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    res.headers_mut().insert(header::CONTENT_TYPE, content_type);
    res
}
