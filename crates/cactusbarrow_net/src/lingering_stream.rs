//! The stream of a server's connection, which is read on when it is closed before a body's end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::Linger;

/// Whether the rest of a request's body on a connection is not read; clones share the value.
#[derive(Clone, Debug, Default)]
pub(crate) struct HasUnreadBody(Arc<AtomicBool>);

impl HasUnreadBody {
    /// Records that the rest of a request's body is not read.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Whether a connection is reset instead of closed; clones share the value.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionReset(Arc<AtomicBool>);

impl ConnectionReset {
    /// Records that the connection is to be reset.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A stream that is read on after its writing half was closed, if a body was not read to its end.
#[derive(Debug)]
pub(crate) struct LingeringStream {
    stream: TcpStream,
    has_unread_body: HasUnreadBody,
    reset: ConnectionReset,
    linger: Option<Linger>,
}

impl LingeringStream {
    pub(crate) fn new(
        stream: TcpStream,
        has_unread_body: HasUnreadBody,
        reset: ConnectionReset,
    ) -> Self {
        Self {
            stream,
            has_unread_body,
            reset,
            linger: None,
        }
    }
}

impl Drop for LingeringStream {
    fn drop(&mut self) {
        if self.reset.get() {
            // It fails only on a connection that has failed before.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if !this.has_unread_body.get() {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = this.linger.get_or_insert_default();
        linger.poll(&mut this.stream, cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
