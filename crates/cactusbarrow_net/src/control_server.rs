//! Server of the control channel: requests and replies over nng.

use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anng::protocols::reqrep0::Rep0;
use anng::{Message as NngMessage, Socket};
use cactusbarrow_protocol::generated as wire;
use prost::Message;
use tokio_util::sync::CancellationToken;
use wire::control_reply::Reply;
use wire::control_request::Request;

use crate::NetError;

/// Largest number of requests that a server handles at once.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Time after the shutdown for which requests are received that were sent before.
const LAST_RECEIVE_TIME: Duration = Duration::from_millis(50);

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
    addr: SocketAddr,
}

impl ControlServer {
    /// Listens on an address; port 0 selects any free port.
    pub async fn bind(addr: SocketAddr) -> Result<Self, NetError> {
        let socket = Rep0::socket().map_err(|e| NetError::new("listen", addr, e))?;
        let addr = {
            let listener = socket
                .listen_tcp(addr, &Default::default())
                .await
                .map_err(|e| NetError::new("listen", addr, e))?;
            listener
                .local_addr()
                .map_err(|e| NetError::new("listen", addr, e))?
        };
        Ok(Self {
            socket: Arc::new(socket),
            addr,
        })
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
        while workers.join_next().await.is_some() {}
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
