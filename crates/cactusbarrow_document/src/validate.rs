//! Validation of a whole configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::name::name_fault;
use crate::service::WEIGHT_TOTAL;
use crate::{BackendServer, Customer, ModelVersion, Object, ObjectKind, Protocol, Service};

/// Something wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// Where: kind, name and field.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Finds every fault of a configuration; it may be accepted only if there is none.
pub fn validate<'a>(objects: impl IntoIterator<Item = &'a Object>) -> Vec<ValidationError> {
    let mut check = Check::default();
    let objects: Vec<&Object> = objects.into_iter().collect();
    for object in &objects {
        check.index(object);
    }
    for object in &objects {
        check.object(object);
    }
    check.faults.sort();
    check.faults
}

#[derive(Default)]
struct Check<'a> {
    services: BTreeMap<&'a str, &'a Service>,
    versions: BTreeMap<&'a str, &'a ModelVersion>,
    seen: BTreeSet<(ObjectKind, &'a str)>,
    key_owners: BTreeMap<&'a str, &'a str>,
    models: BTreeMap<&'a str, &'a str>,
    prefixes: BTreeMap<&'a str, &'a str>,
    faults: Vec<ValidationError>,
}

impl<'a> Check<'a> {
    fn index(&mut self, object: &'a Object) {
        match object {
            Object::Service(o) => {
                self.services.insert(&o.name, o);
            }
            Object::ModelVersion(o) => {
                self.versions.insert(&o.name, o);
            }
            Object::Customer(_) | Object::BackendServer(_) => {}
        }
    }

    fn object(&mut self, object: &'a Object) {
        let key = object.key();
        let path = key.to_string();
        if let Some(message) = name_fault(&key.name) {
            self.fault(&path, "name", message);
        }
        let (kind, name) = match object {
            Object::Service(o) => (ObjectKind::Service, o.name.as_str()),
            Object::Customer(o) => (ObjectKind::Customer, o.name.as_str()),
            Object::ModelVersion(o) => (ObjectKind::ModelVersion, o.name.as_str()),
            Object::BackendServer(o) => (ObjectKind::BackendServer, o.name.as_str()),
        };
        if !self.seen.insert((kind, name)) {
            self.fault(&path, "name", "is defined twice");
        }
        match object {
            Object::Service(o) => self.service(&path, o),
            Object::Customer(o) => self.customer(&path, o),
            Object::ModelVersion(o) => self.model_version(&path, o),
            Object::BackendServer(o) => self.backend_server(&path, o),
        }
    }

    fn service(&mut self, path: &str, service: &'a Service) {
        if service.caller_patience_seconds == 0 {
            self.fault(path, "caller_patience_seconds", "must be at least 1");
        }
        match service.protocol {
            Protocol::Completions => self.completions(path, service),
            Protocol::Http => self.http(path, service),
        }
    }

    fn completions(&mut self, path: &str, service: &'a Service) {
        if service.path_prefix.is_some() || !service.routes.is_empty() {
            self.fault(
                path,
                "path_prefix",
                "is only for protocol http, as are routes",
            );
        }
        let Some(model) = service.model.as_deref() else {
            self.fault(path, "model", "is required for protocol completions");
            return;
        };
        if let Some(other) = self.models.insert(model, &service.name) {
            self.fault(
                path,
                "model",
                format!("is served by service/{other} already"),
            );
        }
        let total: u64 = service.versions.iter().map(|v| u64::from(v.weight)).sum();
        if total != u64::from(WEIGHT_TOTAL) {
            let message = format!("weights sum to {total}, not to {WEIGHT_TOTAL}");
            self.fault(path, "versions", message);
        }
        for (i, weight) in service.versions.iter().enumerate() {
            let field = format!("versions[{i}].model_version");
            match self.versions.get(weight.model_version.as_str()) {
                None => self.missing(path, &field, "model_version", &weight.model_version),
                Some(version) if version.model != model => {
                    let message = format!("is a version of model {}, not {model}", version.model);
                    self.fault(path, &field, message);
                }
                Some(_) => {}
            }
        }
    }

