//! The use of a server's connection, and its stream, which is read on when it is closed early.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection_limit::CONNECTION_BYTES;
use crate::drain::has_unread_data;
use crate::server::HTTP2_CONNECTION_WINDOW;
use crate::{
    BlockedWrites, Body, BodyError, Clock, CloseCause, ConnectionUse, CutGuard, Holding,
    KeptConnection, Linger, RequestHolding, SystemClock,
};

/// Memory that a connection of HTTP/2 counts for, in bytes: its task, its buffers, and its window of data that were not read.
const MULTIPLEXED_CONNECTION_BYTES: usize = CONNECTION_BYTES + HTTP2_CONNECTION_WINDOW as usize;

/// A server's connections are kept until their peers close them.
const IDLE_TIMEOUT: Duration = Duration::MAX;

#[derive(Debug)]
struct State {
    kept: KeptConnection,
    /// Whether requests are streams of HTTP/2, which tells its peer which of them it has read.
    is_multiplexed: bool,
    /// Whether the rest of a request's body is not read.
    has_unread_body: bool,
    /// Whether the next read also looks at data that have arrived, but were not reported yet.
    needs_peek: bool,
}

/// Use of one connection of a server; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ServerConnection {
    state: Arc<Mutex<State>>,
    holding: Arc<Holding>,
}

impl ServerConnection {
    /// Creates the state of a connection that was accepted now.
    pub(crate) fn new(holding: Holding) -> Self {
        let state = State {
            kept: KeptConnection::new(SystemClock.now(), IDLE_TIMEOUT),
            is_multiplexed: false,
            has_unread_body: false,
            needs_peek: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            holding: Arc::new(holding),
        }
    }

    /// Records that a request has been read, until the returned guard is dropped.
    pub(crate) fn begin_request(&self, is_multiplexed: bool) -> InFlightGuard {
        let mut state = self.state();
        state.kept.begin_request();
        let was_multiplexed = std::mem::replace(&mut state.is_multiplexed, is_multiplexed);
        drop(state);
        if is_multiplexed && !was_multiplexed {
            self.holding.resize(MULTIPLEXED_CONNECTION_BYTES);
        }
        let holding = if is_multiplexed {
            self.holding.record_progress();
            RequestHolding::begin_multiplexed(self.holding.clone())
        } else {
            RequestHolding::begin(self.holding.clone())
        };
        InFlightGuard {
            connection: self.clone(),
            holding,
        }
    }

    /// Records that the rest of a request's body is not read.
    pub(crate) fn record_unread_body(&self) {
        self.state().has_unread_body = true;
    }

    fn record_data(&self) {
        self.state().kept.record_data(SystemClock.now());
    }

    /// Returns whether the peer may still be sending a request that will not be read.
    fn needs_linger(&self) -> bool {
        let state = self.state();
        let is_cut = state.kept.is_request_arriving() && !state.is_multiplexed;
        (state.has_unread_body || is_cut) && !self.holding.is_given_up()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The data are plain values, which stay consistent when a task panics.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionUse for ServerConnection {
    const HAS_IDLE_TIMEOUT: bool = false;

    fn begin_drain(&self) {
        self.state().kept.begin_drain(SystemClock.now());
    }

    fn close_cause(&self) -> Option<CloseCause> {
        let state = self.state();
        if state.is_multiplexed {
            return Some(CloseCause::Drain);
        }
        state.kept.close_cause(SystemClock.now(), IDLE_TIMEOUT)
    }

    fn request_peek(&self) {
        self.state().needs_peek = true;
    }

    fn given_up(&self) -> impl Future<Output = ()> + Send {
        self.holding.given_up()
    }

    fn is_serving(&self) -> bool {
        self.state().kept.is_serving()
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    connection: ServerConnection,
    holding: RequestHolding,
}

impl InFlightGuard {
    /// Returns what the request takes of the memory of the process.
    pub(crate) fn holding(&self) -> &RequestHolding {
        &self.holding
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.connection.state().kept.end_request(SystemClock.now());
    }
}

/// Body of a response whose request is in flight until the body has been sent.
#[derive(Debug)]
pub(crate) struct InFlightBody {
    body: Body,
    _in_flight: InFlightGuard,
}

impl InFlightBody {
    pub(crate) fn new(body: Body, in_flight: InFlightGuard) -> Self {
        Self {
            body,
            _in_flight: in_flight,
        }
    }
}

impl HttpBody for InFlightBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a connection, which records when data arrive, and reads on when it is closed before the peer has
/// sent all.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    usage: ServerConnection,
    cut_guard: CutGuard,
    blocked: BlockedWrites,
    linger: Option<Linger>,
}

impl ServerStream {
    pub(crate) fn new(stream: TcpStream, usage: ServerConnection, cut_guard: CutGuard) -> Self {
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
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) if buf.filled().len() > before => self.usage.record_data(),
            Poll::Ready(_) => {}
            Poll::Pending => self.peek_if_requested(),
        }
        result
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.cut_guard.before_write(&self.stream);
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.blocked.record_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            this.cut_guard.before_shutdown(&this.stream);
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if !this.usage.needs_linger() {
                return Poll::Ready(Ok(()));
            }
        }
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
        self.blocked.record_write(result.is_pending());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
