//! One revision of the configuration, indexed for lookups.

use std::sync::Arc;

use cactusbarrow_policy::Revision;

use crate::object::{ObjectKey, ObjectKind};
use crate::shared_map::SharedMap;
use crate::{BackendServer, Customer, ModelVersion, Object, Service};

/// An object of the configuration that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object {key} at revision {revision}: {message}")]
pub struct FleetError {
    /// Key of the object, as `kind/name` if it is well-formed.
    pub key: String,
    /// Revision that set the object.
    pub revision: Revision,
    /// Cause of the failure.
    pub message: String,
}

/// A backend server with the revision that last set it.
#[derive(Clone, Debug)]
struct StoredServer {
    server: Arc<BackendServer>,
    revision: Revision,
}

/// One revision of the whole configuration: services, customers, model versions and backend
/// servers.
///
/// Cloning is cheap, since clones share unchanged shards of each map.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    revision: Revision,
    services: SharedMap<Service>,
    customers: SharedMap<Customer>,
    model_versions: SharedMap<ModelVersion>,
    backend_servers: SharedMap<StoredServer>,
    customers_by_key_hash: SharedMap<Customer>,
    last_backend_change: Revision,
    last_group_change: Revision,
}

impl Fleet {
    /// Returns the revision of the configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets the revision, after all changes that lead to it have been applied.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Sets the object of a key from its stored JSON, or removes it if `value` is `None`.
    pub fn apply(
        &mut self,
        key: &str,
        value: Option<&str>,
        revision: Revision,
    ) -> Result<(), FleetError> {
        let error = |message: String| FleetError {
            key: key.to_owned(),
            revision,
            message,
        };
        let parsed_key: ObjectKey = key.parse().map_err(|e| error(format!("{e}")))?;
        let old = self.backend_server(&parsed_key.name).cloned();
        self.remove(&parsed_key, revision);
        if let Some(value) = value {
            let object = Object::from_json(value).map_err(|e| error(e.to_string()))?;
            self.insert(object, revision);
        }
        let new = self.backend_server(&parsed_key.name);
        let group =
            |server: &Arc<BackendServer>| (server.service.clone(), server.model_version.clone());
        if parsed_key.kind == ObjectKind::BackendServer && old.as_ref().map(group) != new.map(group)
        {
            self.last_group_change = self.last_group_change.max(revision);
        }
        Ok(())
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Iterates over all backend servers.
    pub fn backend_servers(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.backend_servers.values().map(|stored| &stored.server)
    }

    /// Returns the revision that last changed any backend server.
    pub fn last_backend_change(&self) -> Revision {
        self.last_backend_change
    }

    /// Returns the revision that last added, removed or regrouped a backend server.
    ///
    /// Backend servers are grouped by service and model version; only a change of the groups
    /// makes routers reselect their subsets.
    pub fn last_group_change(&self) -> Revision {
        self.last_group_change
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns a backend server by name.
    pub fn backend_server(&self, name: &str) -> Option<&Arc<BackendServer>> {
        self.backend_servers.get(name).map(|stored| &stored.server)
    }

    /// Returns the revision that last changed a backend server.
    pub fn backend_revision(&self, name: &str) -> Option<Revision> {
        self.backend_servers.get(name).map(|stored| stored.revision)
    }

    /// Returns a model version by name.
    pub fn model_version(&self, name: &str) -> Option<&Arc<ModelVersion>> {
        self.model_versions.get(name)
    }

    /// Returns the customer whose API key has this SHA-256, in lower-case hexadecimal.
    pub fn customer_by_key_hash(&self, key_sha256: &str) -> Option<&Arc<Customer>> {
        self.customers_by_key_hash.get(key_sha256)
    }

    /// Returns the service that serves a model.
    pub fn service_by_model(&self, model: &str) -> Option<&Arc<Service>> {
        self.services()
            .find(|service| service.model.as_deref() == Some(model))
    }

    /// Returns the service with the longest prefix of a path, and the path below that prefix.
    pub fn service_by_path<'a>(&self, path: &'a str) -> Option<(&Arc<Service>, &'a str)> {
        self.services()
            .filter_map(|service| Some((service, service.strip_prefix(path)?)))
            .min_by_key(|(_, rest)| rest.len())
    }

    fn insert(&mut self, object: Object, revision: Revision) {
        match object {
            Object::Service(o) => self.services.insert(&o.name.clone(), Arc::new(o)),
            Object::ModelVersion(o) => self.model_versions.insert(&o.name.clone(), Arc::new(o)),
            Object::BackendServer(o) => {
                self.last_backend_change = self.last_backend_change.max(revision);
                let server = Arc::new(o);
                let stored = StoredServer {
                    server: server.clone(),
                    revision,
                };
                self.backend_servers.insert(&server.name, Arc::new(stored));
            }
            Object::Customer(o) => {
                let customer = Arc::new(o);
                self.customers_by_key_hash
                    .insert(&customer.key_sha256, customer.clone());
                self.customers.insert(&customer.name, customer.clone());
            }
        }
    }

    fn remove(&mut self, key: &ObjectKey, revision: Revision) {
        match key.kind {
            ObjectKind::Service => self.services.remove(&key.name),
            ObjectKind::ModelVersion => self.model_versions.remove(&key.name),
            ObjectKind::BackendServer => {
                self.last_backend_change = self.last_backend_change.max(revision);
                self.backend_servers.remove(&key.name);
            }
            ObjectKind::Customer => {
                if let Some(old) = self.customers.get(&key.name).cloned() {
                    self.customers_by_key_hash.remove(&old.key_sha256);
                    self.customers.remove(&key.name);
                }
            }
        }
    }
}
