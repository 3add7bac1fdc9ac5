//! Record of the tokens that engines produced, and the check of a caller's tokens against it.

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cactusbarrow_policy::mix;

const SHARD_COUNT: usize = 64;
const SALT_BITS: u32 = 8;
const WORDS: [&str; 8] = [
    "rain", "sun", "wind", "cloud", "coast", "north", "late", "mild",
];

/// Set of the token sequences that engines produced, identified by their hashes.
#[derive(Clone, Debug)]
pub struct Ledger {
    sequences: Arc<Vec<Mutex<HashSet<u64>>>>,
    tokens: Arc<AtomicU64>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            sequences: Arc::new((0..SHARD_COUNT).map(|_| Mutex::default()).collect()),
            tokens: Arc::default(),
        }
    }
}

/// Faults found in a caller's tokens; the default value stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCheck {
    /// Number of offsets for which no token arrived.
    pub missing: u64,
    /// Number of tokens at an offset that had already arrived.
    pub repeated: u64,
    /// Whether some prefix of the tokens is a sequence that no engine produced.
    pub is_mixed: bool,
}

impl Ledger {
    /// Returns the hash of the empty sequence for a prompt and a seed.
    pub(crate) fn start_hash(prompt: &str, seed: u64) -> u64 {
        mix(cactusbarrow_policy::stable_hash(prompt.as_bytes()) ^ seed)
    }

    /// Returns the hash of a sequence with a token appended.
    pub(crate) fn extend_hash(sequence: u64, token: u32) -> u64 {
        mix(sequence ^ u64::from(token))
    }

    /// Records that an engine produced the sequence with this hash.
    pub(crate) fn record(&self, sequence: u64) {
        self.tokens.fetch_add(1, Ordering::Relaxed);
        self.shard(sequence).insert(sequence);
    }

    /// Returns the number of tokens that all engines produced together.
    pub fn tokens_produced(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Checks the tokens that a caller received for a prompt and a seed.
    ///
    /// `requested_count` is the number of tokens that the caller requested.
    pub fn check_tokens(
        &self,
        prompt: &str,
        seed: u64,
        tokens: &[u32],
        requested_count: usize,
    ) -> TokenCheck {
        let mut check = TokenCheck::default();
        let mut seen = HashSet::new();
        for token in tokens {
            if !seen.insert(offset_of(*token)) {
                check.repeated += 1;
            }
        }
        let is_missing = |offset: &u32| !seen.contains(offset);
        check.missing = (0..requested_count as u32).filter(is_missing).count() as u64;
        let mut sequence = Self::start_hash(prompt, seed);
        for token in tokens {
            sequence = Self::extend_hash(sequence, *token);
            if !self.shard(sequence).contains(&sequence) {
                check.is_mixed = true;
                break;
            }
        }
        check
    }

    fn shard(&self, sequence: u64) -> std::sync::MutexGuard<'_, HashSet<u64>> {
        self.sequences[sequence as usize % SHARD_COUNT]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the token at an offset; the salt makes the tokens of each engine run distinct.
pub(crate) fn token_at(offset: u32, salt: u64) -> u32 {
    let salt = mix(salt ^ u64::from(offset)) as u32 & ((1 << SALT_BITS) - 1);
    offset << SALT_BITS | salt
}

fn offset_of(token: u32) -> u32 {
    token >> SALT_BITS
}

/// Returns the bytes of a token; some characters are split between two tokens.
pub fn token_bytes(token: u32) -> Vec<u8> {
    let salt = token & ((1 << SALT_BITS) - 1);
    match offset_of(token) % 4 {
        1 => b" citt\xc3".to_vec(),
        2 => vec![0xa0],
        _ => format!(" {}", WORDS[salt as usize % WORDS.len()]).into_bytes(),
    }
}
