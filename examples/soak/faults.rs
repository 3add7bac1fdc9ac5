//! Faults that are injected from outside, drawn from a seed.

use std::sync::Arc;
use std::time::Duration;

use cactusbarrow_adapter_standins::{Fault, StoreMode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use tokio_util::sync::CancellationToken;

use crate::ledger::{Ledger, Scope};
use crate::proxy::Proxy;
use crate::world::{World, lock};

/// Longest time from a graceful stop to the end: the grace and what the exit takes.
const STOP_LIMIT: Duration = Duration::from_millis(5_000);

/// Time that an instance serves on after it announced that it leaves.
const LEAVE_TIME: Duration = Duration::from_millis(3_500);

/// What backend servers do wrong.
const BACKEND_FAULTS: [Fault; 9] = [
    Fault::Error,
    Fault::CutAnswer,
    Fault::WrongId,
    Fault::NotExecuted,
    Fault::Hang,
    Fault::Freeze,
    Fault::BreakOff,
    Fault::Stall,
    Fault::SlowStart,
];

/// Kinds of faults.
const KINDS: u32 = 14;

/// One source of faults; several of them overlap.
pub(crate) struct Injector {
    world: Arc<World>,
    ledger: Arc<Ledger>,
    rng: StdRng,
    log: Vec<String>,
}

impl Injector {
    pub(crate) fn new(world: Arc<World>, ledger: Arc<Ledger>, seed: u64) -> Self {
        Self {
            world,
            ledger,
            rng: StdRng::seed_from_u64(seed),
            log: Vec::new(),
        }
    }

    /// Injects one fault after the other until `stop`; the last one is healed.
    pub(crate) async fn run(mut self, stop: CancellationToken) -> anyhow::Result<Vec<String>> {
        let begun = std::time::Instant::now();
        while !stop.is_cancelled() {
            self.pause(50..600).await;
            let kind = self.rng.random_range(0..KINDS);
            let at = begun.elapsed().as_secs_f64();
            let what = self.inject(kind).await?;
            self.log.push(format!("{at:.2} s: {what}"));
        }
        Ok(self.log)
    }

    async fn pause(&mut self, ms: std::ops::Range<u64>) {
        let pause = self.rng.random_range(ms);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    fn draw_gateway(&mut self) -> usize {
        self.rng.random_range(0..self.world.gateways.len())
    }

    fn draw_place(&mut self) -> usize {
        self.rng.random_range(0..self.world.places().len())
    }

    async fn inject(&mut self, kind: u32) -> anyhow::Result<String> {
        match kind {
            0 => Ok(self.harm_backend().await),
            1 => Ok(self.harm_backend_link().await),
            2 => self.kill_backends().await,
            3 => self.drain_backend().await,
            4 => Ok(self.harm_store_link().await),
            5 => Ok(self.harm_store().await),
            6 => Ok(self.change_configuration().await),
            7 => self.kill_gateways().await,
            8 | 9 => self.stop_gateway().await,
            10 => Ok(self.pause_gateway().await),
            11 => Ok(self.hang_up()),
            12 => {
                self.world.store.drop_history();
                Ok("store drops its history".to_owned())
            }
            _ => Ok(self.change_configuration().await),
        }
    }

    async fn harm_backend(&mut self) -> String {
        let place = self.draw_place();
        let fault = BACKEND_FAULTS[self.rng.random_range(0..BACKEND_FAULTS.len())];
        let id = self.ledger.begin(Scope::Backends);
        let standin = lock(&self.world.places()[place]).standin.clone();
        standin.set_fault(Some(fault));
        self.pause(200..3_000).await;
        standin.set_fault(None);
        self.ledger.end(id);
        format!("{} had {fault:?}", standin.instance())
    }

    async fn harm_backend_link(&mut self) -> String {
        let place = self.draw_place();
        let id = self.ledger.begin(Scope::Backends);
        let way = self.rng.random_range(0..5);
        let delay = self.rng.random_range(5..250);
        let instance = {
            let place = lock(&self.world.places()[place]);
            harm(&place.proxy, way, delay);
            place.standin.instance().to_owned()
        };
        self.pause(200..3_000).await;
        lock(&self.world.places()[place]).proxy.heal();
        self.ledger.end(id);
        format!("link to {instance} harmed in way {way}")
    }

    /// Ends one instance, or all of a zone.
    async fn kill_backends(&mut self) -> anyhow::Result<String> {
        let count = self.world.places().len();
        let first = self.draw_place();
        let step = if self.rng.random_bool(0.4) { 2 } else { count };
        let killed: Vec<usize> = (first % 2.min(step)..count)
            .step_by(step)
            .chain((step == count).then_some(first))
            .collect();
        let id = self.ledger.begin(Scope::Backends);
        for place in &killed {
            self.world.kill(*place);
        }
        self.pause(100..2_500).await;
        for place in &killed {
            self.world.replace(*place).await?;
        }
        self.ledger.end(id);
        Ok(format!(
            "backend servers {killed:?} ended and were replaced"
        ))
    }

    async fn drain_backend(&mut self) -> anyhow::Result<String> {
        let place = self.draw_place();
        self.world.drain(place);
        tokio::time::sleep(LEAVE_TIME).await;
        let id = self.ledger.begin(Scope::Backends);
        self.world.replace(place).await?;
        self.ledger.end(id);
        Ok(format!("backend server {place} drained and was replaced"))
    }

    async fn harm_store_link(&mut self) -> String {
        let gateway = self.draw_gateway();
        let id = self.ledger.begin(Scope::Gateway(gateway));
        let way = self.rng.random_range(0..5);
        let delay = self.rng.random_range(20..600);
        harm(&self.world.store_links[gateway], way, delay);
        self.pause(300..4_000).await;
        self.world.store_links[gateway].heal();
        self.ledger.end(id);
        format!("store link of gateway {gateway} harmed in way {way}")
    }

    async fn harm_store(&mut self) -> String {
        let id = self.ledger.begin(Scope::Store);
        let mode = if self.rng.random_bool(0.5) {
            StoreMode::Busy
        } else {
            StoreMode::Silent
        };
        self.world.store.set_mode(mode);
        self.pause(300..4_000).await;
        self.world.store.set_mode(StoreMode::Serving);
        self.ledger.end(id);
        format!("store was {mode:?}")
    }

    async fn change_configuration(&mut self) -> String {
        let count = self.rng.random_range(1..4);
        for _ in 0..count {
            let step = self.rng.random_range(1..6);
            self.world.change_configuration(step);
            self.pause(10..400).await;
        }
        format!(
            "{count} configurations up to {}",
            self.world.newest().version
        )
    }

    /// Ends one gateway, or all of them, and starts them again.
    async fn kill_gateways(&mut self) -> anyhow::Result<String> {
        let gateways: Vec<usize> = if self.rng.random_bool(0.25) {
            (0..self.world.gateways.len()).collect()
        } else {
            vec![self.draw_gateway()]
        };
        let begin = |gateway: &usize| self.ledger.begin(Scope::Gateway(*gateway));
        let ids: Vec<_> = gateways.iter().map(begin).collect();
        for gateway in &gateways {
            lock(&self.world.gateways[*gateway]).signal(Signal::KILL);
        }
        self.pause(50..1_500).await;
        for (gateway, id) in gateways.iter().zip(ids) {
            self.restart(*gateway).await?;
            self.ledger.end(id);
        }
        Ok(format!("gateways {gateways:?} killed and started"))
    }

    async fn stop_gateway(&mut self) -> anyhow::Result<String> {
        let gateway = self.draw_gateway();
        let id = self.ledger.begin(Scope::Stop(gateway));
        lock(&self.world.gateways[gateway]).signal(Signal::TERM);
        let begun = std::time::Instant::now();
        self.restart(gateway).await?;
        self.ledger.end(id);
        let took = begun.elapsed();
        if took > STOP_LIMIT
            && self
                .ledger
                .is_calm(&[Scope::Gateway(gateway)], begun, begun + took)
        {
            let text = format!("gateway {gateway} took {took:?}");
            self.ledger.violate("a stop ends within the grace", text);
        }
        Ok(format!("gateway {gateway} stopped in {took:?} and started"))
    }

    /// Waits for the end of a gateway that was told to end, and starts it.
    async fn restart(&mut self, gateway: usize) -> anyhow::Result<()> {
        loop {
            {
                let mut process = lock(&self.world.gateways[gateway]);
                if let Some(end) = process.reap() {
                    self.ledger.violate("a process does not end by itself", end);
                }
                if !process.is_running() {
                    return process.start();
                }
                if !process.is_told_to_end() {
                    // Another source of faults has started it meanwhile.
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn pause_gateway(&mut self) -> String {
        let gateway = self.draw_gateway();
        let id = self.ledger.begin(Scope::Gateway(gateway));
        lock(&self.world.gateways[gateway]).signal(Signal::STOP);
        self.pause(200..3_500).await;
        lock(&self.world.gateways[gateway]).signal(Signal::CONT);
        self.ledger.end(id);
        format!("gateway {gateway} paused")
    }

    fn hang_up(&mut self) -> String {
        let gateway = self.draw_gateway();
        lock(&self.world.gateways[gateway]).signal(Signal::HUP);
        format!("gateway {gateway} told to reload")
    }
}

fn harm(link: &Proxy, way: u32, delay_ms: u64) {
    link.set(|fault| match way {
        0 => fault.delay = Duration::from_millis(delay_ms),
        1 => fault.is_upstream_cut = true,
        2 => fault.is_downstream_cut = true,
        3 => fault.generation += 1,
        _ => {
            fault.generation += 1;
            fault.is_refusing = true;
        }
    });
}
