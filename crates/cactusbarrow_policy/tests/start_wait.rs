//! Callers that connect while their gateway starts.

use std::time::Duration;

use cactusbarrow_policy::start_wait;

const PATIENCE: Duration = Duration::from_millis(2_500);

/// Load pattern: 28 callers connect within 12 ms of the start of all gateways, and the store
/// answers 20 ms later.
#[test]
fn callers_wait_for_an_answer_that_is_on_its_way() {
    for since_start in (0..12).map(Duration::from_millis) {
        let wait = start_wait(since_start, PATIENCE, true);
        assert!(since_start + wait > Duration::from_millis(32));
        assert!(wait <= PATIENCE / 8, "most of the time stays for the call");
    }
}

#[test]
fn nobody_waits_for_a_store_that_fails() {
    let second = Duration::from_secs(1);
    assert_eq!(start_wait(Duration::ZERO, PATIENCE, false), Duration::ZERO);
    assert_eq!(start_wait(second, PATIENCE, true), Duration::ZERO);
}
