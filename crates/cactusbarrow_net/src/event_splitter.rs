//! Cuts a stream of server-sent events into whole events, without changing a byte.

use bytes::{Bytes, BytesMut};

use crate::sse::{MAX_EVENT_BYTES, SseError};

/// One whole event as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its `id` field, if it is a number.
    pub id: Option<u64>,
}

/// Holds received bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns whether part of an event is held.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, SseError> {
        let Some(end) = end_of_event(&self.buf) else {
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(SseError::TooLarge);
            }
            return Ok(None);
        };
        let bytes = self.buf.split_to(end).freeze();
        let text = std::str::from_utf8(&bytes).map_err(|_| SseError::NotUtf8)?;
        let id = text.lines().find_map(id_of_line);
        Ok(Some(RawEvent { bytes, id }))
    }
}

/// Returns the index after the blank line that ends the first event.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(len) = buf[start..].iter().position(|b| *b == b'\n') {
        let line = &buf[start..start + len];
        start += len + 1;
        if line.is_empty() || line == b"\r" {
            return Some(start);
        }
    }
    None
}

fn id_of_line(line: &str) -> Option<u64> {
    line.strip_prefix("id:")?.trim().parse().ok()
}
