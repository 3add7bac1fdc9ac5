//! Stand-ins for external systems, and a small cluster on loopback; for development only.
//!
//! [`Engine`], [`PlainService`] and [`ConsulServer`] implement the public
//! protocols of the systems that they replace and can inject faults.
//! [`EmulatedProcess`] runs the tasks of one process, which can be killed or
//! frozen, and [`Cluster`] runs real routers and agents in such processes.
//! [`Ledger`] records the tokens that engines produced, so that tests can check
//! what callers received.

#![warn(missing_docs)]

mod caller;
mod cluster;
mod consul_server;
mod emulated_process;
mod engine;
mod ledger;
mod plain_service;

pub use caller::{Arrival, Caller, StreamEnd, StreamReader, Transcript};
pub use cluster::{BackendWithAgent, Cluster, ClusterConfig, RouterProcess, api_key};
pub use consul_server::{ConsulServer, StoreCounts, StoreFaults};
pub use emulated_process::{EmulatedProcess, thread_cpu_time};
pub use engine::{Engine, EngineConfig, EngineStats};
pub use ledger::{Ledger, TokenCheck, token_bytes};
pub use plain_service::{CallLedger, PlainService, PlainServiceConfig};
