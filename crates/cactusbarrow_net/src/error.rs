//! Transport errors, with the operation and the peer that they concern.

use std::fmt;

/// A failed exchange with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetError {
    /// Operation that failed, as logged under the key `step`.
    pub step: &'static str,
    /// Peer of the operation, usually its address.
    pub peer: String,
    /// Cause of the failure.
    pub message: String,
    /// Whether no connection was established, so that nothing was sent.
    pub is_connect: bool,
    /// Whether the connection was refused, so that no process listens on the peer's address.
    pub is_refused: bool,
}

impl NetError {
    /// Creates an error that may have occurred after data was sent.
    pub fn new(step: &'static str, peer: impl fmt::Display, message: impl fmt::Display) -> Self {
        Self {
            step,
            peer: peer.to_string(),
            message: message.to_string(),
            is_connect: false,
            is_refused: false,
        }
    }
}

impl fmt::Display for NetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {}: {}", self.step, self.peer, self.message)
    }
}

impl std::error::Error for NetError {}
