//! The environment of the gateways: store, engines and plain services, and the operator.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use cactusbarrow_adapter_standins::{
    BackendStandin, DeadlyRequest, EnginePace, Rejection, Run, StoreCopy, StoreStandin, config_json,
};
use serde_json::{Value, json};

use crate::process::{GatewayProcess, LaunchConfig};
use crate::proxy::Proxy;

/// Number of events of a generation.
pub(crate) const EVENTS_PER_GENERATION: u64 = 30;

/// Pace of engines whose generations differ in length.
pub(crate) const ENGINE_PACE: EnginePace = EnginePace {
    prompt_tokens_per_ms: 5,
    tokens_per_event: 8,
    slowdown: 1.0,
};

/// Time between two events of a generation.
pub(crate) const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Number of backend servers of the plain service.
const PLAIN_SERVICE_BACKENDS: usize = 3;

/// API key that every configuration contains.
pub(crate) const PERMANENT_KEY: &str = "key-always";

/// Services of the routes.
pub(crate) const SERVICES: [&str; 2] = ["llm", "app"];

/// Availability zones of the backend servers.
pub(crate) const ZONES: [&str; 2] = ["zona-pa", "zona-ct"];

/// Software versions of backend servers; a run uses the first ones.
pub(crate) const SOFTWARE_VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// Indices of routes in the stand-in's configuration.
const STREAM_ROUTE_INDEX: usize = 0;
const LOOKUP_ROUTE_INDEX: usize = 1;

/// Prefix of the route of generations that cannot be resumed.
pub(crate) const ONCE_PREFIX: &str = "/stream/once/";

/// A backend server behind a proxy, whose address stays when the instance is replaced.
#[derive(Debug)]
pub(crate) struct ProxiedBackend {
    pub(crate) proxy: Proxy,
    pub(crate) service: &'static str,
    zone: &'static str,
    name: String,
    instance_number: u32,
    pub(crate) standin: BackendStandin,
    drained_at: Option<Instant>,
}

/// Time for which an entry that is written again is missing.
const UNLISTED_TIME: Duration = Duration::from_millis(200);

/// An instance of a backend server, with all that it ran.
#[derive(Debug)]
pub(crate) struct InstanceRecord {
    pub(crate) instance: String,
    pub(crate) runs: Vec<Run>,
    /// Requests that it rejected with `Retry-After`.
    pub(crate) rejections: Vec<Rejection>,
    pub(crate) drained_at: Option<Instant>,
    /// When its process ended, unless it still runs.
    pub(crate) ended_at: Option<Instant>,
    /// Run under which its process ended.
    pub(crate) fatal_run: Option<Run>,
}

impl InstanceRecord {
    fn new(standin: &BackendStandin, drained_at: Option<Instant>) -> Self {
        Self {
            instance: standin.instance().to_owned(),
            runs: standin.runs(),
            rejections: standin.rejections(),
            drained_at,
            ended_at: standin.killed_at(),
            fatal_run: standin.fatal_run(),
        }
    }
}

/// A configuration that the operator wrote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WrittenConfig {
    pub(crate) version: u64,
    /// The version before this one.
    pub(crate) previous: u64,
    pub(crate) written_at: Instant,
}

/// What ends each backend server that begins to run it.
#[derive(Clone, Debug, Default)]
struct Deadly {
    /// Shared parts of prompts.
    parts: Vec<String>,
    requests: Vec<DeadlyRequest>,
}

impl Deadly {
    fn apply(&self, standin: &BackendStandin) {
        let parts: Vec<&str> = self.parts.iter().map(String::as_str).collect();
        standin.set_deadly_parts(&parts);
        standin.set_deadly_requests(&self.requests);
    }
}

/// The last write of a key in the store by the operator or a backend server.
#[derive(Debug)]
struct LastWrite {
    at: Instant,
    /// `None` if it deleted the key.
    value: Option<String>,
}

/// The gateway processes and everything that they connect to.
#[derive(Debug)]
pub(crate) struct Environment {
    pub(crate) store: StoreStandin,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) gateways: Vec<Mutex<GatewayProcess>>,
    pub(crate) base_port: u16,
    backends: Vec<Mutex<ProxiedBackend>>,
    retired_instances: Mutex<Vec<InstanceRecord>>,
    written: Mutex<WrittenConfig>,
    /// What ends backend servers, also those that start later.
    deadly: Mutex<Deadly>,
    /// Pace of the engines, also of those that start later.
    pace: Mutex<Option<EnginePace>>,
    /// Grace period of the gateways.
    pub(crate) grace: Duration,
    /// By key; locked during each write, so that the store sees writes in the same order.
    last_writes: Mutex<BTreeMap<String, LastWrite>>,
}

