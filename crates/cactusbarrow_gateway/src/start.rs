//! Starts and stops one gateway.

use std::sync::Arc;

use cactusbarrow_adapter::{GatewaySettings, StoreClient};
use cactusbarrow_net::{Clock, ConnectionLimit, NetError, ProcessMemory, listen};
use cactusbarrow_policy::Revision;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::listener::{self, ListenerStop};
use crate::shared::Shared;
use crate::{
    backend_probes, health_check, origin_store, peer_knowledge, peers, quarantine, request,
    store_sync,
};

/// Part of the memory of the process that connections, requests and bodies may take together, as a divisor. The rest is for
/// the configuration, the lists of servers and peers, and what is decoded from bodies.
const MEMORY_DIVISOR: usize = 2;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Part of the other descriptors that connections of callers may take, as a divisor: each request may take one to its
/// engine, and two more to have the engine's memory copied.
const CALLERS_DIVISOR: usize = 4;

/// Part of them that connections to one of the other listeners may take, as a divisor.
const INTERNAL_DIVISOR: usize = 16;

/// State of a gateway for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Whether it can serve callers.
    pub is_ready: bool,
    /// Version of the current configuration; 0 before the first.
    pub version: Revision,
    /// Number of backend servers that are listed as ready.
    pub backends: usize,
}

/// A running gateway.
pub struct GatewayHandle<C: Clock> {
    shared: Arc<Shared<C>>,
    listener_stop: ListenerStop,
    internal_stop: ListenerStop,
    background_stop: CancellationToken,
    /// The task that accepts callers' connections.
    listener: TaskTracker,
    connections: TaskTracker,
}

/// Starts a gateway on the addresses of its settings.
pub async fn start<C: Clock>(
    settings: GatewaySettings,
    clock: C,
) -> Result<GatewayHandle<C>, NetError> {
    let (caller_listener, _) = listen(settings.callers).await?;
    let (health_listener, _) = listen(settings.health).await?;
    let (peer_listener, _) = listen(settings.peers).await?;
    let peer_socket = UdpSocket::bind(settings.peers)
        .await
        .map_err(|e| NetError::new("listen for heartbeats", settings.peers, e))?;
    let memory = ProcessMemory::new(settings.memory_bytes / MEMORY_DIVISOR);
    let sockets = settings.max_descriptors.saturating_sub(FILE_DESCRIPTORS);
    let limit = |divisor| ConnectionLimit::new(&memory, sockets / divisor);
    let health_listener = (health_listener, limit(INTERNAL_DIVISOR));
    let peer_listener = (peer_listener, limit(INTERNAL_DIVISOR));
    let caller_listener = (caller_listener, limit(CALLERS_DIVISOR));
    let store =
        StoreClient::new(settings.store, store_sync::STORE_TIMEOUT).with_memory(memory.clone());
    let shared = Shared::new(settings, clock, store.clone(), memory, peer_socket);
    let listener_stop = ListenerStop::default();
    let internal_stop = ListenerStop::default();
    let background_stop = CancellationToken::new();
    let connections = TaskTracker::new();
    tokio::spawn(store_sync::run(
        shared.clone(),
        store.clone(),
        background_stop.clone(),
    ));
    tokio::spawn(origin_store::run(
        shared.clone(),
        store.clone(),
        background_stop.clone(),
    ));
    tokio::spawn(quarantine::run(
        shared.clone(),
        store.clone(),
        background_stop.clone(),
    ));
    tokio::spawn(backend_probes::run(shared.clone(), background_stop.clone()));
    let cx = shared.clone();
    let handle_health = move |req| health_check::serve(cx.clone(), req);
    tokio::spawn(listener::run(
        health_listener,
        "health",
        shared.clone(),
        handle_health,
        internal_stop.clone(),
        TaskTracker::new(),
    ));
    tokio::spawn(peers::run(shared.clone(), store, background_stop.clone()));
    let cx = shared.clone();
    let handle_peer = move |req| peer_knowledge::serve_knowledge(cx.clone(), req);
    tokio::spawn(listener::run(
        peer_listener,
        "peers",
        shared.clone(),
        handle_peer,
        internal_stop.clone(),
        TaskTracker::new(),
    ));
    let cx = shared.clone();
    let handle_caller = move |req| request::serve(cx.clone(), req);
    let listener = TaskTracker::new();
    listener.spawn(listener::run(
        caller_listener,
        "callers",
        shared.clone(),
        handle_caller,
        listener_stop.clone(),
        connections.clone(),
    ));
    Ok(GatewayHandle {
        shared,
        listener_stop,
        internal_stop,
        background_stop,
        listener,
        connections,
    })
}

impl<C: Clock> GatewayHandle<C> {
    /// Returns the current state.
    pub fn status(&self) -> GatewayStatus {
        let version = self
            .shared
            .config()
            .map_or(Revision(0), |config| config.version);
        GatewayStatus {
            is_ready: self.shared.is_ready(),
            version,
            backends: self.shared.fleet().ready_count(),
        }
    }

    /// Returns a receiver of the current configuration's version.
    pub fn subscribe_version(&self) -> watch::Receiver<Revision> {
        self.shared.subscribe_version()
    }

    /// Stops gracefully: leaves the load balancer's rotation, then finishes the requests in flight.
    ///
    /// Returns whether all connections ended before the process has to exit.
    pub async fn stop(self) -> bool {
        let rotation_delay = self.shared.begin_shutdown();
        self.listener_stop.leaving.cancel();
        log::info!(connections = self.connections.len(); "leaving the load balancer's rotation");
        tokio::time::sleep(rotation_delay).await;
        self.listener_stop.drain.cancel();
        log::info!(connections = self.connections.len(); "closing callers' connections");
        self.listener.close();
        self.connections.close();
        let is_clean = self.finish_connections().await;
        if !is_clean {
            log::warn!(connections = self.connections.len(); "connections are cut at the exit");
        }
        self.listener_stop.stop.cancel();
        self.internal_stop.stop.cancel();
        self.background_stop.cancel();
        is_clean
    }

    /// Waits until all connections have ended; shortly before the exit, open requests are refused.
    async fn finish_connections(&self) -> bool {
        let (refusal_time_left, time_left) = {
            let now = self.shared.now();
            let shutdown = self.shared.shutdown();
            (shutdown.refusal_time_left(now), shutdown.time_left(now))
        };
        let ended = async {
            self.connections.wait().await;
            // A connection may have been accepted since the last one ended.
            self.listener_stop.stop.cancel();
            self.listener.wait().await;
            self.connections.wait().await;
        };
        let refusals = async {
            tokio::time::sleep(refusal_time_left).await;
            self.shared.exit().cancel();
            std::future::pending::<()>().await;
        };
        let finish = async {
            tokio::select! {
                () = ended => {}
                () = refusals => {}
            }
        };
        tokio::time::timeout(time_left, finish).await.is_ok()
    }
}
