//! Decoder for server-sent events.

/// Longest event that is accepted, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Its `id` field, if it has one.
    pub id: Option<String>,
    /// Its type; empty if not given.
    pub event: String,
    /// Its data lines, joined.
    pub data: String,
}

/// An event that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// The event is larger than 1 MiB.
    #[error("event is too large")]
    TooLarge,
    /// A line is not UTF-8.
    #[error("event is not UTF-8")]
    NotUtf8,
}

/// Cuts received bytes into events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buf: Vec<u8>,
    read: usize,
    event: SseEvent,
    size: usize,
}

impl SseDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.read);
        self.read = 0;
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        while let Some(len) = self.buf[self.read..].iter().position(|b| *b == b'\n') {
            let line = &self.buf[self.read..self.read + len];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = std::str::from_utf8(line)
                .map_err(|_| SseError::NotUtf8)?
                .to_owned();
            self.read += len + 1;
            if line.is_empty() {
                self.size = 0;
                let event = std::mem::take(&mut self.event);
                if event != SseEvent::default() {
                    return Ok(Some(event));
                }
                continue;
            }
            self.size += line.len();
            if self.size > MAX_EVENT_BYTES {
                return Err(SseError::TooLarge);
            }
            self.field(&line);
        }
        if self.buf.len() - self.read > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(None)
    }

    fn field(&mut self, line: &str) {
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
