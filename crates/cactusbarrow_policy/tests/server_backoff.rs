//! Backend servers that decline requests and state for how long they want no more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    BackendEntry, BackendFleet, BackendKey, BackendWork, FleetConfig, HeartbeatAction,
    SoftwareVersion,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 30;
const STEP: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(30);

/// Time after a statement from which requests count, and the number of those that are tolerated.
const GRACE: Duration = Duration::from_millis(500);
const TOLERATED: usize = 2;

fn entry(i: u16, incarnation: u64) -> BackendEntry {
    BackendEntry {
        instance: Arc::from(format!("app-{i}")),
        service: Arc::from("app"),
        address: ([10, 0, 0, 1], i).into(),
        zone: Arc::from(format!("zone-{i}")),
        software: SoftwareVersion(Arc::from("v1")),
        slots: 6,
        is_draining: false,
        incarnation,
    }
}

fn fleet_of(servers: u16, now: Instant) -> (BackendFleet, Vec<BackendKey>) {
    let mut fleet = BackendFleet::new(FleetConfig::default());
    let keys = (0..servers).map(|i| {
        fleet.record_entry(entry(i, 1), now);
        let key = fleet.key_of(&format!("app-{i}"));
        key.expect("the entry is listed")
    });
    let keys = keys.collect();
    (fleet, keys)
}

fn chosen(fleet: &BackendFleet, now: Instant, rng: &mut impl Rng) -> Option<BackendKey> {
    fleet.choose_for_call("app", &[], now, rng)
}

fn wait(fleet: &BackendFleet, now: Instant) -> Option<Duration> {
    fleet.backoff_wait("app", &[], now, &mut StdRng::seed_from_u64(1))
}

/// A request on its way to a server, or its response on the way back.
struct Exchange {
    key: BackendKey,
    sent_at: Instant,
    arrives_at: Instant,
    responds_at: Instant,
}

/// Requests that one server got, and the times that it stated.
#[derive(Default)]
struct Server {
    arrivals: Vec<Instant>,
    stated: Vec<(Instant, Instant)>,
}

impl Server {
    /// Returns the largest number of requests within one stated time, after its grace time.
    fn most_in_stated_time(&self) -> usize {
        let count = |(from, until): &(Instant, Instant)| {
            let is_inside = |at: &&Instant| **at >= *from + GRACE && **at < *until;
            self.arrivals.iter().filter(is_inside).count()
        };
        self.stated.iter().map(count).max().unwrap_or(0)
    }
}

/// Replays one gateway with more work than its three servers take; they decline at random with times
/// of up to eight seconds, also within a stated time, and their running work falls silent.
fn replay(seed: u64) -> Vec<Server> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let (mut fleet, keys) = fleet_of(3, start);
    let mut servers: Vec<Server> = keys.iter().map(|_| Server::default()).collect();
    for key in &keys {
        fleet.start_generation(*key, BackendWork::default(), start);
    }
    let index_of = |key| keys.iter().position(|k| *k == key).expect("a known server");
    let mut exchanges: Vec<Exchange> = Vec::new();
    let mut now = start;
    while now < start + DURATION {
        let mut sends: Vec<BackendKey> = Vec::new();
        for action in fleet.poll_heartbeats(now) {
            match action {
                HeartbeatAction::Probe(key) | HeartbeatAction::Identify(key) => sends.push(key),
                HeartbeatAction::Lost(_) => {}
            }
        }
        if let Some(key) = chosen(&fleet, now, rng) {
            fleet.start_call(key, now);
            sends.push(key);
        }
        for key in sends {
            let arrives_at = now + Duration::from_millis(rng.next_u64() % 200);
            let responds_at = arrives_at + Duration::from_millis(rng.next_u64() % 100);
            exchanges.push(Exchange {
                key,
                sent_at: now,
                arrives_at,
                responds_at,
            });
        }
        for exchange in exchanges.extract_if(.., |exchange| exchange.responds_at <= now) {
            let index = index_of(exchange.key);
            let server = &mut servers[index];
            let entry = entry(index as u16, 1);
            server.arrivals.push(exchange.arrives_at);
            fleet.end_call(exchange.key);
            if rng.next_u64() % 4 == 0 {
                let wait = Duration::from_millis(1 + rng.next_u64() % 8_000);
                let stated_at = exchange.responds_at;
                server.stated.push((stated_at, stated_at + wait));
                fleet.record_backoff(&entry, wait, now);
            } else {
                fleet.record_response(&entry, exchange.sent_at);
                fleet.record_alive(exchange.key, now);
            }
        }
        now += STEP;
    }
    servers
}

