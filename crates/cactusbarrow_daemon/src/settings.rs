//! Settings files, checked whole before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cactusbarrow_agent::{AgentConfig, BackendKind};
use cactusbarrow_router::{Peer, RouterConfig};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A settings file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// What is wrong, with line and field.
    pub faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults = self.faults.iter();
        let mut lines = faults.map(|fault| format!("{}: {fault}", self.file));
        f.write_str(&lines.by_ref().collect::<Vec<_>>().join("\n"))
    }
}

impl std::error::Error for SettingsError {}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// What an operator follows.
    #[default]
    Info,
    /// What a developer follows.
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

/// Another router, known before the platform's list is read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSetting {
    /// Name of the router.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its address for control messages.
    pub control: SocketAddr,
}

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name, unique among routers.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address that peers reach the control socket at; the one listened on if absent.
    pub advertised_control: Option<SocketAddr>,
    /// Address for metrics and health.
    pub admin: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Routers to learn from while the store is down.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// How much is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Requests in flight beyond which new ones are refused.
    pub max_in_flight: Option<usize>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: Option<usize>,
    /// Longest time that streams get to end after SIGTERM, in seconds.
    pub grace_seconds: Option<u64>,
}

/// What a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendSetting {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the backend server, as in the operators' document.
    pub name: String,
    /// Address for requests of routers.
    pub listen: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address for metrics and health.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// What the backend server is.
    pub kind: BackendSetting,
    /// How much is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Longest time from SIGTERM to the end of the process, in seconds.
    pub grace_seconds: Option<u64>,
    /// Time after the start of a drain at which generations are moved, in seconds.
    pub move_after_seconds: Option<u64>,
    /// Longest time that a generation goes on without a reader, in seconds.
    pub orphan_grace_seconds: Option<u64>,
    /// Memory for held answers, in bytes.
    pub answer_memory_bytes: Option<usize>,
}

/// Settings that can be checked beyond their form.
pub trait Settings: DeserializeOwned {
    /// Returns what is wrong with the values.
    fn faults(&self) -> Vec<String>;
}

impl Settings for RouterSettings {
    fn faults(&self) -> Vec<String> {
        let mut faults = check_names(&[("name", &self.name), ("zone", &self.zone)]);
        check_distinct(&[self.listen, self.control, self.admin], &mut faults);
        let is_any = self.control.ip().is_unspecified() || self.control.port() == 0;
        if is_any && self.advertised_control.is_none() {
            faults.push(
                "advertised_control: is required, since control names no address to reach"
                    .to_owned(),
            );
        }
        faults
    }
}

impl Settings for AgentSettings {
    fn faults(&self) -> Vec<String> {
        let mut faults = check_names(&[("name", &self.name)]);
        check_distinct(&[self.listen, self.control, self.admin], &mut faults);
        let (move_after, grace) = (self.move_after_seconds, self.grace_seconds);
        let defaults = self.to_config();
        if defaults.move_after >= defaults.grace {
            faults.push(format!(
                "move_after_seconds: must be below grace_seconds ({move_after:?}, {grace:?})"
            ));
        }
        faults
    }
}

impl RouterSettings {
    /// Returns the settings as the router takes them.
    pub fn to_config(&self) -> RouterConfig {
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
        cfg.drain_timeout = seconds_or(self.grace_seconds, cfg.drain_timeout);
        cfg
    }
}

impl AgentSettings {
    /// Returns the settings as the agent takes them.
    pub fn to_config(&self) -> AgentConfig {
        let kind = match self.kind {
            BackendSetting::Engine => BackendKind::Engine,
            BackendSetting::Service => BackendKind::Service,
        };
        let mut cfg = AgentConfig::new(&self.name, self.listen, self.control, self.backend, kind);
        cfg.grace = seconds_or(self.grace_seconds, cfg.grace);
        cfg.move_after = seconds_or(self.move_after_seconds, cfg.move_after);
        cfg.orphan_grace = seconds_or(self.orphan_grace_seconds, cfg.orphan_grace);
        cfg.answer_memory = self.answer_memory_bytes.unwrap_or(cfg.answer_memory);
        cfg
    }
}

/// Reads a settings file.
pub(crate) fn read_settings<T: Settings>(file: &Path) -> Result<T, SettingsError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| SettingsError {
        file: name.clone(),
        faults: vec![e.to_string()],
    })?;
    parse_settings(&name, &text)
}

/// Reads settings from the text of a file.
pub fn parse_settings<T: Settings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let error = |faults| SettingsError {
        file: file.to_owned(),
        faults,
    };
    let settings: T = serde_saphyr::from_str(text).map_err(|e| error(vec![e.to_string()]))?;
    let faults = settings.faults();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(error(faults))
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

fn check_distinct(addrs: &[SocketAddr; 3], faults: &mut Vec<String>) {
    let [listen, control, admin] = addrs;
    let is_same = |a: &SocketAddr, b: &SocketAddr| a == b && a.port() != 0;
    if is_same(listen, control) {
        faults.push(format!("control: is the address of listen, {listen}"));
    }
    if is_same(listen, admin) || is_same(control, admin) {
        faults.push(format!(
            "admin: is the address of another listener, {admin}"
        ));
    }
}
