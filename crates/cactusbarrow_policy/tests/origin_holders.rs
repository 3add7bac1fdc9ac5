//! Origins that other gateways hold: found at differing views of the fleet, written if their gateway
//! does not, and bounded.

mod common;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    ASKED_ORIGIN_HOLDERS, AnnouncedOrigin, ORIGIN_HOLDERS, OriginConfig, OriginPages, ServiceId,
    SoftwareId, StreamId, StreamOrigin, UnstoredOrigins, origin_holders,
};
use common::fixed_seed_config;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an origin is an orphan at [`INTERVAL`].
const PATIENCE: Duration = Duration::from_millis(1_400);

const STREAMS: u64 = 400;

fn ip(i: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0a00_0000 + i)
}

fn origin(stream: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamId(stream),
        service: ServiceId(1),
        software: SoftwareId(11),
    }
}

fn announced(number: u64) -> AnnouncedOrigin {
    AnnouncedOrigin {
        origin: origin(number),
        number,
    }
}

/// Returns the share of streams whose origin a gateway finds at others, where each gateway knows
/// another one with some probability, and those in `lost` have ended.
fn found_share(gateways: u32, known: f64, lost: impl Fn(u32) -> bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut found = 0;
    for stream in 0..STREAMS {
        let stream = StreamId(cactusbarrow_policy::stable_hash(&stream.to_be_bytes()));
        let mut holders = |own: u32, count| {
            let view: Vec<Ipv4Addr> = (0..gateways)
                .filter(|i| *i != own && rng.random_bool(known))
                .map(ip)
                .collect();
            origin_holders(stream, view.into_iter(), count)
        };
        let told = holders(0, ORIGIN_HOLDERS);
        let asker = gateways - 1;
        let asked = holders(asker, ASKED_ORIGIN_HOLDERS);
        let has_origin =
            |i: u32| told.contains(&ip(i)) && !lost(i) && (i == asker || asked.contains(&ip(i)));
        found += u64::from((0..gateways).any(has_origin));
    }
    found as f64 / STREAMS as f64
}

#[test]
fn origin_is_found_at_any_size_of_the_fleet() {
    for gateways in [3, 5, 30, 250, 720] {
        let share = found_share(gateways, 1.0, |i| i == 0);
        assert!(share >= 1.0, "{gateways} gateways: {share}");
        let share = found_share(gateways, 0.9, |i| i == 0);
        println!("{gateways} gateways, each known to nine of ten others: {share}");
        assert!(share >= 0.95, "{gateways} gateways, partial views: {share}");
    }
}

/// Load pattern: an availability zone ends with a quarter of the gateways.
#[test]
fn origin_is_mostly_found_after_the_loss_of_a_zone() {
    for gateways in [30, 250, 720] {
        let share = found_share(gateways, 1.0, |i| i % 4 == 0);
        println!("{gateways} gateways, a quarter has ended: {share}");
        assert!(share >= 0.9, "{gateways} gateways: {share}");
    }
}

#[test]
fn number_of_holders_does_not_grow_with_the_fleet() {
    for gateways in [0, 1, 2, 5, 720] {
        let holders = origin_holders(StreamId(7), (0..gateways).map(ip), ORIGIN_HOLDERS);
        assert_eq!(holders.len(), ORIGIN_HOLDERS.min(gateways as usize));
    }
}

#[test]
fn origin_that_its_gateway_does_not_write_is_written_by_its_holder() {
    let now = Instant::now();
    let mut unstored = UnstoredOrigins::default();
    for number in 0..3 {
        unstored.record(ip(1), 5, announced(number), now);
    }
    unstored.record_stored(ip(1), 5, 2);
    assert_eq!(unstored.take_orphans(INTERVAL, now), []);
    assert_eq!(unstored.take_orphans(INTERVAL, now + PATIENCE), [origin(2)]);
    assert_eq!(unstored.take_orphans(INTERVAL, now + PATIENCE), []);
}

#[test]
fn origins_of_a_gateway_that_started_again_are_written_at_once() {
    let now = Instant::now();
    let mut unstored = UnstoredOrigins::default();
    unstored.record(ip(1), 5, announced(0), now);
    unstored.record_stored(ip(1), 6, 0);
    assert_eq!(unstored.take_orphans(INTERVAL, now), [origin(0)]);
}

#[test]
fn unstored_origins_are_bounded() {
    let now = Instant::now();
    let mut unstored = UnstoredOrigins::default();
    for number in 0..10_000 {
        unstored.record(ip(1), 5, announced(number), now);
        unstored.record(ip(number as u32), 5, announced(number), now);
    }
    let orphans = unstored.take_orphans(INTERVAL, now + PATIENCE);
    assert!(orphans.len() <= 4_096 + 256, "{}", orphans.len());
}

proptest! {
    #![proptest_config(fixed_seed_config(200))]

    /// Guards against origins that a gateway reports as stored although a write failed or has not
    /// ended.
    #[test]
    fn reported_origins_are_stored(steps in prop::collection::vec(0_u8..5, 1..80)) {
        let mut now = Instant::now();
        let cfg = OriginConfig {
            max_page_entries: 3,
            ..OriginConfig::default()
        };
        let mut pages = OriginPages::new(cfg);
        pages.load(Vec::new(), now);
        let mut stored: Vec<Vec<StreamOrigin>> = vec![Vec::new(); cfg.page_count()];
        let (mut added, mut writing) = (0, None);
        for step in steps {
            now += Duration::from_millis(100);
            match (step, writing.take()) {
                (0 | 1, taken) => {
                    // A page is overwritten only when its origins have expired.
                    if added < 3 * cfg.page_count() as u64 {
                        prop_assert_eq!(pages.add(origin(added), now), added);
                        added += 1;
                    }
                    writing = taken;
                }
                (2, None) => writing = pages.take_unwritten(),
                (3, Some((slot, origins))) => {
                    stored[slot] = origins;
                    pages.record_written(slot);
                }
                (4, Some((slot, _))) => pages.record_unwritten(slot),
                (_, taken) => writing = taken,
            }
            let has = |number| stored.iter().flatten().any(|stored| *stored == origin(number));
            prop_assert!((0..pages.stored_before()).all(has));
        }
    }
}
