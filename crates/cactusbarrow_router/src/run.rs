//! Start and graceful shutdown of a router.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_net::{
    Body, Clock, CollectedBody, ConnectionLimit, ControlServer, NetError, PeerAddr, RequestBody,
    ServeConfig, listen, serve,
};
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{Outcome, Reason, Revision};
use http::{Method, Request, Response};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::auth::authenticate;
use crate::config::{Peer, RouterConfig};
use crate::control::RouterControl;
use crate::refusal::Refusal;
use crate::request::outcome_from_headers;
use crate::router::Router;
use crate::{calls, completions, config_sync, gossip, hosts, poll};

const COMPLETIONS_PATH: &str = "/v1/completions";
/// Time that a caller has to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that the control server has to reply to its last requests, at the end of the drain time-out.
const CONTROL_STOP_TIMEOUT: Duration = Duration::from_millis(150);

/// A running router.
#[derive(Debug)]
pub struct RouterHandle {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    shutdown: CancellationToken,
    config: tokio::sync::watch::Receiver<Arc<cactusbarrow_document::Fleet>>,
    done: tokio::task::JoinHandle<bool>,
}

impl RouterHandle {
    /// Returns the current revision of the configuration.
    pub fn revision(&self) -> Revision {
        self.config.borrow().revision()
    }

    /// Returns a receiver of the current configuration and all later ones.
    pub fn subscribe_config(
        &self,
    ) -> tokio::sync::watch::Receiver<Arc<cactusbarrow_document::Fleet>> {
        self.config.clone()
    }

    /// Waits until the current revision is at least `revision`.
    pub async fn wait_for_revision(&mut self, revision: Revision) {
        // An error means that the router has stopped, so no further revision will be adopted.
        let _ = self
            .config
            .wait_for(|fleet| fleet.revision() >= revision)
            .await;
    }

    /// Stops gracefully; returns true if every stream ended within the drain time-out.
    pub async fn stop(self) -> bool {
        self.shutdown.cancel();
        self.done.await.unwrap_or(false)
    }
}

/// Starts a router; it runs until it is stopped or `shutdown` is cancelled.
pub async fn start<S: Store + HostList, C: Clock>(
    cfg: RouterConfig,
    store: S,
    clock: C,
    shutdown: CancellationToken,
) -> Result<RouterHandle, NetError> {
    let (listener, listen) = listen(cfg.listen).await?;
    let control = ControlServer::bind(cfg.control).await?;
    let control_addr = control.local_addr();
    let own = Peer {
        name: cfg.name.clone(),
        zone: cfg.zone.clone(),
        control: cfg.advertised_control.unwrap_or(control_addr),
    };
    let stop = CancellationToken::new();
    let router = Arc::new(Router::new(cfg, own, store, clock, stop.clone()));
    let limit = router.cfg.max_control_connections;
    let control = control.with_limit(ConnectionLimit::new(&router.process_memory, limit));
    let handler = Arc::new(RouterControl(router.clone()));
    let control = router.tasks.spawn(control.serve(handler, stop));
    router.tasks.spawn(config_sync::sync_config(router.clone()));
    router.tasks.spawn(hosts::watch_routers(router.clone()));
    router.tasks.spawn(hosts::watch_leaving(router.clone()));
    router.tasks.spawn(gossip::run_gossip(router.clone()));
    router.tasks.spawn(poll::poll_agents(router.clone()));
    let config = router.config.subscribe();
    let done = tokio::spawn(run(router, listener, control, shutdown.clone()));
    Ok(RouterHandle {
        listen,
        control: control_addr,
        shutdown,
        config,
        done,
    })
}

