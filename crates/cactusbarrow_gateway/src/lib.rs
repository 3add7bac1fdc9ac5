//! The gateway: serves callers on entry hosts and speaks to backend servers directly.
//!
//! [`start`] runs one gateway until it is stopped. Its decisions are made by the
//! state machines of `cactusbarrow_policy`; the messages on the wire are those of
//! `cactusbarrow_adapter`.

#![warn(missing_docs)]

mod answers;
mod call;
mod connection;
mod exchange;
mod generation;
mod health_check;
mod heartbeats;
mod listener;
mod peers;
mod prompt_search;
mod request;
mod shared;
mod start;
mod store_sync;

pub use start::{GatewayHandle, GatewayStatus, start};
