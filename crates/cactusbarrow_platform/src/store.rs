//! Interface to the platform's key-value store.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

/// A value and the index of the write that set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Bytes of the value as they were written, without the encoding of the store's interface.
    pub value: Bytes,
    /// Index of the write; increases with each write of the key.
    pub index: u64,
}

/// A call to the store failed; if it was a write, it may or may not have been applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    /// Operation that failed.
    pub step: &'static str,
    /// Key that the operation was for.
    pub key: String,
    /// Address of the store.
    pub address: String,
    /// Cause of the failure.
    pub message: String,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            step,
            key,
            address,
            message,
        } = self;
        write!(f, "{step} {key} at store {address}: {message}")
    }
}

impl std::error::Error for StoreError {}

/// A key-value store for small values, with compare-and-swap and watches.
///
/// Each method makes one call to the store; a watch is one call that blocks.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Reads a key as soon as its index differs from `after`, or after `wait`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a key if its index is `expected`; 0 means that the key must not exist.
    ///
    /// Returns false if the index differs. After an error the write may have been applied.
    fn compare_and_swap(
        &self,
        key: &str,
        value: Bytes,
        expected: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Writes a key unconditionally; for keys whose name determines their value.
    fn put(&self, key: &str, value: Bytes) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Deletes a key.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), StoreError>> + Send;
}
