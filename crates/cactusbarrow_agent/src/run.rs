//! Start and graceful shutdown of an agent.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_net::{
    Body, Clock, ConnectionLimit, ControlServer, NetError, PeerAddr, RequestBody, ServeConfig,
    listen, serve,
};
use cactusbarrow_policy::{DrainCause, Outcome, Reason, Revision, Shutdown, ShutdownConfig};
use cactusbarrow_protocol::{ANSWER_PATH, ATTACH_PATH, CALL_PATH, GENERATE_PATH};
use http::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::agent::Agent;
use crate::config::AgentConfig;
use crate::control::AgentControl;
use crate::responses::{failure_response, refusal_response};
use crate::{backend_probe, calls, generate};

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that the control server has to reply to its last requests, at the end of the drain time-out.
const CONTROL_STOP_TIMEOUT: Duration = Duration::from_millis(150);

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    /// Address for requests of routers.
    pub listen: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    shutdown: CancellationToken,
    revisions: watch::Receiver<Revision>,
    done: tokio::task::JoinHandle<bool>,
}

impl AgentHandle {
    /// Returns a receiver of the agent's current revision.
    pub fn subscribe_revision(&self) -> watch::Receiver<Revision> {
        self.revisions.clone()
    }

    /// Stops gracefully: refuses new work, and lets work in flight finish or move elsewhere.
    ///
    /// Returns true if all work ended within the drain time-out.
    pub async fn stop(self) -> bool {
        self.shutdown.cancel();
        self.done.await.unwrap_or(false)
    }
}

async fn handle<C: Clock>(agent: &Arc<Agent<C>>, req: Request<RequestBody>) -> Response<Body> {
    let peer = req
        .extensions()
        .get::<PeerAddr>()
        .map_or_else(String::new, |peer| peer.0.to_string());
    match req.uri().path() {
        GENERATE_PATH => generate::generate(agent, req.into_body(), &peer).await,
        ATTACH_PATH => generate::attach(agent, req.into_body(), &peer).await,
        path if path.starts_with(ANSWER_PATH) => {
            if !req.body().holding().keep() {
                return refusal_response(Reason::NoMemory);
            }
            calls::earlier_response(agent, path).await
        }
        path if path.starts_with(CALL_PATH) => calls::forward_call(agent, req, &peer).await,
        _ => failure_response(StatusCode::NOT_FOUND, Outcome::NotRun, Reason::BadRequest),
    }
}

/// Starts an agent; it runs until it is stopped or `shutdown` is cancelled.
pub async fn start<C: Clock>(
    cfg: AgentConfig,
    clock: C,
    shutdown: CancellationToken,
) -> Result<AgentHandle, NetError> {
    let (listener, listen) = listen(cfg.listen).await?;
    let control = ControlServer::bind(cfg.control).await?;
    let control_addr = control.local_addr();
    let stop = CancellationToken::new();
    let agent = Arc::new(Agent::new(cfg, clock, stop.clone()));
    agent.tasks.spawn(backend_probe::run(agent.clone()));
    let limit = agent.cfg.max_control_connections;
    let control = control.with_limit(ConnectionLimit::new(&agent.process_memory, limit));
    let control_handler = Arc::new(AgentControl(agent.clone()));
    let control = agent
        .tasks
        .spawn(control.serve(control_handler, stop.clone()));
    let revisions = agent.revisions.subscribe();
    let done = tokio::spawn(run(agent, listener, control, shutdown.clone()));
    Ok(AgentHandle {
        listen,
        control: control_addr,
        shutdown,
        revisions,
        done,
    })
}

async fn run<C: Clock>(
    agent: Arc<Agent<C>>,
    listener: TcpListener,
    control: JoinHandle<()>,
    shutdown: CancellationToken,
) -> bool {
    let close = CancellationToken::new();
    let cfg = ServeConfig {
        connections: ConnectionLimit::new(&agent.process_memory, agent.cfg.max_connections),
        drain_timeout: agent.cfg.drain_timeout,
        ..ServeConfig::default()
    };
    let handler = agent.clone();
    let service = tower::service_fn(move |req| {
        let agent = handler.clone();
        async move { Ok::<_, Infallible>(handle(&agent, req).await) }
    });
    let server = serve(listener, service, cfg, close.clone());
    tokio::pin!(server);
    tokio::select! {
        () = shutdown.cancelled() => {}
        _ = &mut server => return false,
    }
    let mut stop = Shutdown::new(ShutdownConfig::default(), agent.cfg.drain_timeout);
    stop.begin(agent.clock.now());
    agent.set_draining(DrainCause::Signal, true);
    log::info!(backend_server = agent.cfg.name; "shutting down; draining");
    // The agent keeps listening while work runs, so that routers get an explicit refusal.
    let work_time_left = stop.refusal_time_left(agent.clock.now());
    tokio::select! {
        _ = tokio::time::timeout(work_time_left, wait_idle(&agent)) => {}
        _ = &mut server => return false,
    }
    close.cancel();
    let cut = agent.generations.end_running();
    for (generation, attempt) in &cut {
        log::warn!(
            backend_server = agent.cfg.name,
            generation:% = generation,
            attempt = attempt.0;
            "attempt is cut at the exit"
        );
    }
    let time_left = stop.time_left(agent.clock.now());
    let is_closed = tokio::time::timeout(time_left, server).await;
    for call in agent.calls().values() {
        log::warn!(backend_server = agent.cfg.name, call:% = call; "call is cut at the exit");
    }
    agent.stop.cancel();
    agent.tasks.close();
    // A handler that takes longer is cut, as the process has to exit.
    let _ = tokio::time::timeout(CONTROL_STOP_TIMEOUT, control).await;
    cut.is_empty() && is_closed.unwrap_or(false)
}

async fn wait_idle<C: Clock>(agent: &Agent<C>) {
    while agent.admission().in_flight() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
