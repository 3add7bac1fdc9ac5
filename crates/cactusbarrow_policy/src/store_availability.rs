//! Decides whether entries that vanished from the store may be written again, or are gone.
//!
//! Load pattern: some gateways are cut off from the store and come back while backend servers leave.
//! Only an outage of the store itself lets entries expire whose owners are alive.

use std::time::{Duration, Instant};

/// Settings of [`StoreAvailability`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreAvailabilityConfig {
    /// Shortest outage in which entries may expire although their owners are alive.
    pub min_expiry_outage: Duration,
    /// Time after an outage or a restore in which the owners of entries write them again.
    pub entry_renewal: Duration,
}

impl Default for StoreAvailabilityConfig {
    fn default() -> Self {
        Self {
            min_expiry_outage: Duration::from_millis(1_500),
            entry_renewal: Duration::from_secs(2),
        }
    }
}

/// A series of failed calls that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedOutage {
    /// Time from the first failed call to the next successful one.
    pub duration: Duration,
    /// Number of failed calls.
    pub failures: u32,
}

/// Record of the store's responses to one gateway.
#[derive(Clone, Debug, Default)]
pub struct StoreAvailability {
    cfg: StoreAvailabilityConfig,
    failing_since: Option<Instant>,
    failures: u32,
    confirmed_at: Option<Instant>,
    /// Since when this gateway has watched the store without an outage.
    watched_since: Option<Instant>,
    /// When an outage ended or a restore was noticed.
    returned_at: Option<Instant>,
}

impl StoreAvailability {
    /// Creates the record of a gateway that has made no call.
    pub fn new(cfg: StoreAvailabilityConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Returns whether the store responded to the last call; true if none was made.
    pub fn is_ok(&self) -> bool {
        self.failing_since.is_none()
    }

    /// Returns when the store last confirmed this gateway's data.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Records a failed call; returns the number of failures in a row.
    pub fn record_failure(&mut self, now: Instant) -> u32 {
        self.failing_since.get_or_insert(now);
        self.failures += 1;
        self.failures
    }

    /// Records a successful call; returns the outage that it ends, if any.
    pub fn record_success(&mut self, now: Instant) -> Option<EndedOutage> {
        let last_confirmed = self.confirmed_at.replace(now);
        let Some(since) = self.failing_since.take() else {
            self.watched_since.get_or_insert(now);
            return None;
        };
        let ended = EndedOutage {
            duration: now.saturating_duration_since(since),
            failures: std::mem::take(&mut self.failures),
        };
        if ended.duration >= self.cfg.min_expiry_outage {
            self.returned_at = Some(now);
        }
        // The outage may have begun right after the last response, long before a call failed.
        let unconfirmed = last_confirmed.map(|at| now.saturating_duration_since(at));
        if unconfirmed.is_none_or(|time| time >= self.cfg.min_expiry_outage) {
            self.watched_since = Some(now);
        }
        self.watched_since.get_or_insert(now);
        Some(ended)
    }

    /// Records that the store has returned to an older copy of its data.
    pub fn record_restore(&mut self, now: Instant) {
        self.returned_at = Some(now);
        self.watched_since = self.watched_since.map(|_| now);
    }

    /// Records that this gateway stops watching the store, so that it does not notice outages.
    pub fn record_watch_end(&mut self) {
        self.watched_since = None;
    }

    /// Returns for how long this gateway has watched the store without an outage; zero if it does
    /// not watch it.
    pub fn watched_for(&self, now: Instant) -> Duration {
        let since = self.watched_since.filter(|_| self.is_ok());
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether vanished entries are gone, because the store has been in service for longer
    /// than their owners take to write them again.
    ///
    /// `peers_watched_for` is the longest time for which a peer has watched the store without an
    /// outage: a gateway that was cut off itself does not know whether the store was in service.
    pub fn is_settled(&self, peers_watched_for: Duration, now: Instant) -> bool {
        self.watched_for(now).max(peers_watched_for) >= self.cfg.entry_renewal
    }

    /// Returns until when entries that vanish now may be written again; `None` if they are gone.
    pub fn renewal_end(&self, peers_watched_for: Duration, now: Instant) -> Option<Instant> {
        let end = self.returned_at? + self.cfg.entry_renewal;
        let watched_for = self.watched_for(now).max(peers_watched_for);
        let end = end.min(now + self.cfg.entry_renewal.saturating_sub(watched_for));
        (end > now).then_some(end)
    }

    /// Returns until when entries that a peer reports as vanished may be written again, given the
    /// time that the peer states (zero if it states none); `None` if they are gone.
    pub fn peer_renewal_end(
        &self,
        stated: Duration,
        peers_watched_for: Duration,
        now: Instant,
    ) -> Option<Instant> {
        if self.is_settled(peers_watched_for, now) {
            return None;
        }
        let longest = self.cfg.entry_renewal;
        let left = if stated.is_zero() {
            longest
        } else {
            stated.min(longest)
        };
        Some(now + left)
    }
}