#[test]
fn stated_times_are_kept_beside_probes_and_late_responses() {
    for seed in 0..SEEDS {
        for server in replay(seed) {
            let most = server.most_in_stated_time();
            assert!(most <= TOLERATED, "{most} requests, seed {seed}");
            assert!(!server.stated.is_empty(), "seed {seed}");
            assert!(server.arrivals.len() > 20, "seed {seed}: still used");
        }
    }
}

/// Replays many gateways before a small service whose servers all decline at the same moment; callers
/// that were refused return when they were told to. Returns the most requests that the servers get in
/// 100 ms after that, and the number of callers.
fn replay_return(gateways: usize, seed: u64) -> (usize, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let stated = Duration::from_secs(2);
    let mut fleets: Vec<_> = (0..gateways).map(|_| fleet_of(2, start)).collect();
    for (fleet, keys) in &mut fleets {
        for i in 0..keys.len() {
            fleet.record_backoff(&entry(i as u16, 1), stated, start);
        }
    }
    let mut returns: Vec<(Instant, usize)> = Vec::new();
    let mut callers = 0;
    let mut arrivals: Vec<Instant> = Vec::new();
    for ms in (0..4_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        let is_due = |(at, _): &mut (Instant, usize)| *at <= now;
        let mut arrived: Vec<usize> = returns.extract_if(.., is_due).map(|(_, i)| i).collect();
        if ms < 1_900 {
            callers += gateways;
            arrived.extend(0..gateways);
        }
        for i in arrived {
            let (fleet, _) = &mut fleets[i];
            if let Some(key) = chosen(fleet, now, rng) {
                fleet.start_call(key, now);
                fleet.end_call(key);
                arrivals.push(now);
                assert!(now >= start + stated, "seed {seed}");
            } else {
                let wait = fleet.backoff_wait("app", &[], now, rng);
                returns.push((now + wait.expect("all servers back off"), i));
            }
        }
    }
    let in_window = |from: &Instant| {
        let until = *from + Duration::from_millis(100);
        let is_inside = |at: &&Instant| *from <= **at && **at < until;
        arrivals.iter().filter(is_inside).count()
    };
    (arrivals.iter().map(in_window).max().unwrap_or(0), callers)
}

#[test]
fn servers_get_no_burst_at_the_end_of_a_stated_time() {
    for gateways in [1, 5, 27] {
        for seed in 0..SEEDS / 10 {
            let (most, callers) = replay_return(gateways, seed);
            // Until a response has come, each gateway sends each server one request per 100 ms.
            assert!(most <= 2 * gateways, "{most} of {callers}, seed {seed}");
            assert!(most > 0, "the servers are tried");
        }
    }
}

#[test]
fn time_that_ends_last_counts_and_a_success_takes_nothing_back() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut fleet, keys) = fleet_of(1, start);
    assert!(fleet.record_backoff(&entry(0, 1), Duration::from_secs(3), start));
    assert!(!fleet.record_backoff(&entry(0, 1), Duration::from_secs(1), at(500)));
    fleet.record_response(&entry(0, 1), at(600));
    assert!(!fleet.allows_request(keys[0], at(2_990)));
    assert!(fleet.allows_request(keys[0], at(3_000)));
    fleet.record_backoff(&entry(0, 1), Duration::from_secs(5), at(2_000));
    assert!(!fleet.allows_request(keys[0], at(6_990)), "a longer one");
}

#[test]
fn server_is_tried_until_a_response_comes() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut fleet, keys) = fleet_of(1, start);
    fleet.record_backoff(&entry(0, 1), Duration::from_secs(1), start);
    fleet.start_call(keys[0], at(1_000));
    assert!(!fleet.allows_request(keys[0], at(1_050)), "one trial");
    assert!(fleet.allows_request(keys[0], at(1_100)), "the next one");
    fleet.start_call(keys[0], at(1_100));
    fleet.record_response(&entry(0, 1), at(900));
    assert!(!fleet.allows_request(keys[0], at(1_150)), "an old response");
    fleet.record_response(&entry(0, 1), at(1_000));
    assert!(fleet.allows_request(keys[0], at(1_150)));
}

