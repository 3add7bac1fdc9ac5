//! Services that callers reach, and their routing rules.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Sum of the weights of a service's versions, in basis points.
pub const WEIGHT_TOTAL: u32 = 10_000;

/// Protocol between callers and a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// Completions of a model, streamed or in one response.
    Completions,
    /// Plain HTTP, forwarded by path prefix.
    Http,
}

/// What a service optimizes for when an engine is suspected to have failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Preference {
    /// Low latency until a generation resumes.
    #[default]
    Latency,
    /// Little extra work for engines.
    Resources,
}

/// Declares whether calls with a method and path may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path relative to the service's prefix; the rule covers it and all paths below it.
    pub path: String,
    /// Whether the calls are idempotent, so that they may be repeated.
    pub repeatable: bool,
}

/// Share of new generations that go to a model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionWeight {
    /// Name of the model version.
    pub model_version: String,
    /// Share in basis points; the shares of one service sum to 10,000.
    pub weight: u32,
}

/// A service, which callers reach by model name or by path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Protocol between callers and the service.
    pub protocol: Protocol,
    /// Name of the model, as callers request it; only for completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Model versions that new generations are pinned to; only for completions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<VersionWeight>,
    /// Prefix of the paths that belong to the service; only for plain HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Rules on which calls may be repeated; only for plain HTTP.
    ///
    /// The longest matching path applies; without a match only GET and HEAD may be repeated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteRule>,
    /// What to optimize for when an engine is suspected to have failed.
    #[serde(default)]
    pub favor: Preference,
    /// Seconds that callers wait for a first response.
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

    /// Returns the path below the service's prefix, or `None` if the path lies outside it.
    pub fn strip_prefix<'a>(&self, path: &'a str) -> Option<&'a str> {
        let prefix = self.path_prefix.as_deref()?.trim_end_matches('/');
        if !is_path_below(path, prefix) {
            return None;
        }
        let rest = &path[prefix.len()..];
        Some(if rest.is_empty() { "/" } else { rest })
    }

    /// Selects the model version for a new generation by weight.
    ///
    /// `point` is a uniformly distributed number in `0..WEIGHT_TOTAL`.
    pub fn select_version(&self, point: u32) -> Option<&str> {
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

/// Returns true if `path` equals `prefix` or lies below it, compared by whole segments.
fn is_path_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
