//! Table of the known routers.

use std::sync::{Arc, PoisonError, RwLock};

use cactusbarrow_policy::rendezvous_order;

use crate::config::Peer;

/// The known routers, including this one.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Peer,
    routers: RwLock<Arc<Vec<Peer>>>,
}

impl Peers {
    /// Creates the table with this router and the seeds.
    pub(crate) fn new(own: Peer, seeds: &[Peer]) -> Self {
        let peers = Self {
            own,
            routers: RwLock::default(),
        };
        peers.replace(seeds.to_vec());
        peers
    }

    /// Replaces all routers but this one; returns true if the table changed.
    pub(crate) fn replace(&self, mut routers: Vec<Peer>) -> bool {
        routers.retain(|peer| peer.name != self.own.name);
        routers.push(self.own.clone());
        routers.sort_by(|a, b| a.name.cmp(&b.name));
        routers.dedup_by(|a, b| a.name == b.name);
        let mut current = self.routers.write().unwrap_or_else(PoisonError::into_inner);
        if **current == routers {
            return false;
        }
        *current = Arc::new(routers);
        true
    }

    /// Returns this router.
    pub(crate) fn own(&self) -> &Peer {
        &self.own
    }

    /// Returns all routers, sorted by name.
    pub(crate) fn all(&self) -> Arc<Vec<Peer>> {
        self.routers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns all routers except this one.
    pub(crate) fn others(&self) -> Vec<Peer> {
        let all = self.all();
        let is_other = |peer: &&Peer| peer.name != self.own.name;
        all.iter().filter(is_other).cloned().collect()
    }

    /// Returns true if the peer is this router.
    pub(crate) fn is_own(&self, peer: &Peer) -> bool {
        peer.name == self.own.name
    }

    /// Returns the owners of a key: the router that ranks first, and the next one of another zone.
    ///
    /// If all routers are in one zone, the second owner is the next in rank.
    pub(crate) fn owners(&self, key: u64) -> Vec<Peer> {
        let all = self.all();
        let order = rendezvous_order(key, all.iter().map(|peer| peer.name.as_str()));
        let Some(first) = order.first().map(|i| &all[*i]) else {
            return Vec::new();
        };
        let ranked = || order.iter().skip(1).map(|i| &all[*i]);
        let second = ranked()
            .find(|peer| peer.zone != first.zone)
            .or_else(|| ranked().next());
        std::iter::once(first).chain(second).cloned().collect()
    }

    /// Returns true if this router is one of the `count` watchers of its zone.
    pub(crate) fn is_watcher(&self, count: usize) -> bool {
        const WATCHER_KEY: u64 = 0;
        let all = self.all();
        let zone: Vec<&str> = all
            .iter()
            .filter(|peer| peer.zone == self.own.zone)
            .map(|peer| peer.name.as_str())
            .collect();
        rendezvous_order(WATCHER_KEY, zone.iter().copied())
            .into_iter()
            .take(count)
            .any(|i| zone[i] == self.own.name)
    }
}
