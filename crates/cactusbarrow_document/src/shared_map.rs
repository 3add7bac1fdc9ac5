//! A map whose clones share what has not changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusbarrow_policy::stable_hash;

const SHARDS: usize = 128;

/// Map by name, in shards: a change copies one shard, not the map.
#[derive(Clone, Debug)]
pub(crate) struct SharedMap<T> {
    shards: Vec<Arc<BTreeMap<String, Arc<T>>>>,
}

impl<T> Default for SharedMap<T> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Arc::default()).collect(),
        }
    }
}

impl<T> SharedMap<T> {
    /// Returns a value.
    pub(crate) fn get(&self, name: &str) -> Option<&Arc<T>> {
        self.shards[shard_of(name)].get(name)
    }

    /// Sets a value.
    pub(crate) fn insert(&mut self, name: &str, value: Arc<T>) {
        Arc::make_mut(&mut self.shards[shard_of(name)]).insert(name.to_owned(), value);
    }

    /// Removes a value.
    pub(crate) fn remove(&mut self, name: &str) {
        let shard = &mut self.shards[shard_of(name)];
        if shard.contains_key(name) {
            Arc::make_mut(shard).remove(name);
        }
    }

    /// Iterates over all values.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Arc<T>> {
        self.shards.iter().flat_map(|shard| shard.values())
    }
}

fn shard_of(name: &str) -> usize {
    stable_hash(name.as_bytes()) as usize % SHARDS
}
