//! Model versions that engines load.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A version of a model; every generation is pinned to one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name, unique among model versions.
    pub name: String,
    /// Name of the model, as callers request it.
    pub model: String,
    /// Location of the weights in the weight store.
    pub weights: String,
    /// Names of the adapters that engines load with the version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}
