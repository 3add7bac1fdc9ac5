//! Waits of callers that connect while their gateway starts.

use std::time::Duration;

use cactusbarrow_policy::start_wait;

const TIME_LEFT: Duration = Duration::from_millis(2_500);

/// Load pattern: 28 callers connect within 12 ms of the start of all gateways, and the store
/// responds 20 ms later.
#[test]
fn callers_wait_for_the_first_response_of_the_store() {
    for since_start in (0..12).map(Duration::from_millis) {
        let wait = start_wait(since_start, TIME_LEFT, true);
        assert!(since_start + wait > Duration::from_millis(32));
        assert!(
            wait <= TIME_LEFT / 8,
            "most of the time remains for the call"
        );
    }
}

#[test]
fn no_caller_waits_for_a_failed_or_late_store() {
    let second = Duration::from_secs(1);
    assert_eq!(start_wait(Duration::ZERO, TIME_LEFT, false), Duration::ZERO);
    assert_eq!(start_wait(second, TIME_LEFT, true), Duration::ZERO);
}
