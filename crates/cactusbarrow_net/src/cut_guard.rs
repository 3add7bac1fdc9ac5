//! Keeps the end of a process from looking like the end of a body.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::TcpStream;

/// Whether the end of a connection is that of a body; clones share it.
///
/// The operating system closes the connections of a process that exits or is killed. One that carries such a
/// body is reset instead, until all of the body has been written.
#[derive(Clone, Debug, Default)]
pub struct CutGuard(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    has_begun: AtomicBool,
    is_complete: AtomicBool,
    is_armed: AtomicBool,
}

impl CutGuard {
    /// Records that a body begins which ends with the connection.
    pub(crate) fn begin(&self) {
        self.0.has_begun.store(true, Ordering::Release);
    }

    /// Records that the body is complete; its last bytes may still have to be written.
    pub(crate) fn complete(&self) {
        self.0.is_complete.store(true, Ordering::Release);
    }

    /// Has the connection reset when it is closed, if such a body has begun; called before each write.
    pub fn before_write(&self, stream: &TcpStream) {
        if self.0.has_begun.load(Ordering::Acquire) && !self.0.is_armed.swap(true, Ordering::AcqRel)
        {
            // It fails only on a connection that has failed before.
            let _ = stream.set_zero_linger();
        }
    }

    /// Has the connection closed in order if the body is complete; called once all bytes have been written.
    pub fn before_shutdown(&self, stream: &TcpStream) {
        let is_armed = self.0.is_armed.load(Ordering::Acquire);
        if is_armed && self.0.is_complete.load(Ordering::Acquire) {
            clear_linger(stream);
        }
    }
}

#[expect(deprecated, reason = "only a linger time blocks, and this sets none")]
fn clear_linger(stream: &TcpStream) {
    // It fails only on a connection that has failed before.
    let _ = stream.set_linger(None);
}
