//! Identifiers of the server-sent events in a caller's stream.

use std::fmt;
use std::str::FromStr;

use cactusbarrow_policy::{AttemptNumber, GenerationId};

/// Position within a generation's stream, from which any router can resume it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId {
    /// Identifier of the generation.
    pub(crate) generation: GenerationId,
    /// Attempt that produced the last token.
    pub(crate) attempt: AttemptNumber,
    /// Number of tokens up to and including this event.
    pub(crate) position: usize,
    /// Name of the backend server that held the generation.
    pub(crate) backend_server: String,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            generation,
            attempt,
            position,
            backend_server,
        } = self;
        write!(f, "{generation}.{}.{position}.{backend_server}", attempt.0)
    }
}

/// The text is not a valid event id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid event id")]
pub(crate) struct EventIdError;

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, EventIdError> {
        let mut parts = text.splitn(4, '.');
        let mut next = || parts.next().ok_or(EventIdError);
        let generation = next()?.parse().map_err(|_| EventIdError)?;
        let attempt = next()?.parse().map_err(|_| EventIdError)?;
        let position = next()?.parse().map_err(|_| EventIdError)?;
        let backend_server = next()?.to_owned();
        Ok(Self {
            generation,
            attempt: AttemptNumber(attempt),
            position,
            backend_server,
        })
    }
}
