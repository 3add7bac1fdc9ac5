//! What a connection, request or body takes of a process's memory.

use tokio_util::sync::CancellationToken;

use crate::ProcessMemory;
use crate::memory_budget::HoldingKey;
use crate::process_memory::State;

/// A holding that others are given up with; it may have ended.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    key: HoldingKey,
    token: CancellationToken,
}

/// Counts against a [`ProcessMemory`] until it is dropped.
#[derive(Debug)]
pub struct Holding {
    memory: ProcessMemory,
    key: HoldingKey,
    /// Cancelled when this is given up.
    token: CancellationToken,
}

impl Owner {
    /// Records that bytes arrived.
    pub(crate) fn record_bytes(&self, memory: &ProcessMemory, count: usize) {
        memory.state().budget.record_bytes(self.key, count);
    }

    /// Completes when the holding is given up; never, if it is not.
    pub(crate) async fn given_up(&self) {
        self.token.cancelled().await;
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.memory.state().end(self.key);
        self.memory.notify_freed();
    }
}

impl Holding {
    /// Begins to count a caller's request that shares its connection with others.
    pub(crate) fn begin_request(memory: &ProcessMemory) -> Self {
        let mut state = memory.state();
        let key = state.budget.begin_request();
        let token = state.add_token(key);
        drop(state);
        Self::new(memory, key, token)
    }

    /// Begins to count a body, which is given up with its owner if it has one.
    pub(crate) fn begin_body(memory: &ProcessMemory, owner: Option<&Owner>) -> Self {
        let mut state = memory.state();
        let key = state.budget.begin_body(owner.map(|owner| owner.key));
        let token = match owner {
            Some(owner) => owner.token.clone(),
            None => state.add_token(key),
        };
        drop(state);
        Self::new(memory, key, token)
    }

    pub(crate) fn new(memory: &ProcessMemory, key: HoldingKey, token: CancellationToken) -> Self {
        Self {
            memory: memory.clone(),
            key,
            token,
        }
    }

    /// Returns this as the owner of others.
    pub(crate) fn to_owner(&self) -> Owner {
        Owner {
            key: self.key,
            token: self.token.clone(),
        }
    }

    pub(crate) fn memory(&self) -> &ProcessMemory {
        &self.memory
    }

    /// Records the size, in bytes; returns false if this is given up.
    pub(crate) fn resize(&self, bytes: usize) -> bool {
        let mut state = self.memory.state();
        let given_up = state.budget.resize(self.key, bytes);
        state.give_up(&given_up);
        drop(state);
        self.memory.notify_freed();
        !self.token.is_cancelled()
    }

    /// Records the size that this will have, in bytes, once there is memory for it; returns false if this is given up.
    pub(crate) async fn grow(&self, bytes: usize) -> bool {
        let try_grow = |state: &mut State| {
            let (has_grown, given_up) = state.budget.try_grow(self.key, bytes);
            state.give_up(&given_up);
            has_grown
        };
        self.memory.wait_until(&self.token, try_grow).await
    }

    /// Records that bytes arrived.
    pub(crate) fn record_bytes(&self, count: usize) {
        self.memory.state().budget.record_bytes(self.key, count);
    }

    /// Records that a request begins or ends.
    pub(crate) fn record_progress(&self) {
        self.memory.state().budget.record_progress(self.key);
    }

    /// Records whether the peer keeps this process from writing to it.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        self.memory.state().budget.set_blocked(self.key, is_blocked);
    }

    /// Has this kept, since its request is passed on; returns false if it has been given up before.
    pub fn keep(&self) -> bool {
        self.memory.state().budget.keep(self.key)
    }

    /// Ends [`keep`](Self::keep).
    pub(crate) fn release(&self) {
        self.memory.state().budget.release(self.key);
    }

    /// Returns whether this is given up.
    pub fn is_given_up(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Completes when this is given up; never, if it is not.
    pub async fn given_up(&self) {
        self.token.cancelled().await;
    }
}
