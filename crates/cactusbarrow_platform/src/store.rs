//! The platform's key-value service, as an interface.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;

/// A value with the index of the write that set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Bytes,
    /// Index of the write; grows with each write of the key.
    pub index: u64,
}

/// The store gave no answer, so a write may or may not have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    /// What was being done.
    pub step: &'static str,
    /// The key.
    pub key: String,
    /// Address of the store.
    pub address: String,
    /// What went wrong.
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

/// A small key-value service with compare-and-swap and watches.
///
/// Every method counts as one call, a waiting watch included.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Reads a key once its index differs from `after`, or when `wait` is over.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a key if its index is `expected`; 0 stands for a key that does not exist.
    ///
    /// Returns false if the index was another. After an error the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        value: Bytes,
        expected: u64,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Writes a key whatever its index is; for keys whose name tells their content.
    fn put(&self, key: &str, value: Bytes) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Deletes a key.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), StoreError>> + Send;
}
