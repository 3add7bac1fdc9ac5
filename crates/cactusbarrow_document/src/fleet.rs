//! The accepted configuration, indexed for the questions asked of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusbarrow_policy::Revision;

use crate::object::{Kind, ObjectKey};
use crate::{BackendServer, Customer, ModelVersion, Object, Service};

/// An object of the accepted configuration that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object {key} at revision {revision}: {message}")]
pub struct FleetError {
    /// The object's key.
    pub key: String,
    /// The revision that set it.
    pub revision: Revision,
    /// What is wrong.
    pub message: String,
}

type Objects<T> = Arc<BTreeMap<String, Arc<T>>>;

/// All objects of one revision; cheap to clone, since clones share what has not changed.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    revision: Revision,
    services: Objects<Service>,
    customers: Objects<Customer>,
    model_versions: Objects<ModelVersion>,
    backend_servers: Objects<BackendServer>,
    backend_revisions: Arc<BTreeMap<String, Revision>>,
    customers_by_key: Arc<BTreeMap<String, Arc<Customer>>>,
}

impl Fleet {
    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets the revision once all changes that lead to it are applied.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Sets an object to its stored form, or removes it.
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
        self.remove(&parsed_key);
        let Some(value) = value else {
            return Ok(());
        };
        let object = Object::from_json(value).map_err(|e| error(e.to_string()))?;
        self.insert(object, revision);
        Ok(())
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the backend servers.
    pub fn backend_servers(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.backend_servers.values()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns a backend server by name.
    pub fn backend_server(&self, name: &str) -> Option<&Arc<BackendServer>> {
        self.backend_servers.get(name)
    }

    /// Returns the revision that last changed a backend server.
    pub fn backend_revision(&self, name: &str) -> Option<Revision> {
        self.backend_revisions.get(name).copied()
    }

    /// Returns a model version by name.
    pub fn model_version(&self, name: &str) -> Option<&Arc<ModelVersion>> {
        self.model_versions.get(name)
    }

    /// Returns the customer whose API key has the hash.
    pub fn customer_by_key_hash(&self, key_sha256: &str) -> Option<&Arc<Customer>> {
        self.customers_by_key.get(key_sha256)
    }

    /// Returns the service that serves a model.
    pub fn service_by_model(&self, model: &str) -> Option<&Arc<Service>> {
        self.services()
            .find(|service| service.model.as_deref() == Some(model))
    }

    /// Returns the service that a path belongs to, with the path below its prefix.
    pub fn service_by_path<'a>(&self, path: &'a str) -> Option<(&Arc<Service>, &'a str)> {
        self.services()
            .filter_map(|service| Some((service, service.strip_prefix(path)?)))
            .min_by_key(|(_, rest)| rest.len())
    }

    fn insert(&mut self, object: Object, revision: Revision) {
        match object {
            Object::Service(o) => insert(&mut self.services, o.name.clone(), o),
            Object::ModelVersion(o) => insert(&mut self.model_versions, o.name.clone(), o),
            Object::BackendServer(o) => {
                Arc::make_mut(&mut self.backend_revisions).insert(o.name.clone(), revision);
                insert(&mut self.backend_servers, o.name.clone(), o);
            }
            Object::Customer(o) => {
                let customer = Arc::new(o);
                let by_key = Arc::make_mut(&mut self.customers_by_key);
                by_key.insert(customer.key_sha256.clone(), customer.clone());
                Arc::make_mut(&mut self.customers).insert(customer.name.clone(), customer);
            }
        }
    }

    fn remove(&mut self, key: &ObjectKey) {
        match key.kind {
            Kind::Service => remove(&mut self.services, &key.name),
            Kind::ModelVersion => remove(&mut self.model_versions, &key.name),
            Kind::BackendServer => {
                remove(&mut self.backend_servers, &key.name);
                Arc::make_mut(&mut self.backend_revisions).remove(&key.name);
            }
            Kind::Customer => {
                let Some(old) = self.customers.get(&key.name).cloned() else {
                    return;
                };
                Arc::make_mut(&mut self.customers_by_key).remove(&old.key_sha256);
                remove(&mut self.customers, &key.name);
            }
        }
    }
}

fn insert<T>(objects: &mut Objects<T>, name: String, object: T) {
    Arc::make_mut(objects).insert(name, Arc::new(object));
}

fn remove<T>(objects: &mut Objects<T>, name: &str) {
    if objects.contains_key(name) {
        Arc::make_mut(objects).remove(name);
    }
}
