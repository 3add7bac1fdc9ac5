//! Records which software version began each stream, and finds it for a caller that resumes one.

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    AnnouncedOrigin, ServedVersions, ServiceId, ServiceName, SoftwareId, StreamId, StreamOrigin,
};

use crate::shared::Shared;
use crate::{origin_exchange, origin_store, store_sync};

/// Where the origin of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// In this gateway's table.
    Table,
    /// At another gateway.
    Peer,
    /// In the store.
    Store,
    /// No other software version can have begun the stream.
    SoleVersion,
}

impl OriginSource {
    /// Returns the value used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// Records which software version brought the first event of a stream.
///
/// Other gateways are told before this returns, so that the origin outlives this process.
pub(crate) fn record<C: Clock>(
    shared: &Shared<C>,
    request_id: &str,
    service: &ServiceName,
    software: SoftwareId,
) {
    let now = shared.now();
    let origin = StreamOrigin {
        stream: StreamId::from_request_id(request_id),
        service: ServiceId::from_name(service),
        software,
    };
    shared.origins().record(origin, now);
    let number = shared.origin_pages().add(origin, now);
    origin_exchange::announce(shared, AnnouncedOrigin { origin, number });
    shared.origin_change().notify_one();
}

/// Finds the software version that began a stream.
///
/// `request_id` is that of the request that brought its first event, if the caller names it.
pub(crate) async fn find<C: Clock>(
    shared: &Shared<C>,
    request_id: Option<&str>,
    service: &ServiceName,
) -> Option<(SoftwareId, OriginSource)> {
    let stream = request_id.map(StreamId::from_request_id);
    let find_in_table = || shared.origins().find(stream?, shared.now());
    if let Some(software) = find_in_table() {
        return Some((software, OriginSource::Table));
    }
    if let Some(stream) = stream {
        origin_exchange::ask_holders(shared, stream).await;
    }
    if let Some(software) = find_in_table() {
        return Some((software, OriginSource::Peer));
    }
    let served = origin_store::read_pages(shared).await;
    if let Some(software) = find_in_table() {
        return Some((software, OriginSource::Store));
    }
    let from_pages = served.and_then(|served| find_served_version(shared, &served, service));
    let software = match from_pages {
        Some(software) => software,
        None => find_followed_version(shared, service).await?,
    };
    Some((software, OriginSource::SoleVersion))
}

/// Returns the only software version that can have begun a stream, if the pages of all gateways show it.
fn find_served_version<C: Clock>(
    shared: &Shared<C>,
    served: &ServedVersions,
    service: &ServiceName,
) -> Option<SoftwareId> {
    let listed = shared.fleet().software_versions(service);
    let service = ServiceId::from_name(service);
    let versions = shared.versions();
    let seen = versions.recent(shared.now());
    let seen = seen.filter(|(of, _)| *of == service);
    let seen = seen.map(|(_, software)| software);
    served.sole_version(service, listed.into_iter().chain(seen))
}

/// Returns the only software version that can have begun a stream, if this gateway has followed the list of
/// backend servers for as long as a stream can last.
async fn find_followed_version<C: Clock>(
    shared: &Shared<C>,
    service: &ServiceName,
) -> Option<SoftwareId> {
    let sole_version = || {
        let listed = shared.fleet().software_versions(service);
        let service = ServiceId::from_name(service);
        shared
            .versions()
            .sole_version(service, listed.into_iter(), shared.now())
    };
    sole_version()?;
    // A version may have come and gone since the last response to the watch.
    store_sync::record_new_versions(shared).await?;
    sole_version()
}
