//! Operators' configuration as a gateway uses it: routes, services and customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::ids::Revision;
use crate::store_position::StoreEra;

/// Name of a service.
pub type ServiceName = Arc<str>;

/// Kind of a request, which decides whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// A generation, whose response is a stream of events.
    Generation {
        /// Whether another backend server may resume after the last delivered event.
        can_resume: bool,
    },
}

impl RequestKind {
    /// Returns whether a caller may resume a stream of this kind.
    pub fn can_resume(self) -> bool {
        self == Self::Generation { can_resume: true }
    }

    /// Returns whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        !matches!(
            self,
            Self::NonIdempotent | Self::Generation { can_resume: false }
        )
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

/// Route: the requests that it matches and the settings that apply to them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host name in the requests that it matches, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Time within which the whole response must be delivered.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a generation.
    pub objective: Duration,
    /// Longest pause between two events that still meets the objective.
    pub pause_objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services among which requests are split, with their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Maximum number of backend servers that may run one request.
    pub max_runs: u32,
    /// Whether requests are accepted without a key.
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

/// Properties of the backend servers of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSpec {
    /// KV memory of one engine, in tokens; 0 for plain services.
    pub kv_capacity: u64,
    /// Path at which a backend server reports its health and instance id.
    pub health_path: String,
    /// Whether engines copy the memory of a running generation to another engine.
    pub has_copies: bool,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may be without a complete request.
    pub idle_timeout: Duration,
}

/// Customer, as given in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerSpec {
    /// Name that is passed to backend servers.
    pub name: Arc<str>,
    /// Priority that replaces that of the route.
    pub priority: Option<u32>,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// Version, which increases with each change.
    pub version: Revision,
    /// Routes; the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Customers by key; `None` if no request needs a key.
    pub customers: Option<HashMap<String, CustomerSpec>>,
}

/// Error for a request that matches no route or has no valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolveError {
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or belongs to no customer.
    UnknownKey,
}

impl OperatorConfig {
    /// Returns the route of a host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the route of a request and the customer that sent it.
    ///
    /// There is no customer if the route is public or the configuration needs no keys.
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

/// Holds the newest configuration, which an older version never replaces.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfigCell {
    current: Option<Arc<OperatorConfig>>,
    /// Era in which the store held the current configuration.
    era: StoreEra,
}

impl OperatorConfigCell {
    /// Returns the current configuration; `None` before the first one was received.
    pub fn current(&self) -> Option<&Arc<OperatorConfig>> {
        self.current.as_ref()
    }

    /// Returns the current version; 0 before the first one was received.
    pub fn version(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(Revision(0), |config| config.version)
    }

    /// Replaces the configuration if `config`, which the store held in `era`, is newer; returns
    /// whether it did.
    ///
    /// The operator may write a version that a restore of the store lost again, with other
    /// content: of one version, the content of the latest era counts.
    pub fn replace_if_newer(&mut self, config: OperatorConfig, era: StoreEra) -> bool {
        let is_newer = self.current.as_ref().is_none_or(|current| {
            let is_rewritten = config.version == current.version && era > self.era;
            config.version > current.version || (is_rewritten && config != **current)
        });
        if is_newer {
            self.current = Some(Arc::new(config));
            self.era = era;
        }
        is_newer
    }
}
