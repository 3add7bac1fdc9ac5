//! Stand-in for a plain HTTP service that records every call that it runs.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_net::{Body, RequestBody, ServeConfig, collect_limited, serve};
use http::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::emulated_process::EmulatedProcess;

const MAX_BODY_BYTES: usize = 1 << 20;

/// Record of the calls that plain services received and ran; calls are identified by their body.
#[derive(Clone, Debug, Default)]
pub struct CallLedger {
    runs: Arc<Mutex<HashMap<String, Vec<Instant>>>>,
    received: Arc<AtomicU64>,
    is_hanging: Arc<AtomicBool>,
    is_stopping_in_bodies: Arc<AtomicBool>,
}

impl CallLedger {
    /// Returns the times at which a call was run.
    pub fn run_times(&self, call: &str) -> Vec<Instant> {
        self.lock().get(call).cloned().unwrap_or_default()
    }

    /// Returns the number of runs of all calls.
    pub fn total_runs(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    /// Returns the time of the last run of any call.
    pub fn last_run(&self) -> Option<Instant> {
        self.lock().values().flatten().max().copied()
    }

    /// Returns the number of calls that reached a service, whether or not it responded.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Sets whether the services hang: they then neither run calls nor respond to them.
    pub fn set_hanging(&self, is_hanging: bool) {
        self.is_hanging.store(is_hanging, Ordering::Relaxed);
    }

    /// Sets whether the services stop in the middle of the bodies of their responses.
    pub fn set_stopping_in_bodies(&self, is_stopping: bool) {
        self.is_stopping_in_bodies
            .store(is_stopping, Ordering::Relaxed);
    }

    fn record(&self, call: String) {
        self.lock().entry(call).or_default().push(Instant::now());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Vec<Instant>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Configuration of a stand-in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainServiceConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time from the receipt of a call until it is run.
    pub delay: Duration,
}

/// A running stand-in service in an emulated process of its own.
#[derive(Debug)]
pub struct PlainService {
    /// Address that the service listens on.
    pub addr: SocketAddr,
    /// Emulated process of the service, which can be killed or frozen.
    pub process: EmulatedProcess,
}

impl PlainService {
    /// Starts a service that records every POST in the ledger as run.
    pub async fn start(cfg: PlainServiceConfig, ledger: CallLedger) -> Self {
        let (process, addr) = EmulatedProcess::start(async move {
            let listener = TcpListener::bind(cfg.listen)
                .await
                .expect("the service's address is free");
            let addr = listener.local_addr().expect("a bound listener");
            let service = tower::service_fn(move |req| {
                let ledger = ledger.clone();
                async move { Ok::<_, Infallible>(handle(cfg, ledger, req).await) }
            });
            let serve_cfg = ServeConfig::default();
            tokio::spawn(serve(
                listener,
                service,
                serve_cfg,
                CancellationToken::new(),
            ));
            addr
        })
        .await;
        Self { addr, process }
    }
}

async fn handle(
    cfg: PlainServiceConfig,
    ledger: CallLedger,
    req: Request<RequestBody>,
) -> Response<Body> {
    let method = req.method().clone();
    let is_health_check = req.uri().path() == "/healthz";
    let body = collect_limited(req.into_body(), MAX_BODY_BYTES, "caller").await;
    let Ok(Some(body)) = body else {
        let mut res = Response::new(Body::Empty);
        *res.status_mut() = StatusCode::BAD_REQUEST;
        return res;
    };
    let call = String::from_utf8_lossy(&body).into_owned();
    if !is_health_check {
        ledger.received.fetch_add(1, Ordering::Relaxed);
        if ledger.is_hanging.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
    if !is_health_check && ledger.is_stopping_in_bodies.load(Ordering::Relaxed) {
        return stopped_response().await;
    }
    if method != Method::POST {
        return Response::new(Body::full("ok"));
    }
    tokio::time::sleep(cfg.delay).await;
    ledger.record(call.clone());
    Response::new(Body::full(format!("done {call}")))
}

/// Returns a response whose body begins, but never ends.
async fn stopped_response() -> Response<Body> {
    let (tx, body) = Body::channel();
    tx.send("o".into()).await;
    tokio::spawn(async move { tx.closed().await });
    Response::new(body)
}
