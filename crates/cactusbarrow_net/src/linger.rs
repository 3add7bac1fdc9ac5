//! Reads a connection on whose writing half is closed, so that its peer receives the response.

use std::future::Future;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep};

/// Longest time for which a connection that closes is read on, so that the response reaches a peer
/// that is still sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which nothing may arrive meanwhile.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of the buffer for data that are read and dropped.
const LINGER_BUFFER_BYTES: usize = 8 << 10;

/// Deadlines of a connection whose writing half is closed and that is read on.
#[derive(Debug)]
pub struct Linger {
    until: Instant,
    idle: Pin<Box<Sleep>>,
}

impl Default for Linger {
    fn default() -> Self {
        Self {
            until: Instant::now() + LINGER_TIMEOUT,
            idle: Box::pin(tokio::time::sleep(LINGER_IDLE_TIMEOUT)),
        }
    }
}

impl Linger {
    /// Reads and drops data until the peer closes the connection, or a time-out.
    ///
    /// Closing a connection with unread data would reset it, which may discard the response.
    pub fn poll<S>(&mut self, stream: &mut S, cx: &mut Context<'_>) -> Poll<()>
    where
        S: AsyncRead + Unpin,
    {
        loop {
            if self.idle.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut data = [MaybeUninit::uninit(); LINGER_BUFFER_BYTES];
            let mut buf = ReadBuf::uninit(&mut data);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => self.restart_idle(),
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Restarts the idle time-out after data arrived.
    fn restart_idle(&mut self) {
        let idle_until = Instant::now() + LINGER_IDLE_TIMEOUT;
        self.idle.as_mut().reset(idle_until.min(self.until));
    }
}
