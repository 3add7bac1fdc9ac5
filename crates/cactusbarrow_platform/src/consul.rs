//! Client for Consul's HTTP API: its key-value store and its catalog.
//!
//! Source: the HTTP API reference, chapters "KV Store", "Blocking Queries" and
//! "Catalog".

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use crate::host_list::{Host, HostList};
use crate::store::{Store, StoreError, Versioned};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the response to a watch may take beyond the requested wait.
const WATCH_MARGIN: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// URL-encoded filter for nodes that run a router: `Meta["cactusbarrow-role"] == "router"`.
const ROUTERS_FILTER: &str = "Meta%5B%22cactusbarrow-role%22%5D%20%3D%3D%20%22router%22";
/// URL-encoded filter for nodes that are leaving: `Meta.state == "leaving"`.
const LEAVING_FILTER: &str = "Meta.state%20%3D%3D%20%22leaving%22";
const INDEX_HEADER: &str = "x-consul-index";

/// Client of a Consul server, or of the Consul agent on this host.
#[derive(Clone, Debug)]
pub struct ConsulStore {
    addr: SocketAddr,
    http: HttpClient,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvEntry {
    value: Option<String>,
    modify_index: u64,
}

impl ConsulStore {
    /// Creates a client of the Consul server or agent at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            http: HttpClient::new(HttpVersion::Http1),
        }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        key: &str,
        path: &str,
        body: Body,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(http::header::HOST, self.addr.to_string())
            .body(body)
            .map_err(|e| self.error(step, key, &e.to_string()))?;
        let res = self
            .http
            .send_and_collect(step, req, timeout, MAX_RESPONSE_BYTES)
            .await
            .map_err(|e| self.error(step, key, &e.message))?;
        if res.status().is_success() || res.status() == StatusCode::NOT_FOUND {
            return Ok(res);
        }
        Err(self.error(
            step,
            key,
            &format!("responded with status {}", res.status()),
        ))
    }

    async fn read(
        &self,
        step: &'static str,
        key: &str,
        query: &str,
        timeout: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/v1/kv/{key}{query}");
        let res = self
            .call(step, Method::GET, key, &path, Body::Empty, timeout)
            .await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let entries: Vec<KvEntry> = serde_json::from_slice(res.body())
            .map_err(|e| self.error(step, key, &e.to_string()))?;
        let Some(entry) = entries.into_iter().next() else {
            return Ok(None);
        };
        let value = STANDARD
            .decode(entry.value.unwrap_or_default())
            .map_err(|e| self.error(step, key, &e.to_string()))?;
        Ok(Some(Versioned {
            value: value.into(),
            index: entry.modify_index,
        }))
    }

    async fn write(
        &self,
        step: &'static str,
        method: Method,
        key: &str,
        query: &str,
        value: Bytes,
    ) -> Result<bool, StoreError> {
        let path = format!("/v1/kv/{key}{query}");
        let body = Body::full(value);
        let res = self
            .call(step, method, key, &path, body, CALL_TIMEOUT)
            .await?;
        match res.body().trim_ascii() {
            b"true" => Ok(true),
            b"false" => Ok(false),
            _ => Err(self.error(step, key, "response is neither true nor false")),
        }
    }

    async fn list_nodes(
        &self,
        step: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Result<(u64, Vec<Host>), StoreError> {
        const KEY: &str = "nodes";
        let res = self
            .call(step, Method::GET, KEY, path, Body::Empty, timeout)
            .await?;
        let index = res
            .headers()
            .get(INDEX_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        let nodes = serde_json::from_slice(res.body())
            .map_err(|e| self.error(step, KEY, &e.to_string()))?;
        Ok((index, crate::host_list::hosts_from_nodes(nodes)))
    }

    fn error(&self, step: &'static str, key: &str, message: &str) -> StoreError {
        StoreError {
            step,
            key: key.to_owned(),
            address: self.addr.to_string(),
            message: message.to_owned(),
        }
    }
}

impl Store for ConsulStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.read("read", key, "?consistent=", CALL_TIMEOUT).await
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let query = format!("?index={after}&wait={}ms", wait.as_millis());
        self.read("watch", key, &query, wait + WATCH_MARGIN).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: Bytes,
        expected: u64,
    ) -> Result<bool, StoreError> {
        let query = format!("?cas={expected}");
        self.write("swap", Method::PUT, key, &query, value).await
    }

    async fn put(&self, key: &str, value: Bytes) -> Result<(), StoreError> {
        self.write("write", Method::PUT, key, "", value).await?;
        Ok(())
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        self.write("delete", Method::DELETE, key, "", Bytes::new())
            .await?;
        Ok(())
    }
}

impl HostList for ConsulStore {
    async fn list_routers(&self) -> Result<Vec<Host>, StoreError> {
        let path = format!("/v1/catalog/nodes?filter={ROUTERS_FILTER}");
        let (_, hosts) = self.list_nodes("list routers", &path, CALL_TIMEOUT).await?;
        Ok(hosts)
    }

    async fn watch_leaving(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<(u64, Vec<Host>), StoreError> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/v1/catalog/nodes?index={after}&wait={wait_ms}ms&filter={LEAVING_FILTER}");
        self.list_nodes("list leaving hosts", &path, wait + WATCH_MARGIN)
            .await
    }
}
