//! Decides when a caller that was refused may come back.
//!
//! Load pattern: all gateways start again while the store is away, so none knows a
//! configuration for some seconds. Callers come back once; sent back soon they are
//! refused again, and sent back together they arrive as one burst.

use std::time::Duration;

use rand::Rng;

/// Share of a caller's patience that it waits; it does not wait beyond a third.
const PATIENCE_SHARE: u32 = 4;

/// Shortest and longest wait; a generation has to keep time to read its prompt.
const SHORTEST: Duration = Duration::from_millis(150);
const LONGEST: Duration = Duration::from_millis(2_200);

/// Part of the wait by which callers are spread, to either side.
const SPREAD: f64 = 0.25;

/// Draws the wait of a caller that has `patience` left.
pub fn retry_after(patience: Duration, rng: &mut impl Rng) -> Duration {
    let mean = (patience / PATIENCE_SHARE).clamp(SHORTEST, LONGEST);
    let share = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    mean.mul_f64(1.0 + SPREAD * (2.0 * share - 1.0))
}