async fn run<S: Store + HostList, C: Clock>(
    router: Arc<Router<S, C>>,
    listener: TcpListener,
    control: JoinHandle<()>,
    shutdown: CancellationToken,
) -> bool {
    let close = CancellationToken::new();
    let cfg = ServeConfig {
        connections: ConnectionLimit::new(&router.process_memory, router.cfg.max_connections),
        drain_timeout: router.cfg.drain_timeout,
        ..ServeConfig::default()
    };
    let handler = router.clone();
    let service = tower::service_fn(move |req| {
        let router = handler.clone();
        async move { Ok::<_, Infallible>(handle(&router, req).await) }
    });
    let server = serve(listener, service, cfg, close.clone());
    tokio::pin!(server);
    tokio::select! {
        () = shutdown.cancelled() => {}
        _ = &mut server => return false,
    }
    let (abort_after, exit_after) = {
        let now = router.clock.now();
        let mut stop = router.shutdown();
        stop.begin(now);
        (stop.refusal_time_left(now), stop.time_left(now))
    };
    log::info!("shutting down; draining");
    router.stopping.cancel();
    close.cancel();
    let abort = async {
        tokio::time::sleep(abort_after).await;
        router.abort_streams.cancel();
        std::future::pending::<()>().await;
    };
    let drained = async {
        tokio::select! {
            is_closed = &mut server => is_closed,
            () = abort => false,
        }
    };
    let is_closed = tokio::time::timeout(exit_after, drained).await;
    let has_aborted = router.abort_streams.is_cancelled();
    router.stop.cancel();
    router.tasks.close();
    // A handler that takes longer is cut, as the process has to exit.
    let _ = tokio::time::timeout(CONTROL_STOP_TIMEOUT, control).await;
    !has_aborted && is_closed.unwrap_or(false)
}

async fn handle<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let arrived = router.clock.now();
    let path = req.uri().path().to_owned();
    let responded = tokio::select! {
        biased;
        responded = respond(router, req, arrived) => responded,
        () = router.abort_streams.cancelled() => {
            let refusal = Refusal::new(Outcome::Unknown, Reason::ShuttingDown, "shut down");
            Err(refusal.with_message(format!("request of {path} is cut at the exit")))
        }
    };
    match responded {
        Ok(res) => res,
        Err(refusal) => refusal.into_response(),
    }
}

async fn respond<S: Store + HostList, C: Clock>(
    router: &Arc<Router<S, C>>,
    req: Request<RequestBody>,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    let fleet = router.config.fleet();
    let outcome = outcome_from_headers(req.headers());
    let refuse = |reason, step| Refusal::new(outcome, reason, step);
    if fleet.revision() == Revision(0) {
        return Err(refuse(Reason::NoConfiguration, "find configuration"));
    }
    let peer = req
        .extensions()
        .get::<PeerAddr>()
        .map_or_else(String::new, |peer| peer.0.to_string());
    let (parts, body) = req.into_parts();
    let customer = authenticate(&fleet, &parts.headers)?;
    let holding = body.holding().clone();
    let body = body.collect(&router.process_memory, router.cfg.max_body_bytes, &peer);
    let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(CollectedBody::Whole(body))) => body,
        Ok(Ok(CollectedBody::GivenUp)) => return Err(refuse(Reason::NoMemory, "read body")),
        Ok(Ok(CollectedBody::TooLarge)) => {
            let limit = router.cfg.max_body_bytes;
            return Err(refuse(Reason::TooLarge, "read body")
                .with_message(format!("the body is larger than {limit} bytes")));
        }
        Ok(Err(e)) => return Err(refuse(Reason::BadRequest, "read body").with_message(e)),
        Err(_) => {
            return Err(refuse(Reason::BadRequest, "read body")
                .with_message("the body did not arrive within 10 s"));
        }
    };
    // Callers that are slow to send a body keep none of the places.
    let _permit = router
        .in_flight
        .try_acquire()
        .map_err(|_| refuse(Reason::Overloaded, "admit request"))?;
    if !holding.keep() {
        return Err(refuse(Reason::NoMemory, "admit request"));
    }
    if parts.uri.path() == COMPLETIONS_PATH && parts.method == Method::POST {
        let completed = completions::complete(router, &fleet, customer, &parts.headers, body);
        Box::pin(completed).await
    } else {
        Box::pin(calls::call(
            router, &fleet, &customer, &parts, body, arrived,
        ))
        .await
    }
}
