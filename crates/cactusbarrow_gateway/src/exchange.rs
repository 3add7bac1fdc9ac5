//! One request and its answer on a connection of its own.
//!
//! A fresh connection tells whether a backend server is there before a call that
//! may run once is sent, and no late answer to another request can arrive on it.

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_net::{Body, NetError};
use cactusbarrow_policy::LossCause;
use http::{Request, response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Time without an acknowledgement after which the kernel gives a connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that has carried no request yet.
pub(crate) struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Body>,
    driver: AbortOnDropHandle<()>,
}

/// The head of an answer with its body yet to come.
pub(crate) struct Exchange {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    /// Closes the connection when dropped.
    driver: AbortOnDropHandle<()>,
}

impl Exchange {
    /// Splits off the body; the connection lives as long as the returned handle.
    pub(crate) fn into_parts(self) -> (response::Parts, Incoming, AbortOnDropHandle<()>) {
        (self.head, self.body, self.driver)
    }
}

/// Returns what a failed connection says about the backend server.
pub(crate) fn loss_cause(e: &NetError) -> LossCause {
    if e.is_refused {
        LossCause::Refused
    } else {
        LossCause::Unreachable
    }
}

impl Connection {
    /// Connects within a time.
    pub(crate) async fn open(peer: SocketAddr, timeout: Duration) -> Result<Self, NetError> {
        const STEP: &str = "connect";
        let failure = |message: String, is_refused| NetError {
            is_connect: true,
            is_refused,
            ..NetError::new(STEP, peer, message)
        };
        let stream = tokio::time::timeout(timeout, TcpStream::connect(peer))
            .await
            .map_err(|_| failure("no connection in time".to_owned(), false))?
            .map_err(|e| {
                failure(
                    e.to_string(),
                    e.kind() == std::io::ErrorKind::ConnectionRefused,
                )
            })?;
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(step = STEP, peer:% = peer; "cannot set no delay: {e}");
        }
        let socket = socket2::SockRef::from(&stream);
        if let Err(e) = socket.set_tcp_user_timeout(Some(USER_TIMEOUT)) {
            log::debug!(step = STEP, peer:% = peer; "cannot set the user timeout: {e}");
        }
        let (sender, conn) = http1::Builder::new()
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

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        mut self,
        step: &'static str,
        req: Request<Body>,
    ) -> Result<Exchange, NetError> {
        let sent = self.sender.send_request(req).await;
        let answer = sent.map_err(|e| NetError::new(step, self.peer, e))?;
        let (head, body) = answer.into_parts();
        Ok(Exchange {
            head,
            body,
            driver: self.driver,
        })
    }
}
