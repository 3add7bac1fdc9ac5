//! Objects of all kinds, and their keys.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{BackendServer, Customer, ModelVersion, Service};

/// Kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ObjectKind {
    /// A [`Service`].
    Service,
    /// A [`Customer`].
    Customer,
    /// A [`ModelVersion`].
    ModelVersion,
    /// A [`BackendServer`].
    BackendServer,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Service,
        Self::Customer,
        Self::ModelVersion,
        Self::BackendServer,
    ];

    /// Returns the kind's name in documents and keys.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Customer => "customer",
            Self::ModelVersion => "model_version",
            Self::BackendServer => "backend_server",
        }
    }
}

/// Kind and name of an object, written `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Text that cannot be parsed as an [`ObjectKey`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` is not of the form kind/name, with a kind of service, customer, model_version or backend_server"
)]
pub struct ObjectKeyError(String);

impl FromStr for ObjectKey {
    type Err = ObjectKeyError;

    fn from_str(text: &str) -> Result<Self, ObjectKeyError> {
        let error = || ObjectKeyError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        let kind = ObjectKind::ALL
            .into_iter()
            .find(|k| k.as_str() == kind)
            .ok_or_else(error)?;
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// One object of an operator's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// A service that callers can reach.
    Service(Service),
    /// A customer with its API key and limits.
    Customer(Customer),
    /// A model version that engines can load.
    ModelVersion(ModelVersion),
    /// A backend server with the addresses of its agent.
    BackendServer(BackendServer),
}

impl Object {
    /// Returns the object's kind and name.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Service(o) => (ObjectKind::Service, &o.name),
            Self::Customer(o) => (ObjectKind::Customer, &o.name),
            Self::ModelVersion(o) => (ObjectKind::ModelVersion, &o.name),
            Self::BackendServer(o) => (ObjectKind::BackendServer, &o.name),
        };
        ObjectKey {
            kind,
            name: name.clone(),
        }
    }

    /// Serializes the object as one line of JSON, the form kept in the store.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Deserializes an object from JSON, the form kept in the store.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
