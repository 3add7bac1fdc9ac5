//! Planning of commits, without I/O: what a commit writes, or why it is refused.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cactusbarrow_document::{Object, ObjectKey, ValidationError, validate};
use cactusbarrow_policy::{Digest, Revision, stable_hash};

use crate::layout::{
    Deletion, History, PageVersion, Receipt, RecentChange, Root, Shard, StoredObject, history_key,
    shard_key, shard_of,
};

const MAX_RECEIPTS: usize = 256;
const MAX_DELETIONS: usize = 256;
const MAX_RETIRED: usize = 32;
/// Maximum size of the recent changes that the root includes.
const MAX_RECENT_BYTES: usize = 1_500;
/// Largest value that the store accepts, less a margin.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// One edit of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Create or replace an object.
    Set(Object),
    /// Delete an object.
    Delete(ObjectKey),
}

impl Edit {
    /// Returns the key of the object that the edit sets or deletes.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Set(object) => object.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// A request to change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitRequest {
    /// ID of the operation; a retry uses the same ID.
    pub operation: String,
    /// The revision that the operator saw; the edited objects must not have changed since.
    pub base: Revision,
    /// The edits, in the order in which they are applied.
    pub edits: Vec<Edit>,
}

impl CommitRequest {
    /// Returns a hash of the edits, to detect that an operation's ID is reused for other edits.
    pub fn request_hash(&self) -> u64 {
        let text = self.edits.iter().fold(String::new(), |text, edit| {
            let value = match edit {
                Edit::Set(object) => object.to_json(),
                Edit::Delete(key) => format!("delete {key}"),
            };
            text + &value + "\n"
        });
        stable_hash(text.as_bytes())
    }
}

/// A change to an edited object that was committed after the base revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConflictingChange {
    /// Key of the object.
    pub key: String,
    /// The revision that changed it.
    pub revision: u64,
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The resulting configuration would be invalid.
    Invalid(Vec<ValidationError>),
    /// Other changes to the edited objects were committed after the base revision.
    Conflict {
        /// The current revision.
        revision: Revision,
        /// The latest change to each such object.
        conflicts: Vec<ConflictingChange>,
    },
    /// The operation's ID was used for another change.
    OperationReused {
        /// The revision that contains the other change.
        revision: Revision,
    },
    /// The base revision does not exist yet.
    UnknownBase {
        /// The current revision.
        revision: Revision,
    },
    /// A shard would exceed the largest value that the store accepts.
    TooLarge {
        /// Name of the shard.
        shard: String,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(errors) => {
                writeln!(
                    f,
                    "the configuration would have {} validation errors:",
                    errors.len()
                )?;
                errors.iter().try_for_each(|error| writeln!(f, "  {error}"))
            }
            Self::Conflict {
                revision,
                conflicts,
            } => {
                write!(f, "conflict at revision {revision}:")?;
                conflicts.iter().try_for_each(|c| {
                    write!(f, " {} was changed in revision {};", c.key, c.revision)
                })
            }
            Self::OperationReused { revision } => {
                write!(
                    f,
                    "operation was already used for another change, in revision {revision}"
                )
            }
            Self::UnknownBase { revision } => {
                write!(
                    f,
                    "base revision does not exist yet; the current revision is {revision}"
                )
            }
            Self::TooLarge { shard } => write!(
                f,
                "shard {shard} would exceed the largest value that the store accepts"
            ),
        }
    }
}

impl std::error::Error for PlanError {}

/// What a commit has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Nothing: the operation was accepted before.
    Replayed(Receipt),
    /// Nothing: the edits would not alter the configuration.
    Unchanged(Revision),
    /// Write the new pages, then the root that names them.
    Write {
        /// Store keys and values of the new shards and of the history.
        pages: Vec<(String, Vec<u8>)>,
        /// Root of the new revision, to be written by compare-and-swap after the pages.
        root: Box<Root>,
        /// Store keys of replaced pages that can be deleted.
        garbage: Vec<String>,
    },
}

/// Plans a change against the current configuration.
pub fn plan_commit(
    root: &Root,
    history: &History,
    shards: &BTreeMap<String, Shard>,
    req: &CommitRequest,
) -> Result<Plan, PlanError> {
    let request_hash = req.request_hash();
    if let Some(receipt) = history.receipt(&req.operation) {
        let revision = Revision(receipt.revision);
        return if receipt.request_hash == request_hash {
            Ok(Plan::Replayed(receipt.clone()))
        } else {
            Err(PlanError::OperationReused { revision })
        };
    }
    if req.base > root.revision() {
        let revision = root.revision();
        return Err(PlanError::UnknownBase { revision });
    }
    check_conflicts(root, history, shards, req)?;
    let mut builder = PlanBuilder::new(root, history, shards);
    for edit in &req.edits {
        builder.apply(edit);
    }
    if builder.changed_shards.is_empty() {
        return Ok(Plan::Unchanged(root.revision()));
    }
    let errors = validate(builder.objects());
    if !errors.is_empty() {
        return Err(PlanError::Invalid(errors));
    }
    builder.history.receipts.push(Receipt {
        operation: req.operation.clone(),
        request_hash,
        revision: builder.root.revision,
    });
    builder.finish(&req.operation)
}

