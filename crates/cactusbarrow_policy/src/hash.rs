//! Hash functions whose results are the same in every process and release.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes bytes with FNV-1a and a finalizer; stable across processes and releases.
pub fn stable_hash(buf: &[u8]) -> u64 {
    let hash = buf.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Mixes the bits of a value with one step of SplitMix64.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the weight of a node for a key under rendezvous hashing.
pub fn rendezvous_weight(key: u64, node: u64) -> u64 {
    mix(key ^ mix(node))
}

/// Sorts node indices by descending rendezvous weight for a key.
pub fn rendezvous_order<'a>(key: u64, nodes: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut order: Vec<(u64, usize)> = nodes
        .enumerate()
        .map(|(i, node)| (rendezvous_weight(key, stable_hash(node.as_bytes())), i))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, i)| i).collect()
}
