//! A tower layer that refuses requests beyond a limit with a typed response.

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
use crate::request::outcome_from_headers;

/// Layer that wraps services in [`InFlightLimit`].
#[derive(Clone, Debug)]
pub(crate) struct InFlightLimitLayer {
    limit: usize,
    in_flight: Arc<AtomicUsize>,
}

impl InFlightLimitLayer {
    /// Creates a layer that admits `limit` concurrent requests over all its services.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            in_flight: Arc::default(),
        }
    }
}

impl<T> Layer<T> for InFlightLimitLayer {
    type Service = InFlightLimit<T>;

    fn layer(&self, inner: T) -> InFlightLimit<T> {
        InFlightLimit {
            inner,
            layer: self.clone(),
        }
    }
}

/// Refuses requests while too many wait for the head of their response.
#[derive(Clone, Debug)]
pub(crate) struct InFlightLimit<T> {
    inner: T,
    layer: InFlightLimitLayer,
}

impl<T, B> Service<Request<B>> for InFlightLimit<T>
where
    T: Service<Request<B>, Response = Response<Body>>,
{
    type Response = Response<Body>;
    type Error = T::Error;
    type Future = InFlightLimitFuture<T::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Request<B>) -> Self::Future {
        let guard = InFlightGuard::acquire(&self.layer);
        if guard.count > self.layer.limit {
            let outcome = outcome_from_headers(req.headers());
            return InFlightLimitFuture::Refused { outcome };
        }
        InFlightLimitFuture::Admitted {
            inner: self.inner.call(req),
            guard,
        }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    in_flight: Arc<AtomicUsize>,
    count: usize,
}

impl InFlightGuard {
    fn acquire(layer: &InFlightLimitLayer) -> Self {
        Self {
            in_flight: layer.in_flight.clone(),
            count: layer.in_flight.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

pin_project! {
    /// Future of [`InFlightLimit`].
    #[project = InFlightLimitProjection]
    pub(crate) enum InFlightLimitFuture<F> {
        /// The request was admitted.
        Admitted {
            // Future of the inner service.
            #[pin]
            inner: F,
            // Held until the head of the response is ready.
            guard: InFlightGuard,
        },
        /// The request was refused.
        Refused {
            // Outcome to report; earlier requests under the same key may have been run.
            outcome: Outcome,
        },
    }
}

impl<F, E> Future for InFlightLimitFuture<F>
where
    F: Future<Output = Result<Response<Body>, E>>,
{
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        match self.project() {
            InFlightLimitProjection::Admitted { inner, .. } => inner.poll(cx),
            InFlightLimitProjection::Refused { outcome } => {
                let refusal = Refusal::new(*outcome, Reason::Overloaded, "admit request");
                Poll::Ready(Ok(refusal.into_response()))
            }
        }
    }
}
