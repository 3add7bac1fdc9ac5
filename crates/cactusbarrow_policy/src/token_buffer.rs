//! Compact storage for the tokens of one generation.

use std::ops::Range;

/// Token ids with the bytes of each, in three flat vectors.
///
/// The bytes of one token need not be whole UTF-8 characters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenBuffer {
    ids: Vec<u32>,
    bytes: Vec<u8>,
    ends: Vec<u32>,
}

impl TokenBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Builds a buffer from ids, the concatenated bytes and each token's length in bytes.
    ///
    /// Returns `None` if the counts or lengths are inconsistent.
    pub fn from_parts(ids: Vec<u32>, bytes: Vec<u8>, lengths: &[u32]) -> Option<Self> {
        if ids.len() != lengths.len() {
            return None;
        }
        let mut end = 0_u32;
        let mut ends = Vec::with_capacity(lengths.len());
        for length in lengths {
            end = end.checked_add(*length)?;
            ends.push(end);
        }
        (end as usize == bytes.len()).then_some(Self { ids, bytes, ends })
    }

    /// Appends one token.
    pub fn push(&mut self, id: u32, bytes: &[u8]) {
        self.ids.push(id);
        self.bytes.extend_from_slice(bytes);
        self.ends.push(self.bytes.len() as u32);
    }

    /// Appends the tokens of `other` from index `from` on.
    pub fn extend_from(&mut self, other: &Self, from: usize) {
        for i in from..other.len() {
            self.push(other.ids[i], other.token_bytes(i));
        }
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns true if the buffer holds no token.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns all token ids.
    pub fn ids(&self) -> &[u32] {
        &self.ids
    }

    /// Returns the bytes of the token at `index`; panics if there is none.
    pub fn token_bytes(&self, index: usize) -> &[u8] {
        let start = self.start(index);
        &self.bytes[start..self.ends[index] as usize]
    }

    /// Returns the bytes of a range of tokens; panics if it is out of bounds.
    pub fn range_bytes(&self, range: Range<usize>) -> &[u8] {
        if range.is_empty() {
            return &[];
        }
        &self.bytes[self.start(range.start)..self.ends[range.end - 1] as usize]
    }

    /// Returns the length in bytes of each token in a range.
    pub fn lengths(&self, range: Range<usize>) -> Vec<u32> {
        range.map(|i| self.token_bytes(i).len() as u32).collect()
    }

    /// Returns the heap memory in use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.ids.capacity() * 4 + self.bytes.capacity() + self.ends.capacity() * 4
    }

    fn start(&self, index: usize) -> usize {
        match index {
            0 => 0,
            _ => self.ends[index - 1] as usize,
        }
    }
}
