//! Records which software version began each stream, for callers that resume streams.
//!
//! Load pattern: all gateways end at once, and their callers reconnect to new ones. What two
//! software versions write does not fit together, so a stream goes on only at the version that
//! began it. Gateways therefore tell the origins of their streams to other gateways
//! (`origin_holders`) and keep them in the platform's store (`origin_pages`).

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::hash::stable_hash;
use crate::operator_config::ServiceName;
use crate::software::SoftwareId;

/// Identifies a stream by the hash of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that a request began.
    pub fn from_request_id(request_id: &str) -> Self {
        Self(stable_hash(request_id.as_bytes()))
    }
}

/// Hash of a service's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// Returns the id of a service.
    pub fn from_name(service: &ServiceName) -> Self {
        Self(stable_hash(service.as_bytes()))
    }
}

/// The software version that brought the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Stream that was begun.
    pub stream: StreamId,
    /// Service to which its engine belongs.
    pub service: ServiceId,
    /// Version that began it.
    pub software: SoftwareId,
}

/// Settings of [`StreamOrigins`] and [`OriginPages`](crate::OriginPages).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginConfig {
    /// Time after which no caller resumes a stream any more, well beyond the longest time-out of a
    /// route.
    pub retention: Duration,
    /// Maximum number of origins in the table.
    pub max_entries: usize,
    /// Time span of one page.
    pub page_span: Duration,
    /// Maximum number of origins on one page.
    pub max_page_entries: usize,
}

impl OriginConfig {
    /// Returns the number of pages in a ring: a page is overwritten only after the retention.
    pub fn page_count(&self) -> usize {
        let spans = self.retention.as_secs_f64() / self.page_span.as_secs_f64();
        spans.ceil() as usize + 1
    }
}

impl Default for OriginConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(60),
            max_entries: 65_536,
            page_span: Duration::from_secs(15),
            max_page_entries: 16_384,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    service: ServiceId,
    software: SoftwareId,
    recorded_at: Instant,
}

/// Table of the origins of recent streams, as known to this gateway.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    cfg: OriginConfig,
    entries: HashMap<StreamId, Entry>,
    /// Streams in the order in which they were recorded; a stream that was recorded again is in it
    /// again.
    order: VecDeque<(StreamId, Instant)>,
}

impl StreamOrigins {
    /// Creates an empty table.
    pub fn new(cfg: OriginConfig) -> Self {
        Self {
            cfg,
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records the origin of a stream; when the table is full, the oldest one is dropped.
    pub fn record(&mut self, origin: StreamOrigin, now: Instant) {
        let entry = Entry {
            service: origin.service,
            software: origin.software,
            recorded_at: now,
        };
        self.entries.insert(origin.stream, entry);
        self.order.push_back((origin.stream, now));
        while let Some(&(stream, recorded_at)) = self.order.front()
            && (self.order.len() > self.cfg.max_entries || self.is_expired(recorded_at, now))
        {
            self.order.pop_front();
            if self.entries.get(&stream).map(|entry| entry.recorded_at) == Some(recorded_at) {
                self.entries.remove(&stream);
            }
        }
    }

    /// Returns the software version that began a stream, if it is known.
    pub fn find(&self, stream: StreamId, now: Instant) -> Option<SoftwareId> {
        self.find_origin(stream, now).map(|origin| origin.software)
    }

    /// Returns the origin of a stream, if it is known.
    pub fn find_origin(&self, stream: StreamId, now: Instant) -> Option<StreamOrigin> {
        let entry = self.entries.get(&stream)?;
        (!self.is_expired(entry.recorded_at, now)).then_some(StreamOrigin {
            stream,
            service: entry.service,
            software: entry.software,
        })
    }

    fn is_expired(&self, recorded_at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(recorded_at) >= self.cfg.retention
    }
}
