//! Accepts connections and drains them at shutdown.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_net::{Body, Clock, ConnectionLimit, RequestBody, accept_until};
use http::{Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection::{self, ConnectionLimits};
use crate::shared::Shared;

/// Limits of connections before the first configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Tokens that stop a listener and its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListenerStop {
    /// Closes each connection after its next response.
    pub(crate) leaving: CancellationToken,
    /// Closes each connection after its request in flight, and those without one.
    pub(crate) drain: CancellationToken,
    /// Stops accepting connections.
    pub(crate) stop: CancellationToken,
}

/// Accepts connections until `stop` is cancelled, then those in the listen queue; `connections` tracks their tasks, and `name` names
/// the listener in logs and metrics.
pub(crate) async fn run<C, H, F>(
    (listener, limit): (TcpListener, ConnectionLimit),
    name: &'static str,
    shared: Arc<Shared<C>>,
    handler: H,
    stop: ListenerStop,
    connections: TaskTracker,
) where
    C: Clock,
    H: Fn(Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    accept_until(listener, &stop.stop, &limit, |stream, peer, holding| {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(step = "accept", peer:% = peer; "cannot set TCP_NODELAY: {e}");
        }
        let conn = connection::serve(
            (stream, holding),
            shared.clock.clone(),
            name,
            limits(&shared),
            handler.clone(),
            stop.clone(),
        );
        connections.spawn(async move {
            if let Err(e) = conn.await {
                log::debug!(step = "serve", peer:% = peer; "connection ended: {e}");
            }
        });
    })
    .await;
}

fn limits<C: Clock>(
    shared: &Arc<Shared<C>>,
) -> ConnectionLimits<impl Fn() -> Duration + Send + use<C>> {
    let header_bytes = shared
        .config()
        .map_or(DEFAULT_HEADER_BYTES, |config| config.limits.header_bytes);
    let shared = shared.clone();
    ConnectionLimits {
        header_bytes,
        idle_timeout: move || {
            let config = shared.config();
            config.map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits.idle_timeout)
        },
    }
}
