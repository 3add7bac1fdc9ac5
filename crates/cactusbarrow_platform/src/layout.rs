//! How the configuration lies in the store.
//!
//! One root names the shards that make up a revision. A shard's value is
//! written once under a key of its own, so a swap of the root changes the
//! whole configuration at once, and no value comes near the store's limit.

use std::collections::BTreeMap;

use cactusbarrow_document::{Object, ObjectKey, ObjectKind};
use cactusbarrow_policy::{Digest, Revision, stable_hash};
use serde::{Deserialize, Serialize};

/// Key of the root.
pub const ROOT_KEY: &str = "cactusbarrow/root";

/// Shards of customers and of backend servers each; the other kinds are few.
const SHARDS_OF_LARGE_KIND: u64 = 16;

/// Names the write of a shard or history page, within the name of the page.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PageVersion(pub String);

/// Proof that an operation was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The operation's identifier, chosen by the operator or its client.
    pub operation: String,
    /// Hash of what the operation asked for.
    pub request_hash: u64,
    /// The revision it led to.
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

/// A change that the root itself holds, so that a watcher need not read a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Key of the object.
    pub key: String,
    /// The revision that changed it.
    pub revision: u64,
    /// The object; `None` if it was deleted.
    pub object: Option<Object>,
}

/// The root of the configuration; kept small, since watchers read it at every change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Revision of the configuration.
    pub revision: u64,
    /// Digest of all objects.
    pub digest: u64,
    /// The shards, by name.
    pub shards: BTreeMap<String, PageVersion>,
    /// The history page.
    pub history: PageVersion,
    /// The last changes, oldest first.
    pub recent: Vec<RecentChange>,
    /// The revision after which `recent` is complete.
    pub recent_after: u64,
}

/// What operators may ask of the past; read by their client only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Receipts of the last operations, oldest first.
    pub receipts: Vec<Receipt>,
    /// The last deletions, oldest first.
    pub deletions: Vec<Deletion>,
    /// Store keys of replaced pages that readers may still be reading.
    pub retired: Vec<String>,
}

impl History {
    /// Reads a history page from its stored form.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, PageError> {
        decode(key, value)
    }

    /// Writes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the receipt of an operation, if it is still held.
    pub fn receipt(&self, operation: &str) -> Option<&Receipt> {
        self.receipts
            .iter()
            .rev()
            .find(|r| r.operation == operation)
    }
}

/// A root or shard that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("value of {key} cannot be read: {message}")]
pub struct PageError {
    /// The store key.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl Root {
    /// Reads a root from its stored form.
    pub fn decode(value: &[u8]) -> Result<Self, PageError> {
        decode(ROOT_KEY, value)
    }

    /// Writes the stored form.
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

/// An object with the revision that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The revision that set it.
    pub revision: u64,
    /// The object.
    pub object: Object,
}

/// Some of the objects of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The objects by key.
    pub objects: BTreeMap<String, StoredObject>,
}

impl Shard {
    /// Reads a shard from its stored form.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, PageError> {
        decode(key, value)
    }

    /// Writes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the name of the shard that holds an object.
pub fn shard_of(key: &ObjectKey) -> String {
    let shards = match key.kind {
        ObjectKind::Customer | ObjectKind::BackendServer => SHARDS_OF_LARGE_KIND,
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
