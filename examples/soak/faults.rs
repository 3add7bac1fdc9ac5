//! Faults injected into gateways, backend servers, the store and their links, drawn from a seed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{Fault, StoreMode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use tokio_util::sync::CancellationToken;

use crate::Plan;
use crate::environment::{Environment, SOFTWARE_VERSIONS, ZONES, lock};
use crate::ledger::{Ledger, Scope};
use crate::proxy::Proxy;

/// Time by which a graceful stop may exceed its grace period, with the start that follows.
const STOP_ALLOWANCE: Duration = Duration::from_millis(1_000);

/// Time that an instance keeps serving after its drain began, until it is replaced.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// Faults of backend servers.
const BACKEND_FAULTS: [Fault; 9] = [
    Fault::Error,
    Fault::TruncateResponse,
    Fault::WrongId,
    Fault::NotExecuted,
    Fault::Hang,
    Fault::Freeze,
    Fault::TruncateStream,
    Fault::Stall,
    Fault::SlowStart,
];

/// Durations of a pause of sound backend servers, in milliseconds.
const BACKEND_PAUSE_MS: std::ops::Range<u64> = 300..1_200;

/// Age of a copy to which the store returns, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 1_000..4_000;

/// Largest number of other writes after the store's return, which reach lost revisions again.
const MAX_OTHER_WRITES: u32 = 30;

/// Delay of a repeated write after the store's return, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..1_500;

/// Largest number of backend servers that are paused at once, unless a whole zone is.
const MAX_PAUSED_BACKENDS: usize = 3;

/// Probability that a gateway is stopped again right after its start.
const STOP_AGAIN_PROBABILITY: f64 = 0.15;

/// Time between that start and the stop, in milliseconds.
const STOP_AGAIN_MS: std::ops::Range<u64> = 0..600;

/// A kind of fault or of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Backend,
    BackendLink,
    BackendKill,
    BackendDrain,
    BackendPause,
    StoreLink,
    Store,
    StoreHistory,
    StoreReturn,
    EntryExpiry,
    Configuration,
    GatewayKill,
    GatewayStop,
    GatewayPause,
    GatewayReload,
}

/// The kinds that an injector draws from; a kind that is listed twice is drawn twice as often.
type FaultMix = [FaultKind];

/// All kinds.
const ALL_FAULTS: &FaultMix = &[
    FaultKind::Backend,
    FaultKind::BackendLink,
    FaultKind::BackendKill,
    FaultKind::BackendDrain,
    FaultKind::BackendPause,
    FaultKind::StoreLink,
    FaultKind::Store,
    FaultKind::StoreHistory,
    FaultKind::StoreReturn,
    FaultKind::EntryExpiry,
    FaultKind::Configuration,
    FaultKind::Configuration,
    FaultKind::GatewayKill,
    FaultKind::GatewayStop,
    FaultKind::GatewayStop,
    FaultKind::GatewayPause,
    FaultKind::GatewayReload,
];

/// The kinds that come beside stops of gateways.
const BESIDE_STOPS: &FaultMix = &[
    FaultKind::BackendPause,
    FaultKind::Store,
    FaultKind::StoreHistory,
    FaultKind::StoreReturn,
    FaultKind::EntryExpiry,
    FaultKind::Configuration,
    FaultKind::Configuration,
    FaultKind::GatewayReload,
    FaultKind::GatewayReload,
];

/// The kinds that do not excuse an interrupted request.
const PLANNED_FAULTS: &FaultMix = &[
    FaultKind::BackendPause,
    FaultKind::BackendPause,
    FaultKind::BackendPause,
    FaultKind::Store,
    FaultKind::StoreHistory,
    FaultKind::StoreReturn,
    FaultKind::EntryExpiry,
    FaultKind::Configuration,
    FaultKind::Configuration,
    FaultKind::Configuration,
    FaultKind::GatewayStop,
    FaultKind::GatewayReload,
];

/// The kinds of a series that does not excuse an interrupted request.
const PLANNED_SERIES: &FaultMix = &[
    FaultKind::Configuration,
    FaultKind::GatewayStop,
    FaultKind::GatewayReload,
    FaultKind::GatewayReload,
];

