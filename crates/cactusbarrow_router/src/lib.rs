//! The router: the reverse proxy that callers connect to.
//!
//! It authenticates customers, balances load over backend servers, resumes
//! generations when their engine fails, claims unrepeatable calls before it
//! sends them, and distributes the current configuration to its peers and
//! agents. `cactusbarrow_policy` makes the decisions; this crate feeds events to
//! its state machines and performs their actions.

#![warn(missing_docs)]

mod attempt;
mod auth;
mod calls;
mod claim_client;
mod claim_shards;
mod completions;
mod config;
mod config_state;
mod config_sync;
mod control;
mod directory;
mod event_id;
mod generation_driver;
mod gossip;
mod hosts;
mod members;
mod peers;
mod poll;
mod refusal;
mod request;
mod resume;
mod router;
mod run;
mod service_queues;
mod sink;

pub use config::{Peer, RouterConfig};
pub use run::{RouterHandle, start};
