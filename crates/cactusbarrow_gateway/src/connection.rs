//! Serves one incoming connection, with an idle time-out and a graceful close.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_adapter::REQUEST_ID;
use cactusbarrow_net::{
    Body, Clock, CloseCause, ConnectionUse, CutGuard, Holding, RequestBody, UnreadBody,
    catch_panic, serve_until_closed,
};
use cactusbarrow_policy::{Outcome, Reason};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::connection_usage::{ConnectionEnd, ConnectionUsage, TrackedBody, TrackedStream};
use crate::listener::ListenerStop;
use crate::refusal::Refusal;

/// Limits of an incoming connection.
pub(crate) struct ConnectionLimits<I> {
    /// Size of the largest head of a request, in bytes.
    pub(crate) header_bytes: usize,
    /// Returns the current idle time-out.
    pub(crate) idle_timeout: I,
}

/// Size of the smallest buffer that hyper accepts for the head of a request.
const MIN_HEADER_BYTES: usize = 8 << 10;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Serves one connection until it is closed by the peer, its idle time-out is over, or it is
/// drained.
pub(crate) async fn serve<C, I, H, F>(
    (stream, holding): (TcpStream, Holding),
    clock: C,
    listener: &'static str,
    limits: ConnectionLimits<I>,
    handler: H,
    stop: ListenerStop,
) -> Result<(), hyper::Error>
where
    C: Clock,
    I: Fn() -> Duration,
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<Body>>,
{
    let usage = ConnectionUsage::new(clock, listener, (limits.idle_timeout)(), holding);
    let _end = ConnectionEnd::new(usage.clone());
    let cut_guard = CutGuard::default();
    let service = service_fn(|req| {
        let served = serve_request(&usage, &handler, req, cut_guard.clone());
        let (usage, limits, stop) = (&usage, &limits, &stop);
        // Boxed, so that idle connections do not take the memory of a request.
        Box::pin(async move {
            let mut res = served.await;
            set_connection_headers(&mut res, usage, stop, &limits.idle_timeout);
            Ok::<_, Infallible>(res)
        })
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(
            TokioIo::new(TrackedStream::new(stream, usage.clone(), cut_guard.clone())),
            service,
        );
    let usage = TimedUse {
        usage: &usage,
        idle_timeout: &limits.idle_timeout,
    };
    serve_until_closed(pin!(conn), &usage, &stop.drain, record_close).await
}

/// Use of a connection under an idle time-out.
struct TimedUse<'a, C, I> {
    usage: &'a ConnectionUsage<C>,
    idle_timeout: &'a I,
}

impl<C: Clock, I: Fn() -> Duration> ConnectionUse for TimedUse<'_, C, I> {
    const HAS_IDLE_TIMEOUT: bool = true;

    fn begin_drain(&self) {
        self.usage.begin_drain();
    }

    fn close_cause(&self) -> Option<CloseCause> {
        self.usage.close_cause((self.idle_timeout)())
    }

    fn request_peek(&self) {
        self.usage.request_peek();
    }

    fn given_up(&self) -> impl Future<Output = ()> + Send {
        self.usage.given_up()
    }

    fn is_serving(&self) -> bool {
        self.usage.is_serving()
    }
}

/// Serves one request, also if its handler panics or does not read its body.
fn serve_request<C, H, F>(
    usage: &Arc<ConnectionUsage<C>>,
    handler: &H,
    req: Request<Incoming>,
    cut_guard: CutGuard,
) -> impl Future<Output = Response<TrackedBody<C>>> + use<C, H, F>
where
    C: Clock,
    H: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<Body>>,
{
    let id = req.headers().get(REQUEST_ID).cloned();
    let in_flight = usage.begin_request(id.clone());
    let is_head = req.method() == Method::HEAD;
    let is_continue_expected = req.headers().contains_key(header::EXPECT);
    let unread = UnreadBody::default();
    let holding = in_flight.holding().clone();
    let handled = handler(req.map(|body| RequestBody::new(body, unread.clone(), holding.clone())));
    let usage = usage.clone();
    async move {
        let handled = catch_panic(handled).await;
        let mut res = handled.unwrap_or_else(|e| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            let id = id.unwrap_or("");
            log::error!(request_id = id, step = "serve request"; "handler {e}");
            Refusal::unknown(Reason::InternalError).to_response(id)
        });
        let is_useless = is_continue_expected || holding.is_given_up();
        if !unread.discard(is_useless).await {
            usage.record_unread_body();
            set_close(&mut res);
        }
        if let Body::Unframed(body) = res.body_mut() {
            body.set_guard(cut_guard);
        }
        let is_sent = !is_head && res.status() != StatusCode::NO_CONTENT;
        let is_refused = res.extensions().get::<Outcome>().is_some();
        res.map(|body| TrackedBody::new(body, in_flight, is_refused, is_sent))
    }
}

/// States in a response for how long the connection is kept, or that it is closed.
fn set_connection_headers<C: Clock, B>(
    res: &mut Response<B>,
    usage: &ConnectionUsage<C>,
    stop: &ListenerStop,
    idle_timeout: &impl Fn() -> Duration,
) {
    if stop.leaving.is_cancelled() {
        set_close(res);
    }
    if res.headers().contains_key(header::CONNECTION) {
        return;
    }
    if let Some(secs) = usage.promise(idle_timeout())
        && let Ok(value) = HeaderValue::try_from(format!("timeout={secs}"))
    {
        res.headers_mut().insert(KEEP_ALIVE, value);
    }
}

fn set_close<B>(res: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
}

/// Counts a connection that this gateway closes, by the cause.
fn record_close(cause: CloseCause) {
    metrics::counter!("gateway_connections_closed_total", "cause" => cause.as_str()).increment(1);
}
