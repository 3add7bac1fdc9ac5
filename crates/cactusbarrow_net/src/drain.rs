//! Serves an incoming connection until it may be closed without losing a request.

use std::future::Future;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use hyper_util::server::graceful::GracefulConnection;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::CloseCause;

/// Interval at which a connection is checked for its idle time-out.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a connection is checked while it waits for a request before it is closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which the request on a connection that is given up may be refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Use of an incoming connection, by which it is decided when to close it.
pub trait ConnectionUse {
    /// Whether connections are closed once they have been idle for long.
    const HAS_IDLE_TIMEOUT: bool;

    /// Begins to close the connection as soon as no request is lost by it.
    fn begin_drain(&self);

    /// Returns why the connection is to be closed now, if it is.
    fn close_cause(&self) -> Option<CloseCause>;

    /// Has the next read look at data that have arrived, but were not reported yet.
    fn request_peek(&self);

    /// Completes when the connection is given up, since the process has too many or too little memory.
    fn given_up(&self) -> impl Future<Output = ()> + Send;

    /// Returns whether a request is in flight.
    fn is_serving(&self) -> bool;
}

/// Serves a connection until its peer closes it, its idle time-out is over, it is drained, or it is given up.
///
/// `on_close` is called before this process closes the connection.
pub async fn serve_until_closed<G, U>(
    mut conn: Pin<&mut G>,
    usage: &U,
    drain: &CancellationToken,
    on_close: impl FnOnce(CloseCause),
) -> Result<(), G::Error>
where
    G: GracefulConnection,
    U: ConnectionUse,
{
    let mut is_draining = false;
    loop {
        let check = async {
            if is_draining {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            } else if U::HAS_IDLE_TIMEOUT {
                tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            // A request that has arrived is read before its connection is closed.
            biased;
            ended = conn.as_mut() => return ended,
            () = usage.given_up() => {
                on_close(CloseCause::Overload);
                if usage.is_serving() {
                    conn.as_mut().graceful_shutdown();
                    let ended = tokio::time::timeout(REFUSAL_TIMEOUT, conn).await;
                    return ended.unwrap_or(Ok(()));
                }
                return Ok(());
            }
            () = drain.cancelled(), if !is_draining => {
                is_draining = true;
                usage.begin_drain();
            }
            () = check => {}
        }
        if usage.close_cause().is_none() {
            continue;
        }
        // The runtime may not have reported data yet that have arrived.
        usage.request_peek();
        if let Poll::Ready(ended) = poll_once(conn.as_mut()).await {
            return ended;
        }
        if let Some(cause) = usage.close_cause() {
            on_close(cause);
            conn.as_mut().graceful_shutdown();
            return tokio::select! {
                biased;
                ended = conn => ended,
                () = usage.given_up() => Ok(()),
            };
        }
    }
}

/// Polls a future once.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Poll<F::Output> {
    std::future::poll_fn(|cx| Poll::Ready(future.as_mut().poll(cx))).await
}

/// Returns whether data have arrived that have not been read, also before the runtime reports them.
pub fn has_unread_data(stream: &TcpStream) -> bool {
    // The runtime's own peek goes by what it has been told. An error is found by the next read, too.
    let peek = |socket: OwnedFd| std::net::TcpStream::from(socket).peek(&mut [0]);
    let socket = stream.as_fd().try_clone_to_owned();
    matches!(socket.and_then(peek), Ok(count) if count > 0)
}
