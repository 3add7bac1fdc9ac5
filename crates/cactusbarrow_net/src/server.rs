//! HTTP server: accepts connections until shutdown, then drains them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use cactusbarrow_protocol::{OUTCOME_HEADER, REASON_HEADER};
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::{Service, ServiceExt};

use crate::server_connection::{InFlightBody, ServerConnection, ServerStream};
use crate::{
    Body, ConnectionLimit, CutGuard, MAX_READ_BUFFER_BYTES, NetError, RequestBody, UnreadBody,
    accept_until, catch_panic, serve_until_closed,
};

/// Body of the response to a request whose handler panicked.
const PANIC_BODY: &str = r#"{"error":{"outcome":"unknown","reason":"internal_error","step":"serve request","message":""}}"#;

/// Address of the peer that sent a request; set as an extension of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddr(pub SocketAddr);

/// Connections that wait to be accepted.
pub(crate) const LISTEN_BACKLOG: u32 = 1_024;

/// Bytes that the operating system receives for a connection before they are read.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// Streams that a connection of HTTP/2 may carry at once.
const HTTP2_STREAMS: u32 = 4_096;

/// Bytes that the streams of a connection, and one of them, may receive before they are read.
pub(crate) const HTTP2_CONNECTION_WINDOW: u32 = 256 << 10;
const HTTP2_STREAM_WINDOW: u32 = 64 << 10;

/// Bytes of a stream that are buffered until its peer reads them.
const HTTP2_SEND_BUFFER_BYTES: usize = 64 << 10;

/// Time-outs and limits of a server.
#[derive(Clone, Debug)]
pub struct ServeConfig {
    /// Limit of connections.
    pub connections: ConnectionLimit,
    /// Longest time that a peer may take to send the head of a request.
    pub header_timeout: Duration,
    /// Longest time that requests in flight may take to finish after shutdown begins.
    pub drain_timeout: Duration,
}

impl Default for ServeConfig {
    fn default() -> Self {
        Self {
            connections: ConnectionLimit::default(),
            header_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// Listens on an address and returns the one bound: port 0 selects any free port.
pub async fn listen(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), NetError> {
    let error = |e: std::io::Error| NetError::new("listen", addr, e);
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let socket = socket.map_err(error)?;
    socket.set_reuseaddr(true).map_err(error)?;
    // Accepted connections inherit it.
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .map_err(error)?;
    socket.bind(addr).map_err(error)?;
    let listener = socket.listen(LISTEN_BACKLOG).map_err(error)?;
    let addr = listener.local_addr().map_err(error)?;
    Ok((listener, addr))
}

/// Serves until `shutdown` is cancelled, then drains the requests in flight.
///
/// Returns true if every connection ended within the drain time-out.
pub async fn serve<S>(
    listener: TcpListener,
    service: S,
    cfg: ServeConfig,
    shutdown: CancellationToken,
) -> bool
where
    S: Service<Request<RequestBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    let connections = TaskTracker::new();
    accept_until(
        listener,
        &shutdown,
        &cfg.connections,
        |stream, peer, holding| {
            let usage = ServerConnection::new(holding);
            let conn = serve_connection(
                stream,
                peer,
                service.clone(),
                usage,
                cfg.header_timeout,
                shutdown.clone(),
            );
            connections.spawn(conn);
        },
    )
    .await;
    connections.close();
    tokio::time::timeout(cfg.drain_timeout, connections.wait())
        .await
        .is_ok()
}

async fn serve_connection<S>(
    stream: TcpStream,
    peer: SocketAddr,
    service: S,
    usage: ServerConnection,
    header_timeout: Duration,
    drain: CancellationToken,
) where
    S: Service<Request<RequestBody>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    // Tokens are small writes, which Nagle's algorithm would delay behind one another.
    let _ = stream.set_nodelay(true);
    let cut_guard = CutGuard::default();
    let stream = ServerStream::new(stream, usage.clone(), cut_guard.clone());
    let served = usage.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(PeerAddr(peer));
        // Boxed, so that idle connections do not take the memory of a request.
        Box::pin(serve_request(
            service.clone(),
            req,
            served.clone(),
            cut_guard.clone(),
        ))
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_READ_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(HTTP2_STREAMS)
        .initial_connection_window_size(HTTP2_CONNECTION_WINDOW)
        .initial_stream_window_size(HTTP2_STREAM_WINDOW)
        .max_send_buf_size(HTTP2_SEND_BUFFER_BYTES);
    let conn = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let conn = pin!(conn);
    if let Err(e) = serve_until_closed(conn, &usage, &drain, |_| {}).await {
        log::debug!(step = "serve", peer:% = peer; "connection ended: {e}");
    }
}

/// Serves one request, also if its handler panics or does not read its body.
async fn serve_request<S>(
    service: S,
    req: Request<Incoming>,
    connection: ServerConnection,
    cut_guard: CutGuard,
) -> Result<Response<InFlightBody>, Infallible>
where
    S: Service<Request<RequestBody>, Response = Response<Body>, Error = Infallible>,
{
    let is_multiplexed = req.version() >= Version::HTTP_2;
    let in_flight = connection.begin_request(is_multiplexed);
    let is_continue_expected = req.headers().contains_key(header::EXPECT);
    let unread = UnreadBody::default();
    let holding = in_flight.holding().clone();
    let req = req.map(|body| RequestBody::new(body, unread.clone(), holding.clone()));
    let mut res = match catch_panic(async { service.oneshot(req).await }).await {
        Ok(Ok(res)) => res,
        Err(e) => {
            log::error!(step = "serve request"; "handler {e}");
            panic_response()
        }
    };
    if let Body::Unframed(body) = res.body_mut() {
        if is_multiplexed {
            body.fail_at_end();
        } else {
            body.set_guard(cut_guard);
        }
    }
    // A stream of HTTP/2 ends without closing its connection.
    if !is_multiplexed
        && !unread
            .discard(is_continue_expected || holding.is_given_up())
            .await
    {
        connection.record_unread_body();
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(res.map(|body| InFlightBody::new(body, in_flight)))
}

/// Returns the response to a request whose handler panicked: it may have been run.
fn panic_response() -> Response<Body> {
    let mut res = Response::new(Body::full(PANIC_BODY));
    *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    let headers = res.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    let outcome = HeaderValue::from_static("unknown");
    headers.insert(OUTCOME_HEADER, outcome);
    let reason = HeaderValue::from_static("internal_error");
    headers.insert(REASON_HEADER, reason);
    res
}
