//! The operators' configuration as a gateway uses it: routes, services and customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::ids::Revision;

/// Name of a service.
pub type ServiceName = Arc<str>;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A generation, answered as a stream of events.
    Generation {
        /// Whether another backend server may go on after the last delivered event.
        can_resume: bool,
    },
}

impl RequestKind {
    /// Returns whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        !matches!(
            self,
            Self::NonIdempotent | Self::Generation { can_resume: false }
        )
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_generation(self) -> bool {
        matches!(self, Self::Generation { .. })
    }

    /// Returns a short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Generation { .. } => "generation",
        }
    }
}

/// One route: which requests it takes and what applies to them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host that a request names, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time until the whole answer.
    pub timeout: Duration,
    /// Latency objective of the answer, or of the first event.
    pub objective: Duration,
    /// Longest pause between two events that still meets the objective.
    pub pause_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Largest number of backend servers that may run one request.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Draws the service of one request by the weights of the split.
    ///
    /// Returns `None` if no service has a weight.
    pub fn draw_service(&self, rng: &mut impl Rng) -> Option<&ServiceName> {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.next_u64() % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}

/// What the backend servers of a service can hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Tokens of KV memory of one engine; 0 for plain services.
    pub kv_capacity: u64,
    /// Path at which a backend server tells its health and instance.
    pub health_path: String,
    /// Whether engines copy the memory of a running generation to another engine.
    pub has_copies: bool,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may go without a whole request.
    pub idle_timeout: Duration,
}

/// A customer as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerSpec {
    /// Name that backend servers are told.
    pub name: Arc<str>,
    /// Rank that replaces the route's.
    pub priority: Option<u32>,
}

/// Everything that one version of the configuration says.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSet {
    /// Version; it only grows.
    pub version: Revision,
    /// Routes; the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Customers by key; `None` if requests need no key.
    pub customers: Option<HashMap<String, CustomerSpec>>,
}

/// Why a request has no place in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolveError {
    /// No route has this host and path.
    NoRoute,
    /// The key belongs to no customer.
    UnknownKey,
}

impl RouteSet {
    /// Finds the route with the longest prefix among those of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the route of a request and the customer that sent it.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&CustomerSpec>), ResolveError> {
        let route = self.route(host, path).ok_or(ResolveError::NoRoute)?;
        let Some(customers) = &self.customers else {
            return Ok((route, None));
        };
        if route.is_public {
            return Ok((route, None));
        }
        let customer = key.and_then(|key| customers.get(key));
        match customer {
            Some(customer) => Ok((route, Some(customer))),
            None => Err(ResolveError::UnknownKey),
        }
    }
}

/// Holds the newest configuration; an older one never replaces it.
#[derive(Clone, Debug, Default)]
pub struct RouteSetCell {
    current: Option<Arc<RouteSet>>,
}

impl RouteSetCell {
    /// Returns the configuration in force; `None` before the first.
    pub fn current(&self) -> Option<&Arc<RouteSet>> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> Revision {
        self.current.as_ref().map_or(Revision(0), |set| set.version)
    }

    /// Takes a configuration if it is newer; returns whether it was taken.
    pub fn replace_if_newer(&mut self, set: RouteSet) -> bool {
        let is_newer = self
            .current
            .as_ref()
            .is_none_or(|current| set.version > current.version);
        if is_newer {
            self.current = Some(Arc::new(set));
        }
        is_newer
    }
}
