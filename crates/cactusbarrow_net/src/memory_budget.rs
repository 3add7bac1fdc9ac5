//! Decides what a process gives up when all that its peers make it hold takes too much.
//!
//! Load patterns: callers open more connections than the process has descriptors for, or stop in the middle of their
//! requests; a faulty server sends bytes without end on many connections. Each holding is bounded, but all together
//! exceed what the process has, which then ends with the requests of all its callers.
//!
//! For a caller's request, those of other callers that have made no progress since it began are given up first, least
//! recent progress first; otherwise the largest holding is. Requests that have been passed on and bodies that are complete are
//! kept.

use std::collections::{BTreeSet, HashMap};

/// Identifies what counts against a [`MemoryBudget`]: a connection, a request, or a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldingKey(Tick);

/// Identifies a listener, whose connections have a limit of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerKey(usize);

/// Size up to which a holding may take the last part of the memory, which large ones leave to others, in bytes.
const SMALL_BYTES: usize = 256 << 10;

/// Part of the memory that large holdings leave to others, as a divisor.
const RESERVE_DIVISOR: usize = 4;

/// Part of a holding that has to arrive to count as progress, as a divisor: trickling bytes do not keep a large body.
const PROGRESS_DIVISOR: usize = 4_096;

/// A position in the order of events, which stands for their time.
type Tick = u64;

#[derive(Clone, Debug)]
struct Holding {
    bytes: usize,
    /// Bytes of the holdings that are given up with this one.
    attached_bytes: usize,
    /// The holding that this one is given up with.
    owner: Option<HoldingKey>,
    listener: Option<ListenerKey>,
    /// Whether it is a connection or request of a caller.
    is_of_caller: bool,
    /// Whether it was given up; it counts until it has ended.
    is_given_up: bool,
    /// Requests of a connection that are kept.
    kept_requests: usize,
    /// Whether the peer does not read what is sent to it.
    is_blocked: bool,
    began_at: Tick,
    progressed_at: Tick,
    /// Bytes that arrived since the last progress.
    new_bytes: usize,
}

impl Holding {
    fn total_bytes(&self) -> usize {
        self.bytes + self.attached_bytes
    }

    fn may_be_given_up(&self) -> bool {
        let is_waiting = self.kept_requests == 0 || self.is_blocked;
        // What is attached to an owner is given up with it.
        is_waiting && !self.is_given_up && self.owner.is_none()
    }
}

#[derive(Clone, Debug)]
struct Listener {
    limit: usize,
    /// Connections that have not ended.
    open: usize,
    /// Those of them that were given up.
    given_up: usize,
    /// Those of them that may be given up, least recent progress first.
    waiting: BTreeSet<(Tick, HoldingKey)>,
}

/// Memory and connections that the peers of a process may make it hold together.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: usize,
    /// Bytes of holdings that were given up and have not ended.
    given_up: usize,
    /// Bytes of holdings that may be given up.
    waiting: usize,
    now: Tick,
    holdings: HashMap<HoldingKey, Holding>,
    listeners: Vec<Listener>,
    /// Holdings of callers that may be given up, least recent progress first.
    by_progress: BTreeSet<(Tick, HoldingKey)>,
    /// All that may be given up, by the number of binary digits of their size; in one size, least recent progress first.
    by_size: BTreeSet<(SizeClass, Tick, HoldingKey)>,
}

