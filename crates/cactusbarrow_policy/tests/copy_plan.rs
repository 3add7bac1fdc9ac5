//! Copies of running generations: made again when their holder is lost, kept fresh.

use std::time::Instant;

use cactusbarrow_policy::{CopyAction, CopyConfig, CopyPlan};

#[test]
fn an_engines_own_backup_needs_nothing() {
    let now = Instant::now();
    let mut plan = CopyPlan::new(CopyConfig::default());
    assert_eq!(plan.poll(now), CopyAction::Wait);
    assert_eq!(plan.next_due(), None);
}

/// Load pattern: zones of engines end one after the other, the copy's first.
#[test]
fn a_lost_copy_is_made_elsewhere_and_kept_fresh() {
    let cfg = CopyConfig::default();
    let now = Instant::now();
    let mut plan = CopyPlan::new(cfg);
    plan.record_holder_lost(now);
    assert_eq!(plan.poll(now), CopyAction::CopyElsewhere);
    assert_eq!(plan.poll(now), CopyAction::Wait, "one order at a time");
    plan.record_result(true, now);
    assert_eq!(plan.poll(now), CopyAction::Wait);
    let due = plan.next_due().expect("a renewal is due");
    assert_eq!(due, now + cfg.renew_after);
    assert_eq!(plan.poll(due), CopyAction::Renew);
    plan.record_result(false, due);
    assert_eq!(plan.poll(due + cfg.retry_wait), CopyAction::CopyElsewhere);
}

#[test]
fn an_engine_that_cannot_copy_is_not_asked_forever() {
    let cfg = CopyConfig::default();
    let mut now = Instant::now();
    let mut plan = CopyPlan::new(cfg);
    plan.record_holder_lost(now);
    let mut orders = 0;
    for _ in 0..20 {
        if plan.poll(now) == CopyAction::CopyElsewhere {
            orders += 1;
            plan.record_result(false, now);
        }
        now += cfg.retry_wait;
    }
    assert_eq!(orders, cfg.max_failures);
    plan.record_holder_lost(now);
    assert_eq!(plan.poll(now), CopyAction::Wait);
}
