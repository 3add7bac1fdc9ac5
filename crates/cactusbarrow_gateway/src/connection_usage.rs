//! Tracks the use of an incoming connection, and the end of each request on it.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cactusbarrow_net::{
    BlockedWrites, Body, BodyError, Clock, CloseCause, CutGuard, Holding, KeptConnection, Linger,
    RequestHolding, has_unread_data,
};

use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::request_end::{RequestEnd, ServedRequest};

#[derive(Debug)]
struct State {
    kept: KeptConnection,
    /// Request whose response is complete, but not flushed yet.
    unflushed: Option<ServedRequest>,
    /// Whether the peer closed the connection.
    is_peer_gone: bool,
    /// Whether the rest of a request's body is not read.
    has_unread_body: bool,
    /// Whether the next read also looks at data that have arrived, but were not reported yet.
    needs_peek: bool,
}

/// Use of one connection, shared by its parts.
#[derive(Debug)]
pub(crate) struct ConnectionUsage<C> {
    clock: C,
    holding: Arc<Holding>,
    listener: &'static str,
    state: Mutex<State>,
}

impl<C: Clock> ConnectionUsage<C> {
    pub(crate) fn new(
        clock: C,
        listener: &'static str,
        idle_timeout: Duration,
        holding: Holding,
    ) -> Arc<Self> {
        let state = State {
            kept: KeptConnection::new(clock.now(), idle_timeout),
            unflushed: None,
            is_peer_gone: false,
            has_unread_body: false,
            needs_peek: false,
        };
        Arc::new(Self {
            clock,
            holding: Arc::new(holding),
            listener,
            state: Mutex::new(state),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The data are plain values, which stay consistent when a task panics.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request has been read, until the returned guard is dropped.
    pub(crate) fn begin_request(
        self: &Arc<Self>,
        id: Option<http::HeaderValue>,
    ) -> InFlightGuard<C> {
        self.state().kept.begin_request();
        InFlightGuard {
            usage: self.clone(),
            holding: RequestHolding::begin(self.holding.clone()),
            request: Some(ServedRequest {
                listener: self.listener,
                id,
                is_refused: false,
            }),
            progress: Progress::Incomplete,
        }
    }

    /// Records the idle time-out under which a response is sent, and returns the idle time to
    /// state in it, in whole seconds; `None` if there are none.
    pub(crate) fn promise(&self, idle_timeout: Duration) -> Option<u64> {
        self.state().kept.promise(idle_timeout)
    }

    /// Begins to close the connection as soon as no request is lost by it.
    pub(crate) fn begin_drain(&self) {
        let now = self.clock.now();
        self.state().kept.begin_drain(now);
    }

    /// Returns why the connection is to be closed now, if it is.
    pub(crate) fn close_cause(&self, idle_timeout: Duration) -> Option<CloseCause> {
        let now = self.clock.now();
        self.state().kept.close_cause(now, idle_timeout)
    }

    /// Has the next read look at data that have arrived, but were not reported yet.
    pub(crate) fn request_peek(&self) {
        self.state().needs_peek = true;
    }

    /// Records that the rest of a request's body is not read.
    pub(crate) fn record_unread_body(&self) {
        self.state().has_unread_body = true;
    }

    fn record_data(&self) {
        let now = self.clock.now();
        self.state().kept.record_data(now);
    }

    fn record_peer_gone(&self) {
        self.state().is_peer_gone = true;
    }

    /// Records that all data that were written have been passed to the operating system.
    fn record_flush(&self) {
        let flushed = self.state().unflushed.take();
        if let Some(request) = flushed {
            let end = if request.is_refused {
                RequestEnd::Refused
            } else {
                RequestEnd::Answered
            };
            request.record_end(end);
        }
    }

    /// Returns whether a request is in flight.
    pub(crate) fn is_serving(&self) -> bool {
        self.state().kept.is_serving()
    }

    /// Completes when the connection is given up.
    pub(crate) async fn given_up(&self) {
        self.holding.given_up().await;
    }

    /// Returns whether the peer may still be sending a request that will not be read.
    fn needs_linger(&self) -> bool {
        if self.holding.is_given_up() {
            return false;
        }
        let state = self.state();
        !state.is_peer_gone && (state.has_unread_body || state.kept.is_request_arriving())
    }
}

/// Records what was left unfinished on a connection when it is dropped, after the connection.
pub(crate) struct ConnectionEnd<C: Clock>(Arc<ConnectionUsage<C>>);

impl<C: Clock> ConnectionEnd<C> {
    pub(crate) fn new(usage: Arc<ConnectionUsage<C>>) -> Self {
        Self(usage)
    }
}

impl<C: Clock> Drop for ConnectionEnd<C> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        let is_cut = state.kept.is_request_arriving() && !state.is_peer_gone;
        let end = unsent_end(state.is_peer_gone);
        let unflushed = state.unflushed.take();
        drop(state);
        if let Some(request) = unflushed {
            request.record_end(end);
        }
        if is_cut {
            metrics::counter!("gateway_cut_requests_total", "listener" => self.0.listener)
                .increment(1);
            log::warn!(listener = self.0.listener; "connection closed while a request arrived");
        }
    }
}

/// Returns how a request ended whose response was not sent completely.
fn unsent_end(is_peer_gone: bool) -> RequestEnd {
    if is_peer_gone {
        RequestEnd::CallerGone
    } else {
        RequestEnd::Lost
    }
}

/// How far the response of a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Incomplete,
    /// All of it was taken from its body.
    Complete,
    /// Its sender aborted it.
    Aborted,
    /// Its sender ended, or failed to read it from elsewhere.
    SenderLost,
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard<C: Clock> {
    usage: Arc<ConnectionUsage<C>>,
    holding: RequestHolding,
    request: Option<ServedRequest>,
    progress: Progress,
}

impl<C: Clock> InFlightGuard<C> {
    /// Returns what the request takes of the memory of the process.
    pub(crate) fn holding(&self) -> &RequestHolding {
        &self.holding
    }
}

impl<C: Clock> Drop for InFlightGuard<C> {
    fn drop(&mut self) {
        let now = self.usage.clock.now();
        let mut state = self.usage.state();
        state.kept.end_request(now);
        let end = match self.progress {
            Progress::Complete => {
                state.unflushed = self.request.take();
                return;
            }
            Progress::Incomplete => unsent_end(state.is_peer_gone),
            Progress::Aborted => RequestEnd::Aborted,
            Progress::SenderLost => RequestEnd::Lost,
        };
        drop(state);
        if let Some(request) = &self.request {
            request.record_end(end);
        }
    }
}

/// Body of a response whose request is in flight until the body has been sent.
pub(crate) struct TrackedBody<C: Clock> {
    body: Body,
    in_flight: InFlightGuard<C>,
}

impl<C: Clock> TrackedBody<C> {
    /// Tracks the body of a response; a body that is not `sent`, for instance in the response to a
    /// `HEAD` request, is complete from the start.
    pub(crate) fn new(
        body: Body,
        mut in_flight: InFlightGuard<C>,
        is_refused: bool,
        is_sent: bool,
    ) -> Self {
        if let Some(request) = &mut in_flight.request {
            request.is_refused = is_refused;
        }
        if !is_sent || body.is_end_stream() {
            in_flight.progress = Progress::Complete;
        }
        Self { body, in_flight }
    }
}

impl<C: Clock> HttpBody for TrackedBody<C> {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &polled {
            Some(Err(BodyError::Aborted)) => self.in_flight.progress = Progress::Aborted,
            Some(Err(_)) => self.in_flight.progress = Progress::SenderLost,
            None => self.in_flight.progress = Progress::Complete,
            Some(Ok(_)) if self.body.is_end_stream() => {
                self.in_flight.progress = Progress::Complete;
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a connection, which records when data arrive, and reads on when it is closed before
/// the peer has sent all.
pub(crate) struct TrackedStream<C> {
    stream: TcpStream,
    usage: Arc<ConnectionUsage<C>>,
    cut_guard: CutGuard,
    blocked: BlockedWrites,
    linger: Option<Linger>,
}

impl<C: Clock> TrackedStream<C> {
    pub(crate) fn new(
        stream: TcpStream,
        usage: Arc<ConnectionUsage<C>>,
        cut_guard: CutGuard,
    ) -> Self {
        Self {
            stream,
            blocked: BlockedWrites::new(usage.holding.clone()),
            usage,
            cut_guard,
            linger: None,
        }
    }

    /// Records data that have arrived although the last read found none.
    fn peek_if_requested(&self) {
        let needs_peek = std::mem::take(&mut self.usage.state().needs_peek);
        if needs_peek && has_unread_data(&self.stream) {
            self.usage.record_data();
        }
    }

    fn record_write<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.blocked.record_write(result.is_pending());
        if matches!(result, Poll::Ready(Err(_))) {
            self.usage.record_peer_gone();
        }
        result
    }
}

impl<C: Clock> AsyncRead for TrackedStream<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let capacity = buf.remaining();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) if buf.filled().len() > before => self.usage.record_data(),
            Poll::Ready(Ok(())) if capacity == 0 => {}
            Poll::Ready(_) => self.usage.record_peer_gone(),
            Poll::Pending => self.peek_if_requested(),
        }
        result
    }
}

impl<C: Clock> AsyncWrite for TrackedStream<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.cut_guard.before_write(&self.stream);
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.usage.record_flush();
        }
        self.record_write(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            self.cut_guard.before_shutdown(&self.stream);
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.usage.needs_linger() {
                return Poll::Ready(Ok(()));
            }
        }
        let this = &mut *self;
        let linger = this.linger.get_or_insert_default();
        linger.poll(&mut this.stream, cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.cut_guard.before_write(&self.stream);
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
