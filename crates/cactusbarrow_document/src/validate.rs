//! Validation of a whole configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::name::name_error;
use crate::service::WEIGHT_TOTAL;
use crate::{BackendServer, Customer, ModelVersion, Object, ObjectKind, Protocol, Service};

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValidationError {
    /// Location of the error, as `kind/name.field`.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Returns every error of a configuration, sorted by path; a valid one has none.
pub fn validate<'a>(objects: impl IntoIterator<Item = &'a Object>) -> Vec<ValidationError> {
    let mut validator = Validator::default();
    let objects: Vec<&Object> = objects.into_iter().collect();
    for object in &objects {
        validator.index(object);
    }
    for object in &objects {
        validator.check_object(object);
    }
    validator.errors.sort();
    validator.errors
}

/// Indexes of the objects being validated, and the errors found so far.
#[derive(Default)]
struct Validator<'a> {
    services: BTreeMap<&'a str, &'a Service>,
    model_versions: BTreeMap<&'a str, &'a ModelVersion>,
    seen: BTreeSet<(ObjectKind, &'a str)>,
    customers_by_key_hash: BTreeMap<&'a str, &'a str>,
    services_by_model: BTreeMap<&'a str, &'a str>,
    services_by_path_prefix: BTreeMap<&'a str, &'a str>,
    errors: Vec<ValidationError>,
}

impl<'a> Validator<'a> {
    fn index(&mut self, object: &'a Object) {
        match object {
            Object::Service(o) => {
                self.services.insert(&o.name, o);
            }
            Object::ModelVersion(o) => {
                self.model_versions.insert(&o.name, o);
            }
            Object::Customer(_) | Object::BackendServer(_) => {}
        }
    }

    fn check_object(&mut self, object: &'a Object) {
        let key = object.key();
        let path = key.to_string();
        if let Some(message) = name_error(&key.name) {
            self.report(&path, "name", message);
        }
        let (kind, name) = match object {
            Object::Service(o) => (ObjectKind::Service, o.name.as_str()),
            Object::Customer(o) => (ObjectKind::Customer, o.name.as_str()),
            Object::ModelVersion(o) => (ObjectKind::ModelVersion, o.name.as_str()),
            Object::BackendServer(o) => (ObjectKind::BackendServer, o.name.as_str()),
        };
        if !self.seen.insert((kind, name)) {
            self.report(&path, "name", "is defined twice");
        }
        match object {
            Object::Service(o) => self.check_service(&path, o),
            Object::Customer(o) => self.check_customer(&path, o),
            Object::ModelVersion(o) => self.check_model_version(&path, o),
            Object::BackendServer(o) => self.check_backend_server(&path, o),
        }
    }

    fn check_service(&mut self, path: &str, service: &'a Service) {
        if service.caller_patience_seconds == 0 {
            self.report(path, "caller_patience_seconds", "must be at least 1");
        }
        match service.protocol {
            Protocol::Completions => self.check_completions(path, service),
            Protocol::Http => self.check_http(path, service),
        }
    }

    fn check_completions(&mut self, path: &str, service: &'a Service) {
        if service.path_prefix.is_some() || !service.routes.is_empty() {
            self.report(
                path,
                "path_prefix",
                "is only for protocol http, as are routes",
            );
        }
        let Some(model) = service.model.as_deref() else {
            self.report(path, "model", "is required for protocol completions");
            return;
        };
        if let Some(other) = self.services_by_model.insert(model, &service.name) {
            self.report(
                path,
                "model",
                format!("is already served by service/{other}"),
            );
        }
        let total: u64 = service.versions.iter().map(|v| u64::from(v.weight)).sum();
        if total != u64::from(WEIGHT_TOTAL) {
            let message = format!("weights sum to {total}, not to {WEIGHT_TOTAL}");
            self.report(path, "versions", message);
        }
        for (i, weight) in service.versions.iter().enumerate() {
            let field = format!("versions[{i}].model_version");
            match self.model_versions.get(weight.model_version.as_str()) {
                None => self.report_missing(path, &field, "model_version", &weight.model_version),
                Some(version) if version.model != model => {
                    let message = format!("is a version of model {}, not {model}", version.model);
                    self.report(path, &field, message);
                }
                Some(_) => {}
            }
        }
    }

