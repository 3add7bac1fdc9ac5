//! The generations that an agent holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use cactusbarrow_policy::{AttemptNumber, GenerationId, TokenBuffer};
use cactusbarrow_protocol::generated::{EndKind, GenerateRequest};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const SHARDS: usize = 16;

/// How a generation ended at this agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GenerationEnd {
    /// The kind of end.
    pub(crate) kind: EndKind,
    /// The reason, as in counters and responses.
    pub(crate) reason: &'static str,
}

/// Tokens and end of a generation so far.
#[derive(Debug, Default)]
pub(crate) struct GenerationState {
    /// All tokens, those the attempt started from included.
    pub(crate) tokens: TokenBuffer,
    /// Set once no more tokens come.
    pub(crate) end: Option<GenerationEnd>,
    /// Readers that are attached.
    pub(crate) readers: usize,
    /// When the last reader left.
    pub(crate) orphaned_at: Option<Instant>,
}

/// One generation held by an agent.
#[derive(Debug)]
pub(crate) struct GenerationRecord {
    /// The request, without its prefix.
    pub(crate) req: GenerateRequest,
    /// The attempt that runs here.
    pub(crate) attempt: AttemptNumber,
    /// Stops the engine's stream.
    pub(crate) cancel: CancellationToken,
    state: Mutex<GenerationState>,
    changed: watch::Sender<()>,
}

impl GenerationRecord {
    /// Creates a record that starts from the request's prefix.
    pub(crate) fn new(
        req: GenerateRequest,
        prefix: TokenBuffer,
        cancel: CancellationToken,
    ) -> Self {
        Self {
            attempt: AttemptNumber(req.attempt),
            req,
            cancel,
            state: Mutex::new(GenerationState {
                tokens: prefix,
                ..GenerationState::default()
            }),
            changed: watch::Sender::new(()),
        }
    }

    /// Locks the state.
    pub(crate) fn state(&self) -> MutexGuard<'_, GenerationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends tokens and wakes the readers.
    pub(crate) fn push(&self, tokens: &TokenBuffer) {
        self.state().tokens.extend_from(tokens, 0);
        self.changed.send_replace(());
    }

    /// Ends the generation, unless it has ended, and wakes the readers.
    pub(crate) fn end(&self, kind: EndKind, reason: &'static str) {
        self.state()
            .end
            .get_or_insert(GenerationEnd { kind, reason });
        self.changed.send_replace(());
    }

    /// Returns a receiver that learns of each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}

/// All generations of an agent, in shards that are locked one by one.
#[derive(Debug)]
pub(crate) struct GenerationTable {
    shards: Vec<Mutex<HashMap<GenerationId, Arc<GenerationRecord>>>>,
}

impl Default for GenerationTable {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl GenerationTable {
    /// Stores a record; an older attempt of the same generation is cancelled.
    pub(crate) fn insert(&self, id: GenerationId, record: Arc<GenerationRecord>) {
        if let Some(old) = self.shard(id).insert(id, record) {
            old.cancel.cancel();
        }
    }

    /// Returns a record.
    pub(crate) fn get(&self, id: GenerationId) -> Option<Arc<GenerationRecord>> {
        self.shard(id).get(&id).cloned()
    }

    /// Removes a record, unless a newer attempt has taken its place.
    pub(crate) fn remove(&self, id: GenerationId, attempt: AttemptNumber) {
        let mut shard = self.shard(id);
        if shard.get(&id).is_some_and(|r| r.attempt == attempt) {
            shard.remove(&id);
        }
    }

    /// Cancels a generation if its attempt is not newer than `attempt`.
    pub(crate) fn cancel(&self, id: GenerationId, attempt: AttemptNumber) {
        if let Some(record) = self.get(id).filter(|r| r.attempt <= attempt) {
            record.cancel.cancel();
        }
    }

    fn shard(
        &self,
        id: GenerationId,
    ) -> MutexGuard<'_, HashMap<GenerationId, Arc<GenerationRecord>>> {
        let shard = &self.shards[(id.0 % SHARDS as u128) as usize];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
