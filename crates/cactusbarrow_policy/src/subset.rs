//! The bounded set of backend servers that one router works with.
//!
//! Two rules are joined. Each backend server is covered by its best router of
//! each zone, so every zone's routers reach it. Each router has a few backend
//! servers of every group, so it can serve any request. Both rank by rendezvous
//! hashing, so a host that comes or goes moves only its own share.

use std::collections::BTreeMap;

use crate::hash::{rendezvous_weight, stable_hash};

/// Tuning of the subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Groups up to this size are taken whole.
    pub max_whole_group: usize,
    /// Backend servers of each larger group that a router has at least.
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
    /// Its name.
    pub name: &'a str,
    /// The service or model version it serves.
    pub group: &'a str,
}

/// Selects the backend servers that the router `own` works with.
///
/// `zone_routers` are the names of the routers in the router's own zone.
/// Returns indices into `members`, ascending.
pub fn select_subset(
    cfg: &SubsetConfig,
    own: &str,
    zone_routers: &[&str],
    members: &[SubsetCandidate<'_>],
) -> Vec<usize> {
    let own_hash = stable_hash(own.as_bytes());
    let peers: Vec<u64> = zone_routers
        .iter()
        .filter(|name| **name != own)
        .map(|name| stable_hash(name.as_bytes()))
        .collect();
    let hashes: Vec<u64> = members
        .iter()
        .map(|member| stable_hash(member.name.as_bytes()))
        .collect();
    let mut groups: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (i, member) in members.iter().enumerate() {
        groups.entry(member.group).or_default().push(i);
    }
    let mut selected = Vec::new();
    for group in groups.values() {
        if group.len() <= cfg.max_whole_group {
            selected.extend_from_slice(group);
            continue;
        }
        let covers = |i: &usize| is_best_router(hashes[*i], own_hash, &peers);
        let (mut chosen, mut rest): (Vec<_>, Vec<_>) = group.iter().copied().partition(covers);
        let wanted = cfg.min_per_group.saturating_sub(chosen.len());
        rest.sort_unstable_by_key(|i| std::cmp::Reverse(rendezvous_weight(own_hash, hashes[*i])));
        chosen.extend(rest.into_iter().take(wanted));
        selected.extend(chosen);
    }
    selected.sort_unstable();
    selected
}

/// Returns true if no peer outweighs the router for this member.
///
/// Most calls end after a few peers, at the first that outweighs it.
fn is_best_router(member: u64, own: u64, peers: &[u64]) -> bool {
    let own_weight = rendezvous_weight(member, own);
    peers
        .iter()
        .all(|peer| rendezvous_weight(member, *peer) <= own_weight)
}
