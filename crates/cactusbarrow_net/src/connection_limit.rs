//! Limit of a listener's connections, which count against the memory of the process.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::memory_budget::ListenerKey;
use crate::process_memory::State;
use crate::{Holding, ProcessMemory};

/// Memory that a connection counts for, in bytes: its task, its buffers, and what has arrived and was not read.
pub(crate) const CONNECTION_BYTES: usize = 64 << 10;

/// Memory that a request counts for, in bytes: its task, a connection to the server that it is passed on to, and a body that
/// is too small to count by itself.
pub(crate) const REQUEST_BYTES: usize = 48 << 10;

/// Longest wait for what was given up for a new connection, which is refused then.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Admits connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    memory: ProcessMemory,
    listener: ListenerKey,
}

impl Default for ConnectionLimit {
    /// Creates a limit that is never reached.
    fn default() -> Self {
        Self::new(&ProcessMemory::default(), usize::MAX)
    }
}

impl ConnectionLimit {
    /// Limits a listener to `limit` connections, which count against `memory`.
    pub fn new(memory: &ProcessMemory, limit: usize) -> Self {
        Self {
            memory: memory.clone(),
            listener: memory.state().budget.add_listener(limit),
        }
    }

    /// Admits a connection once there is room for it; others are given up for it. Returns `None` if it is to be refused.
    pub async fn admit(&self) -> Option<Holding> {
        let holding = tokio::time::timeout(ROOM_TIMEOUT, async {
            self.make_room()?;
            let never = CancellationToken::new();
            let has_room = |state: &mut State| state.budget.has_room(self.listener);
            self.memory.wait_until(&never, has_room).await;
            let holding = self.begin(0)?;
            holding.grow(CONNECTION_BYTES).await.then_some(holding)
        });
        let holding = holding.await.ok().flatten();
        if holding.is_none() {
            metrics::counter!("connections_refused_total").increment(1);
        }
        holding
    }

    /// Admits a connection at once; what is given up for it may end later.
    pub fn admit_now(&self) -> Option<Holding> {
        self.make_room()?;
        self.begin(CONNECTION_BYTES)
    }

    /// Gives connections up until there will be room for another; returns `None` if too few may be given up.
    fn make_room(&self) -> Option<()> {
        let mut state = self.memory.state();
        while let Some(given_up) = state.budget.make_room(self.listener) {
            state.give_up(&[given_up]);
        }
        state.budget.will_have_room(self.listener).then_some(())
    }

    fn begin(&self, bytes: usize) -> Option<Holding> {
        let mut state = self.memory.state();
        let (key, given_up) = state.budget.begin_connection(self.listener, bytes);
        let token = state.add_token(key);
        state.give_up(&given_up);
        drop(state);
        let holding = Holding::new(&self.memory, key, token);
        (!holding.is_given_up()).then_some(holding)
    }
}
