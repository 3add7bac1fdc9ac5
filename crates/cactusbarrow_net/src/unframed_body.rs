//! A body whose end its sender did not state.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};

use crate::{Body, BodyError, CutGuard};

/// Body that states neither its length nor its end.
#[derive(Debug)]
pub struct UnframedBody {
    body: Box<Body>,
    delivery: Delivery,
}

/// How the end of the body reaches its receiver.
#[derive(Clone, Debug)]
enum Delivery {
    /// Its connection is closed.
    Close,
    /// Its connection is closed, or reset if the body does not end.
    CloseOrReset(CutGuard),
    /// The body fails.
    Error,
}

impl UnframedBody {
    pub(crate) fn new(body: Body) -> Self {
        Self {
            body: Box::new(body),
            delivery: Delivery::Close,
        }
    }

    /// Has the connection reset unless the body ends, since closing it would end the body in order.
    pub fn set_guard(&mut self, guard: CutGuard) {
        guard.begin();
        self.delivery = Delivery::CloseOrReset(guard);
    }

    /// Lets the body fail at its end, for a connection whose streams state their ends.
    pub(crate) fn fail_at_end(&mut self) {
        self.delivery = Delivery::Error;
    }

    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = ready!(Pin::new(&mut *self.body).poll_frame(cx));
        Poll::Ready(match (polled, &self.delivery) {
            (None, Delivery::Error) => Some(Err(BodyError::EndNotStated)),
            (None, Delivery::CloseOrReset(guard)) => {
                guard.complete();
                None
            }
            (polled, _) => polled,
        })
    }
}
