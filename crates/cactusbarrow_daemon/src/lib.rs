//! The daemon `cactusbarrowd`: command line, settings, logs, metrics and process lifecycle.

#![warn(missing_docs)]

mod admin;
mod flags;
mod gateway;
mod line_limiter;
mod line_queue;
mod logs;
mod run;
mod settings;
mod signals;

pub use line_limiter::{CallSite, LineLimiter, LineVerdict};
pub use run::main;
pub use settings::{
    AgentSettings, BackendKindSetting, LogLevel, PeerSetting, RouterSettings, Settings,
    SettingsError, parse_settings,
};
