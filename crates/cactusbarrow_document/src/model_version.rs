//! Versions of models that engines load.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One version of a model; every generation is pinned to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// Name, unique among model versions.
    pub name: String,
    /// The model's name, as callers write it.
    pub model: String,
    /// Where the weight store keeps it.
    pub weights: String,
    /// Adapters that engines load with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}