    fn http(&mut self, path: &str, service: &'a Service) {
        if service.model.is_some() || !service.versions.is_empty() {
            self.fault(
                path,
                "model",
                "is only for protocol completions, as are versions",
            );
        }
        match service.path_prefix.as_deref() {
            None => self.fault(path, "path_prefix", "is required for protocol http"),
            Some(prefix) if !prefix.starts_with('/') || prefix.len() < 2 => {
                self.fault(path, "path_prefix", "must start with / and name a path");
            }
            Some("/v1/completions") => {
                self.fault(path, "path_prefix", "is the path of completions");
            }
            Some(prefix) => {
                let prefix = prefix.trim_end_matches('/');
                if let Some(other) = self.prefixes.insert(prefix, &service.name) {
                    let message = format!("belongs to service/{other} already");
                    self.fault(path, "path_prefix", message);
                }
            }
        }
        for (i, rule) in service.routes.iter().enumerate() {
            if rule.method.is_empty() || !rule.method.chars().all(|c| c.is_ascii_uppercase()) {
                self.fault(path, &format!("routes[{i}].method"), "must be in capitals");
            }
            if !rule.path.starts_with('/') {
                self.fault(path, &format!("routes[{i}].path"), "must start with /");
            }
        }
    }

    fn customer(&mut self, path: &str, customer: &'a Customer) {
        let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if customer.key_sha256.len() != 64 || !customer.key_sha256.chars().all(is_hex) {
            let message = "must be 64 lower-case hexadecimal digits";
            self.fault(path, "key_sha256", message);
        } else if let Some(other) = self.key_owners.insert(&customer.key_sha256, &customer.name) {
            let message = format!("is the key of customer/{other} already");
            self.fault(path, "key_sha256", message);
        }
        if customer.max_in_flight == 0 {
            self.fault(path, "max_in_flight", "must be at least 1");
        }
        if customer.tokens_per_second == 0 {
            self.fault(path, "tokens_per_second", "must be at least 1");
        }
        for (i, service) in customer.services.iter().enumerate() {
            if !self.services.contains_key(service.as_str()) {
                self.missing(path, &format!("services[{i}]"), "service", service);
            }
        }
    }

    fn model_version(&mut self, path: &str, version: &ModelVersion) {
        if version.model.is_empty() {
            self.fault(path, "model", "must not be empty");
        }
        if version.weights.is_empty() {
            self.fault(path, "weights", "must not be empty");
        }
    }

    fn backend_server(&mut self, path: &str, server: &BackendServer) {
        if server.max_in_flight == 0 {
            self.fault(path, "max_in_flight", "must be at least 1");
        }
        if let Some(message) = name_fault(&server.zone) {
            self.fault(path, "zone", message);
        }
        let Some(service) = self.services.get(server.service.as_str()).copied() else {
            self.missing(path, "service", "service", &server.service);
            return;
        };
        match (service.protocol, server.model_version.as_deref()) {
            (Protocol::Http, Some(_)) => {
                self.fault(path, "model_version", "is only for completions services");
            }
            (Protocol::Completions, None) => {
                self.fault(
                    path,
                    "model_version",
                    "is required for a completions service",
                );
            }
            (Protocol::Completions, Some(name)) => match self.versions.get(name).copied() {
                None => self.missing(path, "model_version", "model_version", name),
                Some(version) if service.model.as_deref() != Some(&version.model) => {
                    let message = format!("is a version of model {}", version.model);
                    self.fault(path, "model_version", message);
                }
                Some(_) => {}
            },
            (Protocol::Http, None) => {}
        }
    }

    fn missing(&mut self, path: &str, field: &str, kind: &str, name: &str) {
        self.fault(
            path,
            field,
            format!("refers to {kind}/{name}, which does not exist"),
        );
    }

    fn fault(&mut self, path: &str, field: &str, message: impl Into<String>) {
        self.faults.push(ValidationError {
            path: format!("{path}.{field}"),
            message: message.into(),
        });
    }
}
