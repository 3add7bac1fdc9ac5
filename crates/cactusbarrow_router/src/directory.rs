//! Soft-state directory of the backend servers that run requests.
//!
//! An entry is stored at its two owners: the router that ranks first for its
//! key, and the first one of another zone. It lets any router find a generation
//! by its caller's key, and the first owner decides which of two concurrent
//! requests under one key starts.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_net::Clock;
use cactusbarrow_platform::{HostList, Store};
use cactusbarrow_policy::{AttemptNumber, KeyHash};
use cactusbarrow_protocol::generated::control_reply::Reply;
use cactusbarrow_protocol::generated::control_request::Request;
use cactusbarrow_protocol::generated::{DirectoryEntry, DirectoryGet, DirectoryPut};

use crate::generation_driver::DriverRequest;
use crate::router::Router;

const SHARD_COUNT: usize = 16;
/// Time after which an entry is evicted.
const ENTRY_RETENTION: Duration = Duration::from_secs(600);
/// Capacity of a shard; the oldest entries are evicted first.
const MAX_SHARD_ENTRIES: usize = 8_192;
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<u128, DirectoryEntry>,
    by_age: VecDeque<(Instant, u128)>,
}

/// Directory entries that this router stores.
#[derive(Debug)]
pub(crate) struct Directory {
    shards: Vec<Mutex<Shard>>,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Directory {
    /// Stores an entry unless the stored one takes precedence; returns the entry that is then stored.
    ///
    /// The stored entry takes precedence if it is of a later attempt of the same generation, or,
    /// with `only_if_absent`, of another generation. An entry without a valid key is not stored and
    /// gives an empty entry.
    pub(crate) fn put(
        &self,
        entry: DirectoryEntry,
        only_if_absent: bool,
        now: Instant,
    ) -> DirectoryEntry {
        let Some(key) = KeyHash::from_slice(&entry.key) else {
            return DirectoryEntry::default();
        };
        let mut shard = self.shard(key.0);
        shard.evict_expired(now);
        if let Some(stored) = shard.entries.get(&key.0) {
            let is_same = stored.generation == entry.generation;
            let is_outdated = is_same && stored.attempt > entry.attempt;
            if is_outdated || (only_if_absent && !is_same) {
                return stored.clone();
            }
        } else {
            shard.by_age.push_back((now, key.0));
        }
        shard.entries.insert(key.0, entry.clone());
        entry
    }

    /// Returns the entry of a key; its `key` is empty if there is none.
    pub(crate) fn get(&self, key: KeyHash, now: Instant) -> DirectoryEntry {
        let mut shard = self.shard(key.0);
        shard.evict_expired(now);
        shard.entries.get(&key.0).cloned().unwrap_or_default()
    }

    fn shard(&self, key: u128) -> std::sync::MutexGuard<'_, Shard> {
        self.shards[(key % SHARD_COUNT as u128) as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shard {
    fn evict_expired(&mut self, now: Instant) {
        while let Some((at, key)) = self.by_age.front().copied() {
            let is_expired = now.duration_since(at) >= ENTRY_RETENTION;
            if !is_expired && self.by_age.len() < MAX_SHARD_ENTRIES {
                return;
            }
            self.by_age.pop_front();
            self.entries.remove(&key);
        }
    }
}

impl<S: Store + HostList, C: Clock> Router<S, C> {
    /// Stores an entry at its owners, and returns the entry that is then stored.
    ///
    /// The first owner that replies decides, and the other stores its decision; `None` if neither
    /// replies.
    pub(crate) async fn directory_put(
        &self,
        entry: DirectoryEntry,
        only_if_absent: bool,
    ) -> Option<DirectoryEntry> {
        let mut decided: Option<DirectoryEntry> = None;
        for peer in self.peers.owners(owner_hash(&entry.key)) {
            let entry = decided.clone().unwrap_or_else(|| entry.clone());
            let is_decided = decided.is_some();
            let stored = if self.peers.is_own(&peer) {
                let now = self.clock.now();
                Some(
                    self.directory
                        .put(entry, only_if_absent && !is_decided, now),
                )
            } else {
                let put = Request::DirectoryPut(DirectoryPut {
                    entry: Some(entry),
                    only_if_absent: only_if_absent && !is_decided,
                });
                match self.control.call(peer.control, put, CALL_TIMEOUT).await {
                    Ok(Reply::Directory(entry)) => Some(entry),
                    _ => None,
                }
            };
            decided = decided.or(stored);
        }
        decided
    }

    /// Returns the entry of a key from the first owner that has it.
    pub(crate) async fn directory_get(&self, key: KeyHash) -> Option<DirectoryEntry> {
        for peer in self.peers.owners(owner_hash(&key.to_bytes())) {
            let entry = if self.peers.is_own(&peer) {
                Some(self.directory.get(key, self.clock.now()))
            } else {
                let get = Request::DirectoryGet(DirectoryGet {
                    key: key.to_bytes().to_vec().into(),
                });
                match self.control.call(peer.control, get, CALL_TIMEOUT).await {
                    Ok(Reply::Directory(entry)) => Some(entry),
                    _ => None,
                }
            };
            if let Some(entry) = entry.filter(|entry| !entry.key.is_empty()) {
                return Some(entry);
            }
        }
        None
    }

    /// Records in the directory which backend server runs a generation, without waiting.
    ///
    /// The entry is stored under the caller's key, and from the second attempt on also under the
    /// generation, so that an event id that names the old backend server still resolves.
    pub(crate) fn record_backend_server(
        self: Arc<Self>,
        req: &DriverRequest,
        attempt: AttemptNumber,
        backend_server: &str,
    ) {
        let generation = req.generation.to_bytes().to_vec();
        let by_generation = (attempt.0 > 1).then(|| generation.clone());
        let by_key = req.key.map(|key| key.to_bytes().to_vec());
        for key in by_generation.into_iter().chain(by_key) {
            let entry = DirectoryEntry {
                key: key.into(),
                generation: generation.clone().into(),
                backend_server: backend_server.to_owned(),
                body_hash: req.template.body_hash,
                attempt: attempt.0,
            };
            let router = self.clone();
            self.tasks
                .spawn(async move { router.directory_put(entry, false).await });
        }
    }
}

fn owner_hash(key: &[u8]) -> u64 {
    cactusbarrow_policy::stable_hash(key)
}
