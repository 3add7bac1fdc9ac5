//! Stand-ins for the outside systems, and a small cluster on loopback; for development only.
//!
//! [`Engine`], [`PlainService`] and [`ConsulServer`] speak the published
//! protocols of what they stand for and can be made to fail. [`Host`] runs one
//! process's worth of tasks that can be killed or frozen, and [`Cluster`] puts
//! real routers and agents on such hosts. [`Ledger`] records what engines
//! really produced, so that an observer can judge what callers got.

#![warn(missing_docs)]

mod caller;
mod cluster;
mod consul_server;
mod engine;
mod host;
mod ledger;
mod plain_service;

pub use caller::{Arrival, Caller, StreamEnd, StreamReader, Transcript};
pub use cluster::{BackendWithAgent, Cluster, ClusterConfig, RouterProcess, api_key};
pub use consul_server::{ConsulServer, StoreCounts, StoreFaults};
pub use engine::{Engine, EngineConfig, EngineStats};
pub use host::{Host, thread_cpu_time};
pub use ledger::{Ledger, TokenCheck, token_bytes};
pub use plain_service::{CallLedger, PlainService, PlainServiceConfig};
