//! Settings files of routers and agents, validated in full before the process starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cactusbarrow_agent::{AgentConfig, BackendKind};
use cactusbarrow_router::{Peer, RouterConfig};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Error of a settings file that cannot be read, parsed or validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// Errors, each with its line or field.
    pub errors: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let errors = self.errors.iter();
        let mut lines = errors.map(|error| format!("{}: {error}", self.file));
        f.write_str(&lines.by_ref().collect::<Vec<_>>().join("\n"))
    }
}

impl std::error::Error for SettingsError {}

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also events that an operator needs to follow the process.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
}

impl From<LogLevel> for log::LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

/// A peer router that is known before the platform's list of hosts has been read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSetting {
    /// Name of the router.
    pub name: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Address on which the router receives control messages.
    pub control: SocketAddr,
}

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of the router, unique among routers.
    pub name: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for control messages.
    pub control: SocketAddr,
    /// Address at which peers reach the control socket; defaults to `control`.
    pub advertised_control: Option<SocketAddr>,
    /// Listen address for metrics and health checks.
    pub admin: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peer routers to learn from while the store is unavailable.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// Minimum severity of the log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Limit of requests in flight; further requests are refused.
    pub max_in_flight: Option<usize>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: Option<usize>,
    /// Maximum total size of the connections, requests and bodies that the router holds, in bytes.
    pub body_memory_bytes: Option<usize>,
    /// Maximum number of callers' connections; defaults to half of the descriptors that the process may open.
    pub max_connections: Option<usize>,
    /// Drain time-out: the longest time that streams may continue after SIGTERM, in seconds.
    pub grace_seconds: Option<u64>,
}

/// Kind of backend server that an agent manages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKindSetting {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the backend server in the operators' documents.
    pub name: String,
    /// Listen address for requests from routers.
    pub listen: SocketAddr,
    /// Listen address for control messages.
    pub control: SocketAddr,
    /// Listen address for metrics and health checks.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Kind of the backend server.
    pub kind: BackendKindSetting,
    /// Minimum severity of the log lines that are written.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Drain time-out: the longest time from SIGTERM to the exit of the process, in seconds.
    pub grace_seconds: Option<u64>,
    /// Delay from the start of a drain until unfinished generations are moved to other engines, in
    /// seconds.
    pub move_after_seconds: Option<u64>,
    /// Longest time that a generation continues without a connected reader, in seconds.
    pub orphan_grace_seconds: Option<u64>,
    /// Maximum total size of the retained responses of claimed calls, in bytes.
    pub answer_memory_bytes: Option<usize>,
    /// Maximum total size of the connections, requests and bodies that the agent holds, retained responses among
    /// them, in bytes.
    pub body_memory_bytes: Option<usize>,
    /// Maximum number of routers' connections; defaults to a quarter of the descriptors that the process may open.
    pub max_connections: Option<usize>,
}

/// Settings whose values are validated after parsing.
pub trait Settings: DeserializeOwned {
    /// Returns an error message for each invalid value, prefixed with its field.
    fn validate(&self) -> Vec<String>;
}

impl Settings for RouterSettings {
    fn validate(&self) -> Vec<String> {
        let mut errors = check_names(&[("name", &self.name), ("zone", &self.zone)]);
        check_distinct(&[self.listen, self.control, self.admin], &mut errors);
        let is_unreachable = self.control.ip().is_unspecified() || self.control.port() == 0;
        if is_unreachable && self.advertised_control.is_none() {
            errors.push(
                "advertised_control: is required, since peers cannot connect to the address in control"
                    .to_owned(),
            );
        }
        check_connections(self.max_connections, &mut errors);
        errors
    }
}

impl Settings for AgentSettings {
    fn validate(&self) -> Vec<String> {
        let mut errors = check_names(&[("name", &self.name)]);
        check_distinct(&[self.listen, self.control, self.admin], &mut errors);
        let (move_after, grace) = (self.move_after_seconds, self.grace_seconds);
        let cfg = self.to_config(usize::MAX);
        if cfg.move_after >= cfg.drain_timeout {
            errors.push(format!(
                "move_after_seconds: must be below grace_seconds ({move_after:?}, {grace:?})"
            ));
        }
        check_connections(self.max_connections, &mut errors);
        errors
    }
}

/// Parts of a process's descriptors that connections to it may take, as divisors: a router sends all requests to an agent
/// on one connection, an agent opens one to its engine for each.
const ROUTER_CONNECTIONS_DIVISOR: usize = 2;
const AGENT_CONNECTIONS_DIVISOR: usize = 4;

