//! The agent: a sidecar that controls admission to one backend server.
//!
//! All work reaches the backend server through its agent, and the agent alone
//! decides whether work may start. It retains the tokens of each generation for a
//! while, so that another router can attach after one has failed, and the responses of
//! claimed calls, so that a retry gets the response of the call that was run.

#![warn(missing_docs)]

mod agent;
mod attempt;
mod backend_probe;
mod calls;
mod config;
mod control;
mod engine;
mod generate;
mod generation_table;
mod reader_stream;
mod response_cache;
mod responses;
mod run;

pub use config::{AgentConfig, BackendKind};
pub use engine::{EngineError, EngineEvent};
pub use run::{AgentHandle, start};
