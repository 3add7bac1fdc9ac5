//! The platform's list of hosts, which lags behind reality.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostRole {
    /// A router; the address is that of its control socket.
    Router,
    /// A backend server with its agent.
    BackendServer,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostState {
    /// It is expected to stay.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name; for backend servers the one in the operator's document.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// What runs on it.
    pub role: HostRole,
    /// Whether it stays.
    pub state: HostState,
    /// Control address, if the list has one.
    pub control_address: Option<SocketAddr>,
}

/// Access to the platform's list of hosts.
///
/// The two questions are apart because their answers differ in size: the routers of a large
/// fleet are many and are asked for seldom, the hosts that leave are few and are watched.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Lists the routers.
    fn list_routers(&self) -> impl Future<Output = Result<Vec<Host>, StoreError>> + Send;

    /// Lists the hosts that are leaving, once the list's index differs from `after` or when
    /// `wait` is over.
    fn watch_leaving(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(u64, Vec<Host>), StoreError>> + Send;
}

/// A node as the catalog's protocol writes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct CatalogNode {
    node: String,
    #[serde(default)]
    meta: BTreeMap<String, String>,
}

/// Reads hosts from the catalog's nodes; passes over nodes of other systems.
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
