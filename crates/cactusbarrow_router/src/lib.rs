//! The router: the entry process that callers reach.
//!
//! It authenticates customers, chooses backend servers, carries each generation
//! through the deaths of engines, claims unrepeatable calls before it sends
//! them, and spreads the accepted configuration to its peers and agents.
//! Decisions are those of `cactusbarrow_policy`; this crate carries events in
//! and actions out.

#![warn(missing_docs)]

mod admission_queues;
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
mod in_flight_limit;
mod members;
mod peers;
mod poll;
mod refusal;
mod request;
mod resume;
mod router;
mod run;
mod sink;

pub use config::{Peer, RouterConfig};
pub use run::{RouterHandle, start};
