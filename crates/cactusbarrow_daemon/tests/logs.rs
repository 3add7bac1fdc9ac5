//! Logs stay bounded under load and never wait for their reader.

use std::time::{Duration, Instant};

use cactusbarrow_daemon::{LineLimiter, LineVerdict};

#[test]
fn each_kind_of_line_has_a_rate_and_what_is_dropped_is_counted() {
    let now = Instant::now();
    let mut limiter = LineLimiter::new(10.0, 5.0);
    let kind = ("gateway", 7);
    let written = (0..100)
        .filter(|_| limiter.decide(kind, now) != LineVerdict::Drop)
        .count();
    assert_eq!(written, 5);
    let other = limiter.decide(("gateway", 8), now);
    assert_eq!(
        other,
        LineVerdict::Write { dropped: 0 },
        "kinds do not share"
    );
    let later = limiter.decide(kind, now + Duration::from_millis(200));
    assert_eq!(later, LineVerdict::Write { dropped: 95 });
}
