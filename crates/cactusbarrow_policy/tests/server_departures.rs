//! Backend servers that announced their departure, while the store lists them as ready.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    BackendEntry, BackendFleet, BackendWork, FleetConfig, HeartbeatAction, ServerIncarnation,
    SoftwareVersion,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time for which a gateway reports a departure.
const REPORT_TIME: Duration = Duration::from_secs(60);

/// Servers of the replayed service; all but two of them leave.
const SERVERS: u16 = 7;

/// Time after which no gateway may use a departed server.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn entry(i: u16, incarnation: u64, is_draining: bool) -> BackendEntry {
    BackendEntry {
        instance: Arc::from(format!("app-{i}")),
        service: Arc::from("app"),
        address: ([10, 0, 0, 1], i).into(),
        zone: Arc::from("zone"),
        software: SoftwareVersion(Arc::from("v1")),
        slots: 6,
        is_draining,
        incarnation,
    }
}

fn is_chosen(fleet: &BackendFleet, now: Instant) -> bool {
    let rng = &mut StdRng::seed_from_u64(1);
    fleet.choose_for_call("app", &[], now, rng).is_some()
}

/// A change that the store or a peer may report about the server that has left.
#[derive(Clone, Copy, Debug)]
enum Change {
    Ready,
    Draining,
    Removed,
    Missing,
    Expired,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Ready),
        Just(Change::Draining),
        Just(Change::Removed),
        Just(Change::Missing),
        Just(Change::Expired),
    ]
}

