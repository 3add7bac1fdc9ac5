//! Catches the panic of a future, so that the request that it serves is still answered.

use std::any::Any;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

/// The future panicked.
#[derive(Debug, thiserror::Error)]
#[error("panicked: {message}")]
pub struct Panicked {
    message: String,
}

impl Panicked {
    fn new(payload: &(dyn Any + Send)) -> Self {
        let message = match payload.downcast_ref::<&str>() {
            Some(text) => (*text).to_owned(),
            None => payload
                .downcast_ref::<String>()
                .cloned()
                .unwrap_or_default(),
        };
        Self { message }
    }
}

/// Runs a future to its end; a panic in it becomes an error.
///
/// The future is not polled again after a panic, and its own state is dropped. What it shares with
/// other tasks must be consistent at each point where it may panic.
pub async fn catch_panic<F: Future>(future: F) -> Result<F::Output, Panicked> {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| poll(future.as_mut(), cx)).await
}

fn poll<F: Future>(future: Pin<&mut F>, cx: &mut Context<'_>) -> Poll<Result<F::Output, Panicked>> {
    match catch_unwind(AssertUnwindSafe(|| future.poll(cx))) {
        Ok(Poll::Ready(output)) => Poll::Ready(Ok(output)),
        Ok(Poll::Pending) => Poll::Pending,
        Err(payload) => Poll::Ready(Err(Panicked::new(&*payload))),
    }
}
