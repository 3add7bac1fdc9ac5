//! Streams of unknown origin: what proves that only one software version can have begun them.

mod common;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{OriginConfig, ServedVersions, ServiceId, SoftwareId, VersionHistory};
use common::fixed_seed_config;
use proptest::prelude::*;

const SERVICE: ServiceId = ServiceId(1);
const V1: SoftwareId = SoftwareId(11);
const V2: SoftwareId = SoftwareId(12);

fn retention() -> Duration {
    OriginConfig::default().retention
}

fn sole(history: &VersionHistory, listed: &[SoftwareId], now: Instant) -> Option<SoftwareId> {
    history.sole_version(SERVICE, listed.iter().copied(), now)
}

/// Guards against streams that a new gateway continues at the only version that is listed, although
/// another one began them (ORDER).
#[test]
fn what_is_listed_now_does_not_show_what_was_listed_before() {
    let now = Instant::now();
    let mut history = VersionHistory::new(retention());
    assert_eq!(sole(&history, &[V1, V1], now), None);
    assert_eq!(sole(&history, &[V1, V1], now + retention()), None);
    history.record_list(now);
    assert_eq!(sole(&history, &[V1, V1], now), None);
    let almost = now + retention() - Duration::from_millis(1);
    assert_eq!(sole(&history, &[V1, V1], almost), None);
    assert_eq!(sole(&history, &[V1, V1], now + retention()), Some(V1));
    assert_eq!(sole(&history, &[], now + retention()), None);
}

#[test]
fn sole_version_is_known_only_if_no_other_was_seen() {
    let start = Instant::now();
    let now = start + retention();
    let mut history = VersionHistory::new(retention());
    history.record_list(start);
    assert_eq!(sole(&history, &[V1, V2], now), None);
    history.record(ServiceId(2), V1, now);
    assert_eq!(sole(&history, &[V2], now), Some(V2), "another service");
    history.record(SERVICE, V1, now);
    assert_eq!(sole(&history, &[V2], now), None);
    assert_eq!(sole(&history, &[V2], now + retention()), Some(V2));
}

#[test]
fn gap_ends_the_proof() {
    let start = Instant::now();
    let mut history = VersionHistory::new(retention());
    history.record_list(start);
    history.record_gap();
    let now = start + retention();
    assert_eq!(sole(&history, &[V1], now), None);
    history.record_changes(now);
    assert_eq!(sole(&history, &[V1], now), None);
    history.record_changes(now + retention());
    assert_eq!(sole(&history, &[V1], now + retention()), Some(V1));
}

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER_PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// Guards against streams that begin at a version which the page of the peer that named it has ceased to name.
#[test]
fn word_of_a_peer_counts_until_its_next_one() {
    let now = Instant::now();
    let mut history = VersionHistory::new(retention());
    let both = [(SERVICE, V1), (SERVICE, V2)];
    assert!(history.record_peer_stored(PEER, both.into_iter(), now));
    assert!(history.is_stored(SERVICE, V2, now));
    assert!(!history.record_peer_stored(OTHER_PEER, [(SERVICE, V1)].into_iter(), now));
    assert!(
        history.is_stored(SERVICE, V2, now),
        "another page is left as it is"
    );
    assert!(!history.record_peer_stored(PEER, [].into_iter(), now));
    assert!(
        history.is_stored(SERVICE, V2, now),
        "it has just started again"
    );
    history.record_peer_stored(PEER, [(SERVICE, V1)].into_iter(), now);
    assert!(!history.is_stored(SERVICE, V2, now));
    assert!(history.is_stored(SERVICE, V1, now));
}

/// Guards against a word that counts without end at a gateway that hears from no peer any more.
#[test]
fn word_of_a_peer_that_has_fallen_silent_expires_before_its_page() {
    let now = Instant::now();
    let mut history = VersionHistory::new(retention());
    history.record_peer_stored(PEER, [(SERVICE, V1)].into_iter(), now);
    assert!(history.is_stored(SERVICE, V1, now + retention()));
    assert!(!history.is_stored(SERVICE, V1, now + ServedVersions::PAGE_EXPIRY));
}

/// A step in which the list changes, or a gateway learns of it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Engines of this version are listed, and all others leave.
    List(u64),
    /// The gateway sees all changes since its last step.
    Follow,
    /// The gateway reads the list whole.
    Read,
    /// The gateway misses what happens until it reads the list.
    Gap,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0_u64..3).prop_map(Step::List),
        6 => Just(Step::Follow),
        1 => Just(Step::Read),
        1 => Just(Step::Gap),
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config(400))]

    /// Guards against a proof while another version was listed within the retention.
    #[test]
    fn sole_version_is_the_only_one_that_was_listed(
        steps in prop::collection::vec((step(), 1_u64..20), 10..60),
    ) {
        let mut now = Instant::now();
        let mut history = VersionHistory::new(retention());
        // Versions that were listed, with the time until which they were.
        let mut listed: Vec<(SoftwareId, Instant)> = vec![(V1, now)];
        let mut current = V1;
        let mut unseen: Vec<SoftwareId> = Vec::new();
        let mut is_following = false;
        for (step, seconds) in steps {
            now += Duration::from_secs(seconds);
            listed.push((current, now));
            match step {
                Step::List(software) => {
                    unseen.extend([current, SoftwareId(software)]);
                    current = SoftwareId(software);
                    listed.push((current, now));
                }
                Step::Follow if is_following => {
                    for software in unseen.drain(..) {
                        history.record(SERVICE, software, now);
                    }
                    history.record_changes(now);
                }
                Step::Follow => {}
                Step::Read => {
                    unseen.clear();
                    is_following = true;
                    history.record_list(now);
                }
                Step::Gap => {
                    is_following = false;
                    history.record_gap();
                }
            }
            // The caller of this asks the store for changes first.
            if !unseen.is_empty() {
                continue;
            }
            if let Some(sole) = history.sole_version(SERVICE, [current].into_iter(), now) {
                let is_recent = |until: Instant| now - until < retention();
                let others = listed.iter().filter(|(other, until)| *other != sole && is_recent(*until));
                prop_assert_eq!(others.count(), 0);
            }
        }
    }
}