    fn check_http(&mut self, path: &str, service: &'a Service) {
        if service.model.is_some() || !service.versions.is_empty() {
            self.report(
                path,
                "model",
                "is only for protocol completions, as are versions",
            );
        }
        match service.path_prefix.as_deref() {
            None => self.report(path, "path_prefix", "is required for protocol http"),
            Some(prefix) if !prefix.starts_with('/') || prefix.len() < 2 => {
                self.report(path, "path_prefix", "must start with / and name a path");
            }
            Some("/v1/completions") => {
                self.report(path, "path_prefix", "is reserved for completions");
            }
            Some(prefix) => {
                let prefix = prefix.trim_end_matches('/');
                if let Some(other) = self.services_by_path_prefix.insert(prefix, &service.name) {
                    let message = format!("is already used by service/{other}");
                    self.report(path, "path_prefix", message);
                }
            }
        }
        for (i, rule) in service.routes.iter().enumerate() {
            if rule.method.is_empty() || !rule.method.chars().all(|c| c.is_ascii_uppercase()) {
                self.report(
                    path,
                    &format!("routes[{i}].method"),
                    "must be in upper case",
                );
            }
            if !rule.path.starts_with('/') {
                self.report(path, &format!("routes[{i}].path"), "must start with /");
            }
        }
    }

    fn check_customer(&mut self, path: &str, customer: &'a Customer) {
        let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if customer.key_sha256.len() != 64 || !customer.key_sha256.chars().all(is_hex) {
            let message = "must be 64 lower-case hexadecimal digits";
            self.report(path, "key_sha256", message);
        } else if let Some(other) = self
            .customers_by_key_hash
            .insert(&customer.key_sha256, &customer.name)
        {
            let message = format!("is already the key of customer/{other}");
            self.report(path, "key_sha256", message);
        }
        if customer.max_in_flight == 0 {
            self.report(path, "max_in_flight", "must be at least 1");
        }
        if customer.tokens_per_second == 0 {
            self.report(path, "tokens_per_second", "must be at least 1");
        }
        for (i, service) in customer.services.iter().enumerate() {
            if !self.services.contains_key(service.as_str()) {
                self.report_missing(path, &format!("services[{i}]"), "service", service);
            }
        }
    }

    fn check_model_version(&mut self, path: &str, version: &ModelVersion) {
        if version.model.is_empty() {
            self.report(path, "model", "must not be empty");
        }
        if version.weights.is_empty() {
            self.report(path, "weights", "must not be empty");
        }
    }

    fn check_backend_server(&mut self, path: &str, server: &BackendServer) {
        if server.max_in_flight == 0 {
            self.report(path, "max_in_flight", "must be at least 1");
        }
        if let Some(message) = name_error(&server.zone) {
            self.report(path, "zone", message);
        }
        let Some(service) = self.services.get(server.service.as_str()).copied() else {
            self.report_missing(path, "service", "service", &server.service);
            return;
        };
        match (service.protocol, server.model_version.as_deref()) {
            (Protocol::Http, Some(_)) => {
                self.report(path, "model_version", "is only for completions services");
            }
            (Protocol::Completions, None) => {
                self.report(
                    path,
                    "model_version",
                    "is required for a completions service",
                );
            }
            (Protocol::Completions, Some(name)) => match self.model_versions.get(name).copied() {
                None => self.report_missing(path, "model_version", "model_version", name),
                Some(version) if service.model.as_deref() != Some(&version.model) => {
                    let message = format!("is a version of model {}", version.model);
                    self.report(path, "model_version", message);
                }
                Some(_) => {}
            },
            (Protocol::Http, None) => {}
        }
    }

    fn report_missing(&mut self, path: &str, field: &str, kind: &str, name: &str) {
        self.report(
            path,
            field,
            format!("refers to {kind}/{name}, which does not exist"),
        );
    }

    fn report(&mut self, path: &str, field: &str, message: impl Into<String>) {
        self.errors.push(ValidationError {
            path: format!("{path}.{field}"),
            message: message.into(),
        });
    }
}