/// The same for control connections, each of which takes three.
const CONTROL_CONNECTIONS_DIVISOR: usize = 12;

impl RouterSettings {
    /// Converts the settings to the router's configuration, with defaults for absent fields; `descriptors` is the number
    /// that the process may open.
    pub fn to_config(&self, descriptors: usize) -> RouterConfig {
        let mut cfg = RouterConfig::new(&self.name, &self.zone, self.listen, self.control);
        cfg.advertised_control = self.advertised_control;
        cfg.seeds = self
            .peers
            .iter()
            .map(|peer| Peer {
                name: peer.name.clone(),
                zone: peer.zone.clone(),
                control: peer.control,
            })
            .collect();
        cfg.max_in_flight = self.max_in_flight.unwrap_or(cfg.max_in_flight);
        cfg.max_body_bytes = self.max_body_bytes.unwrap_or(cfg.max_body_bytes);
        cfg.body_memory_bytes = self.body_memory_bytes.unwrap_or(cfg.body_memory_bytes);
        let fitting = cfg
            .max_connections
            .min(descriptors / ROUTER_CONNECTIONS_DIVISOR);
        cfg.max_connections = self.max_connections.unwrap_or(fitting);
        cfg.max_control_connections = cfg
            .max_control_connections
            .min(descriptors / CONTROL_CONNECTIONS_DIVISOR);
        cfg.drain_timeout = seconds_or(self.grace_seconds, cfg.drain_timeout);
        cfg
    }
}

impl AgentSettings {
    /// Converts the settings to the agent's configuration, with defaults for absent fields; `descriptors` is the number
    /// that the process may open.
    pub fn to_config(&self, descriptors: usize) -> AgentConfig {
        let kind = match self.kind {
            BackendKindSetting::Engine => BackendKind::Engine,
            BackendKindSetting::Service => BackendKind::Service,
        };
        let mut cfg = AgentConfig::new(&self.name, self.listen, self.control, self.backend, kind);
        cfg.drain_timeout = seconds_or(self.grace_seconds, cfg.drain_timeout);
        cfg.move_after = seconds_or(self.move_after_seconds, cfg.move_after);
        cfg.orphan_timeout = seconds_or(self.orphan_grace_seconds, cfg.orphan_timeout);
        let fitting = cfg
            .max_connections
            .min(descriptors / AGENT_CONNECTIONS_DIVISOR);
        cfg.max_connections = self.max_connections.unwrap_or(fitting);
        cfg.max_control_connections = cfg
            .max_control_connections
            .min(descriptors / CONTROL_CONNECTIONS_DIVISOR);
        cfg.response_cache_bytes = self.answer_memory_bytes.unwrap_or(cfg.response_cache_bytes);
        cfg.body_memory_bytes = self.body_memory_bytes.unwrap_or(cfg.body_memory_bytes);
        cfg
    }
}

/// Reads, parses and validates a settings file.
pub(crate) fn read_settings<T: Settings>(file: &Path) -> Result<T, SettingsError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| SettingsError {
        file: name.clone(),
        errors: vec![e.to_string()],
    })?;
    parse_settings(&name, &text)
}

/// Parses and validates the text of a settings file.
///
/// `file` is the path that errors report.
pub fn parse_settings<T: Settings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let error = |errors| SettingsError {
        file: file.to_owned(),
        errors,
    };
    let settings: T = serde_saphyr::from_str(text).map_err(|e| error(vec![e.to_string()]))?;
    let errors = settings.validate();
    if errors.is_empty() {
        Ok(settings)
    } else {
        Err(error(errors))
    }
}

fn seconds_or(seconds: Option<u64>, default: Duration) -> Duration {
    seconds.map_or(default, Duration::from_secs)
}

fn check_names(names: &[(&str, &str)]) -> Vec<String> {
    names
        .iter()
        .filter(|(_, name)| name.is_empty())
        .map(|(field, _)| format!("{field}: must not be empty"))
        .collect()
}

fn check_connections(max: Option<usize>, errors: &mut Vec<String>) {
    if max == Some(0) {
        errors.push("max_connections: must be at least 1".to_owned());
    }
}

fn check_distinct(addrs: &[SocketAddr; 3], errors: &mut Vec<String>) {
    let [listen, control, admin] = addrs;
    let is_same = |a: &SocketAddr, b: &SocketAddr| a == b && a.port() != 0;
    if is_same(listen, control) {
        errors.push(format!(
            "control: must differ from listen, which is also {listen}"
        ));
    }
    if is_same(listen, admin) || is_same(control, admin) {
        errors.push(format!(
            "admin: must differ from listen and control, one of which is also {admin}"
        ));
    }
}
