//! Requests to peers for the list of backend servers.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use cactusbarrow_policy::{PeerFetchConfig, PeerFetches};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Interval at which a gateway looks for a newer peer.
const STEP: Duration = Duration::from_millis(100);

/// Time after which a request to a silent peer ends.
const TIMEOUT: Duration = Duration::from_millis(3_500);

fn ip(i: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i)
}

/// Replays a gateway that draws among peers of which only the last has the list: the others are silent
/// or send nothing new. Returns the time until it has the list.
fn replay(peers: u8, silent: u8, seed: u64) -> Duration {
    let rng = &mut StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut fetches = PeerFetches::new(PeerFetchConfig::default());
    let mut timeouts: Vec<(Ipv4Addr, Instant)> = Vec::new();
    let mut now = start;
    loop {
        for (peer, _) in timeouts.extract_if(.., |(_, at)| *at <= now) {
            fetches.record_end(peer, false, now);
        }
        if fetches.may_start(now) {
            let candidates: Vec<u8> = (0..peers)
                .filter(|i| fetches.is_candidate(ip(*i), now))
                .collect();
            if !candidates.is_empty() {
                let i = candidates[(rng.next_u64() % candidates.len() as u64) as usize];
                fetches.record_start(ip(i), now);
                if i + 1 == peers {
                    return now - start;
                }
                if i < silent {
                    timeouts.push((ip(i), now + TIMEOUT));
                } else {
                    fetches.record_end(ip(i), false, now);
                }
            }
        }
        now += STEP;
        assert!(now - start < Duration::from_secs(60), "seed {seed}");
    }
}

#[test]
fn list_arrives_soon_beside_silent_peers_and_peers_without_news() {
    for seed in 0..200 {
        for (peers, silent) in [(2, 1), (3, 2), (3, 1), (4, 0), (4, 2)] {
            let time = replay(peers, silent, seed);
            let limit = Duration::from_millis(1_700);
            assert!(time <= limit, "{time:?}, {peers}, {silent}, seed {seed}");
        }
    }
}

#[test]
fn peers_are_asked_one_at_a_time_while_they_respond() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut fetches = PeerFetches::new(PeerFetchConfig::default());
    assert!(fetches.is_idle());
    fetches.record_start(ip(0), start);
    assert!(!fetches.is_idle());
    assert!(!fetches.may_start(at(500)));
    assert!(!fetches.is_candidate(ip(0), at(500)), "it is being asked");
    assert!(fetches.may_start(at(600)), "it is silent");
    fetches.record_start(ip(1), at(600));
    assert!(!fetches.may_start(at(1_100)));
    fetches.record_start(ip(2), at(1_200));
    assert!(!fetches.may_start(at(9_000)), "three are silent");
    fetches.record_end(ip(1), true, at(9_000));
    assert!(fetches.may_start(at(9_000)));
    assert!(fetches.is_candidate(ip(1), at(9_000)));
    fetches.record_end(ip(0), false, at(9_000));
    assert!(!fetches.is_candidate(ip(0), at(9_400)), "it failed");
    assert!(fetches.is_candidate(ip(0), at(9_500)));
}
