//! Services that callers reach.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Sum of the weights of a service's versions, in basis points.
pub const WEIGHT_TOTAL: u32 = 10_000;

/// How callers talk to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// Completions of a model, streamed or whole.
    Completions,
    /// Plain HTTP, passed through by path.
    Http,
}

/// What a service prefers when an engine is suspected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Preference {
    /// Short resume latency.
    #[default]
    Latency,
    /// Little extra work of engines.
    Resources,
}

/// Says whether the calls of a method below a path may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method, in capitals.
    pub method: String,
    /// Path below the service's prefix at which the rule begins.
    pub path: String,
    /// Whether a call may be repeated without harm.
    pub repeatable: bool,
}

/// Share of new generations that go to a model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionWeight {
    /// The model version.
    pub model_version: String,
    /// Share in basis points; the shares of a service sum to 10,000.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// How callers talk to it.
    pub protocol: Protocol,
    /// The model's name, for completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Versions that new generations are pinned to, for completions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<VersionWeight>,
    /// Start of the path, for plain HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Rules for calls, for plain HTTP; the longest path that matches counts.
    ///
    /// Without a matching rule GET and HEAD are repeatable and all else is not.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteRule>,
    /// What to prefer when an engine is suspected.
    #[serde(default)]
    pub favor: Preference,
    /// Seconds that callers wait for a first answer.
    #[serde(default = "default_caller_patience")]
    pub caller_patience_seconds: u32,
}

const fn default_caller_patience() -> u32 {
    5
}

impl Service {
    /// Returns true if a call may be repeated; `path` is below the service's prefix.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.routes
            .iter()
            .filter(|rule| rule.method == method && is_path_below(path, &rule.path))
            .max_by_key(|rule| rule.path.len())
            .map_or(matches!(method, "GET" | "HEAD"), |rule| rule.repeatable)
    }

    /// Returns the path below the service's prefix; `None` if the path is not the service's.
    pub fn strip_prefix<'a>(&self, path: &'a str) -> Option<&'a str> {
        let prefix = self.path_prefix.as_deref()?.trim_end_matches('/');
        if !is_path_below(path, prefix) {
            return None;
        }
        let rest = &path[prefix.len()..];
        Some(if rest.is_empty() { "/" } else { rest })
    }

    /// Chooses the model version for a new generation by a point in `0..WEIGHT_TOTAL`.
    pub fn version_at(&self, point: u32) -> Option<&str> {
        let mut end = 0;
        for version in &self.versions {
            end += version.weight;
            if point < end {
                return Some(&version.model_version);
            }
        }
        None
    }
}

/// Returns true if `path` is `prefix` or lies below it, segment by segment.
fn is_path_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
