//! Subset of the backend servers that this router uses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cactusbarrow_document::{BackendServer, Fleet};
use cactusbarrow_policy::{Revision, SubsetCandidate, SubsetConfig, select_subset};

use crate::peers::Peers;

/// A backend server of the subset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberServer {
    /// Configuration of the backend server.
    pub(crate) server: Arc<BackendServer>,
    /// Revision that last changed this configuration.
    pub(crate) revision: Revision,
    /// Whether the backend server is in this router's zone.
    pub(crate) is_same_zone: bool,
}

impl MemberServer {
    /// Returns the name of the backend server.
    pub(crate) fn name(&self) -> &str {
        &self.server.name
    }

    /// Returns the agent's address for requests.
    pub(crate) fn agent_address(&self) -> SocketAddr {
        self.server.agent_address
    }

    /// Returns the agent's address for control messages.
    pub(crate) fn control_address(&self) -> SocketAddr {
        self.server.control_address
    }
}

/// The subset of backend servers, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Members {
    version_servers: HashMap<String, u32>,
    by_service: HashMap<String, Vec<Arc<MemberServer>>>,
}

impl Members {
    /// Selects the subset for a configuration and the known routers.
    pub(crate) fn select(fleet: &Fleet, peers: &Peers, cfg: &SubsetConfig) -> Self {
        let own = peers.own();
        let routers = peers.all();
        let zone_routers: Vec<&str> = routers
            .iter()
            .filter(|peer| peer.zone == own.zone)
            .map(|peer| peer.name.as_str())
            .collect();
        let servers: Vec<&Arc<BackendServer>> = fleet.backend_servers().collect();
        let candidates: Vec<SubsetCandidate<'_>> = servers
            .iter()
            .map(|server| SubsetCandidate {
                name: &server.name,
                group: server.model_version.as_deref().unwrap_or(&server.service),
            })
            .collect();
        let mut by_service: HashMap<String, Vec<_>> = HashMap::new();
        for i in select_subset(cfg, &own.name, &zone_routers, &candidates) {
            let server = servers[i].clone();
            let revision = fleet.backend_revision(&server.name).unwrap_or_default();
            let service = by_service.entry(server.service.clone()).or_default();
            service.push(Arc::new(MemberServer {
                is_same_zone: server.zone == own.zone,
                server,
                revision,
            }));
        }
        let mut version_servers = HashMap::new();
        for version in servers.iter().filter_map(|s| s.model_version.as_ref()) {
            *version_servers.entry(version.clone()).or_default() += 1;
        }
        Self {
            version_servers,
            by_service,
        }
    }

    /// Returns the same subset with the settings of a newer configuration.
    ///
    /// Servers that the configuration no longer contains are left out.
    pub(crate) fn refreshed(&self, fleet: &Fleet) -> Self {
        let refresh = |member: &Arc<MemberServer>| {
            let server = fleet.backend_server(member.name())?;
            if Arc::ptr_eq(server, &member.server) {
                return Some(member.clone());
            }
            Some(Arc::new(MemberServer {
                server: server.clone(),
                revision: fleet.backend_revision(member.name())?,
                is_same_zone: member.is_same_zone,
            }))
        };
        let by_service = self
            .by_service
            .iter()
            .map(|(service, members)| {
                let members = members.iter().filter_map(refresh).collect();
                (service.clone(), members)
            })
            .collect();
        Self {
            version_servers: self.version_servers.clone(),
            by_service,
        }
    }

    /// Returns the number of backend servers in the whole fleet that are configured for a model
    /// version.
    pub(crate) fn version_servers(&self, version: &str) -> u32 {
        self.version_servers.get(version).copied().unwrap_or(0)
    }

    /// Returns the members that serve a service.
    pub(crate) fn of_service(&self, service: &str) -> &[Arc<MemberServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all members.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<MemberServer>> {
        self.by_service.values().flatten()
    }
}
