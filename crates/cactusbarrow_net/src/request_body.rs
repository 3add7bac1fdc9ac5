//! The body of a request, of which the rest is kept when its reader has no use for it.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use crate::{CollectedBody, NetError, ProcessMemory, RequestHolding};

/// Longest time that a response waits for the rest of its request's body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest rest of a body, in bytes, that is read so that the connection can be kept.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The rest of a request's body that was not read.
#[derive(Clone, Debug, Default)]
pub struct UnreadBody(Arc<Mutex<Option<Incoming>>>);

impl UnreadBody {
    fn slot(&self) -> MutexGuard<'_, Option<Incoming>> {
        // The slot holds a plain value, which stays consistent when a task panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads and drops the rest of the body; returns whether its end was reached.
    ///
    /// Nothing is read if `is_useless`: of a body that the caller sends only after a `100 Continue`, which is left
    /// out by not reading, or on a connection that is given up. Neither is a body that is known to be longer than is read.
    pub async fn discard(&self, is_useless: bool) -> bool {
        let Some(body) = self.slot().take() else {
            return true;
        };
        if is_useless || body.size_hint().lower() > MAX_DISCARDED_BYTES as u64 {
            return false;
        }
        let discarded = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
        discarded.unwrap_or(false)
    }
}

async fn discard(mut body: Incoming) -> bool {
    let mut left = MAX_DISCARDED_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let count = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(count) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}

/// The body of a request that a server has received.
#[derive(Debug)]
pub struct RequestBody {
    /// `None` once the end was reached.
    incoming: Option<Incoming>,
    unread: UnreadBody,
    holding: RequestHolding,
}

impl RequestBody {
    /// Creates a body whose rest is left in `unread`, if it is dropped before its end.
    pub fn new(incoming: Incoming, unread: UnreadBody, holding: RequestHolding) -> Self {
        Self {
            incoming: (!incoming.is_end_stream()).then_some(incoming),
            unread,
            holding,
        }
    }

    /// Returns what the request takes of the memory of the process.
    pub fn holding(&self) -> &RequestHolding {
        &self.holding
    }

    /// Reads the whole body, of at most `limit` bytes; it is given up together with its request. `peer` names its sender in
    /// errors.
    pub async fn collect(
        self,
        memory: &ProcessMemory,
        limit: usize,
        peer: &str,
    ) -> Result<CollectedBody, NetError> {
        let owner = self.holding.owner();
        memory.collect_for(Some(owner), self, limit, peer).await
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(incoming) = self.incoming.take() {
            *self.unread.slot() = Some(incoming);
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(incoming).poll_frame(cx);
        if let Poll::Ready(None | Some(Err(_))) = polled {
            self.incoming = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.incoming {
            Some(incoming) => incoming.size_hint(),
            None => SizeHint::with_exact(0),
        }
    }
}
