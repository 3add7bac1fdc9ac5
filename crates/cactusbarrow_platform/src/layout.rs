//! Layout of the configuration in the store.
//!
//! The configuration is stored in pages: one root, the shards and a history page. The root names
//! the shards that make up a revision. Each version of a shard is written once, under its own
//! key, so a compare-and-swap of the root changes the whole configuration atomically, and no
//! value comes near the store's size limit.

use std::collections::BTreeMap;

use cactusbarrow_document::{Object, ObjectKey, ObjectKind};
use cactusbarrow_policy::{Digest, Revision, stable_hash};
use serde::{Deserialize, Serialize};

/// Store key of the root.
pub const ROOT_KEY: &str = "cactusbarrow/root";

/// Number of shards for customers, and for backend servers; the other kinds have few objects
/// and need one shard each.
const SHARDS_PER_LARGE_KIND: u64 = 16;

/// Identifies one write of a shard or history page; part of the page's store key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PageVersion(pub String);

/// Proof that an operation was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// ID of the operation, chosen by the operator or its client.
    pub operation: String,
    /// Hash of the operation's edits.
    pub request_hash: u64,
    /// The revision that the operation created.
    pub revision: u64,
}

/// An object that was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deletion {
    /// Key of the object.
    pub object: String,
    /// The revision that deleted it.
    pub revision: u64,
}

/// A change that is included in the root, so that a watcher need not read the shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Key of the object.
    pub key: String,
    /// The revision that changed it.
    pub revision: u64,
    /// The object; `None` if it was deleted.
    pub object: Option<Object>,
}

/// The root of the configuration; kept small because watchers read it at every change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Revision of the configuration.
    pub revision: u64,
    /// Digest of all objects.
    pub digest: u64,
    /// Version of each shard, by shard name.
    pub shards: BTreeMap<String, PageVersion>,
    /// Version of the history page.
    pub history: PageVersion,
    /// The most recent changes, oldest first.
    pub recent: Vec<RecentChange>,
    /// `recent` holds all changes after this revision.
    pub recent_after: u64,
}

/// The history page: past operations and replaced pages; only the operators' client uses it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Receipts of the most recent operations, oldest first.
    pub receipts: Vec<Receipt>,
    /// The most recent deletions, oldest first.
    pub deletions: Vec<Deletion>,
    /// Store keys of replaced pages that readers may still be reading.
    pub retired: Vec<String>,
}

impl History {
    /// Decodes a stored history page.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, PageError> {
        decode(key, value)
    }

    /// Encodes the page for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the receipt of an operation, if it is still in the history.
    pub fn receipt(&self, operation: &str) -> Option<&Receipt> {
        self.receipts
            .iter()
            .rev()
            .find(|r| r.operation == operation)
    }
}

/// A stored page that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("value of {key} cannot be read: {message}")]
pub struct PageError {
    /// Store key of the page.
    pub key: String,
    /// Why the page cannot be read.
    pub message: String,
}

impl Root {
    /// Decodes a stored root.
    pub fn decode(value: &[u8]) -> Result<Self, PageError> {
        decode(ROOT_KEY, value)
    }

    /// Encodes the page for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the revision as a typed value.
    pub fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// Returns the digest as a typed value.
    pub fn digest(&self) -> Digest {
        Digest(self.digest)
    }
}

/// An object and the revision that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The revision that set the object.
    pub revision: u64,
    /// Full content of the object as set in that revision.
    pub object: Object,
}

/// A shard: a part of the objects of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Objects by object key.
    pub objects: BTreeMap<String, StoredObject>,
}

impl Shard {
    /// Decodes a stored shard.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, PageError> {
        decode(key, value)
    }

    /// Encodes the page for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the name of the shard that holds an object.
pub fn shard_of(key: &ObjectKey) -> String {
    let shards = match key.kind {
        ObjectKind::Customer | ObjectKind::BackendServer => SHARDS_PER_LARGE_KIND,
        ObjectKind::Service | ObjectKind::ModelVersion => 1,
    };
    let number = stable_hash(key.name.as_bytes()) % shards;
    format!("{}-{number}", key.kind.as_str())
}

/// Returns the store key of a shard.
pub fn shard_key(name: &str, version: &PageVersion) -> String {
    format!("cactusbarrow/shards/{name}/{}", version.0)
}

/// Returns the store key of a history page.
pub fn history_key(version: &PageVersion) -> String {
    format!("cactusbarrow/history/{}", version.0)
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, PageError> {
    serde_json::from_slice(value).map_err(|e| PageError {
        key: key.to_owned(),
        message: e.to_string(),
    })
}
