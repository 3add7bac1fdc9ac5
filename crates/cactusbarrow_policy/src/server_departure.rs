//! Backend servers that are leaving, as they announced in a response or as the store listed them.
//!
//! Load pattern: servers are taken away while the store is unavailable or returns to an older copy, so
//! its list states them as ready, and each gateway learns of a departure only from responses and peers.
//! A departure is final for its incarnation, so it is remembered apart from the server's entry.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::backend::{Backend, BackendEntry, BackendKey, Listing, ServerIncarnation};
use crate::backend_fleet::BackendFleet;
use crate::server_backoff::Backoffs;

/// Time after an announcement in which probes and orders for running work are still sent.
const ORDER_GRACE: Duration = Duration::from_secs(1);

/// Time for which a gateway tells its peers of a departure that it observed.
const REPORT_TIME: Duration = Duration::from_secs(60);

/// Time for which the departure of a server that is not listed is remembered.
const MEMORY: Duration = Duration::from_secs(3_600);

/// Maximum number of departures that are remembered, about 50 bytes each.
const MAX_DEPARTURES: usize = 1_024;

/// When and by whom a departure was noticed.
#[derive(Clone, Copy, Debug)]
struct Departure {
    noticed_at: Instant,
    /// When the server first announced it to this gateway, if it did.
    announced_at: Option<Instant>,
    /// Number of heartbeats that told peers of it.
    reports: u32,
}

impl Departure {
    /// Creates a departure that the store's list or a peer states.
    fn reported(now: Instant) -> Self {
        Self {
            noticed_at: now,
            announced_at: None,
            reports: 0,
        }
    }

    /// Creates a departure that the server announced to this gateway.
    fn announced(now: Instant) -> Self {
        Self {
            noticed_at: now,
            announced_at: Some(now),
            reports: 0,
        }
    }
}

/// Departures of backend servers, which outlast their entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    noticed: HashMap<ServerIncarnation, Departure>,
}

impl Departures {
    pub(crate) fn contains(&self, id: ServerIncarnation) -> bool {
        self.noticed.contains_key(&id)
    }

    /// Returns when a server announced its departure to this gateway, if it did.
    pub(crate) fn announced_at(&self, id: ServerIncarnation) -> Option<Instant> {
        self.noticed.get(&id)?.announced_at
    }

    /// Records that the store lists a server as draining.
    pub(crate) fn record_listed(&mut self, id: ServerIncarnation, now: Instant) {
        self.record(id, Departure::reported(now));
    }

    /// Records a departure; returns whether it was unknown.
    fn record(&mut self, id: ServerIncarnation, departure: Departure) -> bool {
        if let Some(known) = self.noticed.get_mut(&id) {
            known.announced_at = known.announced_at.or(departure.announced_at);
            return false;
        }
        self.make_room(departure.noticed_at);
        self.noticed.insert(id, departure);
        true
    }

    fn make_room(&mut self, now: Instant) {
        let age = |departure: &Departure| now.saturating_duration_since(departure.noticed_at);
        self.noticed.retain(|_, departure| age(departure) < MEMORY);
        if self.noticed.len() < MAX_DEPARTURES {
            return;
        }
        let oldest = self
            .noticed
            .iter()
            .min_by_key(|(id, departure)| (departure.noticed_at, **id))
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.noticed.remove(&id);
        }
    }
}

impl Backend {
    /// Returns whether it announced its departure so long ago that it gets no more orders and probes.
    pub(crate) fn has_left(&self, now: Instant) -> bool {
        let is_long_ago = |at: Instant| now.saturating_duration_since(at) >= ORDER_GRACE;
        self.left_at.is_some_and(is_long_ago)
    }

    /// Returns whether orders for its running work may be sent.
    pub(crate) fn accepts_orders(&self, backoffs: &Backoffs, now: Instant) -> bool {
        !self.has_left(now) && !backoffs.is_backing_off(self.incarnation, now)
    }
}

impl BackendFleet {
    /// Records that the backend server that registered this entry announced that it is leaving, even if
    /// the entry is gone; returns whether that is new.
    ///
    /// Its running work goes on. It gets no new work, whatever the store lists, until another
    /// incarnation registers.
    pub fn record_departure(&mut self, entry: &BackendEntry, now: Instant) -> bool {
        let id = ServerIncarnation::of_entry(entry);
        let is_new = self.departures.announced_at(id).is_none();
        if is_new {
            self.departures.record(id, Departure::announced(now));
            self.mark_leaving(id);
        }
        is_new
    }

    /// Records a departure that a peer observed; returns the backend server if it was in use.
    pub fn record_peer_departure(
        &mut self,
        id: ServerIncarnation,
        now: Instant,
    ) -> Option<BackendKey> {
        if !self.departures.record(id, Departure::reported(now)) {
            return None;
        }
        self.mark_leaving(id)
    }

    /// Returns the departures that this gateway observed and reports to its peers, newest first.
    pub fn own_departures(&self, now: Instant) -> Vec<ServerIncarnation> {
        let is_recent = |departure: &Departure| {
            let announced_at = departure.announced_at;
            announced_at.is_some_and(|at| now.saturating_duration_since(at) < REPORT_TIME)
        };
        let mut recent: Vec<(Instant, ServerIncarnation)> = self
            .departures
            .noticed
            .iter()
            .filter(|(_, departure)| is_recent(departure))
            .map(|(id, departure)| (departure.noticed_at, *id))
            .collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        recent.into_iter().map(|(_, id)| id).collect()
    }

    /// Takes up to `count` departures for the next heartbeat: those that were reported least often, the
    /// newest first among these, so that all are reported in turn.
    pub fn take_departure_reports(&mut self, count: usize, now: Instant) -> Vec<ServerIncarnation> {
        let mut ids = self.own_departures(now);
        let noticed = &mut self.departures.noticed;
        ids.sort_by_key(|id| noticed.get(id).map_or(0, |departure| departure.reports));
        ids.truncate(count);
        for id in &ids {
            if let Some(departure) = noticed.get_mut(id) {
                departure.reports += 1;
            }
        }
        ids
    }

    /// Returns all departures that are remembered, for a peer that has just started.
    pub fn known_departures(&self) -> impl Iterator<Item = ServerIncarnation> {
        self.departures.noticed.keys().copied()
    }

    /// Returns whether orders and probes for running work may be sent to a backend server.
    pub fn accepts_orders(&self, key: BackendKey, now: Instant) -> bool {
        let backend = self.backends.get(key);
        backend.is_some_and(|backend| backend.accepts_orders(&self.backoffs, now))
    }

    /// Gives the backend servers of a departed incarnation no new work from now on; returns one that
    /// was in use until now.
    fn mark_leaving(&mut self, id: ServerIncarnation) -> Option<BackendKey> {
        let announced_at = self.departures.announced_at(id);
        let mut last_used = None;
        for (key, backend) in &mut self.backends {
            if backend.incarnation != id {
                continue;
            }
            backend.left_at = backend.left_at.or(announced_at);
            if backend.listing != Listing::Leaving {
                backend.listing = Listing::Leaving;
                self.unreliable.push(key);
                last_used = Some(key);
            }
        }
        last_used
    }
}