fn apply(fleet: &mut BackendFleet, change: Change, now: Instant) {
    match change {
        Change::Ready => {
            fleet.record_entry(entry(0, 1, false), now);
        }
        Change::Draining => {
            fleet.record_entry(entry(0, 1, true), now);
        }
        Change::Removed => {
            fleet.remove_instance("app-0");
        }
        Change::Missing => {
            fleet.record_missing("app-0", now + Duration::from_secs(2));
        }
        Change::Expired => {
            fleet.expire_missing(false, now + Duration::from_secs(5));
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x0cac_7061),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_change_of_the_list_readmits_an_incarnation(
        changes in prop::collection::vec(change(), 0..12),
        is_reported_by_peer in any::<bool>(),
    ) {
        let now = Instant::now();
        let mut fleet = BackendFleet::new(FleetConfig::default());
        fleet.record_entry(entry(0, 1, false), now);
        prop_assert!(is_chosen(&fleet, now));
        if is_reported_by_peer {
            let id = ServerIncarnation::of_entry(&entry(0, 1, false));
            prop_assert!(fleet.record_peer_departure(id, now).is_some());
        } else {
            prop_assert!(fleet.record_departure(&entry(0, 1, false), now));
        }
        for change in changes {
            apply(&mut fleet, change, now);
            prop_assert!(!is_chosen(&fleet, now), "{change:?}");
        }
        fleet.record_entry(entry(0, 2, false), now);
        prop_assert!(is_chosen(&fleet, now), "the next incarnation is used");
    }
}

/// Ways in which a gateway learns of a departure.
#[derive(Clone, Copy, Debug)]
enum Source {
    Response,
    Peer,
    List,
}

fn learn(fleet: &mut BackendFleet, source: Source, now: Instant) {
    match source {
        Source::Response => {
            fleet.record_departure(&entry(0, 1, false), now);
        }
        Source::Peer => {
            let id = ServerIncarnation::of_entry(&entry(0, 1, false));
            fleet.record_peer_departure(id, now);
        }
        Source::List => {
            fleet.record_entry(entry(0, 1, true), now);
        }
    }
}

/// Guards against knowledge of a departure that ends with the server's entry, or that needs one.
#[test]
fn departure_outlasts_the_entry_whoever_told_it() {
    let now = Instant::now();
    for source in [Source::Response, Source::Peer, Source::List] {
        for is_removed_first in [false, true] {
            let mut fleet = BackendFleet::new(FleetConfig::default());
            fleet.record_entry(entry(0, 1, false), now);
            if is_removed_first {
                fleet.remove_instance("app-0");
            }
            learn(&mut fleet, source, now);
            fleet.remove_instance("app-0");
            fleet.record_entry(entry(0, 1, false), now);
            assert!(!is_chosen(&fleet, now), "{source:?}, {is_removed_first}");
            fleet.record_entry(entry(0, 2, false), now);
            assert!(is_chosen(&fleet, now), "{source:?}: the next incarnation");
        }
    }
}

/// Guards against running work of a server that the store lists as draining, which is no longer probed
/// as if the server had asked for that.
#[test]
fn work_of_a_server_that_is_only_listed_as_draining_is_still_probed() {
    let start = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    fleet.record_entry(entry(0, 1, false), start);
    let key = fleet.key_of("app-0").expect("the entry is listed");
    learn(&mut fleet, Source::List, start);
    learn(&mut fleet, Source::Peer, start);
    let later = start + Duration::from_secs(2);
    assert!(fleet.accepts_orders(key, later));
    learn(&mut fleet, Source::Response, start);
    assert!(
        !fleet.accepts_orders(key, later),
        "it announced that itself"
    );
}

#[test]
fn peer_report_counts_before_the_entry_is_known() {
    let now = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    let id = ServerIncarnation::of_entry(&entry(0, 1, false));
    assert_eq!(fleet.record_peer_departure(id, now), None);
    fleet.record_entry(entry(0, 1, false), now);
    assert!(!is_chosen(&fleet, now));
    assert_eq!(fleet.own_departures(now), [], "peers report only their own");
}

#[test]
fn reports_are_the_newest_and_end() {
    let start = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    for i in 0..3_000 {
        let now = start + Duration::from_millis(i.into());
        fleet.record_entry(entry(i, 1, false), now);
        fleet.record_departure(&entry(i, 1, false), now);
    }
    let now = start + Duration::from_secs(3);
    let reported = fleet.own_departures(now);
    assert_eq!(
        reported[0],
        ServerIncarnation::of_entry(&entry(2_999, 1, false))
    );
    assert_eq!(reported.len(), 1_024, "memory is bounded");
    assert_eq!(fleet.own_departures(now + REPORT_TIME), []);
    assert!(!is_chosen(&fleet, now), "listed servers stay excluded");
}

/// Guards against a burst of departures of which peers learn only the newest.
#[test]
fn all_departures_of_a_burst_are_reported_in_turn() {
    let now = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    for i in 0..50 {
        fleet.record_departure(&entry(i, 1, false), now);
    }
    let mut peer = BackendFleet::new(FleetConfig::default());
    // Two of the six heartbeats are lost.
    for heartbeat in 0..6 {
        let reports = fleet.take_departure_reports(16, now);
        assert_eq!(reports.len(), 16);
        if heartbeat == 4 {
            fleet.record_departure(&entry(50, 1, false), now);
        }
        if heartbeat == 5 {
            let newest = ServerIncarnation::of_entry(&entry(50, 1, false));
            assert!(reports.contains(&newest), "news are told at once");
        }
        if heartbeat > 1 {
            for id in reports {
                peer.record_peer_departure(id, now);
            }
        }
    }
    for i in 0..51 {
        peer.record_entry(entry(i, 1, false), now);
    }
    assert!(!is_chosen(&peer, now));
}

/// Guards against probes that reach a server long after it announced its departure, and against a
/// loss that is concluded from a probe that was not sent.
#[test]
fn running_work_is_neither_probed_nor_lost_after_the_grace_time() {
    let start = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    fleet.record_entry(entry(0, 1, false), start);
    let key = fleet.key_of("app-0").expect("the entry is listed");
    fleet.start_generation(key, BackendWork::default(), start);
    fleet.record_departure(&entry(0, 1, false), start);
    let mut last_probe = None;
    for ms in (0..5_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        for action in fleet.poll_heartbeats(now) {
            match action {
                HeartbeatAction::Probe(_) => {
                    last_probe = Some(ms);
                    fleet.record_report(key, now);
                }
                action => panic!("{action:?} after {ms} ms"),
            }
        }
    }
    let last_probe = last_probe.expect("silent work is probed at first");
    assert!(last_probe < 1_000, "a probe after {last_probe} ms");
}

/// Replays gateways before a small service in a store outage: its servers leave one after another and
/// are replaced, heartbeats are lost, and each gateway hears of a departure by a response or a peer.
///
/// Returns the latest request that a gateway sent to a departed server, as the time since that gateway
/// knew, and since any gateway knew; calls with no server left are counted.
fn replay_outage(gateways: usize, seed: u64) -> (Duration, Duration, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut fleets: Vec<BackendFleet> = Vec::new();
    for _ in 0..gateways {
        let mut fleet = BackendFleet::new(FleetConfig::default());
        for i in 0..SERVERS {
            fleet.record_entry(entry(i, 1, false), start);
        }
        fleets.push(fleet);
    }
    let mut known: Vec<HashMap<String, Instant>> = vec![HashMap::new(); gateways];
    let mut first_known: HashMap<String, Instant> = HashMap::new();
    let (mut own, mut any) = (Duration::ZERO, Duration::ZERO);
    let mut unserved = 0;
    for ms in (0..12_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        // Every two seconds another server begins to leave.
        let departed = u16::try_from(ms / 2_000).expect("a small number");
        for i in 0..gateways {
            // Calls are so rare that a gateway seldom notices a departure by itself.
            if rng.next_u64() % 20 != 0 {
                continue;
            }
            let Some(key) = fleets[i].choose_for_call("app", &[], now, rng) else {
                unserved += 1;
                continue;
            };
            let entry = fleets[i].get(key).expect("a known server").entry.clone();
            let number: u16 = entry.instance[4..].parse().expect("a number");
            if number >= departed {
                continue;
            }
            let name = entry.instance.to_string();
            if let Some(at) = known[i].get(&name) {
                own = own.max(now - *at);
            }
            let first = *first_known.entry(name.clone()).or_insert(now);
            any = any.max(now - first);
            fleets[i].record_departure(&entry, now);
            known[i].insert(name, now);
        }
        if ms % 400 == 0 {
            let reports: Vec<Vec<ServerIncarnation>> = fleets
                .iter()
                .map(|fleet| fleet.own_departures(now))
                .collect();
            for (i, fleet) in fleets.iter_mut().enumerate() {
                for report in &reports {
                    if rng.next_u64() % 4 == 0 {
                        continue;
                    }
                    for id in report {
                        fleet.record_peer_departure(*id, now);
                    }
                }
                // A copy of the list from before the outage arrives again.
                fleet.record_entry(entry((i % usize::from(SERVERS)) as u16, 1, false), now);
            }
        }
    }
    (own, any, unserved)
}

#[test]
fn gateways_learn_of_departures_in_a_store_outage() {
    for gateways in [1, 5, 27] {
        for seed in 0..5 {
            let (own, any, unserved) = replay_outage(gateways, seed);
            assert_eq!(own, Duration::ZERO, "seed {seed}");
            assert!(any < DRAIN_TIME, "{any:?}, {gateways}, seed {seed}");
            assert_eq!(unserved, 0, "two servers stay");
        }
    }
}
