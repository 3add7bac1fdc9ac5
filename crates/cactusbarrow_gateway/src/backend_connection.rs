//! A connection to a backend server that carries one request and its response, and reports before it.
//!
//! Opening a new connection shows whether a backend server is reachable before a call that must
//! not be repeated is sent on it, and no late response to another request can arrive on it, but one to a report,
//! which names no request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_adapter::{EngineResponse, REQUEST_ID};
use cactusbarrow_net::{Body, BodyFraming, MAX_READ_BUFFER_BYTES, NetError, ProcessMemory};
use cactusbarrow_policy::LossCause;
use http::{Request, response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Time without an acknowledgement after which the kernel closes a connection
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// An open connection that has carried no request but for reports.
pub(crate) struct BackendConnection {
    peer: SocketAddr,
    sender: SendRequest<Body>,
    driver: AbortOnDropHandle<()>,
}

/// The head of a response whose body has not been read yet.
pub(crate) struct StreamingResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) framing: BodyFraming,
    /// Task that drives the connection; closes it when dropped.
    driver: AbortOnDropHandle<()>,
}

impl StreamingResponse {
    /// Splits the response; the connection stays open until the returned handle is dropped.
    pub(crate) fn into_parts(self) -> (response::Parts, Incoming, AbortOnDropHandle<()>) {
        (self.head, self.body, self.driver)
    }
}

/// Returns the cause of loss that a failed connection to a backend server shows.
pub(crate) fn loss_cause(e: &NetError) -> LossCause {
    if e.is_refused {
        LossCause::Refused
    } else {
        LossCause::Unreachable
    }
}

/// Logs a response that does not belong to the request that was sent.
pub(crate) fn log_foreign_response(request_id: &str, head: &EngineResponse) {
    metrics::counter!("gateway_foreign_responses_total").increment(1);
    log::warn!(
        request_id = request_id,
        status = head.status.as_u16(),
        names_request = head.headers.contains_key(REQUEST_ID);
        "response belongs to another request"
    );
}

impl BackendConnection {
    /// Connects to a backend server within `timeout`.
    pub(crate) async fn open(peer: SocketAddr, timeout: Duration) -> Result<Self, NetError> {
        const STEP: &str = "connect";
        let failure = |message: String, is_refused| NetError {
            is_connect: true,
            is_refused,
            ..NetError::new(STEP, peer, message)
        };
        let stream = tokio::time::timeout(timeout, TcpStream::connect(peer))
            .await
            .map_err(|_| failure("connect timed out".to_owned(), false))?
            .map_err(|e| {
                failure(
                    e.to_string(),
                    e.kind() == std::io::ErrorKind::ConnectionRefused,
                )
            })?;
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(step = STEP, peer:% = peer; "cannot set TCP_NODELAY: {e}");
        }
        let socket = socket2::SockRef::from(&stream);
        if let Err(e) = socket.set_tcp_user_timeout(Some(USER_TIMEOUT)) {
            log::debug!(step = STEP, peer:% = peer; "cannot set TCP_USER_TIMEOUT: {e}");
        }
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| failure(e.to_string(), false))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = conn.await {
                log::debug!(step = "drive connection", peer:% = peer; "connection ended: {e}");
            }
        });
        Ok(Self {
            peer,
            sender,
            driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends a request and collects the response; the connection is returned unless it is closed then.
    pub(crate) async fn exchange(
        mut self,
        step: &'static str,
        req: Request<Body>,
        max_bytes: usize,
        memory: &ProcessMemory,
    ) -> Result<(response::Parts, Bytes, Option<Self>), NetError> {
        let (head, body, _) = self.send_request(step, req).await?;
        let peer = self.peer.to_string();
        let body = memory.collect(body, max_bytes, &peer).await?;
        let body = body.whole(step, &peer)?;
        let is_open = self.sender.ready().await.is_ok();
        Ok((head, body, is_open.then_some(self)))
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        mut self,
        step: &'static str,
        req: Request<Body>,
    ) -> Result<StreamingResponse, NetError> {
        let (head, body, framing) = self.send_request(step, req).await?;
        Ok(StreamingResponse {
            head,
            body,
            framing,
            driver: self.driver,
        })
    }

    async fn send_request(
        &mut self,
        step: &'static str,
        req: Request<Body>,
    ) -> Result<(response::Parts, Incoming, BodyFraming), NetError> {
        let has_id = req.headers().contains_key(REQUEST_ID);
        let method = req.method().clone();
        let result = self.sender.send_request(req).await;
        let res = result.map_err(|e| NetError::new(step, self.peer, e))?;
        // Nothing in a response that names a request may be believed where none was named.
        if !has_id && res.headers().contains_key(REQUEST_ID) {
            metrics::counter!("gateway_foreign_responses_total").increment(1);
            let message = "response belongs to another request";
            return Err(NetError::new(step, self.peer, message));
        }
        let (head, body) = res.into_parts();
        let framing = BodyFraming::of_response(&method, &head)
            .map_err(|e| NetError::new(step, self.peer, e))?;
        Ok((head, body, framing))
    }
}