#[test]
fn next_incarnation_is_not_bound() {
    let now = Instant::now();
    let (mut fleet, _) = fleet_of(1, now);
    fleet.record_backoff(&entry(0, 1), Duration::from_secs(600), now);
    fleet.record_entry(entry(0, 1), now);
    assert!(wait(&fleet, now).is_some(), "the same incarnation is");
    fleet.record_entry(entry(0, 2), now);
    assert_eq!(wait(&fleet, now), None);
    assert!(chosen(&fleet, now, &mut StdRng::seed_from_u64(1)).is_some());
}

#[test]
fn probes_and_checks_share_one_request_of_a_stated_time() {
    let now = Instant::now();
    let (mut fleet, _) = fleet_of(1, now);
    let server = entry(0, 1);
    assert!(fleet.take_check(&server, now));
    assert!(fleet.take_check(&server, now), "no time is stated");
    fleet.record_backoff(&server, Duration::from_secs(3), now);
    assert!(fleet.take_check(&server, now));
    assert!(!fleet.take_check(&server, now + Duration::from_secs(2)));
    assert!(fleet.take_check(&server, now + Duration::from_secs(3)));
}

/// Guards against a stated time that ends with the server's entry, or that needs one.
#[test]
fn stated_time_outlasts_the_entry() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let rng = &mut StdRng::seed_from_u64(1);
    for (is_open, is_stated_last) in [(false, false), (false, true), (true, false), (true, true)] {
        let (mut fleet, keys) = fleet_of(1, now);
        if is_open {
            fleet.start_call(keys[0], now);
        }
        if !is_stated_last {
            fleet.record_backoff(&entry(0, 1), Duration::from_secs(10), now);
        }
        fleet.remove_instance("app-0");
        if is_stated_last {
            fleet.record_backoff(&entry(0, 1), Duration::from_secs(10), now);
        }
        fleet.record_entry(entry(0, 1), now);
        let case = format!("open {is_open}, stated last {is_stated_last}");
        assert_eq!(chosen(&fleet, later, rng), None, "{case}");
        assert!(
            wait(&fleet, later) >= Some(Duration::from_secs(5)),
            "{case}"
        );
        fleet.record_missing("app-0", later);
        fleet.expire_missing(true, later);
        fleet.record_entry(entry(0, 1), later);
        assert_eq!(chosen(&fleet, later, rng), None, "{case}: expired");
        let end = now + Duration::from_secs(10);
        assert!(chosen(&fleet, end, rng).is_some(), "{case}");
        fleet.record_entry(entry(0, 2), later);
        assert!(
            chosen(&fleet, later, rng).is_some(),
            "{case}: incarnation 2"
        );
    }
}

/// Guards against memory that grows with each server that ever stated a time.
#[test]
fn times_that_end_last_are_kept_when_memory_is_full() {
    let now = Instant::now();
    let mut fleet = BackendFleet::new(FleetConfig::default());
    fleet.record_backoff(&entry(1, 1), Duration::from_secs(600), now);
    for i in 0..40_000 {
        let wait = Duration::from_secs(1 + i % 500);
        fleet.record_backoff(&entry(2, 10 + i), wait, now);
    }
    fleet.record_entry(entry(1, 1), now);
    assert!(chosen(&fleet, now, &mut StdRng::seed_from_u64(1)).is_none());
}

#[test]
fn refused_callers_are_told_the_shortest_time_left() {
    let now = Instant::now();
    let (mut fleet, _) = fleet_of(3, now);
    fleet.record_backoff(&entry(0, 1), Duration::from_secs(20), now);
    fleet.record_backoff(&entry(1, 1), Duration::from_secs(4), now);
    assert_eq!(wait(&fleet, now), None, "one server takes requests");
    let departed = fleet.record_departure(&entry(2, 1), now);
    assert!(departed);
    let told = wait(&fleet, now).expect("no server takes requests");
    assert!((4.0..=5.0).contains(&told.as_secs_f64()), "{told:?}");
    assert!(chosen(&fleet, now, &mut StdRng::seed_from_u64(1)).is_none());
}

#[test]
fn copies_are_not_held_by_a_server_that_backs_off() {
    let now = Instant::now();
    let (mut fleet, keys) = fleet_of(2, now);
    let rng = &mut StdRng::seed_from_u64(1);
    let mut holder = |fleet: &BackendFleet| {
        fleet.choose_copy_holder(keys[0], 0, BackendWork::default(), &[], now, rng)
    };
    assert_eq!(holder(&fleet), Some(keys[1]));
    fleet.record_backoff(&entry(1, 1), Duration::from_secs(2), now);
    assert_eq!(holder(&fleet), None);
}
