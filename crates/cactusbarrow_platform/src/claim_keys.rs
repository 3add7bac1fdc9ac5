//! Store keys of claims.

use cactusbarrow_policy::KeyHash;

/// Number of shards that claims are distributed over.
pub const CLAIM_SHARDS: u16 = 64;

/// Returns the shard that holds the claim of a key.
pub fn claim_shard_of(key: KeyHash) -> u16 {
    (key.0 % u128::from(CLAIM_SHARDS)) as u16
}

/// Returns the store key of a shard's head page.
pub fn claim_head_key(shard: u16) -> String {
    format!("cactusbarrow/claims/{shard}/head")
}

/// Returns the store key of a sealed segment.
pub fn claim_segment_key(shard: u16, segment: u64) -> String {
    format!("cactusbarrow/claims/{shard}/segment-{segment:016x}")
}
