//! The generations that an agent runs or retains.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use cactusbarrow_policy::{AttemptNumber, GenerationId, Reason, TokenBuffer};
use cactusbarrow_protocol::generated::{EndKind, GenerateRequest};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const SHARD_COUNT: usize = 16;

/// How the attempt of a generation at this agent ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GenerationEnd {
    /// Whether it finished or failed, and how.
    pub(crate) kind: EndKind,
    /// The reason, as reported in metrics and responses; empty if it finished.
    pub(crate) reason: &'static str,
}

/// Progress of a generation and its readers.
#[derive(Debug, Default)]
pub(crate) struct GenerationState {
    /// All tokens, including the prefix that the attempt started from.
    pub(crate) tokens: TokenBuffer,
    /// How it ended; `None` while tokens may follow.
    pub(crate) end: Option<GenerationEnd>,
    /// Number of attached readers.
    pub(crate) readers: usize,
    /// When the last reader detached; `None` while readers are attached.
    pub(crate) orphaned_at: Option<Instant>,
}

/// A generation that an agent runs or retains.
#[derive(Debug)]
pub(crate) struct GenerationRecord {
    /// The request, without its prefix.
    pub(crate) req: GenerateRequest,
    /// The attempt that runs here.
    pub(crate) attempt: AttemptNumber,
    /// Cancels the engine's stream.
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

    /// Records the end of the attempt, unless it has ended before, and wakes the readers.
    ///
    /// Returns whether it was recorded.
    pub(crate) fn end(&self, kind: EndKind, reason: &'static str) -> bool {
        let is_first = {
            let mut state = self.state();
            let is_first = state.end.is_none();
            state.end.get_or_insert(GenerationEnd { kind, reason });
            is_first
        };
        self.changed.send_replace(());
        is_first
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }
}

/// All generations of an agent, in shards with a lock each.
#[derive(Debug)]
pub(crate) struct GenerationTable {
    shards: Vec<Mutex<HashMap<GenerationId, Arc<GenerationRecord>>>>,
}

impl Default for GenerationTable {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }
}

impl GenerationTable {
    /// Inserts a record and cancels the previous attempt of the same generation, if any.
    pub(crate) fn insert(&self, id: GenerationId, record: Arc<GenerationRecord>) {
        if let Some(old) = self.shard(id).insert(id, record) {
            old.cancel.cancel();
        }
    }

    /// Returns the record of a generation.
    pub(crate) fn get(&self, id: GenerationId) -> Option<Arc<GenerationRecord>> {
        self.shard(id).get(&id).cloned()
    }

    /// Removes the record of a generation, unless a newer attempt has replaced it.
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

    /// Ends the attempts that still run because the agent exits, so that their readers continue elsewhere; returns
    /// them.
    pub(crate) fn end_running(&self) -> Vec<(GenerationId, AttemptNumber)> {
        let mut ended = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (id, record) in &*shard {
                if record.end(EndKind::ShuttingDown, Reason::ShuttingDown.as_str()) {
                    record.cancel.cancel();
                    ended.push((*id, record.attempt));
                }
            }
        }
        ended
    }

    fn shard(
        &self,
        id: GenerationId,
    ) -> MutexGuard<'_, HashMap<GenerationId, Arc<GenerationRecord>>> {
        let shard = &self.shards[(id.0 % SHARD_COUNT as u128) as usize];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
