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
    assert_eq!(at + wait, now + cfg.leave_rotation);
}
