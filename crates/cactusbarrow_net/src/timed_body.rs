//! A body that is forwarded from a peer and has to be complete by a deadline.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::BodyError;

/// Body received from a peer, which ends with [`BodyError::TimedOut`] after its deadline.
///
/// Data that have arrived by then are still forwarded.
#[derive(Debug)]
pub struct TimedBody {
    incoming: Incoming,
    peer: String,
    deadline: Pin<Box<Sleep>>,
}

impl TimedBody {
    /// Creates a body that has to be complete within `time_left`; `peer` names its sender in the
    /// log.
    pub fn new(incoming: Incoming, peer: impl ToString, time_left: Duration) -> Self {
        Self {
            incoming,
            peer: peer.to_string(),
            deadline: Box::pin(tokio::time::sleep(time_left)),
        }
    }
}

impl HttpBody for TimedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Poll::Ready(polled) = Pin::new(&mut self.incoming).poll_frame(cx) {
            let polled = polled.map(|frame| frame.map_err(BodyError::Connection));
            return Poll::Ready(polled);
        }
        if self.deadline.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        log::warn!(step = "read body", peer = self.peer; "body was not complete by its deadline");
        Poll::Ready(Some(Err(BodyError::TimedOut)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
