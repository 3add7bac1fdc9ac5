//! HTTP message bodies as a single enum, which avoids boxing.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{CollectedBody, NetError, ProcessMemory, RequestBody, TimedBody, UnframedBody};

/// Chunks that are buffered for a slow receiver before the sender has to wait.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// Bytes of chunks that are buffered likewise; a larger chunk is buffered alone.
const STREAM_BUFFER_BYTES: u32 = 64 << 10;

/// Why a body ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The sender aborted the body with [`BodySender::abort`].
    #[error("body was aborted by its sender")]
    Aborted,
    /// All senders were dropped before [`BodySender::finish`], for instance by a panic.
    #[error("sender of the body ended before the body was complete")]
    SenderLost,
    /// The body was not complete by its deadline.
    #[error("body was not complete by its deadline")]
    TimedOut,
    /// The sender of the body did not state its end, which the receiver's protocol requires.
    #[error("end of the body was not stated")]
    EndNotStated,
    /// The connection that the body was received on failed.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
}

/// Sending half of a streamed body.
///
/// The body is complete only after [`BodySender::finish`]; dropping all clones without it ends the
/// body with [`BodyError::SenderLost`].
#[derive(Clone, Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Result<Chunk, BodyError>>,
    /// Bytes that may still be buffered.
    room: Arc<Semaphore>,
    is_finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk; returns false if the receiver was dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let room = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let room = self
            .room
            .clone()
            .acquire_many_owned(room.min(STREAM_BUFFER_BYTES));
        let room = tokio::select! {
            room = room => room,
            () = self.chunks.closed() => return false,
        };
        // The semaphore is never closed.
        let Ok(room) = room else {
            return false;
        };
        let chunk = Chunk { bytes, _room: room };
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the body normally once all chunks have been received and all clones are dropped.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Release);
    }

    /// Ends the body with an error, so that the receiver does not mistake it for complete.
    pub async fn abort(&self) {
        // A receiver that was dropped does not need the error.
        let _ = self.chunks.send(Err(BodyError::Aborted)).await;
    }

    /// Returns whether the receiver was dropped.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Completes when the receiver was dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// A buffered chunk with its share of the buffer.
#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

/// Receiving half of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Result<Chunk, BodyError>>,
    is_finished: Arc<AtomicBool>,
    /// Error that follows once the chunks before it have been passed on.
    next_error: Option<BodyError>,
}

impl BodyReceiver {
    /// Receives the next chunk; `None` after the last chunk of a complete body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(e) = self.next_error.take() {
            return Poll::Ready(Some(Err(e)));
        }
        let chunk = match ready!(self.chunks.poll_recv(cx)) {
            None if !self.is_finished.load(Ordering::Acquire) => Some(Err(BodyError::SenderLost)),
            chunk => chunk.map(|chunk| chunk.map(|chunk| chunk.bytes)),
        };
        if let Some(Err(e)) = chunk {
            // The server discards what it has not written when a body fails; it writes while a body waits.
            self.next_error = Some(e);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(chunk)
    }
}

/// Body of a request or response.
#[derive(Debug)]
pub enum Body {
    /// No bytes, or none left to send.
    Empty,
    /// All bytes at once.
    Full(Bytes),
    /// Chunks that a task sends through a [`BodySender`].
    Stream(BodyReceiver),
    /// Body received from a peer, forwarded without buffering.
    Incoming(Incoming),
    /// Body of a request, forwarded without buffering.
    Request(RequestBody),
    /// Body received from a peer, forwarded until a deadline.
    Timed(TimedBody),
    /// Body whose end its sender did not state.
    Unframed(UnframedBody),
}

impl Body {
    /// Creates a body from all its bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(bytes.into())
    }

    /// Creates a streamed body and the sender that feeds it.
    pub fn channel() -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let is_finished = Arc::new(AtomicBool::new(false));
        let sender = BodySender {
            chunks: tx,
            room: Arc::new(Semaphore::new(STREAM_BUFFER_BYTES as usize)),
            is_finished: is_finished.clone(),
        };
        let receiver = BodyReceiver {
            chunks: rx,
            is_finished,
            next_error: None,
        };
        (sender, Self::Stream(receiver))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                *self = Self::Empty;
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
            Self::Stream(rx) => rx
                .poll_chunk(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Incoming(incoming) => Pin::new(incoming)
                .poll_frame(cx)
                .map_err(BodyError::Connection),
            Self::Request(body) => Pin::new(body).poll_frame(cx).map_err(BodyError::Connection),
            Self::Timed(body) => Pin::new(body).poll_frame(cx),
            Self::Unframed(body) => body.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Full(bytes) => bytes.is_empty(),
            Self::Stream(_) | Self::Unframed(_) => false,
            Self::Incoming(incoming) => incoming.is_end_stream(),
            Self::Request(body) => body.is_end_stream(),
            Self::Timed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) | Self::Unframed(_) => SizeHint::default(),
            Self::Incoming(incoming) => incoming.size_hint(),
            Self::Request(body) => body.size_hint(),
            Self::Timed(body) => body.size_hint(),
        }
    }
}

/// Reads a whole body of at most `limit` bytes, whatever others take; `peer` names its sender in errors.
///
/// Processes that serve callers read bodies with their [`ProcessMemory`] instead. Returns `Ok(None)` if the body is larger.
pub async fn collect_limited<B>(
    body: B,
    limit: usize,
    peer: &str,
) -> Result<Option<Bytes>, NetError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    match ProcessMemory::default().collect(body, limit, peer).await? {
        CollectedBody::Whole(bytes) => Ok(Some(bytes)),
        CollectedBody::TooLarge | CollectedBody::GivenUp => Ok(None),
    }
}
