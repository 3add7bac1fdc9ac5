//! Decides which gateways watch the platform's store.
//!
//! Load pattern: every change wakes every watcher, and each wake-up is a call that
//! counts against the store's rates, which grow more slowly than the fleet. A few
//! gateways watch; the others learn from them and take over when they fall silent.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::hash::{rendezvous_weight, stable_hash};

/// Key under which gateways are ranked.
const RANK_KEY: u64 = 0x7761_7463_6865_7273;

/// Tuning of [`is_watcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWatchConfig {
    /// Gateways that watch at once.
    pub watchers: usize,
    /// Age of knowledge beyond which a gateway watches by itself.
    pub stale_after: Duration,
}

impl Default for StoreWatchConfig {
    /// Three watchers outlast the loss of two; the age leaves time to take over within
    /// two seconds, the shortest bound for a change.
    fn default() -> Self {
        Self {
            watchers: 3,
            stale_after: Duration::from_millis(1_600),
        }
    }
}

/// How a gateway stands to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// Address of the gateway.
    pub ip: Ipv4Addr,
    /// Whether its last call was answered, if it made any.
    pub is_store_ok: bool,
    /// Time since the store confirmed what it knows, to it or to a peer it heard.
    pub age: Duration,
}

/// Decides whether the gateway `own` watches the store.
pub fn is_watcher(cfg: &StoreWatchConfig, own: &StoreStatus, peers: &[StoreStatus]) -> bool {
    let is_fresh = |peer: &&StoreStatus| peer.age < cfg.stale_after;
    if !peers.iter().any(|peer| is_fresh(&peer)) {
        return true;
    }
    if !own.is_store_ok {
        return false;
    }
    let rank = |ip: Ipv4Addr| rendezvous_weight(RANK_KEY, stable_hash(&ip.octets()));
    let own_rank = rank(own.ip);
    let better = peers
        .iter()
        .filter(|peer| peer.is_store_ok && rank(peer.ip) > own_rank)
        .count();
    better < cfg.watchers
}
