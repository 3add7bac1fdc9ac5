//! Keeps requests from backend servers that declined one and stated for how long they want no more.
//!
//! Load pattern: all servers of a small service are under pressure and decline requests at the same
//! moment; callers that were refused meanwhile return when the stated times end. A stated time binds
//! an incarnation, so it is remembered apart from the server's entry.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::backend::{Backend, BackendEntry, BackendKey, ServerIncarnation};
use crate::backend_fleet::BackendFleet;

/// Time between two requests to a server whose stated time is over, until one has got a response.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time over which the returns of refused callers are spread.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Probes and checks that are sent within one stated time.
const MAX_PROBES: u32 = 1;

/// Maximum number of stated times that are remembered, about 60 bytes each.
const MAX_BACKOFFS: usize = 16_384;

/// Time for which a backend server wants no requests from this gateway.
#[derive(Clone, Copy, Debug)]
struct ServerBackoff {
    until: Instant,
    probes_left: u32,
    /// Last request that was sent to it.
    last_sent: Option<Instant>,
}

impl ServerBackoff {
    fn new(until: Instant) -> Self {
        Self {
            until,
            probes_left: MAX_PROBES,
            last_sent: None,
        }
    }

    /// Returns when the next request may be sent.
    fn next_send(&self) -> Instant {
        let after_trial = self.last_sent.map(|at| at + TRIAL_INTERVAL);
        after_trial.map_or(self.until, |at| at.max(self.until))
    }
}

/// Times for which backend servers want no requests, until a request after them got a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs {
    by_server: HashMap<ServerIncarnation, ServerBackoff>,
}

impl Backoffs {
    fn get(&self, server: ServerIncarnation) -> Option<&ServerBackoff> {
        // Mostly no server has stated a time.
        if self.by_server.is_empty() {
            return None;
        }
        self.by_server.get(&server)
    }

    /// Returns whether a server has stated that it wants no requests now.
    pub(crate) fn is_backing_off(&self, server: ServerIncarnation, now: Instant) -> bool {
        self.get(server).is_some_and(|backoff| backoff.until > now)
    }

    /// Returns the time until a server takes a request; zero if it does now.
    fn time_left(&self, server: ServerIncarnation, now: Instant) -> Duration {
        let left = |backoff: &ServerBackoff| backoff.next_send().saturating_duration_since(now);
        self.get(server).map_or(Duration::ZERO, left)
    }

    /// Returns whether the time that a server stated, if any, allows another request.
    pub(crate) fn has_backed_off(&self, server: ServerIncarnation, now: Instant) -> bool {
        self.time_left(server, now).is_zero()
    }

    /// Records that a request is sent to a server.
    pub(crate) fn record_sent(&mut self, server: ServerIncarnation, now: Instant) {
        if let Some(backoff) = self.by_server.get_mut(&server) {
            backoff.last_sent = Some(now);
        }
    }

    /// Decides whether a probe is sent to a server.
    pub(crate) fn take_probe(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        let backoff = self.by_server.get_mut(&server);
        let Some(backoff) = backoff.filter(|backoff| backoff.until > now) else {
            return true;
        };
        let is_granted = backoff.probes_left > 0;
        backoff.probes_left = backoff.probes_left.saturating_sub(1);
        is_granted
    }

    /// Records that a server wants no requests until `until`; returns whether it had not stated that
    /// before.
    fn record(&mut self, server: ServerIncarnation, until: Instant, now: Instant) -> bool {
        if let Some(backoff) = self.by_server.get_mut(&server)
            && backoff.until > now
        {
            backoff.until = backoff.until.max(until);
            return false;
        }
        if !self.by_server.contains_key(&server) {
            self.make_room(now);
        }
        self.by_server.insert(server, ServerBackoff::new(until));
        true
    }

    fn make_room(&mut self, now: Instant) {
        if self.by_server.len() < MAX_BACKOFFS {
            return;
        }
        self.by_server.retain(|_, backoff| backoff.until > now);
        if self.by_server.len() < MAX_BACKOFFS {
            return;
        }
        let mut ends: Vec<Instant> = self.by_server.values().map(|b| b.until).collect();
        // Several are dropped at once, so that a full table is not searched for each server.
        let (_, dropped_until, _) = ends.select_nth_unstable(MAX_BACKOFFS / 8);
        let dropped_until = *dropped_until;
        self.by_server
            .retain(|_, backoff| backoff.until > dropped_until);
    }
}

impl Backend {
    /// Decides whether a probe of its running work is sent.
    pub(crate) fn take_probe(&self, backoffs: &mut Backoffs, now: Instant) -> bool {
        !self.has_left(now) && backoffs.take_probe(self.incarnation, now)
    }
}

impl BackendFleet {
    /// Records that the backend server that registered this entry wants no requests for `wait`, even
    /// if the entry is gone; returns whether it had not stated that before.
    ///
    /// The statement that ends last counts: a shorter one, or a successful response, does not take
    /// back what the server asked for before.
    pub fn record_backoff(&mut self, entry: &BackendEntry, wait: Duration, now: Instant) -> bool {
        let server = ServerIncarnation::of_entry(entry);
        self.backoffs.record(server, now + wait, now)
    }

    /// Records a response that asks for no pause, to a request that was sent at `sent_at`; it ends
    /// the trial after a stated time.
    pub fn record_response(&mut self, entry: &BackendEntry, sent_at: Instant) {
        if self.backoffs.by_server.is_empty() {
            return;
        }
        let server = ServerIncarnation::of_entry(entry);
        let is_over = |backoff: &ServerBackoff| backoff.until <= sent_at;
        if self.backoffs.get(server).is_some_and(is_over) {
            self.backoffs.by_server.remove(&server);
        }
    }

    /// Decides whether a check is sent to the backend server that registered this entry; within a
    /// stated time it takes the place of a probe.
    pub fn take_check(&mut self, entry: &BackendEntry, now: Instant) -> bool {
        let server = ServerIncarnation::of_entry(entry);
        self.backoffs.take_probe(server, now)
    }

    /// Draws the time after which a refused request may return, if all usable backend servers of
    /// its service have stated that they want no requests now; `excluded` ones are left out.
    ///
    /// It is not shorter than the shortest time left of these servers.
    pub fn backoff_wait(
        &self,
        service: &str,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let usable = self.backends.iter().filter(|(key, backend)| {
            &*backend.entry.service == service
                && !excluded.contains(key)
                && backend.tier(now).is_some()
        });
        let left = usable
            .map(|(_, backend)| self.backoffs.time_left(backend.incarnation, now))
            .min()?;
        if left.is_zero() {
            return None;
        }
        let share = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        Some(left + left.min(MAX_RETURN_SPREAD).mul_f64(share))
    }

    /// Returns whether a request for which a backend server was chosen may still be sent there.
    pub fn is_available(&self, key: BackendKey, now: Instant) -> bool {
        let backend = self.backends.get(key);
        backend.is_some_and(|b| {
            b.tier(now).is_some() && !self.backoffs.is_backing_off(b.incarnation, now)
        })
    }
}
