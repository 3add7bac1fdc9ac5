//! Server of the control channel: requests and replies over nng.

use std::future::Future;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anng::protocols::reqrep0::Rep0;
use anng::{Message as NngMessage, Socket};
use cactusbarrow_protocol::generated as wire;
use prost::Message;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::control_reply::Reply;
use wire::control_request::Request;

use crate::{ConnectionLimit, NetError, control_relay, listen};

/// Largest number of requests that a server handles at once.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Time after the shutdown for which requests are received that were sent before.
const LAST_RECEIVE_TIME: Duration = Duration::from_millis(50);

/// Longest time after the last reply until it has been relayed.
const LAST_RELAY_TIME: Duration = Duration::from_millis(50);

/// Handles the requests that a [`ControlServer`] receives.
pub trait ControlHandler: Send + Sync + 'static {
    /// Handles one request and returns its reply.
    ///
    /// The transport may deliver a request twice, so handling must be idempotent.
    fn handle(&self, req: Request) -> impl Future<Output = Reply> + Send;
}

/// A listening control socket.
#[derive(Debug)]
pub struct ControlServer {
    socket: Arc<Socket<Rep0>>,
    /// Address of the socket, to which connections are relayed.
    socket_addr: SocketAddr,
    listener: TcpListener,
    addr: SocketAddr,
    limit: ConnectionLimit,
}

impl ControlServer {
    /// Listens on an address; port 0 selects any free port.
    pub async fn bind(addr: SocketAddr) -> Result<Self, NetError> {
        let (listener, addr) = listen(addr).await?;
        let error = |e| NetError::new("listen", addr, e);
        let socket = Rep0::socket().map_err(error)?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let socket_addr = {
            let listener = socket.listen_tcp(any_port, &Default::default()).await;
            listener.map_err(error)?.local_addr().map_err(error)?
        };
        Ok(Self {
            socket: Arc::new(socket),
            socket_addr,
            listener,
            addr,
            limit: ConnectionLimit::default(),
        })
    }

    /// Limits the connections.
    #[must_use]
    pub fn with_limit(self, limit: ConnectionLimit) -> Self {
        Self { limit, ..self }
    }

    /// Returns the address that the server listens on, with the actual port.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Serves until `shutdown` is cancelled, then replies to the requests that have been sent.
    pub async fn serve<H: ControlHandler>(self, handler: Arc<H>, shutdown: CancellationToken) {
        let mut workers = tokio::task::JoinSet::new();
        for _ in 0..MAX_CONCURRENT_REQUESTS {
            workers.spawn(run_worker(
                self.socket.clone(),
                handler.clone(),
                shutdown.clone(),
            ));
        }
        let (stop_relay, relays) = (CancellationToken::new(), TaskTracker::new());
        relays.spawn(control_relay::run(
            self.listener,
            self.socket_addr,
            self.limit,
            stop_relay.clone(),
            relays.clone(),
        ));
        while workers.join_next().await.is_some() {}
        // Closes its connections, whose last replies are relayed.
        drop(self.socket);
        stop_relay.cancel();
        relays.close();
        if tokio::time::timeout(LAST_RELAY_TIME, relays.wait())
            .await
            .is_err()
        {
            log::debug!(step = "stop control server"; "connections are cut");
        }
    }
}

async fn run_worker<H: ControlHandler>(
    socket: Arc<Socket<Rep0>>,
    handler: Arc<H>,
    shutdown: CancellationToken,
) {
    let mut cx = socket.context();
    let stopped = async {
        shutdown.cancelled().await;
        tokio::time::sleep(LAST_RECEIVE_TIME).await;
    };
    tokio::pin!(stopped);
    loop {
        let received = tokio::select! {
            received = cx.receive() => received,
            () = &mut stopped => return,
        };
        let (message, responder) = match received {
            Ok(received) => received,
            Err(e) => {
                log::warn!(step = "receive control request"; "{e}");
                return;
            }
        };
        let decoded = wire::ControlRequest::decode(message.as_slice());
        let Some(req) = decoded.ok().and_then(|message| message.request) else {
            log::warn!(step = "decode control request"; "request cannot be decoded");
            continue;
        };
        let reply = handler.handle(req).await;
        let buf = wire::ControlReply { reply: Some(reply) }.encode_to_vec();
        let mut message = NngMessage::with_capacity(buf.len());
        if message.write_all(&buf).is_err() {
            continue;
        }
        if let Err((_, e, _)) = responder.reply(message).await {
            log::debug!(step = "send control reply"; "{e}");
        }
    }
}
