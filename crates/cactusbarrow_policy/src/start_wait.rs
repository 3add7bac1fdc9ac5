//! Decides how long a request waits for the first configuration of a process.
//!
//! Load pattern: all gateways restart at the same moment. Callers connect as soon as there is
//! a listener, some milliseconds before the store has responded; if they were refused then,
//! they would lose a quarter of their time and one of few attempts.

use std::time::Duration;

/// Time after the start within which the store's first response is expected: it takes a few
/// milliseconds, or 200 ms to 400 ms if one packet is retransmitted.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest share of its remaining time that a caller waits, as a divisor.
const WAIT_DIVISOR: u32 = 8;

/// Returns how long a request may wait for the configuration; zero if it is to be refused at
/// once.
///
/// `time_left` is the time until the caller's time-out; `is_store_ok` is false once a call to
/// the store has failed.
pub fn start_wait(since_start: Duration, time_left: Duration, is_store_ok: bool) -> Duration {
    if !is_store_ok {
        return Duration::ZERO;
    }
    let remaining = FIRST_RESPONSE_TIMEOUT.saturating_sub(since_start);
    remaining.min(time_left / WAIT_DIVISOR)
}
