//! The platform's services as the system uses them.
//!
//! [`Store`] is the key-value service with compare-and-swap and watches, and
//! [`HostList`] is the platform's list of live and leaving hosts; [`ConsulStore`]
//! implements both over Consul's HTTP API. [`commit`] changes the operators'
//! configuration in the store, and [`ConfigReader`] reads its changes.

#![warn(missing_docs)]

mod claim_keys;
mod commit;
mod config_reader;
mod consul;
mod host_list;
mod layout;
mod plan;
mod store;

pub use claim_keys::{CLAIM_SHARDS, claim_head_key, claim_segment_key, claim_shard_of};
pub use commit::{
    CommitError, Committed, Configuration, commit, find_operation, load_configuration,
};
pub use config_reader::{ConfigReader, ReadError};
pub use consul::ConsulStore;
pub use host_list::{Host, HostList, HostRole, HostState};
pub use layout::{
    Deletion, History, PageError, PageVersion, ROOT_KEY, Receipt, RecentChange, Root, Shard,
    StoredObject, history_key, shard_key, shard_of,
};
pub use plan::{CommitRequest, ConflictingChange, Edit, Plan, PlanError, plan_commit};
pub use store::{Store, StoreError, Versioned};
