//! Admission enforces the limit, drains, single use of claims and the fencing of attempts.

mod common;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    AdmissionConfig, AdmissionController, AttemptNumber, ClaimNonce, DrainCause, GenerationId,
    Permit, Reason, Revision, Work,
};
use common::fixed_seed_config;
use proptest::prelude::*;

const LIMIT: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Attempt { generation: u128, attempt: u32 },
    Claimed { nonce: u64 },
    Repeatable,
    Release,
    Drain { cause: DrainCause, draining: bool },
    Adopt { revision: u64, draining: bool },
    Fence { generation: u128, attempt: u32 },
    Wait { ms: u64 },
}

fn cause() -> impl Strategy<Value = DrainCause> {
    prop_oneof![
        Just(DrainCause::Document),
        Just(DrainCause::HostList),
        Just(DrainCause::Signal)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u128, 0..6_u32)
            .prop_map(|(generation, attempt)| Step::Attempt { generation, attempt }),
        3 => (0..12_u64).prop_map(|nonce| Step::Claimed { nonce }),
        1 => Just(Step::Repeatable),
        4 => Just(Step::Release),
        1 => (cause(), any::<bool>()).prop_map(|(cause, draining)| Step::Drain { cause, draining }),
        1 => (0..20_u64, any::<bool>())
            .prop_map(|(revision, draining)| Step::Adopt { revision, draining }),
        1 => (0..4_u128, 0..6_u32)
            .prop_map(|(generation, attempt)| Step::Fence { generation, attempt }),
        1 => (1..2_000_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(2_000))]

    #[test]
    fn limit_drains_claims_and_fences_are_enforced(
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut admission = AdmissionController::new(AdmissionConfig::default(), LIMIT);
        let mut now = Instant::now();
        let mut permits: Vec<Permit> = Vec::new();
        let mut nonces = HashSet::new();
        let mut last_attempts: HashMap<u128, u32> = HashMap::new();
        let mut causes: HashSet<DrainCause> = HashSet::new();
        let mut revision = 0;
        for step in steps {
            let is_open = causes.is_empty() && permits.len() < LIMIT;
            match step {
                Step::Attempt { generation, attempt } => {
                    let work = Work::Attempt {
                        generation: GenerationId(generation),
                        attempt: AttemptNumber(attempt),
                        version: "v1",
                        is_resume: false,
                    };
                    let admitted = admission.admit(&work, now);
                    let is_new = last_attempts.get(&generation).is_none_or(|last| attempt > *last);
                    prop_assert_eq!(admitted.is_ok(), is_open && is_new);
                    if let Ok(permit) = admitted {
                        permits.push(permit);
                        last_attempts.insert(generation, attempt);
                    }
                }
                Step::Claimed { nonce } => {
                    let admitted =
                        admission.admit(&Work::Claimed { nonce: ClaimNonce(nonce) }, now);
                    prop_assert_eq!(admitted.is_ok(), is_open && !nonces.contains(&nonce));
                    if let Ok(permit) = admitted {
                        permits.push(permit);
                        nonces.insert(nonce);
                    }
                }
                Step::Repeatable => {
                    let admitted = admission.admit(&Work::Repeatable, now);
                    prop_assert_eq!(admitted.is_ok(), is_open);
                    permits.extend(admitted.ok());
                }
                Step::Release => {
                    if let Some(permit) = permits.pop() {
                        admission.release(permit);
                    }
                }
                Step::Drain { cause, draining } => {
                    admission.set_draining(cause, draining);
                    if draining { causes.insert(cause); } else { causes.remove(&cause); }
                }
                Step::Adopt { revision: next, draining } => {
                    let adopted = admission.adopt(Revision(next), LIMIT, draining, Some("v1"));
                    prop_assert_eq!(adopted, next > revision);
                    if adopted {
                        revision = next;
                        if draining {
                            causes.insert(DrainCause::Document);
                        } else {
                            causes.remove(&DrainCause::Document);
                        }
                    }
                }
                Step::Fence { generation, attempt } => {
                    admission.fence_attempt(GenerationId(generation), AttemptNumber(attempt), now);
                    let last_attempt = last_attempts.entry(generation).or_insert(attempt);
                    *last_attempt = attempt.max(*last_attempt);
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
            }
            prop_assert_eq!(admission.in_flight(), permits.len());
        }
    }
}

#[test]
fn attempt_for_another_model_version_is_refused() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), LIMIT);
    admission.adopt(Revision(1), LIMIT, false, Some("v2"));
    let work = Work::Attempt {
        generation: GenerationId(1),
        attempt: AttemptNumber(1),
        version: "v1",
        is_resume: false,
    };
    assert_eq!(
        admission.admit(&work, Instant::now()),
        Err(Reason::WrongVersion)
    );
}

/// Guards against a resumed generation that loses each freed slot to new work before its router
/// retries.
#[test]
fn freed_slot_is_reserved_for_a_resumed_generation() {
    let mut admission = AdmissionController::new(AdmissionConfig::default(), 1);
    let now = Instant::now();
    let resume = Work::Attempt {
        generation: GenerationId(1),
        attempt: AttemptNumber(2),
        version: "v1",
        is_resume: true,
    };
    let permit = admission
        .admit(&Work::Repeatable, now)
        .expect("a slot is free");
    assert_eq!(admission.admit(&resume, now), Err(Reason::BackendFull));
    admission.release(permit);
    let soon = now + Duration::from_millis(100);
    assert_eq!(
        admission.admit(&Work::Repeatable, soon),
        Err(Reason::BackendFull)
    );
    let resumed_permit = admission
        .admit(&resume, soon)
        .expect("the slot is reserved");
    admission.release(resumed_permit);
    let later = now + Duration::from_millis(400);
    assert!(admission.admit(&Work::Repeatable, later).is_ok());
}
