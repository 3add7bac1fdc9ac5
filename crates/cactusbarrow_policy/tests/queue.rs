//! The queue loses no request, starts resumed generations first and prevents a customer from
//! starving the others.

mod common;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{FairQueue, QueueOrder, Ticket};
use common::fixed_seed_config;
use proptest::prelude::*;

const MAX_WAIT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
enum Step {
    Push { customer: u8, is_resume: bool },
    Pop,
    Remove { at: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..5_u8, prop::bool::weighted(0.2))
            .prop_map(|(customer, is_resume)| Step::Push { customer, is_resume }),
        4 => Just(Step::Pop),
        1 => (0..20_usize).prop_map(|at| Step::Remove { at }),
        1 => (1..1_500_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(1_000))]

    #[test]
    fn each_request_is_started_at_most_once_before_its_deadline(
        is_fair in any::<bool>(),
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let order = if is_fair { QueueOrder::Fair } else { QueueOrder::Arrival };
        let mut queue = FairQueue::new(order);
        let mut now = Instant::now();
        let mut waiting: Vec<(Ticket, bool, Instant)> = Vec::new();
        let mut started = HashSet::new();
        for step in steps {
            match step {
                Step::Push { customer, is_resume } => {
                    let name = format!("customer-{customer}");
                    let deadline = now + MAX_WAIT;
                    if let Some(ticket) = queue.push(&name, is_resume, deadline, now) {
                        waiting.push((ticket, is_resume, deadline));
                    }
                }
                Step::Pop => {
                    waiting.retain(|(_, _, deadline)| now < *deadline);
                    let popped = queue.pop(now);
                    prop_assert_eq!(popped.is_some(), !waiting.is_empty());
                    if let Some(ticket) = popped {
                        let at = waiting.iter().position(|w| w.0 == ticket);
                        let at = at.expect("only a waiting request is started");
                        let has_resume = waiting.iter().any(|w| w.1);
                        prop_assert!(!is_fair || !has_resume || waiting[at].1);
                        waiting.remove(at);
                        prop_assert!(started.insert(ticket));
                    }
                }
                Step::Remove { at } => {
                    if at < waiting.len() {
                        queue.remove(waiting.remove(at).0);
                    }
                }
                Step::Wait { ms } => now += Duration::from_millis(ms),
            }
        }
    }
}

#[test]
fn burst_of_one_customer_does_not_delay_another() {
    let mut queue = FairQueue::new(QueueOrder::Fair);
    let now = Instant::now();
    for _ in 0..10 {
        queue.record_start("large", now);
    }
    for _ in 0..100 {
        queue.push("large", false, now + MAX_WAIT, now);
    }
    let small = queue.push("small", false, now + MAX_WAIT, now);
    assert_eq!(queue.pop(now), small);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut queue = FairQueue::new(QueueOrder::Fair);
    let mut now = Instant::now();
    for _ in 0..20 {
        now += Duration::from_millis(500);
        queue.record_start("large", now);
    }
    let accepted = (0..50)
        .filter(|_| queue.push("large", false, now + MAX_WAIT, now).is_some())
        .count();
    assert!(
        (5..=15).contains(&accepted),
        "{accepted} starts fit into 5 s"
    );
    assert!(queue.push("small", false, now + MAX_WAIT, now).is_some());
}
