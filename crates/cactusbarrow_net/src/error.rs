//! Errors of the transport, with the step and the peer at which they arose.

use std::fmt;

/// A failed exchange with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetError {
    /// What was being done.
    pub step: &'static str,
    /// With whom.
    pub peer: String,
    /// What went wrong.
    pub message: String,
    /// Whether no connection was made, so that nothing was sent.
    pub is_connect: bool,
    /// Whether the peer refused the connection, so that nobody listens there.
    pub is_refused: bool,
}

impl NetError {
    /// Creates an error.
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
