//! Callers that were refused come back spread out, and while they still wait.

use std::time::Duration;

use cactusbarrow_policy::retry_after;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn a_caller_comes_back_within_a_third_of_its_patience() {
    let mut rng = StdRng::seed_from_u64(1);
    for ms in [700, 2_500, 4_000, 25_000] {
        let patience = Duration::from_millis(ms);
        for _ in 0..1_000 {
            let wait = retry_after(patience, &mut rng);
            assert!(wait <= patience / 3, "{wait:?} of {patience:?}");
        }
    }
}

/// Load pattern: all gateways are without a configuration for 1.7 s and refuse all callers,
/// who come back once.
#[test]
fn most_callers_outwait_a_short_outage_in_two_tries() {
    const OUTAGE_MS: u64 = 1_700;
    let served = |wait: &dyn Fn(Duration, &mut StdRng) -> Duration| {
        let mut rng = StdRng::seed_from_u64(2);
        let is_served = |arrived: &u64| {
            let back = wait(Duration::from_millis(2_500), &mut rng);
            Duration::from_millis(*arrived) + back >= Duration::from_millis(OUTAGE_MS)
        };
        (0..OUTAGE_MS).filter(is_served).count()
    };
    let ours = served(&|patience, rng| retry_after(patience, rng));
    let fixed = served(&|_, _| Duration::from_millis(250));
    assert!(ours >= 2 * fixed, "{ours} and {fixed} of {OUTAGE_MS}");
}
