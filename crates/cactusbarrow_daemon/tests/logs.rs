//! Tests for the rate limit of log lines per call site.

use std::time::{Duration, Instant};

use cactusbarrow_daemon::{LineLimiter, LineVerdict};

#[test]
fn noisy_call_site_is_limited_alone_and_its_dropped_lines_are_counted() {
    let now = Instant::now();
    let mut limiter = LineLimiter::new(10.0, 5.0);
    let call_site = ("gateway", 7);
    let written = (0..100)
        .filter(|_| limiter.decide(call_site, now) != LineVerdict::Drop)
        .count();
    assert_eq!(written, 5);
    let other = limiter.decide(("gateway", 8), now);
    assert_eq!(
        other,
        LineVerdict::Write { dropped: 0 },
        "call sites do not share a limit"
    );
    let later = limiter.decide(call_site, now + Duration::from_millis(200));
    assert_eq!(later, LineVerdict::Write { dropped: 95 });
}
