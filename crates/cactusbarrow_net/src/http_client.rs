//! HTTP client with pooled connections.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::body::collect_limited;
use crate::{Body, NetError};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Version of HTTP that a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpVersion {
    /// One request at a time on each connection.
    Http1,
    /// All requests to a peer on one connection.
    Http2,
}

/// HTTP client; clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(version: HttpVersion) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            // A retry of the pool's own could run a call twice.
            .retry_canceled_requests(false);
        if version == HttpVersion::Http2 {
            builder
                .http2_only(true)
                .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
                .http2_keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
        }
        Self {
            client: builder.build(connector),
        }
    }

    /// Sends a request and returns the head of the response with its body yet to come.
    pub async fn send(
        &self,
        step: &'static str,
        req: Request<Body>,
    ) -> Result<Response<Incoming>, NetError> {
        let peer = peer_of(&req);
        self.client.request(req).await.map_err(|e| NetError {
            is_connect: e.is_connect(),
            ..NetError::new(step, peer, describe(&e))
        })
    }

    /// Sends a request and reads the whole response; head and body have a time each.
    ///
    /// A peer that is there answers soon, and a large body takes its time on a slow link.
    pub async fn send_and_collect_with_timeouts(
        &self,
        step: &'static str,
        req: Request<Body>,
        head_timeout: Duration,
        body_timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, NetError> {
        let peer = peer_of(&req);
        let late = || NetError::new(step, &peer, "no answer in time");
        let sent = tokio::time::timeout(head_timeout, self.send(step, req)).await;
        let res = sent.map_err(|_| late())??;
        tokio::time::timeout(body_timeout, read_whole(step, &peer, res, limit))
            .await
            .map_err(|_| late())?
    }

    /// Sends a request and reads the whole response, within a time and size.
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
            read_whole(step, &peer, res, limit).await
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(NetError::new(step, &peer, "no answer in time")))
    }
}

async fn read_whole(
    step: &'static str,
    peer: &str,
    res: Response<Incoming>,
    limit: usize,
) -> Result<Response<Bytes>, NetError> {
    let (parts, body) = res.into_parts();
    match collect_limited(body, limit, peer).await? {
        Some(bytes) => Ok(Response::from_parts(parts, bytes)),
        None => Err(NetError::new(step, peer, "answer is too large")),
    }
}

fn peer_of(req: &Request<Body>) -> String {
    req.uri()
        .authority()
        .map_or_else(String::new, ToString::to_string)
}

fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(e) = source {
        text = format!("{text}: {e}");
        source = e.source();
    }
    text
}
