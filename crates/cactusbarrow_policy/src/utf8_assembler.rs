//! Assembles token bytes into whole UTF-8 characters.

/// Buffers the bytes of an incomplete character until the rest arrives.
///
/// Bytes that can never become valid UTF-8 turn into U+FFFD, as a lossy decoder does.
#[derive(Clone, Debug, Default)]
pub struct Utf8Assembler {
    pending: Vec<u8>,
}

impl Utf8Assembler {
    /// Creates an assembler without buffered bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the text that is complete.
    pub fn push(&mut self, bytes: &[u8]) -> String {
        self.pending.extend_from_slice(bytes);
        let mut text = String::new();
        let mut rest: &[u8] = &self.pending;
        loop {
            match std::str::from_utf8(rest) {
                Ok(valid) => {
                    text.push_str(valid);
                    rest = &[];
                    break;
                }
                Err(e) => {
                    let (valid, after) = rest.split_at(e.valid_up_to());
                    text.push_str(&String::from_utf8_lossy(valid));
                    let Some(invalid_len) = e.error_len() else {
                        rest = after;
                        break;
                    };
                    text.push(char::REPLACEMENT_CHARACTER);
                    rest = &after[invalid_len..];
                }
            }
        }
        self.pending = rest.to_vec();
        text
    }

    /// Returns true if no incomplete character is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Ends the text; an incomplete character becomes U+FFFD.
    pub fn finish(&mut self) -> String {
        let text = String::from_utf8_lossy(&self.pending).into_owned();
        self.pending.clear();
        text
    }
}
