//! Memory that the bodies of a process share.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_net::{Body, CollectedBody, ProcessMemory};
use http_body::Frame;
use tokio::task::JoinSet;

const LIMIT: usize = 4 << 20;

/// A body without an end.
struct EndlessBody;

impl http_body::Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        static CHUNK: [u8; 64 << 10] = [b'x'; 64 << 10];
        // Others get their turns, as between the reads of a connection.
        if is_second_turn() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&CHUNK)))))
    }
}

/// Returns true at every second call.
fn is_second_turn() -> bool {
    use std::sync::atomic::{AtomicBool, Ordering};
    static BIT: AtomicBool = AtomicBool::new(false);
    BIT.fetch_xor(true, Ordering::Relaxed)
}

/// Guards against a process that runs out of memory because each of many endless bodies is within its own bound.
#[tokio::test]
async fn endless_bodies_together_stay_within_the_limit() {
    let memory = ProcessMemory::new(LIMIT);
    let mut bodies = JoinSet::new();
    for _ in 0..200 {
        let memory = memory.clone();
        bodies.spawn(async move { memory.collect(EndlessBody, LIMIT, "peer").await });
    }
    while let Some(body) = bodies.join_next().await {
        assert!(memory.held() <= LIMIT);
        let body = body.expect("no panic").expect("no error");
        assert!(!matches!(body, CollectedBody::Whole(_)));
    }
    assert_eq!(memory.held(), 0);
}

/// Guards against sound bodies that are given up because endless ones beside them take the memory.
#[tokio::test]
async fn small_body_is_read_beside_endless_ones() {
    let memory = ProcessMemory::new(LIMIT);
    let endless = memory.clone();
    let endless = tokio::spawn(async move {
        loop {
            let both = tokio::join!(
                endless.collect(EndlessBody, LIMIT, "peer"),
                endless.collect(EndlessBody, LIMIT, "peer")
            );
            assert!(both.0.is_ok() && both.1.is_ok());
        }
    });
    for bytes in [0, 800, 16 << 10, 200 << 10, 800 << 10] {
        for _ in 0..5 {
            let (tx, body) = Body::channel();
            let send = async {
                for _ in 0..(bytes / 400) {
                    tx.send(Bytes::from_static(&[b'y'; 400])).await;
                    tokio::task::yield_now().await;
                }
                tx.finish();
            };
            let (body, ()) = tokio::join!(memory.collect(body, LIMIT, "peer"), send);
            let CollectedBody::Whole(body) = body.expect("no error") else {
                panic!("{bytes} bytes were given up");
            };
            assert_eq!(body.len(), bytes / 400 * 400);
        }
    }
    endless.abort();
}

/// Guards against bodies that count no longer while a slow receiver keeps them.
#[tokio::test]
async fn whole_body_counts_until_it_is_dropped() {
    let memory = ProcessMemory::new(LIMIT);
    // A quarter of the memory is left to small holdings.
    const BYTES: usize = LIMIT / 8 * 3;
    let read = async || {
        let body = Body::full(vec![b'x'; BYTES]);
        memory.collect(body, LIMIT, "peer").await.expect("no error")
    };
    let first = read().await;
    assert!(matches!(first, CollectedBody::Whole(_)));
    let second = read().await;
    assert!(matches!(second, CollectedBody::Whole(_)));
    assert_eq!(read().await, CollectedBody::GivenUp);
    assert_eq!(memory.hold(Bytes::from(vec![0; BYTES])), None);
    drop(first);
    assert_eq!(memory.held(), BYTES);
    assert!(matches!(read().await, CollectedBody::Whole(_)));
}

/// Guards against a body that is read up to the limit first, although it states that it is larger.
#[tokio::test]
async fn body_that_states_too_large_a_size_is_not_read() {
    struct StatedSize(u64);

    impl http_body::Body for StatedSize {
        type Data = Bytes;
        type Error = Infallible;

        fn poll_frame(
            self: Pin<&mut Self>,
            _cx: &mut Context<'_>,
        ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
            panic!("the body is read");
        }

        fn size_hint(&self) -> http_body::SizeHint {
            http_body::SizeHint::with_exact(self.0)
        }
    }

    let memory = ProcessMemory::new(LIMIT);
    let body = memory.collect(StatedSize(1_001), 1_000, "peer").await;
    assert_eq!(body.expect("no error"), CollectedBody::TooLarge);
    let larger_than_memory = StatedSize(LIMIT as u64 + 1);
    let body = memory.collect(larger_than_memory, usize::MAX, "peer").await;
    assert_eq!(body.expect("no error"), CollectedBody::GivenUp);
}

/// Guards against a slow receiver for which chunks of any size are buffered.
#[tokio::test]
async fn sender_waits_for_a_slow_receiver_of_large_chunks() {
    let (tx, body) = Body::channel();
    let chunk = Bytes::from(vec![b'x'; 1 << 20]);
    assert!(tx.send(chunk.clone()).await);
    let second = tokio::time::timeout(Duration::from_millis(50), tx.send(chunk));
    assert!(second.await.is_err(), "a second chunk was buffered");
    drop(body);
    assert!(!tx.send(Bytes::from_static(b"x")).await);
}
