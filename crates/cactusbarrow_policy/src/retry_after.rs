//! Decides after which time a refused caller may retry.
//!
//! Load pattern: all gateways restart during a store outage, so none has a configuration for
//! some seconds. Callers retry once: if they retry too early they are refused again, and if
//! they retry at the same time they arrive as one burst.

use std::time::Duration;

use rand::Rng;

/// Share of its remaining time that a caller waits, as a divisor; a caller does not wait for
/// more than a third of it.
const WAIT_DIVISOR: u32 = 4;

/// Bounds of the mean wait; a generation needs the rest of its time to read the prompt.
const MIN_WAIT: Duration = Duration::from_millis(150);
const MAX_WAIT: Duration = Duration::from_millis(2_200);

/// Largest random deviation from the mean wait, as a share of it, in both directions.
const JITTER: f64 = 0.25;

/// Draws the wait of a caller that has `time_left` until its time-out.
pub fn retry_after(time_left: Duration, rng: &mut impl Rng) -> Duration {
    let mean = (time_left / WAIT_DIVISOR).clamp(MIN_WAIT, MAX_WAIT);
    let share = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    mean.mul_f64(1.0 + JITTER * (2.0 * share - 1.0))
}
