//! Typed identifiers shared by every process.

use std::fmt;
use std::str::FromStr;

/// Identifies one generation; drawn at random by the router that accepted the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GenerationId(pub u128);

impl GenerationId {
    /// Returns the identifier as 16 big-endian bytes.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Decodes an identifier from 16 big-endian bytes; `None` on any other length.
    pub fn from_slice(buf: &[u8]) -> Option<Self> {
        Some(Self(u128::from_be_bytes(buf.try_into().ok()?)))
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for GenerationId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Numbers the attempts of one generation, from 1 upwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Returns the number of the attempt that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Hash of a customer's name and an idempotency key.
///
/// The customer is part of the hash, so two customers never share an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Returns the hash as 16 big-endian bytes.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Decodes a hash from 16 big-endian bytes; `None` on any other length.
    pub fn from_slice(buf: &[u8]) -> Option<Self> {
        Some(Self(u128::from_be_bytes(buf.try_into().ok()?)))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one request to claim an unrepeatable call; drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimNonce(pub u64);

/// Revision of the accepted configuration; increases monotonically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
