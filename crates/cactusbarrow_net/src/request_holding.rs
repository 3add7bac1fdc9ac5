//! What a request takes of a process's memory, from its head to the end of its response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::connection_limit::{CONNECTION_BYTES, REQUEST_BYTES};
use crate::holding::{Holding, Owner};

/// Counts a request until all clones are dropped; they share it.
#[derive(Clone, Debug)]
pub struct RequestHolding(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    connection: Arc<Holding>,
    /// The request itself, if it shares its connection with others.
    request: Option<Holding>,
    is_kept: AtomicBool,
}

impl Shared {
    /// Returns what is given up for the request.
    fn holding(&self) -> &Holding {
        self.request.as_ref().unwrap_or(&self.connection)
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        if *self.is_kept.get_mut() {
            self.connection.release();
        }
        if self.request.is_none() {
            self.connection.resize(CONNECTION_BYTES);
            self.connection.record_progress();
        }
    }
}

impl RequestHolding {
    /// Begins to count a request that has its connection for itself.
    pub fn begin(connection: Arc<Holding>) -> Self {
        connection.record_progress();
        connection.resize(CONNECTION_BYTES + REQUEST_BYTES);
        Self::new(connection, None)
    }

    /// Begins to count a request that shares its connection with others.
    pub(crate) fn begin_multiplexed(connection: Arc<Holding>) -> Self {
        let request = Holding::begin_request(connection.memory());
        request.resize(REQUEST_BYTES);
        Self::new(connection, Some(request))
    }

    fn new(connection: Arc<Holding>, request: Option<Holding>) -> Self {
        Self(Arc::new(Shared {
            connection,
            request,
            is_kept: AtomicBool::new(false),
        }))
    }

    /// Returns what the body of the request is given up with.
    pub(crate) fn owner(&self) -> Owner {
        self.0.holding().to_owner()
    }

    /// Has the request kept, since it is passed on; returns false if it has been given up before.
    pub fn keep(&self) -> bool {
        if self.0.is_kept.load(Ordering::Acquire) {
            return true;
        }
        let is_kept = self.0.connection.keep();
        self.0.is_kept.store(is_kept, Ordering::Release);
        is_kept && self.0.request.as_ref().is_none_or(Holding::keep)
    }

    /// Returns whether the request is given up.
    pub fn is_given_up(&self) -> bool {
        self.0.holding().is_given_up()
    }

    /// Completes when the request is given up; never, if it is not.
    pub async fn given_up(&self) {
        self.0.holding().given_up().await;
    }
}
