//! Decides how long a request waits for the first configuration of a process.
//!
//! Load pattern: all gateways end and start again at the same moment. Callers connect as
//! soon as there is a listener, some milliseconds before the store has answered; sent
//! away then, they lose a quarter of their time and one of few tries.

use std::time::Duration;

/// Time after the start in which the store's first answer is expected: it takes a few
/// milliseconds, and one packet sent again 200 ms to 400 ms.
const EXPECTED_WITHIN: Duration = Duration::from_millis(500);

/// Share of a caller's patience that it waits at most.
const PATIENCE_SHARE: u32 = 8;

/// Returns how long a request may wait; zero if it is to be refused at once.
///
/// `is_store_ok` is false once a call to the store has failed.
pub fn start_wait(since_start: Duration, patience: Duration, is_store_ok: bool) -> Duration {
    if !is_store_ok {
        return Duration::ZERO;
    }
    let left = EXPECTED_WITHIN.saturating_sub(since_start);
    left.min(patience / PATIENCE_SHARE)
}
