//! Tracks whether a peer keeps this process from writing to it.

use std::sync::Arc;

use crate::Holding;

/// Whether writes to a connection wait for its peer, which may be given up meanwhile.
#[derive(Debug)]
pub struct BlockedWrites {
    connection: Arc<Holding>,
    is_blocked: bool,
}

impl BlockedWrites {
    /// Creates the state of a connection on which nothing waits.
    pub fn new(connection: Arc<Holding>) -> Self {
        Self {
            connection,
            is_blocked: false,
        }
    }

    /// Records whether the last write has to wait.
    pub fn record_write(&mut self, is_pending: bool) {
        // A write that is tried again, and still waits, changes nothing.
        if is_pending != self.is_blocked {
            self.is_blocked = is_pending;
            self.connection.set_blocked(is_pending);
        }
    }
}
