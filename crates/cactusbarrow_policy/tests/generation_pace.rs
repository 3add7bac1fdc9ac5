//! Whether a generation can still be completed, at the return of many callers at once.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_policy::{GenerationPace, GenerationSize, GenerationTimes};
use common::fixed;
use proptest::prelude::*;

const ROUTE: &str = "summaries";

const SIZE: GenerationSize = GenerationSize {
    prompt_tokens: 5_000,
    output_tokens: 1_200,
    last_event: 0,
};

fn after(last_event: u64) -> GenerationSize {
    GenerationSize { last_event, ..SIZE }
}

/// A generation with a first event after `read` and `events` events, one every `step`.
fn times(size: GenerationSize, read: Duration, step: Duration, events: u64) -> GenerationTimes {
    let arrived = Instant::now();
    let first_event = arrived + read;
    GenerationTimes {
        size,
        arrived,
        first_event,
        end: first_event + step * (events - 1) as u32,
        last_event: events,
    }
}

/// A generation with a first event after 1.2 s and 150 events, one every 30 ms.
fn usual() -> GenerationTimes {
    times(
        SIZE,
        Duration::from_millis(1_200),
        Duration::from_millis(30),
        150,
    )
}

fn measured() -> (GenerationPace, Instant) {
    let mut pace = GenerationPace::default();
    for _ in 0..30 {
        pace.record(ROUTE, &usual());
    }
    (pace, usual().end)
}

/// Load pattern: all hosts lost power 18 s ago, and the callers of 28 generations return in
/// the same moment with what is left of 25 s. At the mean pace a third of them was halfway
/// and slow, so the rest of their generations does not fit any more.
#[test]
fn callers_that_return_too_late_are_told_at_once() {
    let (pace, now) = measured();
    let (mut taken, mut refused) = (0, 0);
    for i in 0..28_u64 {
        let age = Duration::from_millis(250 * i);
        let time_left = Duration::from_secs(7) - age;
        // Prompts of others were read beside it, which halved its pace.
        let events = age.as_millis().saturating_sub(1_200) as u64 / 60;
        let left = 150_u64.saturating_sub(events) as u32;
        let needed = Duration::from_millis(1_200) + Duration::from_millis(30) * left;
        if pace.can_complete(ROUTE, &after(events), false, time_left, now) {
            taken += 1;
            assert!(
                needed.mul_f64(0.6) < time_left,
                "{age:?} could not be served"
            );
        } else {
            refused += 1;
            assert!(needed > time_left, "{age:?} could have been served");
        }
    }
    assert!(
        taken >= 6 && refused >= 6,
        "{taken} taken, {refused} refused"
    );
    let second = Duration::from_secs(1);
    let is_taken = |last, is_kept, left| pace.can_complete(ROUTE, &after(last), is_kept, left, now);
    assert!(!is_taken(149, false, second / 2), "too late");
    assert!(is_taken(149, true, second / 2), "kept");
    assert!(!is_taken(0, true, second), "all is to be done");
}

#[test]
fn nothing_is_refused_before_it_was_measured() {
    let mut pace = GenerationPace::default();
    let left = Duration::from_millis(10);
    for _ in 0..4 {
        pace.record(ROUTE, &usual());
        assert!(pace.can_complete(ROUTE, &SIZE, false, left, usual().end));
    }
    assert!(!pace.can_complete(ROUTE, &SIZE, false, Duration::ZERO, usual().end));
}

/// Load pattern: one service has long summaries and short answers, on routes of their own and
/// by size on one route.
#[test]
fn short_generations_are_not_judged_by_long_ones() {
    let (pace, now) = measured();
    let second = Duration::from_secs(1);
    assert!(pace.can_complete("answers", &SIZE, false, second, now));
    let short = GenerationSize {
        prompt_tokens: 400,
        output_tokens: 80,
        last_event: 0,
    };
    assert!(pace.can_complete(ROUTE, &short, false, second, now));
    assert!(!pace.can_complete(ROUTE, &SIZE, false, second, now));
}

/// Load pattern: an overload in which prompts took 24 s has ended, and while all callers were
/// refused nothing new was measured.
#[test]
fn an_overload_that_is_over_refuses_nobody() {
    let mut pace = GenerationPace::default();
    let slow = times(
        SIZE,
        Duration::from_secs(24),
        Duration::from_millis(30),
        150,
    );
    for _ in 0..30 {
        pace.record(ROUTE, &slow);
    }
    let patience = Duration::from_secs(20);
    assert!(!pace.can_complete(ROUTE, &SIZE, false, patience, slow.end));
    let later = slow.end + Duration::from_secs(2);
    assert!(pace.can_complete(ROUTE, &SIZE, false, patience, later));
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Whoever would be served at the mean pace is never refused.
    #[test]
    fn a_caller_with_time_for_the_mean_is_taken(
        read_ms in 10_u64..4_000,
        step_ms in 5_u64..80,
        events in 10_u64..400,
        has in 0_u64..400,
    ) {
        let (read, step) = (Duration::from_millis(read_ms), Duration::from_millis(step_ms));
        let mut pace = GenerationPace::default();
        for _ in 0..20 {
            pace.record(ROUTE, &times(SIZE, read, step, events));
        }
        let now = Instant::now();
        let left = read + step * events.saturating_sub(has) as u32 + Duration::from_millis(1);
        prop_assert!(pace.can_complete(ROUTE, &after(has), false, left, now));
    }
}
