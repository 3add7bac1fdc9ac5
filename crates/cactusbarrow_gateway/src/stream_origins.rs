//! Records which software version began each stream, and finds it for a caller that resumes one.

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    AnnouncedOrigin, OriginConfig, ServiceId, ServiceName, SoftwareId, StreamId, StreamOrigin,
};

use crate::shared::Shared;
use crate::{origin_exchange, origin_store};

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
    let is_read = origin_store::read_pages(shared).await;
    if let Some(software) = find_in_table() {
        return Some((software, OriginSource::Store));
    }
    // Before that, a version that this gateway has never seen may have begun the stream.
    if !is_read && shared.uptime() < OriginConfig::default().retention {
        return None;
    }
    let listed = shared.fleet().software_versions(service);
    let (service, now) = (ServiceId::from_name(service), shared.now());
    let origins = shared.origins();
    let software = origins.sole_version(service, listed.into_iter(), now)?;
    Some((software, OriginSource::SoleVersion))
}
