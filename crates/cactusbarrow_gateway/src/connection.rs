//! One connection of a caller: idle limit and graceful close.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_net::{Body, Clock};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Use of one connection.
struct Usage {
    in_flight: AtomicUsize,
    used_at: Mutex<Instant>,
}

impl Usage {
    fn touch(&self, now: Instant) {
        *self.used_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }

    fn idle_since(&self) -> Option<Instant> {
        let is_idle = self.in_flight.load(Ordering::Relaxed) == 0;
        is_idle.then(|| *self.used_at.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Limits of a connection.
pub(crate) struct ConnectionLimits<I> {
    /// Longest head of a request, in bytes.
    pub(crate) header_bytes: usize,
    /// Returns the longest time without a request, as it is now.
    pub(crate) idle: I,
}

/// Smallest buffer that hyper accepts for the head of a request.
const MIN_HEADER_BYTES: usize = 8 << 10;

/// Interval at which an idle connection is looked at.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// Serves one connection until it ends, is idle for too long, or `drain` is cancelled.
pub(crate) async fn serve<C, I, H, F>(
    stream: TcpStream,
    clock: C,
    limits: ConnectionLimits<I>,
    handler: H,
    drain: CancellationToken,
) -> Result<(), hyper::Error>
where
    C: Clock,
    I: Fn() -> Duration,
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let usage = Arc::new(Usage {
        in_flight: AtomicUsize::new(0),
        used_at: Mutex::new(clock.now()),
    });
    let service = service_fn(|req| {
        let usage = usage.clone();
        let clock = clock.clone();
        usage.in_flight.fetch_add(1, Ordering::Relaxed);
        let res = handler(req);
        async move {
            let res = res.await;
            usage.touch(clock.now());
            usage.in_flight.fetch_sub(1, Ordering::Relaxed);
            Ok::<_, std::convert::Infallible>(res)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = conn.as_mut() => return ended,
            () = drain.cancelled(), if !is_closing => {
                is_closing = true;
                conn.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(IDLE_CHECK), if !is_closing => {
                let idle = usage.idle_since().map(|at| clock.now().saturating_duration_since(at));
                if idle.is_some_and(|idle| idle >= (limits.idle)()) {
                    is_closing = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
