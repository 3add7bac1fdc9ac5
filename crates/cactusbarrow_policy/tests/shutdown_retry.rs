//! When callers return that a stopping gateway refuses.

mod common;

use std::time::{Duration, Instant};

use cactusbarrow_policy::{PeerShutdown, Shutdown, ShutdownConfig, shutdown_retry_after};
use common::fixed_seed_config;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const GRACE: Duration = Duration::from_secs(8);
const SECOND: Duration = Duration::from_secs(1);

/// Largest random part of a wait, and its shortest length.
const SPREAD: Duration = Duration::from_millis(500);
const MIN_WAIT: Duration = Duration::from_millis(50);

fn sound(is_in_zone: bool) -> PeerShutdown {
    PeerShutdown {
        is_in_zone,
        exits_in: None,
    }
}

fn stopping(is_in_zone: bool, exits_in: Duration) -> PeerShutdown {
    PeerShutdown {
        is_in_zone,
        exits_in: Some(exits_in),
    }
}

/// Returns the wait that a gateway names `since` after its stop signal.
fn wait(since: Duration, peers: &[PeerShutdown], seed: u64) -> Duration {
    let now = Instant::now();
    let mut shutdown = Shutdown::new(ShutdownConfig::default(), GRACE);
    shutdown.begin(now);
    let mut rng = StdRng::seed_from_u64(seed);
    shutdown_retry_after(&shutdown, peers, now + since, &mut rng)
}

/// Load pattern: one host of a zone is restarted in calm.
#[test]
fn caller_of_the_only_stopping_gateway_of_a_zone_retries_at_once() {
    for since in [Duration::ZERO, SECOND, 5 * SECOND] {
        let wait = wait(since, &[sound(true), sound(false)], 1);
        assert!(wait < 2 * MIN_WAIT, "{wait:?}");
    }
}

/// Load pattern: the only host of a zone is restarted. The load balancer sends callers to it until it is out of
/// rotation, and to the nearest zones after that.
#[test]
fn caller_without_another_gateway_in_its_zone_retries_elsewhere() {
    let left = ShutdownConfig::default().rotation_exit_delay;
    let early = wait(Duration::ZERO, &[sound(false)], 1);
    assert!(
        early > left && early < left + MIN_WAIT + SPREAD,
        "{early:?}"
    );
    assert!(wait(left, &[sound(false)], 1) < 2 * MIN_WAIT);
    // A peer of the zone that began to stop a second later is in rotation for longer.
    let later = stopping(true, GRACE - Duration::from_millis(300));
    let early = wait(SECOND, &[sound(false), later], 1);
    assert!(
        early > left && early < left + MIN_WAIT + SPREAD,
        "{early:?}"
    );
}

/// Load pattern: all hosts are restarted at once, and callers retry once.
#[test]
fn caller_retries_when_the_first_of_all_stopping_gateways_is_back() {
    let restart = ShutdownConfig::default().restart_delay;
    let peers = [stopping(true, 3 * SECOND), stopping(false, 5 * SECOND)];
    let first = wait(Duration::ZERO, &peers, 1);
    let expected = 3 * SECOND + restart;
    assert!(
        first > expected && first < expected + MIN_WAIT + SPREAD,
        "{first:?}"
    );
    let alone = wait(SECOND, &[], 1);
    assert!(alone > GRACE - SECOND, "{alone:?}");
}

/// Load pattern: most hosts of a zone are restarted at once, so the load balancer sends callers to all of them.
#[test]
fn caller_waits_where_its_retry_would_mostly_reach_a_stopping_gateway() {
    let restart = ShutdownConfig::default().restart_delay;
    let mut peers = vec![sound(true), stopping(true, 2 * SECOND)];
    assert!(wait(SECOND, &peers, 1) < 2 * MIN_WAIT);
    peers.push(stopping(true, 4 * SECOND));
    let most = wait(SECOND, &peers, 1);
    assert!(most > 2 * SECOND + restart, "{most:?}");
}

proptest! {
    #![proptest_config(fixed_seed_config(300))]

    /// Guards against callers that wait for a gateway which serves them now, and against ones that return while none
    /// does.
    #[test]
    fn wait_lasts_until_a_gateway_serves(
        peers in prop::collection::vec((any::<bool>(), prop::option::of(0_u64..7_700)), 0..8),
        since_ms in 0_u64..7_700,
        seed in any::<u64>(),
    ) {
        let exits_in = |ms: Option<u64>| ms.map(Duration::from_millis);
        let peers: Vec<PeerShutdown> = peers
            .iter()
            .map(|(is_in_zone, ms)| PeerShutdown { is_in_zone: *is_in_zone, exits_in: exits_in(*ms) })
            .collect();
        let since = Duration::from_millis(since_ms);
        let wait = wait(since, &peers, seed);
        let own_exit = GRACE - Duration::from_millis(300) - since;
        let exits = peers.iter().filter_map(|peer| peer.exits_in).chain([own_exit]);
        let first_exit = exits.min().unwrap_or_default();
        if peers.iter().all(|peer| peer.exits_in.is_some()) {
            prop_assert!(wait > first_exit, "{wait:?}, {first_exit:?}");
        }
        let latest = own_exit + ShutdownConfig::default().restart_delay + MIN_WAIT + SPREAD;
        prop_assert!(wait >= MIN_WAIT && wait <= latest, "{wait:?}");
    }
}