/// The kinds of any other series.
const SERIES: &FaultMix = &[
    FaultKind::Configuration,
    FaultKind::GatewayKill,
    FaultKind::GatewayStop,
    FaultKind::GatewayStop,
    FaultKind::GatewayPause,
    FaultKind::GatewayReload,
    FaultKind::GatewayReload,
];

/// Injects one fault at a time; the faults of several injectors overlap.
pub(crate) struct Injector {
    environment: Arc<Environment>,
    ledger: Arc<Ledger>,
    mix: &'static FaultMix,
    software_versions: usize,
    rng: StdRng,
    log: Vec<String>,
}

impl Injector {
    /// Creates injector `index` of a run; runs with an even seed have only planned faults.
    pub(crate) fn new(
        environment: Arc<Environment>,
        ledger: Arc<Ledger>,
        plan: &Plan,
        index: u64,
    ) -> Self {
        let seed = plan.seed * 100 + index;
        Self {
            environment,
            ledger,
            mix: if plan.seed.is_multiple_of(2) {
                PLANNED_FAULTS
            } else {
                ALL_FAULTS
            },
            software_versions: plan.software_versions,
            rng: StdRng::seed_from_u64(seed),
            log: Vec::new(),
        }
    }

    /// Creates an injector for one step of a series of signals, restarts and changes.
    pub(crate) fn for_series(
        environment: Arc<Environment>,
        ledger: Arc<Ledger>,
        plan: &Plan,
        index: u64,
    ) -> Self {
        let mix = if plan.seed.is_multiple_of(2) {
            PLANNED_SERIES
        } else {
            SERIES
        };
        let injector = Self::new(environment, ledger, plan, index);
        Self { mix, ..injector }
    }

    /// Creates an injector for a stop of a gateway, or an event beside one.
    pub(crate) fn beside_stops(
        environment: Arc<Environment>,
        ledger: Arc<Ledger>,
        plan: &Plan,
        index: u64,
    ) -> Self {
        let injector = Self::new(environment, ledger, plan, index);
        Self {
            mix: BESIDE_STOPS,
            ..injector
        }
    }

    /// Injects one fault and reverts it.
    pub(crate) async fn inject_one(mut self) -> anyhow::Result<String> {
        let kind = self.mix[self.rng.random_range(0..self.mix.len())];
        self.inject(kind).await
    }

    /// Injects faults one after the other until `stop` is cancelled; the last one is reverted too.
    ///
    /// Returns a log of the faults.
    pub(crate) async fn run(mut self, stop: CancellationToken) -> anyhow::Result<Vec<String>> {
        let started = Instant::now();
        while !stop.is_cancelled() {
            self.pause(50..600).await;
            let kind = self.mix[self.rng.random_range(0..self.mix.len())];
            let at = started.elapsed().as_secs_f64();
            let description = self.inject(kind).await?;
            self.log.push(format!("{at:.2} s: {description}"));
        }
        Ok(self.log)
    }

