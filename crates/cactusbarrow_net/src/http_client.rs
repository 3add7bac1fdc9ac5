//! HTTP client with pooled connections.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::{Body, BodyFraming, NetError, ProcessMemory};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the largest read buffer of a connection, and so of the head of a response, in bytes.
pub const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Bytes of a response over HTTP/2 that are received before they are read.
const HTTP2_STREAM_WINDOW: u32 = 64 << 10;

/// Bytes of all responses on a connection likewise: the largest that the protocol allows, so that responses which are not
/// read never keep others from arriving.
const HTTP2_CONNECTION_WINDOW: u32 = (1 << 31) - 1;

/// HTTP version that a client uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1: one request at a time per connection.
    Http1,
    /// HTTP/2: all requests to a peer multiplexed on one connection.
    Http2,
}

/// HTTP client; clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
    /// Memory for the bodies that it collects.
    memory: ProcessMemory,
}

impl HttpClient {
    /// Creates a client; it connects to a peer on the first request to it.
    pub fn new(version: HttpVersion) -> Self {
        Self::with_kept_connections(version, usize::MAX)
    }

    /// Creates a client of HTTP/1.1 that opens a connection for each request, so that bytes which belong to an earlier
    /// request cannot be taken for its response.
    pub fn with_connection_per_request() -> Self {
        Self::with_kept_connections(HttpVersion::Http1, 0)
    }

    /// Creates a client that keeps at most this number of idle connections to each peer.
    fn with_kept_connections(version: HttpVersion, kept: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(kept)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            // An automatic retry by the connection pool could execute a call twice.
            .retry_canceled_requests(false);
        if version == HttpVersion::Http2 {
            builder
                .http2_only(true)
                .http2_initial_stream_window_size(HTTP2_STREAM_WINDOW)
                .http2_initial_connection_window_size(HTTP2_CONNECTION_WINDOW)
                .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
                .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
        }
        Self {
            client: builder.build(connector),
            memory: ProcessMemory::default(),
        }
    }

    /// Has the client collect bodies in this memory.
    #[must_use]
    pub fn with_memory(self, memory: ProcessMemory) -> Self {
        Self { memory, ..self }
    }

    /// Sends a request and returns the response once its head arrives, with the body unread.
    ///
    /// Fails if the head has no valid status, or leaves open where the body ends.
    pub async fn send(
        &self,
        step: &'static str,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, NetError> {
        let peer = peer_of(&req);
        let method = req.method().clone();
        let sent = self.client.request(req).await;
        let res = sent.map_err(|e| NetError {
            is_connect: e.is_connect(),
            ..NetError::new(step, &peer, format_error_chain(&e))
        })?;
        let (head, body) = res.into_parts();
        BodyFraming::of_response(&method, &head).map_err(|e| NetError::new(step, peer, e))?;
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request and reads the whole response, with separate time-outs for head and body.
    ///
    /// A reachable peer sends the head promptly, while a large body takes longer on a slow link.
    /// `limit` bounds the body, in bytes.
    pub async fn send_and_collect_with_timeouts(
        &self,
        step: &'static str,
        req: Request<Body>,
        head_timeout: Duration,
        body_timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, NetError> {
        let peer = peer_of(&req);
        let timeout_error = || NetError::new(step, &peer, "no response in time");
        let sent = tokio::time::timeout(head_timeout, self.send(step, req)).await;
        let res = sent.map_err(|_| timeout_error())??;
        tokio::time::timeout(body_timeout, self.collect_response(step, &peer, res, limit))
            .await
            .map_err(|_| timeout_error())?
    }

    /// Sends a request and reads the whole response within `timeout`.
    ///
    /// `limit` bounds the body, in bytes.
    pub async fn send_and_collect(
        &self,
        step: &'static str,
        req: Request<Body>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, NetError> {
        let peer = peer_of(&req);
        let exchange = async {
            let res = self.send(step, req).await?;
            self.collect_response(step, &peer, res, limit).await
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(NetError::new(step, &peer, "no response in time")))
    }

    async fn collect_response(
        &self,
        step: &'static str,
        peer: &str,
        res: Response<Incoming>,
        limit: usize,
    ) -> Result<Response<Bytes>, NetError> {
        let (parts, body) = res.into_parts();
        let body = self.memory.collect(body, limit, peer).await?;
        Ok(Response::from_parts(parts, body.whole(step, peer)?))
    }
}

fn peer_of(req: &Request<Body>) -> String {
    req.uri()
        .authority()
        .map_or_else(String::new, ToString::to_string)
}

fn format_error_chain(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(e) = source {
        text = format!("{text}: {e}");
        source = e.source();
    }
    text
}
