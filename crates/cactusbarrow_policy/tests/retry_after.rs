//! Refused callers retry at different times, and before their time-out.

use std::time::Duration;

use cactusbarrow_policy::retry_after;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn wait_is_at_most_a_third_of_the_time_left() {
    let mut rng = StdRng::seed_from_u64(1);
    for ms in [700, 2_500, 4_000, 25_000] {
        let time_left = Duration::from_millis(ms);
        for _ in 0..1_000 {
            let wait = retry_after(time_left, &mut rng);
            assert!(wait <= time_left / 3, "{wait:?} of {time_left:?}");
        }
    }
}

/// Load pattern: all gateways are without a configuration for 1.7 s and refuse all callers,
/// which retry once. With a short fixed wait most of them are refused again.
#[test]
fn more_callers_outlast_a_short_outage_than_with_a_fixed_wait() {
    const OUTAGE_MS: u64 = 1_700;
    let served = |wait: &dyn Fn(Duration, &mut StdRng) -> Duration| {
        let mut rng = StdRng::seed_from_u64(2);
        let is_served = |arrived: &u64| {
            let wait_time = wait(Duration::from_millis(2_500), &mut rng);
            Duration::from_millis(*arrived) + wait_time >= Duration::from_millis(OUTAGE_MS)
        };
        (0..OUTAGE_MS).filter(is_served).count()
    };
    let drawn = served(&|time_left, rng| retry_after(time_left, rng));
    let fixed = served(&|_, _| Duration::from_millis(250));
    assert!(
        drawn >= 2 * fixed,
        "{drawn} served with drawn and {fixed} with fixed waits, of {OUTAGE_MS}"
    );
}
