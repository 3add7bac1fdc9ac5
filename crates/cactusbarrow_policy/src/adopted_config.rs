//! The configuration that a process has adopted, whose revision never decreases.
//!
//! A process holds the objects of one revision and the latest changes that led
//! to it. It adopts only higher revisions, from the store or from a peer's delta.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::hash::{mix, stable_hash};
use crate::ids::Revision;

/// Number of latest changes kept for deltas to peers; a peer that lacks older ones gets the full
/// configuration.
const MAX_LOG_CHANGES: usize = 4_096;

/// Order-independent digest of all objects with their revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Digest {
    /// Adds an object to the digest, or removes it if the digest contains it.
    #[must_use]
    pub fn toggle(self, key: &str, revision: Revision) -> Self {
        Self(self.0 ^ mix(stable_hash(key.as_bytes()) ^ revision.0))
    }
}

/// Change of one object at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the object, as `kind/name`.
    pub key: Arc<str>,
    /// The object in its stored form; `None` if it was deleted.
    pub value: Option<Arc<str>>,
    /// Revision that set or deleted the object.
    pub revision: Revision,
}

/// Changes that lead from one revision to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Revision before the changes; 0 if they replace the full configuration.
    pub from: Revision,
    /// Revision after the changes.
    pub to: Revision,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Digest of all objects at `to`.
    pub digest: Digest,
}

/// Error of [`AdoptedConfig::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta starts at a revision that this process has not reached.
    #[error("delta starts at revision {from}, but the current revision is {current}")]
    Gap {
        /// Revision at which the delta starts.
        from: Revision,
        /// Current revision of this process.
        current: Revision,
    },
    /// The digest of the objects after the delta differs from the sender's.
    #[error("digest of the objects at revision {0} differs from the sender's")]
    Digest(Revision),
}

/// Latest changes, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Change>,
    /// The log holds all changes after this revision.
    complete_after: Revision,
}

impl ChangeLog {
    /// Creates an empty log that starts after `revision`.
    fn starting_after(revision: Revision) -> Self {
        Self {
            changes: VecDeque::new(),
            complete_after: revision,
        }
    }

    fn push(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_LOG_CHANGES
            && let Some(old) = self.changes.pop_front()
        {
            self.complete_after = old.revision;
        }
    }

    fn since(&self, revision: Revision) -> Option<Vec<Change>> {
        (revision >= self.complete_after).then(|| {
            let newer = |change: &&Change| change.revision > revision;
            self.changes.iter().filter(newer).cloned().collect()
        })
    }
}

/// Configuration that one process has adopted.
#[derive(Clone, Debug, Default)]
pub struct AdoptedConfig {
    revision: Revision,
    objects: BTreeMap<Arc<str>, (Revision, Arc<str>)>,
    digest: Digest,
    log: ChangeLog,
}

impl AdoptedConfig {
    /// Creates an empty configuration at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current revision; 0 before the first adoption.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of all objects.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Iterates over the key, revision and stored form of all objects.
    pub fn objects(&self) -> impl Iterator<Item = (&str, Revision, &str)> {
        self.objects
            .iter()
            .map(|(key, (revision, value))| (&**key, *revision, &**value))
    }

    /// Adopts a delta.
    ///
    /// Returns false if the delta is not newer than the current revision. Returns
    /// an error, and changes nothing, if the delta does not apply.
    pub fn adopt(&mut self, delta: &Delta) -> Result<bool, DeltaError> {
        if delta.to <= self.revision {
            return Ok(false);
        }
        if delta.from != Revision(0) && delta.from > self.revision {
            return Err(DeltaError::Gap {
                from: delta.from,
                current: self.revision,
            });
        }
        if delta.from == Revision(0) {
            return self.adopt_full(delta);
        }
        let current = self.revision;
        let new = || delta.changes.iter().filter(|c| c.revision > current);
        if self.digest_after(new()) != delta.digest {
            return Err(DeltaError::Digest(delta.to));
        }
        for change in new() {
            self.apply(change);
        }
        self.revision = delta.to;
        Ok(true)
    }

    fn adopt_full(&mut self, delta: &Delta) -> Result<bool, DeltaError> {
        let mut next = Self::default();
        for change in &delta.changes {
            next.apply(change);
        }
        if next.digest != delta.digest {
            return Err(DeltaError::Digest(delta.to));
        }
        next.revision = delta.to;
        next.log = ChangeLog::starting_after(delta.to);
        *self = next;
        Ok(true)
    }

    /// Returns the digest after some changes, at a cost that depends only on their number.
    fn digest_after<'a>(&self, changes: impl Iterator<Item = &'a Change>) -> Digest {
        let mut changed: BTreeMap<&str, Option<Revision>> = BTreeMap::new();
        let mut digest = self.digest;
        for change in changes {
            let key = &*change.key;
            let current = self.objects.get(key).map(|(revision, _)| *revision);
            let old = changed.get(key).copied().unwrap_or(current);
            let new = change.value.is_some().then_some(change.revision);
            for revision in old.into_iter().chain(new) {
                digest = digest.toggle(key, revision);
            }
            changed.insert(key, new);
        }
        digest
    }

    /// Returns the changes since `revision`, or the full configuration if some of them are no
    /// longer in the log.
    pub fn delta_since(&self, revision: Revision) -> Delta {
        let recent = self.log.since(revision).filter(|_| revision != Revision(0));
        let (from, changes) = match recent {
            Some(changes) => (revision, changes),
            None => (Revision(0), self.all_as_changes()),
        };
        Delta {
            from,
            to: self.revision,
            changes,
            digest: self.digest,
        }
    }

    fn all_as_changes(&self) -> Vec<Change> {
        self.objects
            .iter()
            .map(|(key, (revision, value))| Change {
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            })
            .collect()
    }

    fn apply(&mut self, change: &Change) {
        let old = self.objects.get(&change.key).map(|(revision, _)| *revision);
        if let Some(old) = old {
            self.digest = self.digest.toggle(&change.key, old);
        }
        match &change.value {
            Some(value) => {
                self.digest = self.digest.toggle(&change.key, change.revision);
                let entry = (change.revision, value.clone());
                self.objects.insert(change.key.clone(), entry);
            }
            None => {
                self.objects.remove(&change.key);
            }
        }
        self.log.push(change.clone());
    }
}
