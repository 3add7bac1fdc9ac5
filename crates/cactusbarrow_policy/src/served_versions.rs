//! Software versions at which gateways may have begun streams, as the pages of all gateways tell.
//!
//! Load pattern: all gateways end at once, so none has followed the list of backend servers. A gateway therefore
//! writes which versions are listed before it begins streams at them.

use std::time::Duration;

use crate::software::SoftwareId;
use crate::store_position::StoreEra;
use crate::stream_origins::ServiceId;

/// A software version of a service.
pub type ServedVersion = (ServiceId, SoftwareId);

/// What a page of a gateway tells about the versions at which it may have begun streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedPage {
    /// The versions.
    pub served: Vec<ServedVersion>,
    /// Time since it was written, by the clocks of two hosts.
    pub age: Duration,
    /// Era of the store, as the gateway knew it.
    pub era: StoreEra,
    /// Time for which the gateway had known of no later era.
    pub era_age: Duration,
    /// Whether it names all versions.
    pub is_complete: bool,
}

/// Versions at which gateways may have begun streams within the retention.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServedVersions {
    is_complete: bool,
    served: Vec<ServedVersion>,
}

impl ServedVersions {
    /// Time after which a page tells nothing about streams that may still be resumed. It exceeds outages of the
    /// store, in which gateways go on at the versions that their pages name.
    pub const PAGE_EXPIRY: Duration = Duration::from_secs(3_600);

    /// Time after which a gateway writes its page although nothing has changed.
    pub const REFRESH_INTERVAL: Duration = Duration::from_secs(60);

    /// Collects the pages of all gateways, as the store held them in `era`; a page that cannot be decoded is
    /// `None`.
    ///
    /// No stream is resumed after `retention`.
    pub fn collect(pages: &[Option<ServedPage>], era: StoreEra, retention: Duration) -> Self {
        let known: Vec<&ServedPage> = pages
            .iter()
            .flatten()
            .filter(|page| page.age < Self::PAGE_EXPIRY)
            .collect();
        // Pages of an earlier era show that the store has returned to a copy, which may lack others. A gateway that has
        // known the era for the retention shows that streams of that time are no longer resumed.
        let is_of_era = |page: &&&ServedPage| page.era == era;
        let is_settled = known
            .iter()
            .filter(is_of_era)
            .any(|page| page.era_age >= retention);
        let has_other_era = !known.iter().all(|page| page.era == era);
        let has_none = era != StoreEra::default() && known.is_empty();
        let is_incomplete = known.iter().any(|page| !page.is_complete);
        let has_unknown = is_incomplete || pages.iter().any(Option::is_none);
        Self {
            is_complete: (is_settled || !has_other_era) && !has_unknown && !has_none,
            served: known.iter().flat_map(|page| page.served.clone()).collect(),
        }
    }

    /// Returns the only software version that can have begun a stream of a service: the one that all `listed`
    /// backend servers have, if the pages are complete and name no other.
    pub fn sole_version(
        &self,
        service: ServiceId,
        listed: impl Iterator<Item = SoftwareId>,
    ) -> Option<SoftwareId> {
        if !self.is_complete {
            return None;
        }
        let served = self.served.iter().filter(|(of, _)| *of == service);
        let mut all = listed.chain(served.map(|(_, software)| *software));
        let first = all.next()?;
        all.all(|software| software == first).then_some(first)
    }
}