/// Locks a mutex, also if it is poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic elsewhere fails the run anyway.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Environment {
    /// Starts store, backend servers and gateways, and writes a first configuration.
    pub(crate) async fn start(
        launch: &LaunchConfig,
        gateways: usize,
        engines: usize,
        software_versions: usize,
    ) -> anyhow::Result<Self> {
        let store = StoreStandin::start().await.context("start the store")?;
        let mut backends = Vec::new();
        for i in 0..engines + PLAIN_SERVICE_BACKENDS {
            let service = SERVICES[usize::from(i >= engines)];
            // Neighbours in the list are in different zones.
            let software = SOFTWARE_VERSIONS[i / ZONES.len() % software_versions];
            backends.push(Mutex::new(start_backend(i, service, software).await?));
        }
        let mut links = Vec::new();
        let mut processes = Vec::new();
        for index in 0..gateways {
            let link = Proxy::start(store.addr()).await.context("start a proxy")?;
            let mut process = GatewayProcess::new(launch, index, link.addr())?;
            process.start()?;
            links.push(link);
            processes.push(Mutex::new(process));
        }
        let written = WrittenConfig {
            version: 0,
            previous: 0,
            written_at: Instant::now(),
        };
        let environment = Self {
            store,
            store_links: links,
            gateways: processes,
            base_port: launch.base_port,
            backends,
            retired_instances: Mutex::default(),
            written: Mutex::new(written),
            deadly: Mutex::default(),
            pace: Mutex::default(),
            grace: launch.grace,
            last_writes: Mutex::default(),
        };
        environment.write_configuration(1);
        for i in 0..environment.backends.len() {
            environment.write_entry(&lock(&environment.backends[i]), "ready");
        }
        Ok(environment)
    }

    /// Returns the backend servers by index.
    pub(crate) fn backends(&self) -> &[Mutex<ProxiedBackend>] {
        &self.backends
    }

    /// Returns the indices of the backend servers of a zone.
    pub(crate) fn backends_of_zone(&self, zone: &str) -> Vec<usize> {
        let count = self.backends.len();
        let is_in_zone = |i: &usize| lock(&self.backends[*i]).zone == zone;
        (0..count).filter(is_in_zone).collect()
    }

    /// Returns the indices of the backend servers of a service.
    pub(crate) fn backends_of_service(&self, service: &str) -> Vec<usize> {
        let count = self.backends.len();
        let is_of_service = |i: &usize| lock(&self.backends[*i]).service == service;
        (0..count).filter(is_of_service).collect()
    }

    /// Returns the configuration that was written last.
    pub(crate) fn newest_config(&self) -> WrittenConfig {
        *lock(&self.written)
    }

    /// Writes a configuration that is newer by `step` versions.
    pub(crate) fn change_configuration(&self, step: u64) {
        let version = lock(&self.written).version + step;
        self.write_configuration(version);
    }

    fn write_configuration(&self, version: u64) {
        let mut written = lock(&self.written);
        let text = config_text(version);
        self.write("op/config", Some(text));
        *written = WrittenConfig {
            version,
            previous: written.version,
            written_at: Instant::now(),
        };
    }

    fn write_entry(&self, backend: &ProxiedBackend, state: &str) {
        let key = format!("servers/{}", backend.standin.instance());
        let (addr, standin) = (backend.proxy.addr(), &backend.standin);
        let entry = standin.entry_json_at(addr, backend.service, backend.zone, state);
        self.write(&key, Some(entry));
    }

    /// Writes a value as another writer may do; it does not belong to any backend server.
    pub(crate) fn write_odd(&self, key: &str, value: &str) {
        self.store.put(key, value);
    }

    /// Writes a value over the entry of a backend server, which writes its own again after a time.
    pub(crate) async fn overwrite_entry(&self, index: usize, value: &str, time: Duration) {
        let instance = lock(&self.backends[index]).standin.instance().to_owned();
        self.store.put(&format!("servers/{instance}"), value);
        tokio::time::sleep(time).await;
        let backend = lock(&self.backends[index]);
        if *backend.standin.instance() == *instance {
            let is_draining = backend.drained_at.is_some();
            self.write_entry(&backend, if is_draining { "draining" } else { "ready" });
        }
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut last_writes = lock(&self.last_writes);
        let at = Instant::now();
        last_writes.insert(key.to_owned(), LastWrite { at, value });
        self.send_to_store(key, &last_writes[key]);
    }

    fn send_to_store(&self, key: &str, write: &LastWrite) {
        match &write.value {
            Some(value) => self.store.put(key, value),
            None => self.store.delete(key),
        }
    }

    /// Returns the store to `copy`, which was taken at `copied_at`.
    ///
    /// Returns the keys that the operator and the backend servers have to write again.
    pub(crate) fn restore_store(&self, copy: &StoreCopy, copied_at: Instant) -> Vec<String> {
        let last_writes = lock(&self.last_writes);
        self.store.restore(copy);
        let lost = last_writes
            .iter()
            .filter(|(_, write)| write.at >= copied_at);
        lost.map(|(key, _)| key.clone()).collect()
    }

    /// Removes the entry of a server, as if its lease had ended; returns its key.
    pub(crate) fn expire_entry(&self, index: usize) -> String {
        let key = format!("servers/{}", lock(&self.backends[index]).standin.instance());
        let _last_writes = lock(&self.last_writes);
        self.store.delete(&key);
        key
    }

    /// Removes the entry of an instance for a moment, and writes it again as it was.
    pub(crate) async fn list_again(&self, instance: &str) {
        let key = format!("servers/{instance}");
        {
            let _last_writes = lock(&self.last_writes);
            self.store.delete(&key);
        }
        tokio::time::sleep(UNLISTED_TIME).await;
        self.write_again(&key);
    }

    /// Repeats the last write of a key.
    pub(crate) fn write_again(&self, key: &str) {
        if let Some(write) = lock(&self.last_writes).get_mut(key) {
            write.at = Instant::now();
            self.send_to_store(key, write);
        }
    }

    /// Makes all backend servers end under prompts with one of these shared parts.
    pub(crate) fn set_deadly_parts(&self, parts: Vec<String>) {
        self.change_deadly(|deadly| deadly.parts = parts);
    }

    /// Makes all backend servers end under one of these requests.
    pub(crate) fn set_deadly_requests(&self, requests: Vec<DeadlyRequest>) {
        self.change_deadly(|deadly| deadly.requests = requests);
    }

    fn change_deadly(&self, change: impl FnOnce(&mut Deadly)) {
        let mut deadly = lock(&self.deadly);
        change(&mut deadly);
        let changed = deadly.clone();
        drop(deadly);
        for backend in &self.backends {
            changed.apply(&lock(backend).standin);
        }
    }

    /// Makes all engines run generations of different lengths, at `pace`.
    pub(crate) fn set_pace(&self, pace: EnginePace) {
        *lock(&self.pace) = Some(pace);
        for backend in &self.backends {
            lock(backend).standin.set_pace(Some(pace));
        }
    }

    /// Kills an instance.
    pub(crate) fn kill(&self, index: usize) {
        lock(&self.backends[index]).standin.kill();
    }

    /// Marks an instance as draining in its entry.
    pub(crate) fn drain(&self, index: usize) {
        let mut backend = lock(&self.backends[index]);
        self.write_entry(&backend, "draining");
        backend.drained_at.get_or_insert_with(Instant::now);
    }

    /// Kills an instance and starts the next one at the same address.
    pub(crate) async fn replace(&self, index: usize, software: &str) -> anyhow::Result<()> {
        let (name, instance_number) = {
            let backend = lock(&self.backends[index]);
            (backend.name.clone(), backend.instance_number + 1)
        };
        let standin = start_standin(&name, instance_number, software).await?;
        let mut backend = lock(&self.backends[index]);
        backend.standin.kill();
        lock(&self.deadly).apply(&standin);
        standin.set_pace(*lock(&self.pace));
        backend.proxy.retarget(standin.addr());
        let old = std::mem::replace(&mut backend.standin, standin);
        let drained_at = backend.drained_at.take();
        backend.instance_number = instance_number;
        self.write(&format!("servers/{}", old.instance()), None);
        lock(&self.retired_instances).push(InstanceRecord::new(&old, drained_at));
        self.write_entry(&backend, "ready");
        Ok(())
    }

    /// Returns the records of all instances, and removes those of replaced instances.
    pub(crate) fn take_instance_records(&self) -> Vec<InstanceRecord> {
        let mut all = std::mem::take(&mut *lock(&self.retired_instances));
        for backend in &self.backends {
            let backend = lock(backend);
            all.push(InstanceRecord::new(&backend.standin, backend.drained_at));
        }
        all
    }
}