fn check_conflicts(
    root: &Root,
    history: &History,
    shards: &BTreeMap<String, Shard>,
    req: &CommitRequest,
) -> Result<(), PlanError> {
    let conflicts: Vec<ConflictingChange> = req
        .edits
        .iter()
        .filter_map(|edit| {
            let key = edit.key();
            let object_key = key.to_string();
            let stored = shards.get(&shard_of(&key));
            let set_revision =
                stored.and_then(|shard| Some(shard.objects.get(&object_key)?.revision));
            let deletion = history
                .deletions
                .iter()
                .rev()
                .find(|d| d.object == object_key);
            let revision = set_revision.max(deletion.map(|d| d.revision))?;
            (revision > req.base.0).then_some(ConflictingChange {
                key: object_key,
                revision,
            })
        })
        .collect();
    if conflicts.is_empty() {
        return Ok(());
    }
    Err(PlanError::Conflict {
        revision: root.revision(),
        conflicts,
    })
}

/// Builds the pages of the next revision.
struct PlanBuilder {
    root: Root,
    history: History,
    shards: BTreeMap<String, Shard>,
    changed_shards: BTreeSet<String>,
}

impl PlanBuilder {
    fn new(root: &Root, history: &History, shards: &BTreeMap<String, Shard>) -> Self {
        let mut root = root.clone();
        root.revision += 1;
        Self {
            root,
            history: history.clone(),
            shards: shards.clone(),
            changed_shards: BTreeSet::new(),
        }
    }

    fn objects(&self) -> impl Iterator<Item = &Object> {
        self.shards
            .values()
            .flat_map(|shard| shard.objects.values().map(|stored| &stored.object))
    }

    fn apply(&mut self, edit: &Edit) {
        let key = edit.key();
        let object_key = key.to_string();
        let shard_name = shard_of(&key);
        let revision = self.root.revision;
        let shard = self.shards.entry(shard_name.clone()).or_default();
        let old = shard.objects.get(&object_key);
        let old_revision = old.map(|stored| stored.revision);
        match edit {
            Edit::Set(object) if old.is_some_and(|stored| stored.object == *object) => return,
            Edit::Delete(_) if old.is_none() => return,
            Edit::Set(object) => {
                self.toggle_digest(&object_key, revision);
                let object = object.clone();
                let stored = StoredObject { revision, object };
                let shard = self.shards.entry(shard_name.clone()).or_default();
                shard.objects.insert(object_key.clone(), stored);
            }
            Edit::Delete(_) => {
                shard.objects.remove(&object_key);
                self.history.deletions.push(Deletion {
                    object: object_key.clone(),
                    revision,
                });
            }
        }
        if let Some(old) = old_revision {
            self.toggle_digest(&object_key, old);
        }
        self.root.recent.push(RecentChange {
            key: object_key,
            revision,
            object: match edit {
                Edit::Set(object) => Some(object.clone()),
                Edit::Delete(_) => None,
            },
        });
        self.changed_shards.insert(shard_name);
    }

    fn toggle_digest(&mut self, key: &str, revision: u64) {
        self.root.digest = Digest(self.root.digest).toggle(key, Revision(revision)).0;
    }

    fn finish(mut self, operation: &str) -> Result<Plan, PlanError> {
        let version = PageVersion(format!("{}-{operation}", self.root.revision));
        let mut written = Vec::new();
        for name in &self.changed_shards {
            let value = self.shards[name].encode();
            if value.len() > MAX_VALUE_BYTES {
                return Err(PlanError::TooLarge {
                    shard: name.clone(),
                });
            }
            written.push((shard_key(name, &version), value));
            let old = self.root.shards.insert(name.clone(), version.clone());
            let old = old.map(|old| shard_key(name, &old));
            self.history.retired.extend(old);
        }
        let old_history = std::mem::replace(&mut self.root.history, version.clone());
        if !old_history.0.is_empty() {
            self.history.retired.push(history_key(&old_history));
        }
        keep_last(&mut self.history.receipts, MAX_RECEIPTS);
        keep_last(&mut self.history.deletions, MAX_DELETIONS);
        let garbage = keep_last(&mut self.history.retired, MAX_RETIRED);
        written.push((history_key(&version), self.history.encode()));
        self.trim_recent();
        Ok(Plan::Write {
            pages: written,
            root: Box::new(self.root),
            garbage,
        })
    }

    /// Drops the changes of the oldest revisions from the root until the size of the others is at
    /// most [`MAX_RECENT_BYTES`].
    fn trim_recent(&mut self) {
        let recent = &mut self.root.recent;
        let size = |changes: &[RecentChange]| {
            let object = |c: &RecentChange| c.object.as_ref().map_or(0, |o| o.to_json().len());
            changes
                .iter()
                .map(|c| c.key.len() + object(c))
                .sum::<usize>()
        };
        while size(recent) > MAX_RECENT_BYTES {
            let oldest = recent[0].revision;
            recent.retain(|change| change.revision > oldest);
            self.root.recent_after = oldest;
        }
    }
}

/// Keeps the last `count` items and returns the others.
fn keep_last<T>(items: &mut Vec<T>, count: usize) -> Vec<T> {
    let excess = items.len().saturating_sub(count);
    items.drain(..excess).collect()
}
