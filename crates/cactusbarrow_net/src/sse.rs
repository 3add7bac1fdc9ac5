//! Incremental decoder for server-sent events.

/// Largest event that is accepted, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;

/// One decoded event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, if present.
    pub id: Option<String>,
    /// The `event` field, which names the event's type; empty if absent.
    pub event: String,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// Why an event cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// The event is larger than 1 MiB.
    #[error("event is too large")]
    TooLarge,
    /// A line of the event is not UTF-8.
    #[error("event is not UTF-8")]
    NotUtf8,
}

/// Decodes received bytes into events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buf: Vec<u8>,
    /// Length of the part of `buf` that is already decoded.
    decoded_len: usize,
    event: SseEvent,
    /// Bytes of the lines of the event being decoded.
    event_bytes: usize,
}

impl SseDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.decoded_len);
        self.decoded_len = 0;
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        while let Some(len) = self.buf[self.decoded_len..]
            .iter()
            .position(|b| *b == b'\n')
        {
            let line = &self.buf[self.decoded_len..self.decoded_len + len];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = std::str::from_utf8(line)
                .map_err(|_| SseError::NotUtf8)?
                .to_owned();
            self.decoded_len += len + 1;
            if line.is_empty() {
                self.event_bytes = 0;
                let event = std::mem::take(&mut self.event);
                if event != SseEvent::default() {
                    return Ok(Some(event));
                }
                continue;
            }
            self.event_bytes += line.len();
            if self.event_bytes > MAX_EVENT_BYTES {
                return Err(SseError::TooLarge);
            }
            self.apply_field(&line);
        }
        if self.buf.len() - self.decoded_len > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(None)
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buf.len() + self.event_bytes
    }

    fn apply_field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            "event" => value.clone_into(&mut self.event.event),
            "id" => self.event.id = Some(value.to_owned()),
            _ => {}
        }
    }
}
