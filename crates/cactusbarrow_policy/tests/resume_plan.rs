//! Resuming generations: from a copy first, then from the prompt, within the allowed attempts.

mod common;

use cactusbarrow_policy::{
    AttemptStart, BackendKey, Outcome, Reason, ResumeAction, ResumeEvent, ResumePlan,
};
use common::fixed_seed_config;
use proptest::prelude::*;
use slotmap::SlotMap;

fn keys(count: usize) -> Vec<BackendKey> {
    let mut map: SlotMap<BackendKey, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

#[test]
fn generation_resumes_from_its_copy_first() {
    let keys = keys(3);
    let mut plan = ResumePlan::new(true, 5);
    plan.record_start(keys[0], Some(keys[1]));
    let next = plan.decide(ResumeEvent::Silent, true, true);
    assert_eq!(next, ResumeAction::Start(AttemptStart::FromCopy(keys[1])));
    plan.record_start(keys[1], Some(keys[2]));
    let next = plan.decide(ResumeEvent::NotExecuted, true, true);
    assert_eq!(
        next,
        ResumeAction::Start(AttemptStart::ReadPrompt),
        "a declined attempt leaves no copy"
    );
}

/// Guards against leaving a silent engine that may be sound when no other may run the generation.
#[test]
fn another_run_is_allowed_only_within_the_attempts_of_a_resumable_generation() {
    let keys = keys(2);
    for (can_resume, max_runs, expected) in [(true, 2, true), (true, 1, false), (false, 2, false)] {
        let mut plan = ResumePlan::new(can_resume, max_runs);
        plan.record_start(keys[0], Some(keys[1]));
        assert_eq!(plan.allows_another_run(), expected);
    }
    assert!(ResumeEvent::Silent.is_suspicion() && ResumeEvent::Stalled.is_suspicion());
    assert!(!ResumeEvent::Gone.is_suspicion() && !ResumeEvent::Broken.is_suspicion());
}

/// Load pattern: engines pause several times during one long generation, and each pause makes some
/// connections time out.
#[test]
fn declined_attempts_are_counted_from_the_last_progress() {
    let keys = keys(10);
    let mut plan = ResumePlan::new(true, 5);
    for key in &keys {
        plan.record_start(*key, None);
        let action = plan.decide(ResumeEvent::NotConnected, true, true);
        assert!(matches!(action, ResumeAction::Start(_)));
        plan.record_progress();
    }
}

/// Load pattern: all engines of a zone pause, or start again in place, while a generation moves; nothing was
/// sent to them.
#[test]
fn engines_that_are_not_reached_are_not_counted_as_declined() {
    for event in [ResumeEvent::Unreached, ResumeEvent::Restarted] {
        let keys = keys(10);
        let mut plan = ResumePlan::new(true, 5);
        for key in &keys {
            plan.record_start(*key, None);
            let action = plan.decide(event, false, true);
            assert!(matches!(action, ResumeAction::Start(_)));
        }
        assert_eq!(plan.outcome(), Outcome::NotRun);
        let action = plan.decide_without_engine(Reason::NoBackend);
        assert!(matches!(action, ResumeAction::Wait { .. }));
        plan.readmit_after_wait();
        assert!(plan.excluded().is_empty());
    }
}

/// Guards against aborting a response that has begun because engines are full or the retry budget is
/// used up for a moment.
#[test]
fn only_a_generation_that_has_begun_waits_for_engines_that_decline_it() {
    for is_started in [false, true] {
        let keys = keys(8);
        let mut plan = ResumePlan::new(true, 5);
        plan.record_start(keys[0], None);
        if is_started {
            plan.record_progress();
        }
        let without_budget = plan.clone().decide(ResumeEvent::Broken, true, false);
        assert_eq!(
            matches!(
                without_budget,
                ResumeAction::Wait {
                    needs_retry: true,
                    ..
                }
            ),
            is_started
        );
        let mut action = plan.decide(ResumeEvent::Broken, true, true);
        for key in &keys[1..] {
            assert!(matches!(action, ResumeAction::Start(_)));
            plan.record_start(*key, None);
            action = plan.decide(ResumeEvent::NotExecuted, false, true);
        }
        assert_eq!(matches!(action, ResumeAction::Wait { .. }), is_started);
        plan.readmit_after_wait();
        assert_eq!(plan.excluded(), [keys[0]], "the first engine broke off");
    }
}

#[test]
fn generation_that_may_not_run_again_does_not_wait() {
    let keys = keys(1);
    let mut plan = ResumePlan::new(true, 1);
    plan.record_start(keys[0], None);
    plan.record_progress();
    let action = plan.decide(ResumeEvent::Broken, true, false);
    assert!(matches!(action, ResumeAction::Refuse { .. }));
}

#[test]
fn only_engines_left_on_a_suspicion_are_readmitted() {
    let keys = keys(2);
    let mut plan = ResumePlan::new(true, 5);
    plan.record_start(keys[0], None);
    plan.decide(ResumeEvent::Silent, true, true);
    plan.record_start(keys[1], None);
    plan.decide(ResumeEvent::Broken, true, true);
    assert_eq!(plan.excluded(), keys);
    assert!(plan.readmit_suspected());
    assert_eq!(plan.excluded(), [keys[1]]);
    assert!(!plan.readmit_suspected());
}

#[test]
fn no_copy_is_used_before_the_first_event() {
    let keys = keys(2);
    let mut plan = ResumePlan::new(true, 5);
    plan.record_start(keys[0], Some(keys[1]));
    let next = plan.decide(ResumeEvent::Broken, false, true);
    assert_eq!(next, ResumeAction::Start(AttemptStart::ReadPrompt));
}

#[test]
fn newer_copy_replaces_the_first() {
    let keys = keys(3);
    let mut plan = ResumePlan::new(true, 5);
    plan.record_start(keys[0], Some(keys[1]));
    plan.record_holder(Some(keys[2]));
    let next = plan.decide(ResumeEvent::Broken, true, true);
    assert_eq!(next, ResumeAction::Start(AttemptStart::FromCopy(keys[2])));
}

#[test]
fn generation_that_may_not_resume_ends_with_unknown_outcome() {
    let keys = keys(1);
    let mut plan = ResumePlan::new(false, 5);
    plan.record_start(keys[0], None);
    let next = plan.decide(ResumeEvent::Broken, true, true);
    let is_unknown = matches!(
        next,
        ResumeAction::Refuse {
            outcome: Outcome::Unknown,
            ..
        }
    );
    assert!(is_unknown, "{next:?}");
}

fn event() -> impl Strategy<Value = ResumeEvent> {
    prop_oneof![
        Just(ResumeEvent::NotConnected),
        Just(ResumeEvent::Unreached),
        Just(ResumeEvent::NotExecuted),
        Just(ResumeEvent::Failed),
        Just(ResumeEvent::Broken),
        Just(ResumeEvent::Silent),
        Just(ResumeEvent::Stalled),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(2_000))]

    #[test]
    fn attempts_are_bounded_and_not_run_is_reported_correctly(
        can_resume in any::<bool>(),
        max_runs in 1..6_u32,
        events in prop::collection::vec((event(), any::<bool>(), any::<bool>()), 1..40),
    ) {
        let keys = keys(events.len());
        let mut plan = ResumePlan::new(can_resume, max_runs);
        let mut ran = 0;
        let mut is_over = false;
        let mut has_begun = false;
        let allowed = if can_resume { max_runs } else { 1 };
        for (key, (event, has_progress, has_budget)) in keys.into_iter().zip(events) {
            plan.record_start(key, None);
            let is_declined = matches!(
                event,
                ResumeEvent::NotConnected | ResumeEvent::Unreached | ResumeEvent::NotExecuted
            );
            if has_progress && !is_declined {
                plan.record_progress();
                has_begun = true;
            }
            ran += u32::from(!is_declined);
            match plan.decide(event, has_progress, has_budget) {
                ResumeAction::Start(_) => prop_assert!(has_budget),
                ResumeAction::Wait { needs_retry, .. } => {
                    prop_assert_eq!(needs_retry, !has_budget);
                    prop_assert!(has_begun);
                    plan.readmit_after_wait();
                }
                ResumeAction::Deliver => prop_assert!(false, "nothing was rejected"),
                ResumeAction::Refuse { outcome, .. } => {
                    prop_assert!(!has_begun || ran >= allowed);
                    prop_assert_eq!(outcome == Outcome::NotRun, ran == 0);
                    is_over = true;
                    break;
                }
            }
        }
        prop_assert!(ran <= allowed);
        prop_assert!(is_over || ran < allowed);
    }
}
