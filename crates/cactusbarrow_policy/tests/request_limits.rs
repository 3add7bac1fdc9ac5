//! Many gateways before a backend server that names a limit, while gateways come and go.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{
    BackendEntry, BackendFleet, BackendKey, FleetConfig, SoftwareVersion, stable_hash,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 5;
const STEP: Duration = Duration::from_millis(10);
const RESPONSE_TIME: Duration = Duration::from_millis(30);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
const WINDOW: Duration = Duration::from_secs(4);
const ADOPTION_TIME: Duration = Duration::from_secs(3);
const DURATION: Duration = Duration::from_secs(25);

fn entry(now_incarnation: u64) -> BackendEntry {
    BackendEntry {
        instance: Arc::from("app-0"),
        service: Arc::from("app"),
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: Arc::from("zone"),
        software: SoftwareVersion(Arc::from("v1")),
        slots: 6,
        is_draining: false,
        incarnation: now_incarnation,
    }
}

struct Gateway {
    fleet: BackendFleet,
    key: BackendKey,
    /// When it runs; others notice its start and its end with a delay.
    from: Instant,
    until: Option<Instant>,
    /// Requests whose responses are still to come.
    sent: Vec<Instant>,
}

impl Gateway {
    fn new(from: Instant) -> Self {
        let mut fleet = BackendFleet::new(FleetConfig::default());
        fleet.record_entry(entry(1), from);
        let key = fleet.key_of("app-0").expect("the entry is listed");
        Self {
            fleet,
            key,
            from,
            until: None,
            sent: Vec::new(),
        }
    }

    fn runs(&self, now: Instant) -> bool {
        self.from <= now && self.until.is_none_or(|until| now < until)
    }

    fn is_known(&self, now: Instant) -> bool {
        let until = self.until.map(|until| until + PEER_TIMEOUT);
        self.from + HEARTBEAT_INTERVAL <= now && until.is_none_or(|until| now < until)
    }
}

/// Replays `count` gateways that all have more work than the limit allows; returns the largest
/// number of requests in a window, and the number of all requests.
fn replay(count: usize, limit: f64, seed: u64) -> (usize, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut gateways: Vec<Gateway> = (0..count).map(|_| Gateway::new(start)).collect();
    let mut arrivals: Vec<Instant> = Vec::new();
    let mut sent = 0;
    let mut now = start;
    while now < start + DURATION {
        // Every second or so a gateway ends, and another one starts.
        if now > start + ADOPTION_TIME && rng.next_u64() % 100 == 0 {
            let running: Vec<usize> = (0..gateways.len())
                .filter(|i| gateways[*i].runs(now))
                .collect();
            if let Some(i) = running.get(rng.next_u64() as usize % running.len().max(1)) {
                gateways[*i].until = Some(now);
                gateways.push(Gateway::new(now + Duration::from_millis(500)));
            }
        }
        let known: Vec<u64> = (0..gateways.len())
            .filter(|i| gateways[*i].is_known(now))
            .map(hash)
            .collect();
        let is_heartbeat = (now - start)
            .as_millis()
            .is_multiple_of(HEARTBEAT_INTERVAL.as_millis());
        let reported: Vec<_> = gateways
            .iter()
            .filter(|gateway| gateway.runs(now))
            .flat_map(|gateway| gateway.fleet.named_limits(now))
            .collect();
        for (i, gateway) in gateways.iter_mut().enumerate() {
            if !gateway.runs(now) {
                continue;
            }
            let peers = known.iter().copied().filter(|peer| *peer != hash(i));
            gateway.fleet.record_gateways(hash(i), peers);
            if is_heartbeat {
                for limit in &reported {
                    gateway.fleet.record_peer_limit(*limit, now);
                }
            }
            let is_due = |sent_at: &Instant| *sent_at + RESPONSE_TIME <= now;
            for sent_at in gateway.sent.extract_if(.., |at| is_due(at)) {
                gateway
                    .fleet
                    .record_limit(gateway.key, Some(limit), sent_at, now);
            }
            if gateway
                .fleet
                .choose_for_call("app", &[], now, rng)
                .is_some()
            {
                gateway.fleet.start_call(gateway.key, now);
                gateway.sent.push(now);
                sent += 1;
                // The limit excuses a gateway that has just started.
                if now >= gateway.from + ADOPTION_TIME {
                    arrivals.push(now);
                }
            }
        }
        now += STEP;
    }
    let in_window = |from: &Instant| {
        let inside = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
        arrivals.iter().filter(inside).count()
    };
    (arrivals.iter().map(in_window).max().unwrap_or(0), sent)
}

fn hash(gateway: usize) -> u64 {
    stable_hash(&gateway.to_le_bytes())
}

#[test]
fn gateways_that_come_and_go_keep_to_a_limit_and_use_it() {
    for count in [1, 5, 27] {
        for limit in [0.0, 0.4, 2.8, 6.0, 40.0] {
            for seed in 0..SEEDS {
                let (most, all) = replay(count, limit, seed);
                let allowed = (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5;
                assert!(
                    most <= allowed,
                    "{count} gateways, limit {limit}, seed {seed}: {most} of {allowed}"
                );
                let offered = limit * DURATION.as_secs_f64();
                assert!(
                    all as f64 >= 0.4 * offered,
                    "{count} gateways, limit {limit}, seed {seed}: only {all} of {offered}"
                );
            }
        }
    }
}

/// Guards against a limit that a late response to an earlier request ends.
#[test]
fn response_from_before_a_limit_does_not_end_it() {
    let now = Instant::now();
    let mut gateway = Gateway::new(now);
    let later = now + Duration::from_millis(20);
    assert!(
        gateway
            .fleet
            .record_limit(gateway.key, Some(2.0), now, later)
    );
    assert!(
        !gateway
            .fleet
            .record_limit(gateway.key, None, now, later + RESPONSE_TIME)
    );
    assert!(!gateway.fleet.allows_request(gateway.key, later));
    let next = later + Duration::from_secs(1);
    assert!(
        gateway
            .fleet
            .record_limit(gateway.key, None, next, next + RESPONSE_TIME)
    );
    assert!(gateway.fleet.allows_request(gateway.key, next));
}

/// Guards against limits that last after the backend server has started again.
#[test]
fn limit_ends_with_its_incarnation() {
    let now = Instant::now();
    let mut gateway = Gateway::new(now);
    gateway.fleet.record_limit(gateway.key, Some(2.0), now, now);
    assert!(
        gateway
            .fleet
            .choose_for_call("app", &[], now, &mut StdRng::seed_from_u64(1))
            .is_none()
    );
    assert!(gateway.fleet.limit_wait("app", &[], now).is_some());
    gateway.fleet.record_entry(entry(2), now);
    assert!(
        gateway
            .fleet
            .choose_for_call("app", &[], now, &mut StdRng::seed_from_u64(1))
            .is_some()
    );
    assert_eq!(gateway.fleet.limit_wait("app", &[], now), None);
}