    async fn pause(&mut self, ms: std::ops::Range<u64>) {
        let pause = self.rng.random_range(ms);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    fn draw_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.environment.gateways.len())
    }

    fn draw_backend(&mut self) -> usize {
        self.rng.random_range(0..self.environment.backends().len())
    }

    fn draw_software(&mut self) -> &'static str {
        SOFTWARE_VERSIONS[self.rng.random_range(0..self.software_versions)]
    }

    async fn inject(&mut self, kind: FaultKind) -> anyhow::Result<String> {
        match kind {
            FaultKind::Backend => Ok(self.inject_backend_fault().await),
            FaultKind::BackendLink => Ok(self.disrupt_backend_link().await),
            FaultKind::BackendKill => self.kill_backends().await,
            FaultKind::BackendDrain => self.drain_backend().await,
            FaultKind::BackendPause => Ok(self.pause_backends().await),
            FaultKind::StoreLink => Ok(self.disrupt_store_link().await),
            FaultKind::Store => Ok(self.disrupt_store().await),
            FaultKind::StoreHistory => {
                self.environment.store.drop_history();
                Ok("store dropped its history".to_owned())
            }
            FaultKind::StoreReturn => Ok(self.return_store_to_copy().await),
            FaultKind::EntryExpiry => Ok(self.expire_entries().await),
            FaultKind::Configuration => Ok(self.change_configuration().await),
            FaultKind::GatewayKill => self.kill_gateways().await,
            FaultKind::GatewayStop => self.stop_gateway().await,
            FaultKind::GatewayPause => Ok(self.pause_gateway().await),
            FaultKind::GatewayReload => Ok(self.reload_gateway()),
        }
    }

    async fn inject_backend_fault(&mut self) -> String {
        let backend = self.draw_backend();
        let fault = BACKEND_FAULTS[self.rng.random_range(0..BACKEND_FAULTS.len())];
        let id = self.ledger.begin_disruption(Scope::Backends);
        let standin = lock(&self.environment.backends()[backend]).standin.clone();
        standin.set_fault(Some(fault));
        self.pause(200..3_000).await;
        standin.set_fault(None);
        self.ledger.end_disruption(id);
        format!("{} had fault {fault:?}", standin.instance())
    }

    async fn disrupt_backend_link(&mut self) -> String {
        let backend = self.draw_backend();
        let id = self.ledger.begin_disruption(Scope::BackendLinks);
        let link_fault = self.rng.random_range(0..5);
        let delay = self.rng.random_range(5..250);
        let instance = {
            let backend = lock(&self.environment.backends()[backend]);
            disrupt_link(&backend.proxy, link_fault, delay);
            backend.standin.instance().to_owned()
        };
        self.pause(200..3_000).await;
        lock(&self.environment.backends()[backend])
            .proxy
            .clear_faults();
        self.ledger.end_disruption(id);
        format!("link to {instance} had fault {link_fault}")
    }

    /// Kills one instance, or all instances of a zone, and replaces them.
    async fn kill_backends(&mut self) -> anyhow::Result<String> {
        let count = self.environment.backends().len();
        let first = self.draw_backend();
        let step = if self.rng.random_bool(0.4) { 2 } else { count };
        let killed: Vec<usize> = (first % 2.min(step)..count)
            .step_by(step)
            .chain((step == count).then_some(first))
            .collect();
        let id = self.ledger.begin_disruption(Scope::Backends);
        for backend in &killed {
            self.environment.kill(*backend);
        }
        self.pause(100..2_500).await;
        for backend in &killed {
            let software = self.draw_software();
            self.environment.replace(*backend, software).await?;
        }
        self.ledger.end_disruption(id);
        Ok(format!("backend servers {killed:?} killed and replaced"))
    }

    async fn drain_backend(&mut self) -> anyhow::Result<String> {
        let backend = self.draw_backend();
        self.environment.drain(backend);
        tokio::time::sleep(DRAIN_TIME).await;
        let id = self.ledger.begin_disruption(Scope::Backends);
        let software = self.draw_software();
        self.environment.replace(backend, software).await?;
        self.ledger.end_disruption(id);
        Ok(format!("backend server {backend} drained and replaced"))
    }

    /// Pauses some sound instances, or all instances of a zone; that is no disruption.
    async fn pause_backends(&mut self) -> String {
        let chosen = if self.rng.random_bool(0.4) {
            let zone = ZONES[self.rng.random_range(0..ZONES.len())];
            self.environment.backends_of_zone(zone)
        } else {
            let count = self.rng.random_range(1..=MAX_PAUSED_BACKENDS);
            (0..count).map(|_| self.draw_backend()).collect()
        };
        let mut paused = Vec::new();
        for backend in chosen {
            if self.ledger.begin_pause(backend) {
                let standin = lock(&self.environment.backends()[backend]).standin.clone();
                standin.pause();
                paused.push((backend, standin));
            }
        }
        self.pause(BACKEND_PAUSE_MS).await;
        for (backend, standin) in &paused {
            standin.resume();
            self.ledger.end_pause(*backend);
        }
        let instances: Vec<&str> = paused.iter().map(|(_, s)| s.instance()).collect();
        format!("{instances:?} were paused")
    }

    async fn disrupt_store_link(&mut self) -> String {
        let gateway = self.draw_gateway();
        let id = self.ledger.begin_disruption(Scope::StoreLink(gateway));
        let link_fault = self.rng.random_range(0..5);
        let delay = self.rng.random_range(20..600);
        disrupt_link(&self.environment.store_links[gateway], link_fault, delay);
        self.pause(300..4_000).await;
        self.environment.store_links[gateway].clear_faults();
        self.ledger.end_disruption(id);
        format!("store link of gateway {gateway} had fault {link_fault}")
    }

    async fn disrupt_store(&mut self) -> String {
        let id = self.ledger.begin_disruption(Scope::Store);
        let mode = if self.rng.random_bool(0.5) {
            StoreMode::Busy
        } else {
            StoreMode::Silent
        };
        self.environment.store.set_mode(mode);
        self.pause(300..4_000).await;
        self.environment.store.set_mode(StoreMode::Serving);
        self.ledger.end_disruption(id);
        format!("store was {mode:?}")
    }

    /// Takes the store away and returns it from an older copy; its writers write again.
    async fn return_store_to_copy(&mut self) -> String {
        let copied_at = Instant::now();
        let copy = self.environment.store.copy();
        self.pause(COPY_AGE_MS).await;
        let id = self.ledger.begin_disruption(Scope::Store);
        self.environment.store.set_mode(StoreMode::Silent);
        self.pause(100..1_000).await;
        let lost = self.environment.restore_store(&copy, copied_at);
        for _ in 0..self.rng.random_range(0..MAX_OTHER_WRITES) {
            self.environment.store.put("op/other", "value");
        }
        let age = copied_at.elapsed();
        self.environment.store.set_mode(StoreMode::Serving);
        let written = self.write_again(lost).await;
        self.ledger.increment("returns of the store");
        self.ledger.end_disruption(id);
        format!("store returned from a copy of {age:?} before; {written:?} were written again")
    }

    /// Takes the store away until entries of live servers have expired there.
    async fn expire_entries(&mut self) -> String {
        let id = self.ledger.begin_disruption(Scope::Store);
        self.environment.store.set_mode(StoreMode::Silent);
        self.pause(300..2_000).await;
        let mut expired = Vec::new();
        for backend in 0..self.environment.backends().len() {
            if self.rng.random_bool(0.5) {
                expired.push(self.environment.expire_entry(backend));
            }
        }
        self.environment.store.set_mode(StoreMode::Serving);
        let written = self.write_again(expired).await;
        self.ledger.end_disruption(id);
        format!("{written:?} expired and were written again")
    }

    /// Repeats the last writes of keys, each after a delay; returns the delays in milliseconds.
    async fn write_again(&mut self, keys: Vec<String>) -> Vec<(u64, String)> {
        let mut delay_ms = || self.rng.random_range(REWRITE_DELAY_MS);
        let mut writes: Vec<_> = keys.into_iter().map(|key| (delay_ms(), key)).collect();
        writes.sort_unstable();
        let returned_at = Instant::now();
        for (delay_ms, key) in &writes {
            let due_at = returned_at + Duration::from_millis(*delay_ms);
            tokio::time::sleep_until(due_at.into()).await;
            self.environment.write_again(key);
        }
        writes
    }

    async fn change_configuration(&mut self) -> String {
        let count = self.rng.random_range(1..4);
        for _ in 0..count {
            let step = self.rng.random_range(1..6);
            self.environment.change_configuration(step);
            self.pause(10..400).await;
        }
        format!(
            "{count} configurations up to {}",
            self.environment.newest_config().version
        )
    }

    /// Kills one gateway, or all of them, and restarts them.
    async fn kill_gateways(&mut self) -> anyhow::Result<String> {
        let gateways: Vec<usize> = if self.rng.random_bool(0.25) {
            (0..self.environment.gateways.len()).collect()
        } else {
            vec![self.draw_gateway()]
        };
        self.kill_and_restart(gateways, &[], "").await
    }

    /// Kills all gateways, and replaces all of `engines` by ones of another software version while they are
    /// away.
    pub(crate) async fn replace_version(
        mut self,
        engines: &[usize],
        software: &str,
    ) -> anyhow::Result<String> {
        let all = (0..self.environment.gateways.len()).collect();
        self.kill_and_restart(all, engines, software).await
    }

    async fn kill_and_restart(
        &mut self,
        gateways: Vec<usize>,
        replaced: &[usize],
        software: &str,
    ) -> anyhow::Result<String> {
        let begin = |gateway: &usize| self.ledger.begin_disruption(Scope::Gateway(*gateway));
        let ids: Vec<_> = gateways.iter().map(begin).collect();
        for gateway in &gateways {
            lock(&self.environment.gateways[*gateway]).signal(Signal::KILL);
        }
        for engine in replaced {
            self.environment.replace(*engine, software).await?;
        }
        self.pause(50..1_500).await;
        for (gateway, id) in gateways.iter().zip(ids) {
            self.restart(*gateway).await?;
            self.ledger.end_disruption(id);
        }
        Ok(format!("gateways {gateways:?} killed and restarted"))
    }

    async fn stop_gateway(&mut self) -> anyhow::Result<String> {
        let gateway = self.draw_gateway();
        self.stop(gateway).await
    }

    /// Stops a gateway after some time and starts it again; at times stops it once more at once.
    pub(crate) async fn stop_later(
        mut self,
        gateway: usize,
        after: Duration,
    ) -> anyhow::Result<String> {
        tokio::time::sleep(after).await;
        let mut description = self.stop(gateway).await?;
        if self.rng.random_bool(STOP_AGAIN_PROBABILITY) {
            self.pause(STOP_AGAIN_MS).await;
            description += &format!("; {}", self.stop(gateway).await?);
        }
        Ok(description)
    }

    /// Stops a gateway after some time and starts it again.
    pub(crate) async fn stop_once_later(
        mut self,
        gateway: usize,
        after: Duration,
    ) -> anyhow::Result<String> {
        tokio::time::sleep(after).await;
        self.stop(gateway).await
    }

    async fn stop(&mut self, gateway: usize) -> anyhow::Result<String> {
        let id = self.ledger.begin_disruption(Scope::Stop(gateway));
        lock(&self.environment.gateways[gateway]).signal(Signal::TERM);
        let started = Instant::now();
        self.restart(gateway).await?;
        self.ledger.end_disruption(id);
        let duration = started.elapsed();
        let unplanned = [Scope::Gateway(gateway), Scope::StoreLink(gateway)];
        if duration > self.environment.grace + STOP_ALLOWANCE
            && self
                .ledger
                .is_undisrupted(&unplanned, started, started + duration)
        {
            let text = format!("gateway {gateway} took {duration:?}");
            self.ledger
                .record_violation("a graceful stop ends in time", text);
        }
        Ok(format!(
            "gateway {gateway} stopped in {duration:?} and restarted"
        ))
    }

    /// Waits until a gateway that was told to terminate has exited, and starts it again.
    async fn restart(&mut self, gateway: usize) -> anyhow::Result<()> {
        loop {
            {
                let mut process = lock(&self.environment.gateways[gateway]);
                if let Some(end) = process.reap() {
                    self.ledger
                        .record_violation("no gateway exits unexpectedly", end);
                }
                if !process.is_running() {
                    return process.start();
                }
                if !process.is_termination_requested() {
                    // Another injector has restarted it in the meantime.
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn pause_gateway(&mut self) -> String {
        let gateway = self.draw_gateway();
        let id = self.ledger.begin_disruption(Scope::Gateway(gateway));
        lock(&self.environment.gateways[gateway]).signal(Signal::STOP);
        self.pause(200..3_500).await;
        lock(&self.environment.gateways[gateway]).signal(Signal::CONT);
        self.ledger.end_disruption(id);
        format!("gateway {gateway} paused")
    }

    fn reload_gateway(&mut self) -> String {
        let gateway = self.draw_gateway();
        lock(&self.environment.gateways[gateway]).signal(Signal::HUP);
        format!("gateway {gateway} got SIGHUP")
    }
}

/// Applies link fault 0 to 4 to a link; only fault 0 uses `delay_ms`.
fn disrupt_link(link: &Proxy, link_fault: u32, delay_ms: u64) {
    link.set(|fault| match link_fault {
        0 => fault.delay = Duration::from_millis(delay_ms),
        1 => fault.is_upstream_blocked = true,
        2 => fault.is_downstream_blocked = true,
        3 => fault.generation += 1,
        _ => {
            fault.generation += 1;
            fault.is_refusing = true;
        }
    });
}
