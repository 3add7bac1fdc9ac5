//! Whether a generation can still be completed, at the return of many callers at once.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_policy::{GenerationPace, GenerationTimes};
use common::fixed;
use proptest::prelude::*;

/// A generation with a first event after 1.2 s and 150 events within 4.5 s of it.
fn usual(arrived: Instant) -> GenerationTimes {
    let first_event = arrived + Duration::from_millis(1_200);
    GenerationTimes {
        arrived,
        first_event,
        end: first_event + Duration::from_millis(4_470),
        events_before: 0,
        last_event: 150,
    }
}

fn measured() -> GenerationPace {
    let mut pace = GenerationPace::default();
    for _ in 0..30 {
        pace.record(&usual(Instant::now()));
    }
    pace
}

/// Load pattern: all hosts lost power 18 s ago, and the callers of 28 generations return in
/// the same moment with what is left of 25 s. At the mean pace a third of them was halfway
/// and slow, so the rest of their generations does not fit any more.
#[test]
fn callers_that_return_too_late_are_told_at_once() {
    let pace = measured();
    let (mut taken, mut refused) = (0, 0);
    for i in 0..28_u64 {
        let age = Duration::from_millis(250 * i);
        let time_left = Duration::from_secs(7) - age;
        // Prompts of others were read beside it, which halved its pace.
        let events = age.as_millis().saturating_sub(1_200) as u64 / 60;
        let left = 150_u64.saturating_sub(events) as u32;
        let needed = Duration::from_millis(1_200) + Duration::from_millis(30) * left;
        if pace.can_complete(time_left, Some(events), false) {
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
    assert!(!pace.can_complete(second / 2, Some(149), false), "too late");
    assert!(pace.can_complete(second / 2, Some(149), true), "kept");
    assert!(!pace.can_complete(second, None, true), "all is to be done");
}

#[test]
fn nothing_is_refused_before_it_was_measured() {
    let mut pace = GenerationPace::default();
    for _ in 0..4 {
        pace.record(&usual(Instant::now()));
        assert!(pace.can_complete(Duration::from_millis(10), None, false));
    }
    assert!(!pace.can_complete(Duration::ZERO, None, false));
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
        let arrived = Instant::now();
        let first_event = arrived + Duration::from_millis(read_ms);
        let times = GenerationTimes {
            arrived,
            first_event,
            end: first_event + Duration::from_millis(step_ms) * (events - 1) as u32,
            events_before: 0,
            last_event: events,
        };
        let mut pace = GenerationPace::default();
        for _ in 0..20 {
            pace.record(&times);
        }
        let left = events.saturating_sub(has) as u32;
        let mean = Duration::from_millis(read_ms) + Duration::from_millis(step_ms) * left;
        prop_assert!(pace.can_complete(mean + Duration::from_millis(1), Some(has), false));
    }
}
