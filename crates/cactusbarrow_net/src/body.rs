//! Bodies of HTTP messages, without boxing.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::NetError;

/// Number of chunks that wait for a slow receiver before the sender waits, too.
const STREAM_CHUNKS: usize = 64;

/// Why a body broke off.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The sender failed before the end.
    #[error("body was cut off by its sender")]
    Aborted,
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
}

/// Sending half of a streamed body; dropping it ends the body.
#[derive(Clone, Debug)]
pub struct BodySender(mpsc::Sender<Result<Bytes, BodyError>>);

impl BodySender {
    /// Sends a chunk; returns false if the receiver is gone.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.0.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the body with an error, so that the receiver does not take it for whole.
    pub async fn abort(&self) {
        // A receiver that is gone needs no error.
        let _ = self.0.send(Err(BodyError::Aborted)).await;
    }

    /// Completes when the receiver is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Body of a request or response.
#[derive(Debug)]
pub enum Body {
    /// Nothing, or nothing more.
    Empty,
    /// All bytes at once.
    Full(Bytes),
    /// Chunks from a task.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
    /// What a peer sends, passed on.
    Incoming(Incoming),
}

impl Body {
    /// Creates a body from all its bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(bytes.into())
    }

    /// Creates a body that a task fills.
    pub fn channel() -> (BodySender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_CHUNKS);
        (BodySender(tx), Self::Stream(rx))
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
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            Self::Incoming(incoming) => Pin::new(incoming)
                .poll_frame(cx)
                .map_err(BodyError::Connection),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Full(bytes) => bytes.is_empty(),
            Self::Stream(_) => false,
            Self::Incoming(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
            Self::Incoming(incoming) => incoming.size_hint(),
        }
    }
}

/// Reads a whole body, at most `limit` bytes.
///
/// Returns `Ok(None)` if it is larger.
pub async fn collect_limited<B>(
    mut body: B,
    limit: usize,
    peer: &str,
) -> Result<Option<Bytes>, NetError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| NetError::new("read body", peer, e))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Ok(None);
        }
        buf.extend_from_slice(&data);
    }
    Ok(Some(buf.into()))
}
