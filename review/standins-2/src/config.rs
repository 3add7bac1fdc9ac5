//! Configurations of the operator.

use crate::client::HOST;

/// Services of the routes.
pub const ENGINES: &str = "huvo11a";
pub const CALLS: &str = "wuno96b";

/// One route.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
    /// Whether streams may be resumed.
    pub can_resume: bool,
}

impl Route {
    /// Creates a route of calls; `kind` is `idempotent` or `non_idempotent`.
    pub fn of_calls(name: &str, prefix: &str, kind: &'static str) -> Self {
        Self {
            name: name.to_owned(),
            prefix: prefix.to_owned(),
            kind,
            service: CALLS,
            timeout_ms: 2_500,
            attempts: if kind == "idempotent" { 2 } else { 1 },
            can_resume: false,
        }
    }

    fn to_json(&self) -> String {
        let is_stream = self.kind == "stream";
        let latency = if is_stream { 4_500 } else { 150 };
        let gap = if is_stream { ",\"gapAimMs\":700" } else { "" };
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeoutMs\":{},\
             \"targetLatencyMs\":{latency},\"priority\":1,\"service\":\"{}\",\"attempts\":{},\"public\":false,\
             \"stickySessions\":{is_stream},\"streamResume\":{}{gap}}}",
            self.name,
            self.prefix,
            self.kind,
            self.timeout_ms,
            self.service,
            self.attempts,
            self.can_resume
        )
    }
}

/// Encodes a configuration with one tenant that has these keys.
pub fn config_json(version: u64, routes: &[Route], keys: &[&str], idle_ms: u64) -> String {
    let routes = routes
        .iter()
        .map(Route::to_json)
        .collect::<Vec<_>>()
        .join(",");
    let keys = keys
        .iter()
        .map(|key| format!("\"{key}\""))
        .collect::<Vec<_>>()
        .join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"{ENGINES}\",\"healthPath\":\"/health\",\"maxConns\":500,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":96,\"kvCapacity\":55000,\"moves\":true,\"backups\":true}}}},\
         {{\"name\":\"{CALLS}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":{idle_ms}}},\"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
    )
}
