//! A tower layer that refuses requests beyond a limit, with a typed answer.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use cactusbarrow_net::Body;
use cactusbarrow_policy::{Outcome, Reason};
use http::{Request, Response};
use pin_project_lite::pin_project;
use tower::{Layer, Service};

use crate::refusal::Refusal;
use crate::request::outcome_if_unread;

/// Wraps services in [`Overload`].
#[derive(Clone, Debug)]
pub(crate) struct OverloadLayer {
    limit: usize,
    in_flight: Arc<AtomicUsize>,
}

impl OverloadLayer {
    /// Creates a layer that lets `limit` requests in at once, over all its services.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            in_flight: Arc::default(),
        }
    }
}

impl<T> Layer<T> for OverloadLayer {
    type Service = Overload<T>;

    fn layer(&self, inner: T) -> Overload<T> {
        Overload {
            inner,
            layer: self.clone(),
        }
    }
}

/// Refuses requests while too many wait for the head of their response.
#[derive(Clone, Debug)]
pub(crate) struct Overload<T> {
    inner: T,
    layer: OverloadLayer,
}

impl<T, B> Service<Request<B>> for Overload<T>
where
    T: Service<Request<B>, Response = Response<Body>>,
{
    type Response = Response<Body>;
    type Error = T::Error;
    type Future = OverloadFuture<T::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Request<B>) -> Self::Future {
        let place = Place::take(&self.layer);
        if place.number > self.layer.limit {
            let outcome = outcome_if_unread(req.headers());
            return OverloadFuture::Refused { outcome };
        }
        OverloadFuture::Admitted {
            inner: self.inner.call(req),
            place,
        }
    }
}

/// One request's place; given back when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    in_flight: Arc<AtomicUsize>,
    number: usize,
}

impl Place {
    fn take(layer: &OverloadLayer) -> Self {
        Self {
            in_flight: layer.in_flight.clone(),
            number: layer.in_flight.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

pin_project! {
    /// Future of [`Overload`].
    #[project = OverloadProjection]
    pub(crate) enum OverloadFuture<F> {
        /// The request goes on.
        Admitted {
            // The inner service's future.
            #[pin]
            inner: F,
            // Held until the response's head is there.
            place: Place,
        },
        /// The request is refused.
        Refused {
            // What may be said of earlier requests under its key.
            outcome: Outcome,
        },
    }
}

impl<F, E> Future for OverloadFuture<F>
where
    F: Future<Output = Result<Response<Body>, E>>,
{
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        match self.project() {
            OverloadProjection::Admitted { inner, .. } => inner.poll(cx),
            OverloadProjection::Refused { outcome } => {
                let refusal = Refusal::new(*outcome, Reason::Overloaded, "admit request");
                Poll::Ready(Ok(refusal.into_response()))
            }
        }
    }
}
