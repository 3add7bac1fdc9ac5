//! Parts of a request by which it is recognized when engines end under it.

use crate::hash::{mix, stable_hash};
use crate::operator_config::ServiceName;
use crate::stream_origins::ServiceId;

/// Identifies a part of a prompt by the hashes of its id and of the service that gets the prompt, or
/// a whole request by its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// Identifies one incarnation of an engine by the hash of its instance and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IncarnationId(pub u64);

impl IncarnationId {
    /// Returns the id of an instance that was started as `incarnation`.
    pub fn new(instance: &str, incarnation: u64) -> Self {
        Self(mix(stable_hash(instance.as_bytes()) ^ incarnation))
    }
}

/// Parts of a request that may be at fault when its engine ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParts {
    /// Service that gets the prompt.
    pub service: ServiceId,
    /// Parts that other prompts may share, in order.
    pub shared: Vec<PartId>,
    /// Last part, which only attempts at the same prompt share.
    pub unique: Option<PartId>,
    /// Fingerprint of the whole request, which only attempts at the same request share.
    pub request: Option<PartId>,
}

/// What a [`PartId`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartKind {
    /// Part that prompts share.
    Shared,
    /// Last part of a prompt.
    Prompt,
    /// Whole request.
    Request,
}

impl PartKind {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Shared => "part",
            Self::Prompt => "prompt",
            Self::Request => "request",
        }
    }
}

impl RequestParts {
    /// Maximum number of shared parts that are considered, half of them from each end of a longer
    /// prompt: those that most other prompts share, and those that the fewest do.
    const MAX_SHARED: usize = 8;

    /// Creates the parts of a prompt for a service from their ids.
    pub fn new(service: &ServiceName, shared: &[String], unique: Option<&str>) -> Self {
        let service = ServiceId::from_name(service);
        let id_of = |part: &str| PartId(mix(stable_hash(part.as_bytes()) ^ service.0));
        let half = Self::MAX_SHARED / 2;
        let is_considered =
            |i: usize| shared.len() <= Self::MAX_SHARED || i < half || i + half >= shared.len();
        let considered = shared.iter().enumerate().filter(|(i, _)| is_considered(*i));
        Self {
            service,
            shared: considered.map(|(_, part)| id_of(part)).collect(),
            unique: unique.map(id_of),
            request: None,
        }
    }

    /// Adds the fingerprint of the whole request.
    pub fn with_request(self, fingerprint: PartId) -> Self {
        Self {
            request: Some(fingerprint),
            ..self
        }
    }

    /// Returns the part by which attempts at the same request are recognized.
    pub(crate) fn identity(&self) -> Option<PartId> {
        self.request.or(self.unique)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = PartId> + '_ {
        let shared = self.shared.iter().copied();
        shared.chain(self.unique).chain(self.request)
    }

    /// Returns the parts from the most specific to the least.
    pub(crate) fn most_specific_first(&self) -> impl Iterator<Item = (PartId, PartKind)> + '_ {
        let request = self.request.map(|part| (part, PartKind::Request));
        let unique = self.unique.map(|part| (part, PartKind::Prompt));
        let shared = self.shared.iter().rev();
        let shared = shared.map(|part| (*part, PartKind::Shared));
        request.into_iter().chain(unique).chain(shared)
    }

    pub(crate) fn contains(&self, part: PartId) -> bool {
        self.iter().any(|own| own == part)
    }

    pub(crate) fn remove(&mut self, part: PartId) {
        self.shared.retain(|own| *own != part);
        self.unique = self.unique.filter(|own| *own != part);
        self.request = self.request.filter(|own| *own != part);
    }

    /// Returns whether no part may be at fault.
    pub fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }
}
