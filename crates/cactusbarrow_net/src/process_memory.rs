//! Memory that the connections, requests and bodies of a process share, so that they never exceed what the process may
//! hold.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::NetError;
use crate::holding::{Holding, Owner};
use crate::memory_budget::{HoldingKey, MemoryBudget};

/// Size up to which a body does not count, in bytes: the request or connection that it belongs to counts for it.
const UNCOUNTED_BYTES: usize = 16 << 10;

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) budget: MemoryBudget,
    /// Cancelled when their holding is given up.
    tokens: HashMap<HoldingKey, CancellationToken>,
}

impl State {
    /// Returns the token of a holding that began now.
    pub(crate) fn add_token(&mut self, key: HoldingKey) -> CancellationToken {
        let token = CancellationToken::new();
        self.tokens.insert(key, token.clone());
        token
    }

    /// Has the tasks that use these holdings end them.
    pub(crate) fn give_up(&mut self, holdings: &[HoldingKey]) {
        for key in holdings {
            if self.budget.is_connection(*key) {
                metrics::counter!("connections_given_up_total").increment(1);
            } else {
                metrics::counter!("bodies_given_up_total").increment(1);
            }
            if let Some(token) = self.tokens.remove(key) {
                token.cancel();
            }
        }
    }

    pub(crate) fn end(&mut self, key: HoldingKey) {
        self.budget.end(key);
        self.tokens.remove(&key);
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when something is freed.
    freed: Notify,
}

/// Memory of a process for what its peers send; clones share it.
#[derive(Clone, Debug)]
pub struct ProcessMemory(Arc<Shared>);

/// A body that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectedBody {
    /// The whole body, which counts until all clones of the bytes are dropped.
    Whole(Bytes),
    /// The body is larger than it may be.
    TooLarge,
    /// What the process holds took too much memory, and this was given up.
    GivenUp,
}

impl CollectedBody {
    /// Returns the bytes; fails for a body that was not read whole.
    pub fn whole(self, step: &'static str, peer: &str) -> Result<Bytes, NetError> {
        match self {
            Self::Whole(bytes) => Ok(bytes),
            Self::TooLarge => Err(NetError::new(step, peer, "body is too large")),
            Self::GivenUp => Err(NetError::new(
                step,
                peer,
                "body was given up for lack of memory",
            )),
        }
    }
}

impl Default for ProcessMemory {
    /// Creates memory without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ProcessMemory {
    /// Creates memory of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                budget: MemoryBudget::new(limit),
                tokens: HashMap::new(),
            }),
            freed: Notify::new(),
        }))
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.state().budget.held()
    }

    /// Reads a whole body of at most `limit` bytes; `peer` names its sender in errors.
    pub async fn collect<B>(
        &self,
        body: B,
        limit: usize,
        peer: &str,
    ) -> Result<CollectedBody, NetError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        self.collect_for(None, body, limit, peer).await
    }

    /// Reads the same for an owner, with which the body is given up.
    pub(crate) async fn collect_for<B>(
        &self,
        owner: Option<Owner>,
        mut body: B,
        limit: usize,
        peer: &str,
    ) -> Result<CollectedBody, NetError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > limit {
            return Ok(CollectedBody::TooLarge);
        }
        if !self.state().budget.could_hold(stated) {
            return Ok(CollectedBody::GivenUp);
        }
        let mut buf = Vec::new();
        let mut held = HeldBody {
            memory: self.clone(),
            owner,
            counted: None,
        };
        loop {
            let frame = tokio::select! {
                biased;
                () = held.given_up() => return Ok(CollectedBody::GivenUp),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|e| NetError::new("read body", peer, e))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let len = buf.len() + data.len();
            if len > limit {
                return Ok(CollectedBody::TooLarge);
            }
            held.record_bytes(data.len());
            if len > buf.capacity() {
                let capacity = len.max(buf.capacity().saturating_mul(2)).min(limit);
                if !held.grow(capacity).await {
                    return Ok(CollectedBody::GivenUp);
                }
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&data);
        }
        buf.shrink_to_fit();
        if held.counted.is_none() {
            return Ok(CollectedBody::Whole(buf.into()));
        }
        held.resize(buf.capacity());
        Ok(CollectedBody::Whole(held.into_bytes(buf)))
    }

    /// Counts bytes that have arrived until all clones of the result are dropped; returns `None` if there is no
    /// memory for them.
    pub fn hold(&self, bytes: Bytes) -> Option<Bytes> {
        if bytes.len() <= UNCOUNTED_BYTES {
            return Some(bytes);
        }
        let mut held = self.begin();
        held.resize(bytes.len()).then(|| held.into_bytes(bytes))
    }

    /// Begins to count a body that arrives.
    pub fn begin(&self) -> HeldBody {
        HeldBody {
            memory: self.clone(),
            owner: None,
            counted: None,
        }
    }

    /// Tries something again whenever memory has been freed, until it returns true; returns false if `token` is cancelled
    /// before.
    pub(crate) async fn wait_until(
        &self,
        token: &CancellationToken,
        mut attempt: impl FnMut(&mut State) -> bool,
    ) -> bool {
        loop {
            let freed = self.0.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if token.is_cancelled() {
                return false;
            }
            if attempt(&mut self.state()) {
                return true;
            }
            tokio::select! {
                () = token.cancelled() => return false,
                () = freed => {}
            }
        }
    }

    pub(crate) fn notify_freed(&self) {
        self.0.freed.notify_waiters();
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        // The state is plain values, which stay consistent when a task panics.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a body until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    memory: ProcessMemory,
    /// The request that the body belongs to.
    owner: Option<Owner>,
    /// `None` while the body is too small to count.
    counted: Option<Holding>,
}

impl HeldBody {
    /// Records the size of the body, in bytes; returns false if it is given up.
    pub fn resize(&mut self, bytes: usize) -> bool {
        match self.counted(bytes) {
            Some(counted) => counted.resize(bytes),
            None => true,
        }
    }

    /// Returns what counts the body, if it counts once it has this size.
    fn counted(&mut self, bytes: usize) -> Option<&Holding> {
        if self.counted.is_none() && bytes > UNCOUNTED_BYTES {
            self.counted = Some(Holding::begin_body(&self.memory, self.owner.as_ref()));
        }
        self.counted.as_ref()
    }

    /// Records the size that the body will have, in bytes, once there is memory for it; returns false if it is given up.
    async fn grow(&mut self, bytes: usize) -> bool {
        match self.counted(bytes) {
            Some(counted) => counted.grow(bytes).await,
            None => true,
        }
    }

    fn record_bytes(&self, count: usize) {
        match (&self.counted, &self.owner) {
            (Some(holding), _) => holding.record_bytes(count),
            (None, Some(owner)) => owner.record_bytes(&self.memory, count),
            (None, None) => {}
        }
    }

    /// Completes when the body is given up; never, if it is not.
    pub async fn given_up(&self) {
        match (&self.owner, &self.counted) {
            (Some(owner), _) => owner.given_up().await,
            (None, Some(counted)) => counted.given_up().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Returns the bytes of the whole body, which count until all clones are dropped.
    fn into_bytes(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        if let Some(counted) = &self.counted {
            counted.keep();
        }
        Bytes::from_owner(WholeBody { bytes, _held: self })
    }
}

/// The bytes of a body that counts.
struct WholeBody<B> {
    bytes: B,
    _held: HeldBody,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for WholeBody<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
