//! Whether generations can still be completed when many callers reconnect at once.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_policy::{GenerationPace, GenerationSize, GenerationTimes};
use common::fixed_seed_config;
use proptest::prelude::*;

const ROUTE: &str = "summaries";

const SIZE: GenerationSize = GenerationSize {
    prompt_tokens: 5_000,
    output_tokens: 1_200,
    last_event: 0,
};

fn resumed_after(last_event: u64) -> GenerationSize {
    GenerationSize { last_event, ..SIZE }
}

/// Times of a generation with its first event after `time_to_first_event`, and `events` events at
/// intervals of `event_interval`.
fn times(
    size: GenerationSize,
    time_to_first_event: Duration,
    event_interval: Duration,
    events: u64,
) -> GenerationTimes {
    let arrived = Instant::now();
    let first_event = arrived + time_to_first_event;
    GenerationTimes {
        size,
        arrived,
        first_event,
        end: first_event + event_interval * (events - 1) as u32,
        last_event: events,
    }
}

/// Times of a generation with its first event after 1.2 s, and 150 events at intervals of
/// 30 ms.
fn typical_times() -> GenerationTimes {
    times(
        SIZE,
        Duration::from_millis(1_200),
        Duration::from_millis(30),
        150,
    )
}

fn measured_pace() -> (GenerationPace, Instant) {
    let mut pace = GenerationPace::default();
    for _ in 0..30 {
        pace.record(ROUTE, &typical_times());
    }
    (pace, typical_times().end)
}

/// Load pattern: all hosts lost power 18 s ago, and the callers of 28 generations reconnect at
/// the same moment with what is left of 25 s. A third of the generations were slow and only
/// halfway, so at the mean pace the rest of them can no longer be completed in time.
#[test]
fn callers_that_reconnect_too_late_are_refused_at_once() {
    let (pace, now) = measured_pace();
    let (mut admitted, mut refused) = (0, 0);
    for i in 0..28_u64 {
        let age = Duration::from_millis(250 * i);
        let time_left = Duration::from_secs(7) - age;
        // Other prompts were read at the same time, which halved its pace.
        let events = age.as_millis().saturating_sub(1_200) as u64 / 60;
        let left = 150_u64.saturating_sub(events) as u32;
        let needed = Duration::from_millis(1_200) + Duration::from_millis(30) * left;
        if pace.can_complete(ROUTE, &resumed_after(events), false, time_left, now) {
            admitted += 1;
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
        admitted >= 6 && refused >= 6,
        "{admitted} admitted, {refused} refused"
    );
    let second = Duration::from_secs(1);
    let is_admitted = |last, is_cached, left| {
        pace.can_complete(ROUTE, &resumed_after(last), is_cached, left, now)
    };
    assert!(!is_admitted(149, false, second / 2), "too late");
    assert!(is_admitted(149, true, second / 2), "the prompt is cached");
    assert!(
        !is_admitted(0, true, second),
        "the whole generation is missing"
    );
}

#[test]
fn nothing_is_refused_without_measurements() {
    let mut pace = GenerationPace::default();
    let left = Duration::from_millis(10);
    for _ in 0..4 {
        pace.record(ROUTE, &typical_times());
        assert!(pace.can_complete(ROUTE, &SIZE, false, left, typical_times().end));
    }
    assert!(!pace.can_complete(ROUTE, &SIZE, false, Duration::ZERO, typical_times().end));
}

/// Load pattern: one service has long summaries and short answers, on routes of their own and
/// by size on one route.
#[test]
fn short_generations_are_not_judged_by_long_ones() {
    let (pace, now) = measured_pace();
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

/// Load pattern: an overload in which reading a prompt took 24 s is over, and nothing new was
/// measured while all callers were refused.
#[test]
fn past_overload_refuses_no_callers() {
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
    let time_left = Duration::from_secs(20);
    assert!(!pace.can_complete(ROUTE, &SIZE, false, time_left, slow.end));
    let later = slow.end + Duration::from_secs(2);
    assert!(pace.can_complete(ROUTE, &SIZE, false, time_left, later));
}

proptest! {
    #![proptest_config(fixed_seed_config(300))]

    /// A caller that can be served at the mean pace is never refused.
    #[test]
    fn caller_with_time_for_the_mean_pace_is_admitted(
        read_ms in 10_u64..4_000,
        step_ms in 5_u64..80,
        events in 10_u64..400,
        received in 0_u64..400,
    ) {
        let (read, step) = (Duration::from_millis(read_ms), Duration::from_millis(step_ms));
        let mut pace = GenerationPace::default();
        for _ in 0..20 {
            pace.record(ROUTE, &times(SIZE, read, step, events));
        }
        let now = Instant::now();
        let left = read + step * events.saturating_sub(received) as u32 + Duration::from_millis(1);
        prop_assert!(pace.can_complete(ROUTE, &resumed_after(received), false, left, now));
    }
}
