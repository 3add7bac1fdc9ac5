//! The gateway: a reverse proxy on the hosts to which callers connect, which sends their
//! requests directly to backend servers.
//!
//! [`start`] runs one gateway until it is stopped. Its decisions are made by the
//! state machines of `cactusbarrow_policy`; its messages are encoded by
//! `cactusbarrow_adapter`.

#![warn(missing_docs)]

mod backend_connection;
mod backend_probes;
mod call;
mod connection;
mod connection_usage;
mod engine_end;
mod generation;
mod health_check;
mod incarnation_check;
mod listener;
mod origin_exchange;
mod origin_store;
mod owned_key;
mod peer_knowledge;
mod peers;
mod prompt_search;
mod quarantine;
mod refusal;
mod request;
mod request_end;
mod server_notices;
mod shared;
mod start;
mod store_sync;
mod stream_origins;

pub use start::{GatewayHandle, GatewayStatus, start};
