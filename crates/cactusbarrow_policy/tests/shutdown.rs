//! Rolling restarts under load: what a gateway that stops still takes.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{Shutdown, ShutdownConfig};

const GRACE: Duration = Duration::from_secs(8);

#[test]
fn a_generation_that_can_end_in_time_is_taken() {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert_eq!(shutdown.admit_generation(now), Ok(()));
    shutdown.begin(now);
    assert_eq!(
        shutdown.admit_generation(now),
        Ok(()),
        "it takes 6 s of 7.7"
    );
}

/// Load pattern: most hosts of a zone stop at once, so the balancer sends callers to all of
/// them until the end.
#[test]
fn a_call_that_the_end_would_cut_is_not_taken() {
    let now = Instant::now();
    let timeout = Duration::from_millis(1_200);
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert!(shutdown.admits_call(now, timeout));
    shutdown.begin(now);
    assert!(shutdown.admits_call(now + Duration::from_secs(3), timeout));
    let late = now + Duration::from_millis(7_480);
    assert!(
        !shutdown.admits_call(late, timeout),
        "the process ends 220 ms later"
    );
}

#[test]
fn a_caller_comes_back_when_the_balancer_sends_it_elsewhere() {
    let now = Instant::now();
    let cfg = ShutdownConfig::default();
    let mut shutdown = Shutdown::new(cfg, GRACE);
    for _ in 0..100 {
        shutdown.record_generation(Duration::from_secs(10));
    }
    shutdown.begin(now);
    let at = now + Duration::from_millis(300);
    let wait = shutdown
        .admit_generation(at)
        .expect_err("it cannot end in time");
    assert_eq!(at + wait, now + cfg.rotation_exit_delay);
}
