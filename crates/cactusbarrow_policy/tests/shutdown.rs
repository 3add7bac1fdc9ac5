//! Rolling restarts under load: what a gateway still admits while it shuts down.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_policy::{Shutdown, ShutdownConfig};
use common::fixed_seed_config;
use proptest::prelude::*;

const GRACE: Duration = Duration::from_secs(8);

/// Time until a caller gives up.
const CALLER_TIME: Duration = Duration::from_secs(25);

#[test]
fn request_whose_caller_gives_up_before_the_exit_is_admitted() {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert!(shutdown.can_end(now, CALLER_TIME));
    shutdown.begin(now);
    assert!(!shutdown.can_end(now, CALLER_TIME));
    assert!(!shutdown.can_end(now, Duration::from_millis(7_501)));
    assert!(shutdown.can_end(now, Duration::from_millis(7_500)));
    let late = now + Duration::from_secs(7);
    assert!(shutdown.can_end(late, Duration::from_millis(500)));
}

/// Load pattern: most hosts of a zone shut down at once, so the load balancer sends callers to
/// all of them until they exit.
#[test]
fn call_that_the_exit_would_interrupt_is_not_admitted() {
    let now = Instant::now();
    let timeout = Duration::from_millis(1_200);
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert!(shutdown.can_end(now, timeout));
    shutdown.begin(now);
    assert!(shutdown.can_end(now + Duration::from_secs(3), timeout));
    let late = now + Duration::from_millis(6_301);
    assert!(
        !shutdown.can_end(late, timeout),
        "open calls are refused 1,199 ms later"
    );
}

proptest! {
    #![proptest_config(fixed_seed_config(500))]

    /// Guards against requests that are passed on without having all of their time, and against refusals of ones that
    /// have it.
    #[test]
    fn exactly_the_requests_with_all_of_their_time_are_admitted(
        grace_ms in 1_000_u64..300_000,
        since_ms in 0_u64..300_000,
        time_left_ms in 0_u64..60_000,
    ) {
        let cfg = ShutdownConfig::default();
        let grace = Duration::from_millis(grace_ms);
        let now = Instant::now();
        let mut shutdown = Shutdown::new(cfg, grace);
        shutdown.begin(now);
        let (since, time_left) = (Duration::from_millis(since_ms), Duration::from_millis(time_left_ms));
        let has_all = since + time_left + cfg.refusal_reserve + cfg.exit_reserve <= grace;
        // One that has no time left is refused for that reason.
        prop_assert_eq!(shutdown.can_end(now + since, time_left), has_all || time_left.is_zero());
    }
}

#[test]
fn refused_caller_retries_once_the_host_has_left_rotation() {
    let now = Instant::now();
    let cfg = ShutdownConfig::default();
    let mut shutdown = Shutdown::new(cfg, GRACE);
    assert_eq!(shutdown.rotation_time_left(now), Duration::ZERO);
    shutdown.begin(now);
    let at = now + Duration::from_millis(300);
    assert!(!shutdown.can_end(at, CALLER_TIME));
    let wait = shutdown.rotation_time_left(at);
    assert_eq!(at + wait, now + cfg.rotation_exit_delay);
}
