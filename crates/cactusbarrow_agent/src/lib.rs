//! The agent: the gate in front of one backend server.
//!
//! All work reaches the backend server through its agent, and the agent alone
//! decides whether work may start. It holds the tokens of each generation for a
//! while, so that a reader that lost its router can go on, and the answers of
//! claimed calls, so that a retry gets the answer of the call that was run.

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
