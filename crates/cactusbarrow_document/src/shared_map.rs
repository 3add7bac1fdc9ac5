//! A copy-on-write map whose clones share unchanged shards.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusbarrow_policy::stable_hash;

const SHARD_COUNT: usize = 128;

/// Map from names to values, in shards so that a change copies one shard instead of the map.
#[derive(Clone, Debug)]
pub(crate) struct SharedMap<T> {
    shards: Vec<Arc<BTreeMap<String, Arc<T>>>>,
}

impl<T> Default for SharedMap<T> {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Arc::default()).collect(),
        }
    }
}

impl<T> SharedMap<T> {
    pub(crate) fn get(&self, name: &str) -> Option<&Arc<T>> {
        self.shards[shard_of(name)].get(name)
    }

    pub(crate) fn insert(&mut self, name: &str, value: Arc<T>) {
        Arc::make_mut(&mut self.shards[shard_of(name)]).insert(name.to_owned(), value);
    }

    pub(crate) fn remove(&mut self, name: &str) {
        let shard = &mut self.shards[shard_of(name)];
        if shard.contains_key(name) {
            Arc::make_mut(shard).remove(name);
        }
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Arc<T>> {
        self.shards.iter().flat_map(|shard| shard.values())
    }
}

fn shard_of(name: &str) -> usize {
    stable_hash(name.as_bytes()) as usize % SHARD_COUNT
}
