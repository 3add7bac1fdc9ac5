//! Clock abstraction, so that callers can substitute the source of time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic time and wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may jump.
    fn wall_time(&self) -> SystemTime;
}

/// The host's clock; its monotonic time stands still while tokio's time is paused.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the wall-clock time in whole seconds since the Unix epoch.
pub fn unix_seconds(clock: &impl Clock) -> u32 {
    clock
        .wall_time()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs() as u32)
}
