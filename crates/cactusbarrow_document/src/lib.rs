//! The operators' documents: their types, parsing and validation, and the fleet they describe.
//!
//! A document file holds one or more objects, each under the name of its kind.
//! [`parse_objects`] reads them, [`validate`] finds every error of a whole
//! configuration, and [`Fleet`] indexes one revision of it for lookups.

#![warn(missing_docs)]

mod backend_server;
mod customer;
mod fleet;
mod model_version;
mod name;
mod object;
mod parse;
mod schema;
mod service;
mod shared_map;
mod validate;

pub use backend_server::BackendServer;
pub use customer::{Customer, hash_api_key};
pub use fleet::{Fleet, FleetError};
pub use model_version::ModelVersion;
pub use object::{Object, ObjectKey, ObjectKeyError, ObjectKind};
pub use parse::{ParseError, parse_objects};
pub use schema::json_schema;
pub use service::{Preference, Protocol, RouteRule, Service, VersionWeight, WEIGHT_TOTAL};
pub use validate::{ValidationError, validate};
