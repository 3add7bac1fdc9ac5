//! What engines really produced, and the judgement of what a caller got.

use std::collections::HashSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use cactusbarrow_policy::mix;

const SHARDS: usize = 64;
const SALT_BITS: u32 = 8;
const WORDS: [&str; 8] = [
    "rain", "sun", "wind", "cloud", "coast", "north", "late", "mild",
];

/// Records each sequence of tokens that any engine produced, by its hash.
#[derive(Clone, Debug)]
pub struct Ledger {
    sequences: Arc<Vec<Mutex<HashSet<u64>>>>,
    tokens: Arc<AtomicU64>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            sequences: Arc::new((0..SHARDS).map(|_| Mutex::default()).collect()),
            tokens: Arc::default(),
        }
    }
}

/// What an observer finds in a caller's tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCheck {
    /// Offsets that never came.
    pub missing: u64,
    /// Tokens whose offset had come before.
    pub repeated: u64,
    /// Whether some token does not continue the tokens before it in any engine's run.
    pub is_mixed: bool,
}

impl Ledger {
    /// Starts the hash of a sequence.
    pub(crate) fn seed(prompt: &str, seed: u64) -> u64 {
        mix(cactusbarrow_policy::stable_hash(prompt.as_bytes()) ^ seed)
    }

    /// Extends the hash of a sequence by a token.
    pub(crate) fn extend(sequence: u64, token: u32) -> u64 {
        mix(sequence ^ u64::from(token))
    }

    /// Records that an engine produced a sequence.
    pub(crate) fn record(&self, sequence: u64) {
        self.tokens.fetch_add(1, Ordering::Relaxed);
        self.shard(sequence).insert(sequence);
    }

    /// Returns the number of tokens that all engines produced.
    pub fn tokens_produced(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Judges the tokens of a caller that asked with a prompt and a seed.
    pub fn check_tokens(
        &self,
        prompt: &str,
        seed: u64,
        tokens: &[u32],
        wanted: usize,
    ) -> TokenCheck {
        let mut judgement = TokenCheck::default();
        let mut seen = HashSet::new();
        for token in tokens {
            if !seen.insert(offset_of(*token)) {
                judgement.repeated += 1;
            }
        }
        let is_missing = |offset: &u32| !seen.contains(offset);
        judgement.missing = (0..wanted as u32).filter(is_missing).count() as u64;
        let mut sequence = Self::seed(prompt, seed);
        for token in tokens {
            sequence = Self::extend(sequence, *token);
            if !self.shard(sequence).contains(&sequence) {
                judgement.is_mixed = true;
                break;
            }
        }
        judgement
    }

    fn shard(&self, sequence: u64) -> std::sync::MutexGuard<'_, HashSet<u64>> {
        self.sequences[sequence as usize % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the token at an offset; the salt tells the runs of engines apart.
pub(crate) fn token_at(offset: u32, salt: u64) -> u32 {
    let salt = mix(salt ^ u64::from(offset)) as u32 & ((1 << SALT_BITS) - 1);
    offset << SALT_BITS | salt
}

fn offset_of(token: u32) -> u32 {
    token >> SALT_BITS
}

/// Returns the bytes of a token; some tokens split a character between them.
pub fn token_bytes(token: u32) -> Vec<u8> {
    let salt = token & ((1 << SALT_BITS) - 1);
    match offset_of(token) % 4 {
        1 => b" citt\xc3".to_vec(),
        2 => vec![0xa0],
        _ => format!(" {}", WORDS[salt as usize % WORDS.len()]).into_bytes(),
    }
}
