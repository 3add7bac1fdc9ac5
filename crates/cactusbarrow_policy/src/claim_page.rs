//! Binary encoding of claim pages in the platform's store.

use crate::ids::{ClaimNonce, KeyHash};

const PAGE_MAGIC: [u8; 4] = *b"CBC1";
const ENTRY_BYTES: usize = 16 + 8 + 8 + 4 + 1;
const SEGMENT_REF_BYTES: usize = 8 + 4;

/// State of a claimed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The call may have been run.
    Claimed,
    /// The call was certainly not run under this claim, so the key may be claimed again.
    Released,
}

/// Record that a key was claimed or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Key that was claimed.
    pub key: KeyHash,
    /// Identifies the request that claimed the key.
    pub nonce: ClaimNonce,
    /// Hash of the request body.
    pub body_hash: u64,
    /// Time of the claim or release, in seconds since the Unix epoch.
    pub unix_seconds: u32,
    /// State of the key after this entry.
    pub state: EntryState,
}

/// Error of [`ClaimPage::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimPageError {
    /// The bytes do not start with the magic number of claim pages.
    #[error("not a claim page")]
    Magic,
    /// The length does not match the counts in the header.
    #[error("claim page of {0} bytes does not match its header")]
    Length(usize),
    /// An entry has an unknown state byte.
    #[error("unknown state {0} of a claim entry")]
    State(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentRef {
    pub(crate) id: u64,
    pub(crate) newest_unix_seconds: u32,
}

/// The head page of a shard, or one of its segments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimPage {
    pub(crate) segments: Vec<SegmentRef>,
    pub(crate) entries: Vec<ClaimEntry>,
}

impl ClaimPage {
    /// Returns the entries, oldest first.
    pub fn entries(&self) -> &[ClaimEntry] {
        &self.entries
    }

    /// Encodes the page.
    pub fn encode(&self) -> Vec<u8> {
        let size = 12 + self.segments.len() * SEGMENT_REF_BYTES + self.entries.len() * ENTRY_BYTES;
        let mut buf = Vec::with_capacity(size);
        buf.extend_from_slice(&PAGE_MAGIC);
        buf.extend_from_slice(&(self.segments.len() as u32).to_be_bytes());
        buf.extend_from_slice(&(self.entries.len() as u32).to_be_bytes());
        for segment in &self.segments {
            buf.extend_from_slice(&segment.id.to_be_bytes());
            buf.extend_from_slice(&segment.newest_unix_seconds.to_be_bytes());
        }
        for entry in &self.entries {
            buf.extend_from_slice(&entry.key.to_bytes());
            buf.extend_from_slice(&entry.nonce.0.to_be_bytes());
            buf.extend_from_slice(&entry.body_hash.to_be_bytes());
            buf.extend_from_slice(&entry.unix_seconds.to_be_bytes());
            buf.push(u8::from(entry.state == EntryState::Released));
        }
        buf
    }

    /// Decodes a page; fails unless the bytes are exactly one encoded page.
    pub fn decode(buf: &[u8]) -> Result<Self, ClaimPageError> {
        let wrong_length = ClaimPageError::Length(buf.len());
        let rest = buf.strip_prefix(&PAGE_MAGIC).ok_or(ClaimPageError::Magic)?;
        let (counts, rest) = rest.split_at_checked(8).ok_or(wrong_length)?;
        let segment_count = read_u32(counts) as usize;
        let entry_count = read_u32(&counts[4..]) as usize;
        let segment_bytes = segment_count.saturating_mul(SEGMENT_REF_BYTES);
        let (segments, entries) = rest.split_at_checked(segment_bytes).ok_or(wrong_length)?;
        if entries.len() != entry_count.saturating_mul(ENTRY_BYTES) {
            return Err(wrong_length);
        }
        Ok(Self {
            segments: segments
                .chunks_exact(SEGMENT_REF_BYTES)
                .map(|buf| SegmentRef {
                    id: read_u64(buf),
                    newest_unix_seconds: read_u32(&buf[8..]),
                })
                .collect(),
            entries: entries
                .chunks_exact(ENTRY_BYTES)
                .map(decode_entry)
                .collect::<Result<_, _>>()?,
        })
    }

    /// Returns the newest entry of a key in this page.
    pub(crate) fn find(&self, key: KeyHash) -> Option<&ClaimEntry> {
        self.entries.iter().rev().find(|entry| entry.key == key)
    }
}

fn decode_entry(buf: &[u8]) -> Result<ClaimEntry, ClaimPageError> {
    let mut key = [0; 16];
    key.copy_from_slice(&buf[..16]);
    let state = match buf[36] {
        0 => EntryState::Claimed,
        1 => EntryState::Released,
        other => return Err(ClaimPageError::State(other)),
    };
    Ok(ClaimEntry {
        key: KeyHash(u128::from_be_bytes(key)),
        nonce: ClaimNonce(read_u64(&buf[16..])),
        body_hash: read_u64(&buf[24..]),
        unix_seconds: read_u32(&buf[32..]),
        state,
    })
}

fn read_u32(buf: &[u8]) -> u32 {
    buf.iter().take(4).fold(0, |n, b| n << 8 | u32::from(*b))
}

fn read_u64(buf: &[u8]) -> u64 {
    buf.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}
