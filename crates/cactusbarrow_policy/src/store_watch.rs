//! Decides which gateways watch the platform's store.
//!
//! Load pattern: every change wakes every watcher, and each wake-up is a call that counts
//! against the store's rate limits, which grow more slowly than the fleet. A few gateways
//! watch; the others receive the data from them and take over when they fall silent.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::hash::{rendezvous_weight, stable_hash};

/// Key for the rendezvous hashing that ranks the gateways.
const RANK_KEY: u64 = 0x7761_7463_6865_7273;

/// Settings of [`is_watcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWatchConfig {
    /// Number of gateways that watch at the same time.
    pub watchers: usize,
    /// Age from which a peer's data is stale; a gateway whose peers all have stale data watches
    /// the store itself.
    pub stale_after: Duration,
}

impl Default for StoreWatchConfig {
    /// Three watchers tolerate the loss of two. The age leaves time to take over within two
    /// seconds, the shortest time allowed for the propagation of a change.
    fn default() -> Self {
        Self {
            watchers: 3,
            stale_after: Duration::from_millis(1_600),
        }
    }
}

/// Status of a gateway's access to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// Address of the gateway.
    pub ip: Ipv4Addr,
    /// Whether the store responded to its last call; true if it made none.
    pub is_store_ok: bool,
    /// Time since the store confirmed its data, either to itself or to a peer.
    pub data_age: Duration,
}

/// Returns whether the gateway `own` watches the store.
pub fn is_watcher(cfg: &StoreWatchConfig, own: &StoreStatus, peers: &[StoreStatus]) -> bool {
    let is_fresh = |peer: &&StoreStatus| peer.data_age < cfg.stale_after;
    if !peers.iter().any(|peer| is_fresh(&peer)) {
        return true;
    }
    if !own.is_store_ok {
        return false;
    }
    let rank = |ip: Ipv4Addr| rendezvous_weight(RANK_KEY, stable_hash(&ip.octets()));
    let own_rank = rank(own.ip);
    let preferred = peers
        .iter()
        .filter(|peer| peer.is_store_ok && rank(peer.ip) > own_rank)
        .count();
    preferred < cfg.watchers
}
