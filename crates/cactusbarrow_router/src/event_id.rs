//! Identifiers of events in a caller's stream.

use std::fmt;
use std::str::FromStr;

use cactusbarrow_policy::{AttemptNumber, GenerationId};

/// Says where a stream stands, so that any router can go on from there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId {
    /// The generation.
    pub(crate) generation: GenerationId,
    /// The attempt that the last token came from.
    pub(crate) attempt: AttemptNumber,
    /// Number of tokens up to and with this event.
    pub(crate) position: usize,
    /// The backend server that holds the generation.
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

/// A text that is not an event's identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an event id of this system")]
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
