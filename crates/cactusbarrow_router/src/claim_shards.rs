//! Performs the actions of the claim shards on the platform's store.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use cactusbarrow_net::{Clock, unix_seconds};
use cactusbarrow_platform::{
    CLAIM_SHARDS, HostList, Store, StoreError, claim_head_key, claim_segment_key, claim_shard_of,
};
use cactusbarrow_policy::{
    ClaimAction, ClaimConfig, ClaimEvent, ClaimNonce, ClaimPage, ClaimRequest, ClaimShard,
    ClaimVerdict, KeyHash,
};
use tokio::sync::{Notify, oneshot};

use crate::router::Router;

#[derive(Debug)]
struct ShardState {
    state_machine: ClaimShard,
    waiting: HashMap<ClaimNonce, Vec<oneshot::Sender<ClaimVerdict>>>,
    actions: VecDeque<ClaimAction>,
    /// Whether a task is performing the shard's actions.
    has_driver: bool,
    notify: Arc<Notify>,
}

/// The claim shards of this process, each under its own lock.
#[derive(Debug)]
pub(crate) struct ClaimShards {
    shards: Vec<Mutex<ShardState>>,
}

impl ClaimShards {
    /// Creates shards whose state has not been read from the store yet.
    pub(crate) fn new(cfg: ClaimConfig) -> Self {
        let shard = || {
            Mutex::new(ShardState {
                state_machine: ClaimShard::new(cfg),
                waiting: HashMap::new(),
                actions: VecDeque::new(),
                has_driver: false,
                notify: Arc::default(),
            })
        };
        Self {
            shards: (0..CLAIM_SHARDS).map(|_| shard()).collect(),
        }
    }

    fn shard(&self, shard: u16) -> MutexGuard<'_, ShardState> {
        self.shards[usize::from(shard)]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Store + HostList, C: Clock> Router<S, C> {
    /// Claims a call in the store from this process; waits for the verdict.
    pub(crate) async fn claim_locally(self: &Arc<Self>, req: ClaimRequest) -> ClaimVerdict {
        let shard = claim_shard_of(req.key);
        let (tx, rx) = oneshot::channel();
        self.claims
            .shard(shard)
            .waiting
            .entry(req.nonce)
            .or_default()
            .push(tx);
        self.submit_claim_event(shard, ClaimEvent::Claim(req));
        rx.await.unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Releases a claim in the store from this process, without waiting.
    pub(crate) fn release_locally(self: &Arc<Self>, key: KeyHash, nonce: ClaimNonce) {
        self.submit_claim_event(claim_shard_of(key), ClaimEvent::Release { key, nonce });
    }

    /// Applies an event, and makes sure that a task performs the shard's actions.
    fn submit_claim_event(self: &Arc<Self>, shard: u16, event: ClaimEvent) {
        self.handle_claim_event(shard, event);
        let mut state = self.claims.shard(shard);
        state.notify.notify_one();
        if !state.has_driver {
            state.has_driver = true;
            drop(state);
            let router = self.clone();
            self.tasks
                .spawn(async move { router.run_claim_shard(shard).await });
        }
    }

    fn handle_claim_event(&self, shard: u16, event: ClaimEvent) {
        let now = self.clock.now();
        let mut state = self.claims.shard(shard);
        let actions = state
            .state_machine
            .handle(event, now, unix_seconds(&self.clock));
        for action in actions {
            match action {
                ClaimAction::DeliverVerdict { nonce, verdict } => {
                    state.deliver_verdict(nonce, verdict);
                }
                other => state.actions.push_back(other),
            }
        }
    }

    /// Performs actions one at a time until the shard has neither an action nor a timer left.
    async fn run_claim_shard(&self, shard: u16) {
        loop {
            let next_action = self.claims.shard(shard).actions.pop_front();
            if let Some(action) = next_action {
                if let Some(event) = self.perform_claim_action(shard, action).await {
                    self.handle_claim_event(shard, event);
                }
                continue;
            }
            let (next_wake, notify) = {
                let mut state = self.claims.shard(shard);
                let next_wake = state.state_machine.next_wake();
                if next_wake.is_none() && state.actions.is_empty() {
                    state.has_driver = false;
                    return;
                }
                (next_wake, state.notify.clone())
            };
            tokio::select! {
                () = sleep_until(next_wake) => {}
                () = notify.notified() => {}
            }
            self.handle_claim_event(shard, ClaimEvent::Tick);
        }
    }

    async fn perform_claim_action(&self, shard: u16, action: ClaimAction) -> Option<ClaimEvent> {
        match action {
            ClaimAction::ReadHead => Some(self.read_head(shard).await),
            ClaimAction::ReadSegment(id) => {
                let key = claim_segment_key(shard, id);
                Some(match self.read_page(&key).await {
                    Some(Some((_, page))) => ClaimEvent::SegmentRead { id, page },
                    _ => ClaimEvent::SegmentFailed,
                })
            }
            ClaimAction::WriteSegment { id, value } => {
                let key = claim_segment_key(shard, id);
                Some(match self.store.put(&key, value.into()).await {
                    Ok(()) => ClaimEvent::SegmentWritten,
                    Err(e) => log_store_error(&e, ClaimEvent::SegmentFailed),
                })
            }
            ClaimAction::WriteHead { value, expected } => {
                let key = claim_head_key(shard);
                metrics::counter!("cactusbarrow_claim_writes_total").increment(1);
                let swapped = self
                    .store
                    .compare_and_swap(&key, value.into(), expected)
                    .await;
                Some(match swapped {
                    Ok(true) => ClaimEvent::HeadWritten,
                    Ok(false) => ClaimEvent::HeadConflict,
                    Err(e) => log_store_error(&e, ClaimEvent::HeadWriteUnknown),
                })
            }
            ClaimAction::DeleteSegments(ids) => {
                for id in ids {
                    // A segment that is not deleted only takes up space.
                    let _ = self.store.delete(&claim_segment_key(shard, id)).await;
                }
                None
            }
            ClaimAction::DeliverVerdict { nonce, verdict } => {
                self.claims.shard(shard).deliver_verdict(nonce, verdict);
                None
            }
        }
    }

    async fn read_head(&self, shard: u16) -> ClaimEvent {
        match self.read_page(&claim_head_key(shard)).await {
            Some(head) => ClaimEvent::HeadRead(head),
            None => ClaimEvent::HeadReadFailed,
        }
    }

    /// Reads a page and its index; `None` if the store fails or the page cannot be decoded.
    async fn read_page(&self, key: &str) -> Option<Option<(u64, ClaimPage)>> {
        match self.store.get(key).await {
            Ok(None) => Some(None),
            Ok(Some(stored)) => match ClaimPage::decode(&stored.value) {
                Ok(page) => Some(Some((stored.index, page))),
                Err(e) => {
                    log::error!(step = "read claims", key = key; "{e}");
                    None
                }
            },
            Err(e) => {
                log::warn!(step = e.step, key = key, peer = e.address; "{e}");
                None
            }
        }
    }
}

impl ShardState {
    fn deliver_verdict(&mut self, nonce: ClaimNonce, verdict: ClaimVerdict) {
        for tx in self.waiting.remove(&nonce).unwrap_or_default() {
            // The send fails only if the requester has given up.
            let _ = tx.send(verdict);
        }
    }
}

/// Logs an error of the store and returns the event that reports it to the shard.
fn log_store_error(error: &StoreError, event: ClaimEvent) -> ClaimEvent {
    log::warn!(step = error.step, key = error.key, peer = error.address; "{error}");
    event
}

async fn sleep_until(at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep_until(at.into()).await;
    }
}
