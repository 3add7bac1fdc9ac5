//! Copies of running generations: replacement after the loss of their holder, and renewal.

use std::time::Instant;

use cactusbarrow_policy::{CopyAction, CopyConfig, CopyPlan};

#[test]
fn copy_maintained_by_the_engine_needs_no_action() {
    let now = Instant::now();
    let mut plan = CopyPlan::new(CopyConfig::default());
    assert_eq!(plan.poll(now), CopyAction::Wait);
    assert_eq!(plan.next_due(), None);
}

/// Load pattern: zones of engines fail one after the other, that of the copy's holder first.
#[test]
fn lost_copy_is_replaced_elsewhere_and_renewed() {
    let cfg = CopyConfig::default();
    let now = Instant::now();
    let mut plan = CopyPlan::new(cfg);
    plan.record_holder_lost(now);
    assert_eq!(plan.poll(now), CopyAction::CopyElsewhere);
    assert_eq!(plan.poll(now), CopyAction::Wait, "one copy at a time");
    plan.record_result(true, now);
    assert_eq!(plan.poll(now), CopyAction::Wait);
    let due = plan.next_due().expect("a renewal is due");
    assert_eq!(due, now + cfg.renew_after);
    assert_eq!(plan.poll(due), CopyAction::Renew);
    plan.record_result(false, due);
    assert_eq!(plan.poll(due + cfg.retry_wait), CopyAction::CopyElsewhere);
}

#[test]
fn copying_stops_after_too_many_failures() {
    let cfg = CopyConfig::default();
    let mut now = Instant::now();
    let mut plan = CopyPlan::new(cfg);
    plan.record_holder_lost(now);
    let mut attempts = 0;
    for _ in 0..20 {
        if plan.poll(now) == CopyAction::CopyElsewhere {
            attempts += 1;
            plan.record_result(false, now);
        }
        now += cfg.retry_wait;
    }
    assert_eq!(attempts, cfg.max_failures);
    plan.record_holder_lost(now);
    assert_eq!(plan.poll(now), CopyAction::Wait);
}
