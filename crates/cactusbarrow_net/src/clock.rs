//! The clock, passed in as an interface.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of the time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the time of day.
    fn wall(&self) -> SystemTime;
}

/// The clock of the machine; under tokio's paused time it stands still, too.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time of day in whole seconds since the Unix epoch.
pub fn unix_seconds(clock: &impl Clock) -> u32 {
    clock
        .wall()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs() as u32)
}
