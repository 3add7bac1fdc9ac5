//! The outside of the gateways: store, engines and plain services, and the operator.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use cactusbarrow_adapter_standins::{BackendStandin, Run, StoreStandin, config_json, entry_json};
use serde_json::{Value, json};

use crate::process::{GatewayProcess, Site};
use crate::proxy::Proxy;

/// Events of a generation.
pub(crate) const EVENTS: u64 = 30;

/// Time between two events.
const PACE: Duration = Duration::from_millis(30);

/// Plain servers.
const APPS: usize = 3;

/// Key that every configuration has.
pub(crate) const KEY: &str = "key-always";

/// Place of the lookup route in the stand-in's configuration.
const LOOKUP_ROUTE: usize = 1;

/// One place for a backend server; its address stays when another instance takes it.
#[derive(Debug)]
pub(crate) struct BackendPlace {
    pub(crate) proxy: Proxy,
    pub(crate) service: &'static str,
    zone: &'static str,
    name: String,
    number: u32,
    pub(crate) standin: BackendStandin,
    drained: Option<Instant>,
}

/// An instance that has ended, with all that it ran.
#[derive(Debug)]
pub(crate) struct Retired {
    pub(crate) instance: String,
    pub(crate) runs: Vec<Run>,
    pub(crate) drained: Option<Instant>,
}

/// A configuration that the operator wrote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Written {
    pub(crate) version: u64,
    /// Version that was in force before.
    pub(crate) previous: u64,
    pub(crate) at: Instant,
}

/// All that surrounds the gateways.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) store: StoreStandin,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) gateways: Vec<Mutex<GatewayProcess>>,
    pub(crate) base_port: u16,
    places: Vec<Mutex<BackendPlace>>,
    retired: Mutex<Vec<Retired>>,
    written: Mutex<Written>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic elsewhere ends the run anyway.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    /// Starts everything, with a first configuration.
    pub(crate) async fn start(
        site: &Site,
        gateways: usize,
        engines: usize,
    ) -> anyhow::Result<Self> {
        let store = StoreStandin::start().await.context("start the store")?;
        let mut places = Vec::new();
        for i in 0..engines + APPS {
            let service = if i < engines { "llm" } else { "app" };
            places.push(Mutex::new(place(i, service).await?));
        }
        let mut links = Vec::new();
        let mut processes = Vec::new();
        for index in 0..gateways {
            let link = Proxy::start(store.addr()).await.context("start a proxy")?;
            let mut process = GatewayProcess::new(site, index, link.addr())?;
            process.start()?;
            links.push(link);
            processes.push(Mutex::new(process));
        }
        let written = Written {
            version: 0,
            previous: 0,
            at: Instant::now(),
        };
        let world = Self {
            store,
            store_links: links,
            gateways: processes,
            base_port: site.base_port,
            places,
            retired: Mutex::default(),
            written: Mutex::new(written),
        };
        world.write_configuration(1);
        for i in 0..world.places.len() {
            world.list(&lock(&world.places[i]), "ready");
        }
        Ok(world)
    }

    /// Returns the places for backend servers.
    pub(crate) fn places(&self) -> &[Mutex<BackendPlace>] {
        &self.places
    }

    /// Returns the newest configuration.
    pub(crate) fn newest(&self) -> Written {
        *lock(&self.written)
    }

    /// Writes a configuration that is newer by `step` versions.
    pub(crate) fn change_configuration(&self, step: u64) {
        let version = lock(&self.written).version + step;
        self.write_configuration(version);
    }

    fn write_configuration(&self, version: u64) {
        let mut written = lock(&self.written);
        let text = configuration(version);
        self.store.put("op/config", &text);
        *written = Written {
            version,
            previous: written.version,
            at: Instant::now(),
        };
    }

    fn list(&self, place: &BackendPlace, state: &str) {
        let key = format!("servers/{}", place.standin.instance());
        let entry = entry_json(place.service, place.proxy.addr(), place.zone, state);
        self.store.put(&key, &entry);
    }

    /// Ends an instance at once.
    pub(crate) fn kill(&self, index: usize) {
        lock(&self.places[index]).standin.kill();
    }

    /// Announces that an instance leaves.
    pub(crate) fn drain(&self, index: usize) {
        let mut place = lock(&self.places[index]);
        self.list(&place, "draining");
        place.drained.get_or_insert_with(Instant::now);
    }

    /// Ends an instance and starts the next one at its address.
    pub(crate) async fn replace(&self, index: usize) -> anyhow::Result<()> {
        let (name, number) = {
            let place = lock(&self.places[index]);
            (place.name.clone(), place.number + 1)
        };
        let standin = start_standin(&name, number).await?;
        let mut place = lock(&self.places[index]);
        place.standin.kill();
        place.proxy.retarget(standin.addr());
        let old = std::mem::replace(&mut place.standin, standin);
        let drained = place.drained.take();
        place.number = number;
        self.store.delete(&format!("servers/{}", old.instance()));
        lock(&self.retired).push(Retired {
            instance: old.instance().to_owned(),
            runs: old.runs(),
            drained,
        });
        self.list(&place, "ready");
        Ok(())
    }

    /// Returns what all instances ran, those that have ended included.
    pub(crate) fn all_runs(&self) -> Vec<Retired> {
        let mut all = std::mem::take(&mut *lock(&self.retired));
        for place in &self.places {
            let place = lock(place);
            all.push(Retired {
                instance: place.standin.instance().to_owned(),
                runs: place.standin.runs(),
                drained: place.drained,
            });
        }
        all
    }
}

async fn place(index: usize, service: &'static str) -> anyhow::Result<BackendPlace> {
    let name = format!("{service}-{index}");
    let standin = start_standin(&name, 0).await?;
    Ok(BackendPlace {
        proxy: Proxy::start(standin.addr())
            .await
            .context("start a proxy")?,
        service,
        zone: ["zona-pa", "zona-ct"][index % 2],
        name,
        number: 0,
        standin,
        drained: None,
    })
}

async fn start_standin(name: &str, number: u32) -> anyhow::Result<BackendStandin> {
    BackendStandin::start(&format!("{name}-{number}"), EVENTS, PACE)
        .await
        .context("start a backend server")
}

/// Returns a configuration with a route and a key that only this version has.
fn configuration(version: u64) -> String {
    let text = config_json(version, &[KEY, &key_of(version)]);
    let mut config: Value = serde_json::from_str(&text).unwrap_or_default();
    let mut route = config["routes"][LOOKUP_ROUTE].clone();
    route["name"] = json!(format!("r-v{version}"));
    route["prefix"] = json!(format!("/v{version}/"));
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(route);
    }
    config.to_string()
}

/// Returns the key that only one version has.
pub(crate) fn key_of(version: u64) -> String {
    format!("key-of-{version}")
}
