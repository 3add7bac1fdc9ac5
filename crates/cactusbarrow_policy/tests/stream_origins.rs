//! Origins of streams: found until they expire, and kept across restarts of gateways.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    OriginConfig, OriginPages, ServiceId, SoftwareId, StreamId, StreamOrigin, StreamOrigins,
    origin_read_interval, origin_write_interval,
};
use common::fixed_seed_config;
use proptest::prelude::*;

const SERVICE: ServiceId = ServiceId(1);
const V1: SoftwareId = SoftwareId(11);
const V2: SoftwareId = SoftwareId(12);

fn origin(stream: u64, software: SoftwareId) -> StreamOrigin {
    StreamOrigin {
        stream: StreamId(stream),
        service: SERVICE,
        software,
    }
}

/// The ring of a gateway that has been loaded, and the pages that the store holds.
struct Ring {
    pages: OriginPages,
    stored: Vec<(usize, Vec<StreamOrigin>)>,
}

impl Ring {
    fn start(stored: Vec<(usize, Vec<StreamOrigin>)>, now: Instant) -> Self {
        let mut pages = OriginPages::new(OriginConfig::default());
        pages.load(stored.clone(), now);
        Self { pages, stored }
    }

    fn write_all(&mut self) {
        while let Some((slot, origins)) = self.pages.take_unwritten() {
            self.stored.retain(|(other, _)| *other != slot);
            self.stored.push((slot, origins));
        }
    }

    fn has(&self, stream: u64) -> bool {
        let mut origins = self.stored.iter().flat_map(|(_, origins)| origins);
        origins.any(|origin| origin.stream == StreamId(stream))
    }
}

#[test]
fn origin_is_found_until_it_expires() {
    let now = Instant::now();
    let cfg = OriginConfig::default();
    let mut origins = StreamOrigins::new(cfg);
    origins.record(origin(1, V1), now);
    let last = now + cfg.retention - Duration::from_millis(1);
    assert_eq!(origins.find(StreamId(1), last), Some(V1));
    assert_eq!(origins.find(StreamId(1), now + cfg.retention), None);
    assert_eq!(origins.find(StreamId(2), now), None);
}

#[test]
fn full_table_drops_the_oldest_origin() {
    let now = Instant::now();
    let mut origins = StreamOrigins::new(OriginConfig {
        max_entries: 3,
        ..OriginConfig::default()
    });
    for stream in 1..=4 {
        origins.record(origin(stream, V1), now);
    }
    assert_eq!(origins.find(StreamId(1), now), None);
    for stream in 2..=4 {
        assert_eq!(origins.find(StreamId(stream), now), Some(V1));
    }
}

#[test]
fn nothing_is_written_before_the_pages_are_loaded() {
    let now = Instant::now();
    let mut pages = OriginPages::new(OriginConfig::default());
    pages.add(origin(1, V1), now);
    assert_eq!(pages.take_unwritten(), None);
    pages.load(vec![(3, vec![origin(2, V2)])], now);
    let (slot, origins) = pages.take_unwritten().expect("a page is unwritten");
    assert_eq!((slot, origins.len()), (3, 2));
    assert_eq!(pages.take_unwritten(), None);
}

#[test]
fn pages_are_written_again_after_a_failure_and_a_restore() {
    let now = Instant::now();
    let mut ring = Ring::start(Vec::new(), now);
    ring.pages.add(origin(1, V1), now);
    let (slot, _) = ring.pages.take_unwritten().expect("a page is unwritten");
    ring.pages.record_unwritten(slot);
    ring.write_all();
    assert!(ring.has(1));
    ring.stored.clear();
    ring.pages.rewrite();
    ring.write_all();
    assert!(ring.has(1));
}

#[test]
fn page_without_origins_is_written_again_after_a_restore() {
    let now = Instant::now();
    let mut ring = Ring::start(Vec::new(), now);
    ring.pages.refresh();
    assert!(ring.pages.take_unwritten().is_some());
    assert!(ring.pages.take_unwritten().is_none());
    ring.pages.rewrite();
    assert!(ring.pages.take_unwritten().is_some());
}

#[test]
fn write_interval_keeps_within_a_share_of_the_stores_writes() {
    assert_eq!(origin_write_interval(3, 400.0), Duration::from_millis(50));
    for gateways in [5, 30, 250, 720] {
        let interval = origin_write_interval(gateways, 400.0);
        assert!(gateways as f64 / interval.as_secs_f64() <= 80.0 + 1e-6);
    }
    assert_eq!(origin_write_interval(1, 0.0), Duration::MAX);
}

/// Guards against callers that wait long for a read because another caller's began just before theirs.
#[test]
fn callers_that_resume_together_wait_for_no_long_interval_between_reads() {
    let few = Duration::from_millis(20);
    for gateways in 1..=8 {
        assert!(origin_read_interval(gateways, 2_000.0) <= few, "{gateways}");
    }
    for reads_per_s in [0.0, 1.0, 500.0, 2_000.0] {
        let longest = Duration::from_millis(200);
        assert!(origin_read_interval(1_000, reads_per_s) <= longest);
    }
}

#[test]
fn read_interval_keeps_within_a_share_of_the_stores_reads_up_to_80_gateways() {
    for gateways in [1, 5, 30, 80] {
        let interval = origin_read_interval(gateways, 2_000.0);
        assert!(gateways as f64 / interval.as_secs_f64() <= 400.0 + 1e-6);
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(60))]

    /// Guards against a ring that overwrites origins which are still needed, also when the gateway
    /// restarts.
    #[test]
    fn origins_stay_stored_for_the_retention(
        steps in prop::collection::vec((0_u64..2_500, prop::bool::weighted(0.03)), 60..120),
    ) {
        let cfg = OriginConfig::default();
        let mut now = Instant::now();
        let mut ring = Ring::start(Vec::new(), now);
        let mut added = Vec::new();
        for (stream, (wait_ms, is_restart)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(wait_ms);
            if is_restart {
                ring = Ring::start(ring.stored, now);
            }
            let stream = stream as u64;
            ring.pages.add(origin(stream, V1), now);
            ring.write_all();
            added.push((stream, now));
            for &(stream, at) in &added {
                prop_assert!(ring.has(stream) || now - at >= cfg.retention);
            }
        }
    }
}
