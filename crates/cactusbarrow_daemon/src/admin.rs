//! Metrics and health over HTTP.

use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::Context;
use cactusbarrow_net::{Body, ServeConfig, serve};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// State of the process, as `/status` and `/readyz` tell it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub(crate) struct Status {
    /// Name of the process.
    pub(crate) name: String,
    /// `router` or `agent`.
    pub(crate) role: &'static str,
    /// Whether it takes work.
    pub(crate) ready: bool,
    /// Revision of the configuration in force.
    pub(crate) revision: u64,
}

/// Starts recording metrics.
pub(crate) fn start_metrics() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("start metrics")?;
    Ok(handle)
}

/// Serves metrics and health until `shutdown`.
pub(crate) async fn start(
    addr: SocketAddr,
    metrics: PrometheusHandle,
    status: watch::Receiver<Status>,
    shutdown: CancellationToken,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(addr)
        .await
        .with_context(|| format!("listen on {addr} for metrics and health"))?;
    let service = tower::service_fn(move |req: Request<Incoming>| {
        let res = answer(req.uri().path(), &metrics, &status.borrow());
        std::future::ready(Ok::<_, Infallible>(res))
    });
    tokio::spawn(serve(listener, service, ServeConfig::default(), shutdown));
    Ok(())
}

fn answer(path: &str, metrics: &PrometheusHandle, status: &Status) -> Response<Body> {
    match path {
        "/metrics" => {
            metrics.run_upkeep();
            text(StatusCode::OK, metrics.render())
        }
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if status.ready => text(StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/status" => {
            let json = serde_json::to_string(status).unwrap_or_default();
            text(StatusCode::OK, json)
        }
        _ => text(StatusCode::NOT_FOUND, "no such path\n".to_owned()),
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut res = Response::new(Body::full(text));
    *res.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; version=0.0.4");
    res.headers_mut().insert(header::CONTENT_TYPE, plain);
    res
}
