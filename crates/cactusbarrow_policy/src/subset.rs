//! The bounded subset of backend servers that one router uses.
//!
//! Two rules are combined. Each backend server is used by its highest-ranked
//! router of each zone, so every zone's routers reach it. Each router uses a
//! few backend servers of every group, so it can serve any request. Both rank
//! by rendezvous hashing, so adding or removing a host moves only its own share.

use std::collections::BTreeMap;

use crate::hash::{rendezvous_weight, stable_hash};

/// Bounds of the subset of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Maximum size of a group that every router uses whole.
    pub max_whole_group: usize,
    /// Minimum number of backend servers that a router uses of each larger group.
    pub min_per_group: usize,
}

impl Default for SubsetConfig {
    fn default() -> Self {
        Self {
            max_whole_group: 24,
            min_per_group: 4,
        }
    }
}

/// A backend server that may become part of the subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetCandidate<'a> {
    /// Name of the backend server.
    pub name: &'a str,
    /// Service or model version that the backend server serves.
    pub group: &'a str,
}

/// Selects the backend servers that the router named `own` uses.
///
/// `zone_routers` are the names of all routers in its zone.
/// Returns indices into `candidates` in ascending order.
pub fn select_subset(
    cfg: &SubsetConfig,
    own: &str,
    zone_routers: &[&str],
    candidates: &[SubsetCandidate<'_>],
) -> Vec<usize> {
    let own_hash = stable_hash(own.as_bytes());
    let peers: Vec<u64> = zone_routers
        .iter()
        .filter(|name| **name != own)
        .map(|name| stable_hash(name.as_bytes()))
        .collect();
    let hashes: Vec<u64> = candidates
        .iter()
        .map(|candidate| stable_hash(candidate.name.as_bytes()))
        .collect();
    let mut groups: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (i, candidate) in candidates.iter().enumerate() {
        groups.entry(candidate.group).or_default().push(i);
    }
    let mut selected = Vec::new();
    for group in groups.values() {
        if group.len() <= cfg.max_whole_group {
            selected.extend_from_slice(group);
            continue;
        }
        let ranks_first = |i: &usize| ranks_highest(hashes[*i], own_hash, &peers);
        let (mut chosen, mut rest): (Vec<_>, Vec<_>) = group.iter().copied().partition(ranks_first);
        let missing = cfg.min_per_group.saturating_sub(chosen.len());
        rest.sort_unstable_by_key(|i| std::cmp::Reverse(rendezvous_weight(own_hash, hashes[*i])));
        chosen.extend(rest.into_iter().take(missing));
        selected.extend(chosen);
    }
    selected.sort_unstable();
    selected
}

/// Returns true if no peer has a higher weight than the router for this backend server.
///
/// Most calls end after a few peers, at the first one with a higher weight.
fn ranks_highest(backend: u64, own: u64, peers: &[u64]) -> bool {
    let own_weight = rendezvous_weight(backend, own);
    peers
        .iter()
        .all(|peer| rendezvous_weight(backend, *peer) <= own_weight)
}
