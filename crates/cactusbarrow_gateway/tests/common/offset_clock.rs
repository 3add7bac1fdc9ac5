//! A clock that a test advances.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use cactusbarrow_net::{Clock, SystemClock};

/// The host's clock, plus an offset in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct OffsetClock(Arc<AtomicU64>);

impl OffsetClock {
    /// Moves the monotonic time forward.
    pub(crate) fn advance(&self, time: Duration) {
        let millis = time.as_millis() as u64;
        self.0.fetch_add(millis, Ordering::Relaxed);
    }
}

impl Clock for OffsetClock {
    fn now(&self) -> Instant {
        SystemClock.now() + Duration::from_millis(self.0.load(Ordering::Relaxed))
    }

    fn wall_time(&self) -> SystemTime {
        SystemClock.wall_time()
    }
}
