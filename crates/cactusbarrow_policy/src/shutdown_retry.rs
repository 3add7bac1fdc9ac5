//! Decides after which time the caller that a stopping gateway refuses may retry.
//!
//! Load pattern: hosts are restarted one after the other, or several at once. The load balancer sends a retry to another
//! host in rotation in the zone of the caller, to any host of the zone while under half of them are in rotation, and to the nearest
//! zones once none is. Callers retry once, so one that is refused again is lost.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::shutdown::Shutdown;

/// Shortest wait of a refused caller.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Largest random part of a wait, as a divisor of the wait, and as a time: callers return spread over it.
const SPREAD_DIVISOR: u32 = 4;
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// What a gateway knows of a peer's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerShutdown {
    /// Whether the peer is in the availability zone of this gateway.
    pub is_in_zone: bool,
    /// Longest time until the peer exits; `None` if it is not stopping.
    pub exits_in: Option<Duration>,
}

/// Draws the wait of a caller that a gateway refuses in its shutdown, given all of its live peers.
pub fn shutdown_retry_after(
    shutdown: &Shutdown,
    peers: &[PeerShutdown],
    now: Instant,
    rng: &mut impl Rng,
) -> Duration {
    let wait = wait_for_refuge(shutdown, peers, now) + MIN_WAIT;
    let spread = (wait / SPREAD_DIVISOR).min(MAX_SPREAD);
    let share = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    wait + spread.mul_f64(share)
}

/// Returns the time after which a retry is expected to reach a gateway that takes it.
fn wait_for_refuge(shutdown: &Shutdown, peers: &[PeerShutdown], now: Instant) -> Duration {
    let own_exit = shutdown.time_left(now);
    let is_sound = |peer: &PeerShutdown| peer.exits_in.is_none();
    let in_zone: Vec<PeerShutdown> = peers
        .iter()
        .filter(|peer| peer.is_in_zone)
        .copied()
        .collect();
    let sound_in_zone = in_zone.iter().filter(|peer| is_sound(peer)).count();
    let stopping_in_zone = in_zone.len() - sound_in_zone;
    if sound_in_zone > 0 && sound_in_zone >= stopping_in_zone {
        return Duration::ZERO;
    }
    if sound_in_zone == 0 && peers.iter().any(is_sound) {
        let rotation = exits(&in_zone, own_exit).map(|exit| shutdown.rotation_time_before(exit));
        return rotation.max().unwrap_or_default();
    }
    let returning = if sound_in_zone == 0 { peers } else { &in_zone };
    let first_exit = exits(returning, own_exit).min().unwrap_or(own_exit);
    first_exit + shutdown.restart_delay()
}

/// Returns the times until the exits of this gateway and of the stopping ones among `peers`.
fn exits(peers: &[PeerShutdown], own_exit: Duration) -> impl Iterator<Item = Duration> {
    let exits = peers.iter().filter_map(|peer| peer.exits_in);
    exits.chain(std::iter::once(own_exit))
}
