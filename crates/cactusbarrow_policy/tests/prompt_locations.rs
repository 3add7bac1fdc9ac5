//! Prompt locations: callers of a gateway that ended are sent to engines with their prompts.

use std::time::{Duration, Instant};

use cactusbarrow_policy::{PromptId, PromptLocation, PromptLocationConfig, PromptLocations};

fn location(prompt: u64, engine: u64) -> PromptLocation {
    PromptLocation {
        prompt: PromptId(prompt),
        engine,
    }
}

#[test]
fn reported_locations_outlive_the_gateway_that_reported_them() {
    let now = Instant::now();
    let mut ended = PromptLocations::new(PromptLocationConfig::default());
    let mut survivor = PromptLocations::new(PromptLocationConfig::default());
    for i in 0..7 {
        ended.begin(location(i, i % 3), now);
    }
    let reported: Vec<PromptLocation> = ended.own().collect();
    assert_eq!(
        reported[0].prompt,
        PromptId(6),
        "the newest is reported first"
    );
    for location in reported {
        survivor.record(location, now);
    }
    let later = now + Duration::from_secs(18);
    for i in 0..7 {
        assert_eq!(survivor.find(PromptId(i), later), Some(i % 3));
    }
    assert_eq!(survivor.own().count(), 0);
    let retention = PromptLocationConfig::default().retention;
    assert_eq!(survivor.find(PromptId(0), now + retention), None);
}

#[test]
fn moved_generation_is_reported_at_its_newest_engine() {
    let now = Instant::now();
    let mut prompts = PromptLocations::new(PromptLocationConfig::default());
    prompts.begin(location(1, 10), now);
    prompts.begin(location(1, 11), now);
    assert_eq!(prompts.own().collect::<Vec<_>>(), [location(1, 11)]);
    prompts.end(location(1, 10));
    assert_eq!(
        prompts.own().count(),
        1,
        "the end of the older attempt is ignored"
    );
    prompts.end(location(1, 11));
    assert_eq!(prompts.own().count(), 0);
    assert_eq!(
        prompts.find(PromptId(1), now),
        Some(11),
        "the prompt is still cached"
    );
}

#[test]
fn table_size_is_bounded() {
    let now = Instant::now();
    let cfg = PromptLocationConfig::default();
    let mut prompts = PromptLocations::new(cfg);
    let count = cfg.max_entries as u64 + 100;
    for i in 0..count {
        prompts.record(location(i, 1), now);
    }
    assert_eq!(
        prompts.find(PromptId(count - 1), now),
        None,
        "the table is full"
    );
    let later = now + cfg.retention;
    prompts.record(location(count, 2), later);
    assert_eq!(prompts.find(PromptId(count), later), Some(2));
}
