//! Rolling restarts under load: what a gateway still admits while it shuts down.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{Shutdown, ShutdownConfig};

const GRACE: Duration = Duration::from_secs(8);

#[test]
fn generation_that_can_complete_in_time_is_admitted() {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert_eq!(shutdown.admit_generation(now), Ok(()));
    shutdown.begin(now);
    assert_eq!(
        shutdown.admit_generation(now),
        Ok(()),
        "it needs 6 s of the remaining 7.7 s"
    );
}

/// Load pattern: most hosts of a zone shut down at once, so the load balancer sends callers to
/// all of them until they exit.
#[test]
fn call_that_the_exit_would_interrupt_is_not_admitted() {
    let now = Instant::now();
    let timeout = Duration::from_millis(1_200);
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert!(shutdown.admits_call(now, timeout));
    shutdown.begin(now);
    assert!(shutdown.admits_call(now + Duration::from_secs(3), timeout));
    let late = now + Duration::from_millis(7_480);
    assert!(
        !shutdown.admits_call(late, timeout),
        "the process exits 220 ms later"
    );
}

#[test]
fn refused_caller_retries_once_the_host_has_left_rotation() {
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
        .expect_err("it cannot complete in time");
    assert_eq!(at + wait, now + cfg.rotation_exit_delay);
}
