//! Client of the control channel: requests and replies over nng.

use std::collections::HashMap;
use std::ffi::CString;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anng::protocols::reqrep0::Req0;
use anng::{Message as NngMessage, Socket};
use cactusbarrow_protocol::generated as wire;
use prost::Message;
use wire::control_reply::Reply;
use wire::control_request::Request;

use crate::NetError;

const REQUEST_STEP: &str = "control request";

/// Sends control requests to any number of peers; clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct ControlClient {
    sockets: Arc<Mutex<HashMap<SocketAddr, Arc<Socket<Req0>>>>>,
}

impl ControlClient {
    /// Creates a client; it connects to a peer on the first request to it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for its reply.
    ///
    /// The transport may deliver a request twice, so every request must be idempotent.
    pub async fn call(
        &self,
        peer: SocketAddr,
        req: Request,
        timeout: Duration,
    ) -> Result<Reply, NetError> {
        let result = tokio::time::timeout(timeout, self.exchange(peer, req))
            .await
            .unwrap_or_else(|_| Err(NetError::new(REQUEST_STEP, peer, "no reply in time")));
        if result.is_err() {
            self.close_connection(peer);
        }
        result
    }

    /// Closes the connections to all peers for which `is_wanted` returns false.
    pub fn retain(&self, is_wanted: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|peer, _| is_wanted(peer));
    }

    async fn exchange(&self, peer: SocketAddr, req: Request) -> Result<Reply, NetError> {
        let socket = self.socket(peer).await?;
        let buf = wire::ControlRequest { request: Some(req) }.encode_to_vec();
        let mut message = NngMessage::with_capacity(buf.len());
        message
            .write_all(&buf)
            .map_err(|e| NetError::new(REQUEST_STEP, peer, e))?;
        let mut cx = socket.context();
        let pending = cx
            .request(message)
            .await
            .map_err(|(e, _)| NetError::new(REQUEST_STEP, peer, e))?;
        let reply = pending
            .await
            .map_err(|e| NetError::new(REQUEST_STEP, peer, e))?;
        wire::ControlReply::decode(reply.as_slice())
            .map_err(|e| NetError::new(REQUEST_STEP, peer, e))?
            .reply
            .ok_or_else(|| NetError::new(REQUEST_STEP, peer, "empty reply"))
    }

    async fn socket(&self, peer: SocketAddr) -> Result<Arc<Socket<Req0>>, NetError> {
        if let Some(socket) = self.lock().get(&peer) {
            return Ok(socket.clone());
        }
        let url =
            CString::new(format!("tcp://{peer}")).map_err(|e| NetError::new("connect", peer, e))?;
        let socket = Req0::dial(url)
            .await
            .map_err(|e| NetError::new("connect", peer, e))?;
        let socket = Arc::new(socket);
        Ok(self.lock().entry(peer).or_insert(socket).clone())
    }

    fn close_connection(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Socket<Req0>>>> {
        self.sockets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
