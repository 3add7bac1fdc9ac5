//! Cache of the responses of claimed calls, for retries with the same key.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusbarrow_policy::KeyHash;
use http::Response;
use tokio::sync::watch;

/// The response of a call; `None` while the call runs, `Some(None)` if the response was lost.
pub(crate) type ResponseState = Option<Option<Response<Bytes>>>;

/// Receives the response of a call.
pub(crate) type ResponseReceiver = watch::Receiver<ResponseState>;

#[derive(Debug, Default)]
struct Table {
    by_key: HashMap<KeyHash, ResponseReceiver>,
    by_age: VecDeque<(Instant, KeyHash, usize)>,
    bytes: usize,
}

/// Responses of claimed calls, bounded in total size and in age.
#[derive(Debug)]
pub(crate) struct ResponseCache {
    max_bytes: usize,
    retention: Duration,
    table: Mutex<Table>,
}

impl ResponseCache {
    /// Creates an empty cache.
    pub(crate) fn new(max_bytes: usize, retention: Duration) -> Self {
        Self {
            max_bytes,
            retention,
            table: Mutex::default(),
        }
    }

    /// Records that a call runs; `rx` will receive its response.
    pub(crate) fn begin(&self, key: KeyHash, rx: ResponseReceiver) {
        self.lock().by_key.insert(key, rx);
    }

    /// Records that a response of `bytes` is complete, and evicts the oldest beyond the bounds.
    pub(crate) fn complete(&self, key: KeyHash, bytes: usize, now: Instant) {
        let mut table = self.lock();
        table.by_age.push_back((now, key, bytes));
        table.bytes += bytes;
        while let Some((completed_at, key, bytes)) = table.by_age.front().copied() {
            let is_expired = now.duration_since(completed_at) >= self.retention;
            if !is_expired && table.bytes <= self.max_bytes {
                break;
            }
            table.by_age.pop_front();
            table.by_key.remove(&key);
            table.bytes -= bytes;
        }
    }

    /// Returns a receiver of the response to the call with a key, if it is cached or awaited.
    pub(crate) fn get(&self, key: KeyHash) -> Option<ResponseReceiver> {
        self.lock().by_key.get(&key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
