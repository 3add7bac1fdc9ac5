//! Rolling restarts under load: what a gateway still admits while it shuts down.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{Shutdown, ShutdownConfig};

const GRACE: Duration = Duration::from_secs(8);

/// Time until a caller gives up.
const CALLER_TIME: Duration = Duration::from_secs(25);

#[test]
fn generation_that_can_complete_in_time_is_admitted() {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    let longest = Some(Duration::from_secs(60));
    assert!(shutdown.can_end_generation(now, longest, CALLER_TIME));
    shutdown.begin(now);
    assert!(!shutdown.can_end_generation(now, longest, CALLER_TIME));
    let late = now + Duration::from_secs(7);
    let short = Some(Duration::from_millis(600));
    assert!(shutdown.can_end_generation(late, short, CALLER_TIME));
    let is_admitted = shutdown.can_end_generation(late, longest, Duration::from_millis(600));
    assert!(is_admitted, "its caller gives up before the exit");
}

/// Load pattern: a host is stopped again right after its start, when its process has completed no generation.
#[test]
fn generation_of_unknown_duration_is_admitted_only_if_its_caller_gives_up_before_the_exit() {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    assert!(shutdown.can_end_generation(now, None, CALLER_TIME));
    shutdown.begin(now);
    assert!(!shutdown.can_end_generation(now, None, CALLER_TIME));
    assert!(!shutdown.can_end_generation(now, None, Duration::from_millis(7_800)));
    assert!(shutdown.can_end_generation(now, None, Duration::from_millis(7_600)));
}

/// Guards against long generations that a stopping gateway admits and cuts at its exit (review/2).
#[test]
fn generation_that_the_exit_would_interrupt_is_not_admitted() {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    shutdown.begin(now);
    let late = now + Duration::from_secs(3);
    let longest = Some(Duration::from_millis(4_800));
    assert!(!shutdown.can_end_generation(late, longest, CALLER_TIME));
    let is_admitted = shutdown.can_end_generation(late, None, CALLER_TIME);
    assert!(!is_admitted, "nothing is known of its route");
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
    let late = now + Duration::from_millis(7_480);
    assert!(
        !shutdown.can_end(late, timeout),
        "the process exits 220 ms later"
    );
}

#[test]
fn refused_caller_retries_once_the_host_has_left_rotation() {
    let now = Instant::now();
    let cfg = ShutdownConfig::default();
    let mut shutdown = Shutdown::new(cfg, GRACE);
    assert_eq!(shutdown.rotation_time_left(now), Duration::ZERO);
    shutdown.begin(now);
    let at = now + Duration::from_millis(300);
    assert!(!shutdown.can_end_generation(at, Some(Duration::from_secs(10)), CALLER_TIME));
    let wait = shutdown.rotation_time_left(at);
    assert_eq!(at + wait, now + cfg.rotation_exit_delay);
}
