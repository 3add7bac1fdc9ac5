//! The daemon: command line, settings, logs, metrics and the life of one process.

#![warn(missing_docs)]

mod admin;
mod flags;
mod logs;
mod run;
mod settings;

pub use run::main;
pub use settings::{
    AgentSettings, BackendSetting, LogLevel, PeerSetting, RouterSettings, Settings, SettingsError,
    parse_settings,
};
