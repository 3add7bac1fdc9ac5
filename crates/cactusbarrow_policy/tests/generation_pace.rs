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

/// Guards against long generations that are judged by the mean of short ones (review/2): most are
/// short, and resumed ones end after a few events.
#[test]
fn long_generation_is_not_judged_by_short_and_resumed_ones() {
    let mut pace = GenerationPace::default();
    let short = GenerationSize {
        prompt_tokens: 500,
        output_tokens: 96,
        last_event: 0,
    };
    let interval = Duration::from_millis(30);
    for _ in 0..20 {
        pace.record(ROUTE, &typical_times());
        for _ in 0..5 {
            pace.record(
                ROUTE,
                &times(short, Duration::from_millis(120), interval, 12),
            );
            let mut rest = times(resumed_after(140), Duration::from_millis(20), interval, 11);
            rest.last_event = 150;
            pace.record(ROUTE, &rest);
        }
    }
    let longest = |size: &GenerationSize| pace.longest(ROUTE, size, false).expect("a pace");
    let took = typical_times().end - typical_times().arrived;
    assert!(longest(&SIZE) > took, "{:?}", longest(&SIZE));
    assert!(longest(&SIZE) < took * 2, "{:?}", longest(&SIZE));
    let took = Duration::from_millis(120) + interval * 11;
    assert!(longest(&short) > took, "{:?}", longest(&short));
    assert!(longest(&short) < took * 3, "{:?}", longest(&short));
}

#[test]
fn resumed_generation_is_judged_by_what_is_left() {
    let (pace, _) = measured_pace();
    let longest = |size: &GenerationSize| pace.longest(ROUTE, size, true).expect("a pace");
    assert!(longest(&resumed_after(140)) < Duration::from_millis(1_000));
    assert!(longest(&SIZE) > Duration::from_millis(30) * 149);
    assert_eq!(pace.longest("unknown", &SIZE, true), None);
}

/// Load pattern: engines slow down to half their pace within seconds.
#[test]
fn pace_that_has_just_changed_counts_at_once() {
    let (mut pace, _) = measured_pace();
    let slow = times(
        SIZE,
        Duration::from_millis(2_400),
        Duration::from_millis(60),
        150,
    );
    for _ in 0..2 {
        pace.record(ROUTE, &slow);
    }
    let longest = pace.longest(ROUTE, &SIZE, false).expect("a pace");
    assert!(longest > slow.end - slow.arrived, "{longest:?}");
}

proptest! {
    #![proptest_config(fixed_seed_config(200))]

    /// Guards against generations that take longer than they were assumed to, while their pace varies by
    /// a quarter.
    #[test]
    fn generations_rarely_take_longer_than_assumed(
        paces in prop::collection::vec((0.75_f64..1.25, 1_u64..20), 40..80),
    ) {
        let mut pace = GenerationPace::default();
        let (mut judged, mut late) = (0, 0);
        for (factor, length) in paces {
            let size = GenerationSize {
                prompt_tokens: 250 * length,
                output_tokens: 80 * length,
                last_event: 0,
            };
            let read = Duration::from_millis(60 * length).mul_f64(factor);
            let interval = Duration::from_millis(30).mul_f64(factor);
            let times = times(size, read, interval, 10 * length);
            if let Some(longest) = pace.longest(ROUTE, &size, false) {
                judged += 1;
                late += u32::from(times.end - times.arrived > longest);
            }
            pace.record(ROUTE, &times);
        }
        prop_assert!(late * 50 <= judged, "{late} of {judged}");
    }
}

/// Guards against long generations that a stopping gateway admits by the pace of the only one that it has completed.
#[test]
fn few_generations_bound_none() {
    let mut pace = GenerationPace::default();
    for _ in 0..4 {
        pace.record(ROUTE, &typical_times());
        assert_eq!(pace.longest(ROUTE, &SIZE, false), None);
    }
    pace.record(ROUTE, &typical_times());
    assert!(pace.longest(ROUTE, &SIZE, false).is_some());
}