/// Number of binary digits of a size, negated: larger sizes come first.
type SizeClass = i32;

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            given_up: 0,
            waiting: 0,
            now: 0,
            holdings: HashMap::new(),
            listeners: Vec::new(),
            by_progress: BTreeSet::new(),
            by_size: BTreeSet::new(),
        }
    }

    /// Returns the number of bytes that are held, also those that were given up and have not been freed.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns whether all that was given up to keep within the limit has been freed.
    pub fn is_within_limit(&self) -> bool {
        self.held <= self.limit
    }

    /// Returns whether there is memory for a body of `bytes` bytes, if all that may be given up is.
    pub fn could_hold(&self, bytes: usize) -> bool {
        let kept = self.held - self.given_up - self.waiting;
        kept.saturating_add(bytes) <= self.limit_for(bytes)
    }

    /// Returns the part of the memory that a holding of `bytes` bytes may take with all others.
    fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES {
            self.limit
        } else {
            self.limit - self.limit / RESERVE_DIVISOR
        }
    }

    /// Adds a listener with a limit of its connections.
    pub fn add_listener(&mut self, limit: usize) -> ListenerKey {
        self.listeners.push(Listener {
            limit,
            open: 0,
            given_up: 0,
            waiting: BTreeSet::new(),
        });
        ListenerKey(self.listeners.len() - 1)
    }

    /// Returns whether a listener has a connection less than its limit.
    pub fn has_room(&self, listener: ListenerKey) -> bool {
        self.listeners
            .get(listener.0)
            .is_some_and(|listener| listener.open < listener.limit)
    }

    /// Returns the connection to give up so that another has room at a listener, if one has to be and may be.
    ///
    /// There is room once what was given up has ended, see [`has_room`](Self::has_room).
    pub fn make_room(&mut self, listener: ListenerKey) -> Option<HoldingKey> {
        let listener = self.listeners.get(listener.0)?;
        if listener.open - listener.given_up < listener.limit {
            return None;
        }
        let (_, oldest) = *listener.waiting.first()?;
        self.give_up(oldest);
        Some(oldest)
    }

    /// Returns whether a listener has room for a connection, or will once what was given up has ended.
    pub fn will_have_room(&self, listener: ListenerKey) -> bool {
        self.listeners
            .get(listener.0)
            .is_some_and(|listener| listener.open - listener.given_up < listener.limit)
    }

    /// Begins to count a connection of a listener, of `bytes` bytes.
    ///
    /// Returns the holdings to give up, which may include the new one.
    pub fn begin_connection(
        &mut self,
        listener: ListenerKey,
        bytes: usize,
    ) -> (HoldingKey, Vec<HoldingKey>) {
        if let Some(listener) = self.listeners.get_mut(listener.0) {
            listener.open += 1;
        }
        let key = self.insert(None, Some(listener), true);
        let given_up = self.resize(key, bytes);
        (key, given_up)
    }

    /// Begins to count a caller's request that shares its connection with others.
    pub fn begin_request(&mut self) -> HoldingKey {
        self.insert(None, None, true)
    }

    /// Begins to count a body; with an owner it is given up when its owner is.
    pub fn begin_body(&mut self, owner: Option<HoldingKey>) -> HoldingKey {
        self.insert(owner, None, false)
    }

    fn insert(
        &mut self,
        owner: Option<HoldingKey>,
        listener: Option<ListenerKey>,
        is_of_caller: bool,
    ) -> HoldingKey {
        self.now += 1;
        let key = HoldingKey(self.now);
        let holding = Holding {
            bytes: 0,
            attached_bytes: 0,
            owner,
            listener,
            is_of_caller,
            is_given_up: false,
            kept_requests: 0,
            is_blocked: false,
            began_at: self.now,
            progressed_at: self.now,
            new_bytes: 0,
        };
        self.holdings.insert(key, holding);
        self.link(key);
        key
    }

    /// Records that a request begins on a connection, or ends: the connection has made progress.
    pub fn record_progress(&mut self, key: HoldingKey) {
        self.unlink(key);
        self.now += 1;
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.progressed_at = self.now;
            holding.new_bytes = 0;
        }
        self.link(key);
    }

    /// Records that bytes arrived for a holding, or for its owner.
    pub fn record_bytes(&mut self, key: HoldingKey, bytes: usize) {
        let key = self.given_up_with(key);
        let Some(holding) = self.holdings.get_mut(&key) else {
            return;
        };
        holding.new_bytes += bytes;
        if holding.new_bytes >= holding.total_bytes() / PROGRESS_DIVISOR {
            self.record_progress(key);
        }
    }

    /// Records the size of a holding, in bytes; returns the holdings to give up, which may include this one or its owner.
    pub fn resize(&mut self, key: HoldingKey, bytes: usize) -> Vec<HoldingKey> {
        let Some(holding) = self.holdings.get(&key) else {
            return Vec::new();
        };
        let before = holding.bytes;
        let owner = self.given_up_with(key);
        self.unlink(owner);
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.bytes = bytes;
        }
        if owner != key
            && let Some(owner) = self.holdings.get_mut(&owner)
        {
            owner.attached_bytes = owner.attached_bytes - before + bytes;
        }
        self.held = self.held - before + bytes;
        if self.is_given_up(owner) {
            self.given_up = self.given_up - before + bytes;
        }
        self.link(owner);
        if bytes > before {
            self.make_memory(owner, 0)
        } else {
            Vec::new()
        }
    }

    /// Lets a holding grow to a size, in bytes, if there is memory for it now; returns what is given up for it, which may
    /// include this one or its owner.
    ///
    /// If it has not grown it may be tried again once something has ended.
    pub fn try_grow(&mut self, key: HoldingKey, bytes: usize) -> (bool, Vec<HoldingKey>) {
        let Some(holding) = self.holdings.get(&key) else {
            return (false, Vec::new());
        };
        let extra = bytes.saturating_sub(holding.bytes);
        let owner = self.given_up_with(key);
        let given_up = self.make_memory(owner, extra);
        let has_memory = self.held.saturating_add(extra) <= self.limit;
        let may_grow = has_memory && !self.is_given_up(owner);
        if may_grow {
            self.resize(key, bytes);
        }
        (may_grow, given_up)
    }

    /// Gives holdings up until another `extra` bytes of one are within the limit, once what was given up has ended; or the
    /// holding itself.
    fn make_memory(&mut self, growing: HoldingKey, extra: usize) -> Vec<HoldingKey> {
        let mut given_up = Vec::new();
        let Some(holding) = self.holdings.get(&growing) else {
            return given_up;
        };
        let began_at = holding.is_of_caller.then_some(holding.began_at);
        let grown_bytes = holding.total_bytes().saturating_add(extra);
        let limit = self.limit_for(grown_bytes);
        while (self.held - self.given_up).saturating_add(extra) > limit
            && !self.is_given_up(growing)
        {
            let victim = self.stalled(began_at).or_else(|| self.largest(grown_bytes));
            let victim = victim.unwrap_or(growing);
            self.give_up(victim);
            given_up.push(victim);
        }
        given_up
    }

    /// Returns the caller's holding with the least recent progress, if that was before another caller's began.
    fn stalled(&self, began_at: Option<Tick>) -> Option<HoldingKey> {
        let (progressed_at, key) = *self.by_progress.first()?;
        (progressed_at < began_at?).then_some(key)
    }

    /// Returns the largest holding, unless it is smaller than one of `bytes` bytes.
    fn largest(&self, bytes: usize) -> Option<HoldingKey> {
        let (class, _, key) = *self.by_size.first()?;
        (class <= size_class(bytes)).then_some(key)
    }

    fn give_up(&mut self, key: HoldingKey) {
        self.unlink(key);
        let Some(holding) = self.holdings.get_mut(&key) else {
            return;
        };
        if holding.is_given_up {
            return;
        }
        holding.is_given_up = true;
        self.given_up += holding.total_bytes();
        if let Some(listener) = holding
            .listener
            .and_then(|key| self.listeners.get_mut(key.0))
        {
            listener.given_up += 1;
        }
    }

    /// Records that a holding is kept, for one request more; returns false if it has been given up.
    pub fn keep(&mut self, key: HoldingKey) -> bool {
        self.set_kept_requests(key, |count| count + 1)
    }

    /// Records that a holding is kept for one request less; it may be given up again after the last.
    pub fn release(&mut self, key: HoldingKey) {
        self.set_kept_requests(key, |count| count.saturating_sub(1));
    }

    /// Records whether the peer of a connection keeps the process from writing to it; until it reads on, the
    /// connection may be given up.
    pub fn set_blocked(&mut self, key: HoldingKey, is_blocked: bool) {
        self.unlink(key);
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.is_blocked = is_blocked;
        }
        self.record_progress(key);
    }

    fn set_kept_requests(&mut self, key: HoldingKey, change: impl FnOnce(usize) -> usize) -> bool {
        self.unlink(key);
        let Some(holding) = self.holdings.get_mut(&key) else {
            return false;
        };
        if holding.is_given_up {
            return false;
        }
        holding.kept_requests = change(holding.kept_requests);
        self.link(key);
        true
    }

    /// Records that a holding has ended, and what it held is free.
    pub fn end(&mut self, key: HoldingKey) {
        self.resize(key, 0);
        self.unlink(key);
        let Some(holding) = self.holdings.remove(&key) else {
            return;
        };
        if holding.is_given_up {
            // What is attached still counts, by itself.
            self.given_up -= holding.attached_bytes;
        }
        if let Some(listener) = holding
            .listener
            .and_then(|key| self.listeners.get_mut(key.0))
        {
            listener.open -= 1;
            listener.given_up -= usize::from(holding.is_given_up);
        }
    }

    /// Returns the holding that a holding is given up with: its owner while that has not ended, or itself.
    pub fn given_up_with(&self, key: HoldingKey) -> HoldingKey {
        let owner = self.holdings.get(&key).and_then(|holding| holding.owner);
        owner
            .filter(|owner| self.holdings.contains_key(owner))
            .unwrap_or(key)
    }

    /// Returns whether a holding is a connection, with the request that it carries.
    pub fn is_connection(&self, key: HoldingKey) -> bool {
        self.holdings
            .get(&key)
            .is_some_and(|holding| holding.listener.is_some())
    }

    fn is_given_up(&self, key: HoldingKey) -> bool {
        self.holdings
            .get(&key)
            .is_some_and(|holding| holding.is_given_up)
    }

    /// Adds a holding to the orders, if it may be given up.
    fn link(&mut self, key: HoldingKey) {
        let Some(holding) = self.holdings.get(&key) else {
            return;
        };
        if !holding.may_be_given_up() {
            return;
        }
        if holding.is_of_caller {
            self.by_progress.insert((holding.progressed_at, key));
        }
        self.by_size.insert(size_entry(holding, key));
        self.waiting += holding.total_bytes();
        if let Some(listener) = holding
            .listener
            .and_then(|key| self.listeners.get_mut(key.0))
        {
            listener.waiting.insert((holding.progressed_at, key));
        }
    }

    fn unlink(&mut self, key: HoldingKey) {
        let Some(holding) = self.holdings.get(&key) else {
            return;
        };
        self.by_progress.remove(&(holding.progressed_at, key));
        if self.by_size.remove(&size_entry(holding, key)) {
            self.waiting -= holding.total_bytes();
        }
        if let Some(listener) = holding
            .listener
            .and_then(|key| self.listeners.get_mut(key.0))
        {
            listener.waiting.remove(&(holding.progressed_at, key));
        }
    }
}

fn size_class(bytes: usize) -> SizeClass {
    let digits = usize::BITS - bytes.leading_zeros();
    -(digits as SizeClass)
}

fn size_entry(holding: &Holding, key: HoldingKey) -> (SizeClass, Tick, HoldingKey) {
    let class = size_class(holding.total_bytes());
    (class, holding.progressed_at, key)
}