async fn start_backend(
    index: usize,
    service: &'static str,
    software: &str,
) -> anyhow::Result<ProxiedBackend> {
    let name = format!("{service}-{index}");
    let standin = start_standin(&name, 0, software).await?;
    Ok(ProxiedBackend {
        proxy: Proxy::start(standin.addr())
            .await
            .context("start a proxy")?,
        service,
        zone: ZONES[index % ZONES.len()],
        name,
        instance_number: 0,
        standin,
        drained_at: None,
    })
}

async fn start_standin(
    name: &str,
    instance_number: u32,
    software: &str,
) -> anyhow::Result<BackendStandin> {
    BackendStandin::start_with_software(
        &format!("{name}-{instance_number}"),
        software,
        EVENTS_PER_GENERATION,
        EVENT_INTERVAL,
    )
    .await
    .context("start a backend server")
}

/// Returns a configuration with a route and a key that only this version contains.
fn config_text(version: u64) -> String {
    let text = config_json(version, &[PERMANENT_KEY, &version_key(version)]);
    let mut config: Value = serde_json::from_str(&text).unwrap_or_default();
    let mut route = config["routes"][LOOKUP_ROUTE_INDEX].clone();
    route["name"] = json!(format!("r-v{version}"));
    route["prefix"] = json!(format!("/v{version}/"));
    let mut once = config["routes"][STREAM_ROUTE_INDEX].clone();
    once["name"] = json!("r-once");
    once["prefix"] = json!(ONCE_PREFIX);
    once["streamResume"] = json!(false);
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend([route, once]);
    }
    config.to_string()
}

/// Returns the key that only the configuration of this version contains.
pub(crate) fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}
