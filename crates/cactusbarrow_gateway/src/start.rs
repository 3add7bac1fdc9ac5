//! Starts and stops one gateway.

use std::sync::Arc;

use cactusbarrow_adapter::{GatewaySettings, StoreClient};
use cactusbarrow_net::{Clock, NetError, listen};
use cactusbarrow_policy::Revision;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::listener::{self, ListenerStop};
use crate::shared::Shared;
use crate::{health_check, heartbeats, peers, request, store_sync};

/// State of a gateway, as it tells operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Whether it can serve.
    pub is_ready: bool,
    /// Version of the configuration in force.
    pub version: Revision,
    /// Number of backend servers that are listed as ready.
    pub backends: usize,
}

/// A running gateway.
pub struct GatewayHandle<C: Clock> {
    shared: Arc<Shared<C>>,
    listener_stop: ListenerStop,
    health_stop: ListenerStop,
    background: CancellationToken,
    connections: TaskTracker,
}

/// Starts a gateway on the addresses of its settings.
pub async fn start<C: Clock>(
    settings: GatewaySettings,
    clock: C,
) -> Result<GatewayHandle<C>, NetError> {
    let (callers, _) = listen(settings.callers).await?;
    let (health, _) = listen(settings.health).await?;
    let (knowledge, _) = listen(settings.peers).await?;
    let heartbeats_socket = UdpSocket::bind(settings.peers)
        .await
        .map_err(|e| NetError::new("listen for heartbeats", settings.peers, e))?;
    let store = StoreClient::new(settings.store, store_sync::STORE_TIMEOUT);
    let shared = Shared::new(settings, clock);
    let listener_stop = ListenerStop::default();
    let health_stop = ListenerStop::default();
    let background = CancellationToken::new();
    let connections = TaskTracker::new();
    tokio::spawn(store_sync::run(
        shared.clone(),
        store.clone(),
        background.clone(),
    ));
    tokio::spawn(heartbeats::run(shared.clone(), background.clone()));
    let cx = shared.clone();
    let answer_health = move |req| {
        let answer = health_check::answer(cx.clone(), req);
        async move {
            match answer.await {
                Ok(res) => res,
                Err(never) => match never {},
            }
        }
    };
    tokio::spawn(listener::run(
        health,
        shared.clone(),
        answer_health,
        health_stop.clone(),
        TaskTracker::new(),
    ));
    let incarnation = shared.rng().next_u64();
    tokio::spawn(peers::run(
        shared.clone(),
        heartbeats_socket,
        store,
        incarnation,
        background.clone(),
    ));
    let cx = shared.clone();
    let answer_peer = move |req| peers::answer(cx.clone(), req);
    tokio::spawn(listener::run(
        knowledge,
        shared.clone(),
        answer_peer,
        health_stop.clone(),
        TaskTracker::new(),
    ));
    let cx = shared.clone();
    let answer_caller = move |req| request::serve(cx.clone(), req);
    tokio::spawn(listener::run(
        callers,
        shared.clone(),
        answer_caller,
        listener_stop.clone(),
        connections.clone(),
    ));
    Ok(GatewayHandle {
        shared,
        listener_stop,
        health_stop,
        background,
        connections,
    })
}

impl<C: Clock> GatewayHandle<C> {
    /// Returns the present state.
    pub fn status(&self) -> GatewayStatus {
        let version = self.shared.routes().map_or(Revision(0), |set| set.version);
        GatewayStatus {
            is_ready: self.shared.is_ready(),
            version,
            backends: self.shared.fleet().ready_count(),
        }
    }

    /// Returns the versions of the configuration as they come into force.
    pub fn versions(&self) -> watch::Receiver<Revision> {
        self.shared.routes_version()
    }

    /// Stops gracefully: leaves the balancer's rotation, then finishes what is in flight.
    ///
    /// Returns true if all connections ended within the grace.
    pub async fn stop(self) -> bool {
        let leave = {
            let now = self.shared.now();
            let mut shutdown = self.shared.shutdown();
            shutdown.begin(now);
            shutdown.rotation_left(now)
        };
        log::info!(connections = self.connections.len(); "leaving the balancer's rotation");
        tokio::time::sleep(leave).await;
        self.listener_stop.drain.cancel();
        log::info!(connections = self.connections.len(); "closing callers' connections");
        self.connections.close();
        let left = self.shared.shutdown().time_left(self.shared.now());
        let is_clean = tokio::time::timeout(left, self.connections.wait())
            .await
            .is_ok();
        self.listener_stop.stop.cancel();
        self.health_stop.stop.cancel();
        self.background.cancel();
        is_clean
    }
}
