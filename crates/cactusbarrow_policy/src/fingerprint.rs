//! Fingerprints by which gateways recognize a request that arrives again.
//!
//! They are keyed hashes, so that no caller can choose a request with the fingerprint of another
//! caller's. All gateways use the oldest key that one of them has drawn.

use std::time::{Duration, Instant};

use rand::Rng;
use sha2::{Digest, Sha256};

use crate::request_parts::PartId;

/// Difference in age up to which two keys count as equally old.
const AGE_TOLERANCE: Duration = Duration::from_secs(2);

/// Secret key of fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FingerprintKey(pub [u64; 2]);

/// What makes a request the same as another one.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path and query.
    pub path_and_query: &'a str,
    /// Name of the customer, if the route requires one.
    pub customer: Option<&'a str>,
    /// Body; empty if there is none.
    pub body: &'a [u8],
}

impl FingerprintKey {
    /// Draws a new key.
    pub fn draw(rng: &mut impl Rng) -> Self {
        Self([rng.next_u64(), rng.next_u64()])
    }

    /// Returns the fingerprint of a request, the first 64 bits of a keyed SHA-256 hash.
    pub fn fingerprint(self, request: &RequestIdentity<'_>) -> PartId {
        let mut hasher = Sha256::new();
        for word in self.0 {
            hasher.update(word.to_le_bytes());
        }
        hasher.update([u8::from(request.customer.is_some())]);
        let customer = request.customer.unwrap_or("").as_bytes();
        let fields = [request.method, request.host, request.path_and_query];
        let fields = fields.map(str::as_bytes).into_iter();
        for field in fields.chain([customer, request.body]) {
            // The length keeps two fields from being read as one.
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let words = digest.chunks_exact(8).next();
        let first = words.and_then(|word| word.try_into().ok());
        PartId(first.map_or(0, u64::from_le_bytes))
    }
}

/// Agreement of the gateways on one key.
#[derive(Clone, Copy, Debug)]
pub struct KeyAgreement {
    key: FingerprintKey,
    drawn_at: Instant,
}

impl KeyAgreement {
    /// Creates the agreement of a gateway that knows no other yet and draws a key.
    pub fn new(rng: &mut impl Rng, now: Instant) -> Self {
        Self {
            key: FingerprintKey::draw(rng),
            drawn_at: now,
        }
    }

    /// Returns the key in use and when it was drawn.
    pub fn current(&self) -> (FingerprintKey, Instant) {
        (self.key, self.drawn_at)
    }

    /// Adopts another gateway's key if it is older; returns whether the key changed.
    ///
    /// Of keys that are about equally old, the smaller one is used.
    pub fn offer(&mut self, key: FingerprintKey, drawn_at: Instant) -> bool {
        if key == self.key {
            return false;
        }
        let is_older = drawn_at + AGE_TOLERANCE < self.drawn_at;
        let is_newer = self.drawn_at + AGE_TOLERANCE < drawn_at;
        if is_newer || (!is_older && self.key < key) {
            return false;
        }
        *self = Self { key, drawn_at };
        true
    }
}
