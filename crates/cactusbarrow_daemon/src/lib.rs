//! The daemon: command line, settings, logs, metrics and the life of one process.

#![warn(missing_docs)]

mod admin;
mod flags;
mod gateway;
mod line_limiter;
mod line_queue;
mod logs;
mod run;
mod settings;

pub use line_limiter::{LineKind, LineLimiter, LineVerdict};
pub use run::main;
pub use settings::{
    AgentSettings, BackendSetting, LogLevel, PeerSetting, RouterSettings, Settings, SettingsError,
    parse_settings,
};
