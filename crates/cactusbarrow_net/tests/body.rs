//! A streamed body is complete only if its sender says so.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use bytes::Bytes;
use cactusbarrow_net::{Body, BodyError, BodySender};
use http_body::Body as _;

/// Polls a future that has nothing to wait for.
fn poll_now<T>(future: impl Future<Output = T>) -> T {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the future waits"),
    }
}

/// Returns the next chunk of a body, which has to be there already.
fn next_chunk(body: &mut Body) -> Option<Result<Bytes, BodyError>> {
    let mut cx = Context::from_waker(Waker::noop());
    match pin!(body).poll_frame(&mut cx) {
        Poll::Ready(frame) => frame.map(|frame| {
            let data = frame?.into_data();
            Ok(data.expect("the frame has data"))
        }),
        Poll::Pending => panic!("the body waits"),
    }
}

/// Records whether it was woken.
#[derive(Default)]
struct WakeRecorder(AtomicBool);

impl Wake for WakeRecorder {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Release);
    }
}

/// Returns the error by which a body ends: it waits once, so that what it has passed on is written, and has itself
/// polled again at once.
fn end_error(body: &mut Body) -> BodyError {
    let recorder = Arc::new(WakeRecorder::default());
    let waker = Waker::from(recorder.clone());
    let polled = pin!(&mut *body).poll_frame(&mut Context::from_waker(&waker));
    assert!(
        polled.is_pending(),
        "the body ends before its chunks are written"
    );
    assert!(
        recorder.0.load(Ordering::Acquire),
        "the body is not polled again"
    );
    match next_chunk(body) {
        Some(Err(e)) => e,
        end => panic!("the body ended normally: {end:?}"),
    }
}

/// Returns a sender that has sent one chunk, and the body that receives it.
fn started_body() -> (BodySender, Body) {
    let (tx, mut body) = Body::channel();
    assert!(poll_now(tx.send("first".into())));
    assert!(matches!(next_chunk(&mut body), Some(Ok(chunk)) if chunk == "first"));
    (tx, body)
}

#[test]
fn finished_body_ends_after_its_last_chunk() {
    let (tx, mut body) = started_body();
    assert!(poll_now(tx.send("last".into())));
    tx.finish();
    assert!(matches!(next_chunk(&mut body), Some(Ok(chunk)) if chunk == "last"));
    assert!(next_chunk(&mut body).is_none());
}

/// A task that panicked while it relayed a stream made the stream look complete.
#[test]
fn body_whose_sender_was_dropped_does_not_look_complete() {
    let (tx, mut body) = started_body();
    drop(tx);
    assert!(matches!(end_error(&mut body), BodyError::SenderLost));
}

#[test]
fn aborted_body_ends_with_an_error() {
    let (tx, mut body) = started_body();
    poll_now(tx.abort());
    assert!(matches!(end_error(&mut body), BodyError::Aborted));
}
