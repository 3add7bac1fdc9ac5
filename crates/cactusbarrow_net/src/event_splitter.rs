//! Splits a stream of server-sent events into complete events without altering a byte.

use bytes::{Bytes, BytesMut};

use crate::sse::{MAX_EVENT_BYTES, SseError};

/// One complete event, byte for byte as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// The `id` field, if present and an integer.
    pub id: Option<u64>,
}

/// Buffers received bytes until they form a complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns true if no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns the next complete event, or `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, SseError> {
        let Some(end) = end_of_event(&self.buf) else {
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(SseError::TooLarge);
            }
            return Ok(None);
        };
        let bytes = self.buf.split_to(end).freeze();
        let text = std::str::from_utf8(&bytes).map_err(|_| SseError::NotUtf8)?;
        let id = text.lines().find_map(parse_id_field);
        Ok(Some(RawEvent { bytes, id }))
    }
}

/// Returns the index behind the blank line that ends the first event.
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

fn parse_id_field(line: &str) -> Option<u64> {
    line.strip_prefix("id:")?.trim().parse().ok()
}
