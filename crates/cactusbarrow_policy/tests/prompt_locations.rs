//! Callers of a gateway that ended find the engines that have read their prompts.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{PromptId, PromptLocation, PromptLocationConfig, PromptLocations};

fn location(prompt: u64, engine: u64) -> PromptLocation {
    PromptLocation {
        prompt: PromptId(prompt),
        engine,
    }
}

#[test]
fn what_a_peer_told_outlives_the_peer() {
    let now = Instant::now();
    let mut ended = PromptLocations::new(PromptLocationConfig::default());
    let mut survivor = PromptLocations::new(PromptLocationConfig::default());
    for i in 0..7 {
        ended.begin(location(i, i % 3), now);
    }
    let told: Vec<PromptLocation> = ended.own().collect();
    assert_eq!(told[0].prompt, PromptId(6), "the newest is told first");
    for told in told {
        survivor.record(told, now);
    }
    let later = now + Duration::from_secs(18);
    for i in 0..7 {
        assert_eq!(survivor.find(PromptId(i), later), Some(i % 3));
    }
    assert_eq!(survivor.own().count(), 0);
    let keep = PromptLocationConfig::default().retention;
    assert_eq!(survivor.find(PromptId(0), now + keep), None);
}

#[test]
fn a_generation_that_moved_is_told_at_its_last_engine() {
    let now = Instant::now();
    let mut prompts = PromptLocations::new(PromptLocationConfig::default());
    prompts.begin(location(1, 10), now);
    prompts.begin(location(1, 11), now);
    assert_eq!(prompts.own().collect::<Vec<_>>(), [location(1, 11)]);
    prompts.end(location(1, 10));
    assert_eq!(prompts.own().count(), 1, "the end of the older attempt");
    prompts.end(location(1, 11));
    assert_eq!(prompts.own().count(), 0);
    assert_eq!(prompts.find(PromptId(1), now), Some(11), "it is still kept");
}

#[test]
fn the_table_is_bounded() {
    let now = Instant::now();
    let cfg = PromptLocationConfig::default();
    let mut prompts = PromptLocations::new(cfg);
    let count = cfg.max_entries as u64 + 100;
    for i in 0..count {
        prompts.record(location(i, 1), now);
    }
    assert_eq!(prompts.find(PromptId(count - 1), now), None, "no room");
    let later = now + cfg.retention;
    prompts.record(location(count, 2), later);
    assert_eq!(prompts.find(PromptId(count), later), Some(2));
}
