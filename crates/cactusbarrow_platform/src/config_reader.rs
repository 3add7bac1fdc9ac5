//! Reading of configuration changes from the store, by a process that watches it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cactusbarrow_document::ObjectKey;
use cactusbarrow_policy::{Change, Delta, Revision};

use crate::layout::{PageError, PageVersion, ROOT_KEY, Root, Shard, shard_key, shard_of};
use crate::store::{Store, StoreError};

/// Why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// A call to the store failed.
    Store(StoreError),
    /// A stored page cannot be read.
    Page(PageError),
    /// The shard under this key was replaced and deleted before it was read; a new read will
    /// find its successor.
    ShardReplaced(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(e) => e.fmt(f),
            Self::Page(e) => e.fmt(f),
            Self::ShardReplaced(key) => {
                write!(f, "shard {key} was replaced before it could be read")
            }
        }
    }
}

impl std::error::Error for ReadError {}

/// The shard as it was last read: its version, and the revision of each object by object key.
#[derive(Clone, Debug, Default)]
struct KnownShard {
    version: PageVersion,
    object_revisions: BTreeMap<String, u64>,
}

/// Reads the changes of the configuration since the last read.
///
/// Reads only the shards that changed, and none if the root includes all changes.
#[derive(Clone, Debug, Default)]
pub struct ConfigReader {
    index: u64,
    revision: Revision,
    shards: BTreeMap<String, KnownShard>,
}

impl ConfigReader {
    /// Creates a reader that starts from an empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a root has been read.
    pub fn has_read(&self) -> bool {
        self.index != 0
    }

    /// Waits until the root changes and returns the changes since the last read.
    ///
    /// Returns `None` if nothing changed within `wait`, or if the store holds no configuration.
    pub async fn next_delta<S: Store>(
        &mut self,
        store: &S,
        wait: Duration,
    ) -> Result<Option<Delta>, ReadError> {
        let stored = if self.index == 0 {
            store.get(ROOT_KEY).await
        } else {
            store.watch(ROOT_KEY, self.index, wait).await
        };
        let Some(stored) = stored.map_err(ReadError::Store)? else {
            return Ok(None);
        };
        let root = Root::decode(&stored.value).map_err(ReadError::Page)?;
        if root.revision() <= self.revision {
            self.index = stored.index;
            return Ok(None);
        }
        let has_all_changes = self.revision.0 > 0 && root.recent_after <= self.revision.0;
        let (shards, changes) = if has_all_changes {
            self.changes_from_root(&root)?
        } else {
            self.changes_from_shards(store, &root).await?
        };
        let delta = Delta {
            from: self.revision,
            to: root.revision(),
            changes,
            digest: root.digest(),
        };
        self.index = stored.index;
        self.revision = root.revision();
        self.shards.extend(shards);
        Ok(Some(delta))
    }

    /// Returns the changes that are included in the root, and the shards after them.
    fn changes_from_root(
        &self,
        root: &Root,
    ) -> Result<(BTreeMap<String, KnownShard>, Vec<Change>), ReadError> {
        let mut shards: BTreeMap<String, KnownShard> = BTreeMap::new();
        let mut changes = Vec::new();
        for recent in root.recent.iter().filter(|c| c.revision > self.revision.0) {
            let key: ObjectKey = recent.key.parse().map_err(|e| {
                ReadError::Page(PageError {
                    key: ROOT_KEY.to_owned(),
                    message: format!("{e}"),
                })
            })?;
            let name = shard_of(&key);
            let known = || self.shards.get(&name).cloned().unwrap_or_default();
            let shard = shards.entry(name.clone()).or_insert_with(known);
            shard.version = root.shards.get(&name).cloned().unwrap_or_default();
            match &recent.object {
                Some(_) => shard
                    .object_revisions
                    .insert(recent.key.clone(), recent.revision),
                None => shard.object_revisions.remove(&recent.key),
            };
            changes.push(Change {
                key: recent.key.as_str().into(),
                value: recent.object.as_ref().map(|o| o.to_json().into()),
                revision: Revision(recent.revision),
            });
        }
        Ok((shards, changes))
    }

    async fn changes_from_shards<S: Store>(
        &self,
        store: &S,
        root: &Root,
    ) -> Result<(BTreeMap<String, KnownShard>, Vec<Change>), ReadError> {
        let mut shards = BTreeMap::new();
        let mut changes = Vec::new();
        for (name, version) in &root.shards {
            let known = self.shards.get(name);
            if known.is_some_and(|known| known.version == *version) {
                continue;
            }
            let key = shard_key(name, version);
            let stored = store.get(&key).await.map_err(ReadError::Store)?;
            let Some(stored) = stored else {
                return Err(ReadError::ShardReplaced(key));
            };
            let shard = Shard::decode(&key, &stored.value).map_err(ReadError::Page)?;
            push_differences(known, &shard, root.revision(), &mut changes);
            let object_revisions = shard
                .objects
                .iter()
                .map(|(key, stored)| (key.clone(), stored.revision))
                .collect();
            let version = version.clone();
            shards.insert(
                name.clone(),
                KnownShard {
                    version,
                    object_revisions,
                },
            );
        }
        changes.sort_by(|a, b| (a.revision, &a.key).cmp(&(b.revision, &b.key)));
        Ok((shards, changes))
    }
}

/// Appends the differences between a known shard and its new version to `changes`.
///
/// A shard does not say which revision deleted an object; deletions are reported at
/// `root_revision` instead.
fn push_differences(
    known: Option<&KnownShard>,
    shard: &Shard,
    root_revision: Revision,
    changes: &mut Vec<Change>,
) {
    let known = known.map(|known| &known.object_revisions);
    for (key, stored) in &shard.objects {
        if known.and_then(|known| known.get(key)) != Some(&stored.revision) {
            changes.push(Change {
                key: key.as_str().into(),
                value: Some(stored.object.to_json().into()),
                revision: Revision(stored.revision),
            });
        }
    }
    let known_objects = known.into_iter().flatten();
    for (key, _) in known_objects.filter(|(key, _)| !shard.objects.contains_key(*key)) {
        changes.push(Change {
            key: key.as_str().into(),
            value: None,
            revision: root_revision,
        });
    }
}
