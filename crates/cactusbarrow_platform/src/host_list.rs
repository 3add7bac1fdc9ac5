//! The platform's list of hosts.
//!
//! The list lags behind the actual state of the hosts.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// The process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostRole {
    /// A router; the address is that of its control socket.
    Router,
    /// A backend server with its agent.
    BackendServer,
}

/// Whether a host is about to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostState {
    /// Expected to keep running.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// An entry of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name; for a backend server, its name in the operators' documents.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Process that runs on the host.
    pub role: HostRole,
    /// Whether the host is about to be stopped.
    pub state: HostState,
    /// Address for control messages, if the list gives one.
    pub control_address: Option<SocketAddr>,
}

/// Access to the platform's list of hosts.
///
/// Routers and leaving hosts are separate queries because their results differ in size: a large
/// fleet has many routers, which are listed rarely; few hosts leave at a time, so they are
/// watched.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns the routers.
    fn list_routers(&self) -> impl Future<Output = Result<Vec<Host>, StoreError>> + Send;

    /// Returns the list's index and the hosts that are leaving, as soon as the index differs
    /// from `after`, or after `wait`.
    fn watch_leaving(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(u64, Vec<Host>), StoreError>> + Send;
}

/// A node as Consul's catalog encodes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct CatalogNode {
    node: String,
    #[serde(default)]
    meta: BTreeMap<String, String>,
}

/// Converts catalog nodes to hosts; skips the nodes of other systems.
pub(crate) fn hosts_from_nodes(nodes: Vec<CatalogNode>) -> Vec<Host> {
    nodes.into_iter().filter_map(host_from_node).collect()
}

fn host_from_node(node: CatalogNode) -> Option<Host> {
    let role = match node.meta.get("cactusbarrow-role")?.as_str() {
        "router" => HostRole::Router,
        "backend-server" => HostRole::BackendServer,
        _ => return None,
    };
    let state = match node.meta.get("state").map(String::as_str) {
        Some("leaving") => HostState::Leaving,
        _ => HostState::Live,
    };
    Some(Host {
        zone: node.meta.get("zone").cloned().unwrap_or_default(),
        role,
        state,
        control_address: node
            .meta
            .get("control-address")
            .and_then(|addr| addr.parse().ok()),
        name: node.node,
    })
}
