//! Software versions that the backend servers of each service have had for as long as a stream can last.
//!
//! Load pattern: a stream whose origin is lost is resumed after the backend servers of its version have left.
//! What is listed then does not show that no other version can have begun it; only a list that was followed
//! without a gap does.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use crate::served_versions::ServedVersion;
use crate::software::SoftwareId;
use crate::store_position::StoreEra;
use crate::stream_origins::ServiceId;

/// Time after which a peer's word that the store holds a version no longer counts. The page may expire later.
const PEER_RECORD_EXPIRY: Duration = Duration::from_secs(1_800);

/// Maximum number of versions that are taken from one heartbeat.
const MAX_PEER_VERSIONS: usize = 16;

/// A peer's word on the versions that the store holds as served by it.
#[derive(Clone, Debug)]
struct PeerRecord {
    served: Vec<ServedVersion>,
    at: Instant,
}

impl PeerRecord {
    fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < PEER_RECORD_EXPIRY
    }
}

/// Versions that one gateway has seen in the list of backend servers, and since when it has followed the list.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    retention: Duration,
    /// Time at which each version was last seen.
    versions: HashMap<ServedVersion, Instant>,
    /// Versions that the store holds as served by this gateway.
    stored: HashSet<ServedVersion>,
    /// The last word of each peer on the versions that the store holds.
    peers_stored: HashMap<Ipv4Addr, PeerRecord>,
    /// Since when each change of the list was seen.
    followed_since: Option<Instant>,
    /// Era of the store, and since when it is known.
    era: Option<(StoreEra, Instant)>,
    /// When it was found that versions of the gateway's earlier incarnation are not known.
    unknown_at: Option<Instant>,
}

impl VersionHistory {
    /// Creates the history of a gateway that has not read the list; no stream is resumed after `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            versions: HashMap::new(),
            stored: HashSet::new(),
            peers_stored: HashMap::new(),
            followed_since: None,
            era: None,
            unknown_at: None,
        }
    }

    /// Records that a service has or had a backend server of a software version.
    pub fn record(&mut self, service: ServiceId, software: SoftwareId, now: Instant) {
        let retention = self.retention;
        self.versions
            .retain(|_, seen_at| now.saturating_duration_since(*seen_at) < retention);
        self.versions.insert((service, software), now);
    }

    /// Returns the versions that were seen within the retention.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = ServedVersion> + '_ {
        let is_recent =
            move |seen_at: Instant| now.saturating_duration_since(seen_at) < self.retention;
        let recent = self
            .versions
            .iter()
            .filter(move |(_, seen_at)| is_recent(**seen_at));
        recent.map(|(version, _)| *version)
    }

    /// Records that the store holds versions as served by this gateway.
    pub fn record_stored(&mut self, served: impl Iterator<Item = ServedVersion>) {
        self.stored = served.collect();
    }

    /// Records a peer's word on the versions that the store holds as served by it, in place of its last one; returns
    /// whether a version is new.
    ///
    /// A peer that names none has written no page since it started, so its earlier page is still there.
    pub fn record_peer_stored(
        &mut self,
        peer: Ipv4Addr,
        served: impl Iterator<Item = ServedVersion>,
        now: Instant,
    ) -> bool {
        self.peers_stored.retain(|_, record| record.counts(now));
        let served: Vec<ServedVersion> = served.take(MAX_PEER_VERSIONS).collect();
        if served.is_empty() {
            return false;
        }
        let is_new =
            |(service, software): &ServedVersion| !self.is_stored(*service, *software, now);
        let has_new = served.iter().any(is_new);
        self.peers_stored
            .insert(peer, PeerRecord { served, at: now });
        has_new
    }

    /// Returns the versions that the store holds as served by this gateway.
    pub fn stored(&self) -> impl Iterator<Item = ServedVersion> + '_ {
        self.stored.iter().copied()
    }

    /// Returns whether the store holds a version as served by this gateway.
    pub fn is_own_stored(&self, service: ServiceId, software: SoftwareId) -> bool {
        self.stored.contains(&(service, software))
    }

    /// Returns whether the store holds a version as served by any gateway, so that streams may begin at it.
    pub fn is_stored(&self, service: ServiceId, software: SoftwareId, now: Instant) -> bool {
        let version = (service, software);
        let mut peers = self.peers_stored.values();
        self.stored.contains(&version)
            || peers.any(|record| record.counts(now) && record.served.contains(&version))
    }

    /// Records that the list was read whole, so that changes before may have been missed.
    pub fn record_list(&mut self, now: Instant) {
        self.followed_since = Some(now);
    }

    /// Records that all changes since the last call were seen.
    pub fn record_changes(&mut self, now: Instant) {
        self.followed_since.get_or_insert(now);
    }

    /// Records that changes may be missed from now on.
    pub fn record_gap(&mut self) {
        self.followed_since = None;
    }

    /// Records that it is not known which versions an earlier incarnation of the gateway served.
    pub fn record_unknown(&mut self, now: Instant) {
        self.unknown_at = Some(now);
    }

    /// Returns whether all versions are known at which streams of this gateway and its earlier incarnations began
    /// that may still be resumed.
    pub fn is_known(&self, now: Instant) -> bool {
        self.unknown_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.retention)
    }

    /// Records the era of the store; returns for how long it is known.
    pub fn record_era(&mut self, era: StoreEra, now: Instant) -> Duration {
        let known = self.era.filter(|(known, _)| *known == era);
        let (_, since) = *self.era.insert(known.unwrap_or((era, now)));
        now.saturating_duration_since(since)
    }

    /// Returns whether the list has been followed for the whole retention.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.followed_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.retention)
    }

    /// Returns the only software version that can have begun a stream of a service: the one that all `listed`
    /// backend servers have, if the history is complete and has no other.
    pub fn sole_version(
        &self,
        service: ServiceId,
        listed: impl Iterator<Item = SoftwareId>,
        now: Instant,
    ) -> Option<SoftwareId> {
        if !self.is_complete(now) {
            return None;
        }
        let seen = self.recent(now).filter(|(of, _)| *of == service);
        let mut all = listed.chain(seen.map(|(_, software)| software));
        let first = all.next()?;
        all.all(|software| software == first).then_some(first)
    }
}
