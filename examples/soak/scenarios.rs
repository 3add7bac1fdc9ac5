//! Scenarios: courses of events at backend servers, each with a check of its own.

use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use cactusbarrow_adapter_standins::{DeadlyRequest, EnginePace};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::Plan;
use crate::balancer::Balancer;
use crate::callers::{Caller, CallerContext, GENERATION_TIMEOUT};
use crate::environment::{ENGINE_PACE, SERVICES, SOFTWARE_VERSIONS, lock};
use crate::faults::Injector;
use crate::ledger::{LimitPeriod, Scope, Wait};

/// Time for which requests that end backend servers arrive: enough of them end, and then the bound
/// on further runs is checked for some seconds.
const DEADLY_LOAD_TIME: Duration = Duration::from_millis(9_500);

/// Number of callers that send requests that end backend servers.
const DEADLY_CALLERS: u64 = 3;

/// Time for which a backend server that ended is away, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 500..2_000;

/// Time from the start of a run to the end that it causes, in milliseconds.
const DEADLY_DELAY_MS: std::ops::Range<u64> = 5..600;

/// Limit that a backend server names, in tenths of a request per second.
const LIMIT_TENTHS: std::ops::Range<u32> = 5..40;

/// Time for which a backend server names a limit: its adoption, and then the window of the check.
const LIMIT_TIME: Duration = Duration::from_millis(8_500);

/// Time between the first response that states that a backend server is leaving and its entry, in
/// milliseconds.
const ENTRY_LAG_MS: std::ops::Range<u64> = 0..4_500;

/// Time for which a backend server is leaving before its process ends.
const LEAVING_TIME: Duration = Duration::from_millis(5_000);

/// Times that a backend server names in `Retry-After`.
const RETRY_AFTER: [Duration; 4] = [
    Duration::from_millis(800),
    Duration::from_secs(1),
    Duration::from_millis(2_500),
    Duration::from_secs(4),
];

/// Times in `Retry-After` from which a server is removed from the list and listed again within them.
const LISTED_AGAIN_WITHIN: Duration = Duration::from_secs(2);

/// Time for which a backend server rejects requests, in milliseconds.
const REJECTION_MS: std::ops::Range<u64> = 500..4_000;

/// Time for which a software version serves, in milliseconds.
const VERSION_MS: std::ops::Range<u64> = 500..3_000;

/// Time for which an odd value replaces the entry of a backend server, in milliseconds.
const ODD_MS: std::ops::Range<u64> = 200..1_500;

/// Keys of odd entries.
const ODD_KEYS: [&str; 6] = [
    "servers/odd-0",
    "servers/odd entry\u{1}",
    "servers/",
    "streams/odd",
    "quarantine/odd",
    "odd",
];

/// Values of odd entries.
const ODD_VALUES: [&str; 6] = [
    "",
    "[[[[",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:0\",\"zone\":\"z\",\"slots\":96,\"state\":\"ready\"}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":1e999,\"state\":\"ready\"}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":0,\"state\":\"odd\",\"born\":-5}",
    "\u{8}\u{ff}\u{0}",
];

/// Number of steps of a series.
const SERIES_STEPS: std::ops::Range<u32> = 3..9;

/// Time between two steps of a series, in milliseconds.
const SERIES_GAP_MS: std::ops::Range<u64> = 5..400;

/// Time between two series, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 200..2_000;

/// Time within which gateways are stopped that are stopped together, in milliseconds.
const STOP_SPREAD_MS: std::ops::Range<u64> = 0..3_000;

/// Number of other events beside stops.
const EVENTS_BESIDE_STOPS: std::ops::Range<u32> = 0..3;

/// Time between the first stop and an event beside it, in milliseconds.
const EVENT_SPREAD_MS: std::ops::Range<u64> = 0..8_000;

/// Probability that the engines are slower for a time beside stops.
const SLOW_PROBABILITY: f64 = 0.4;

/// Factor by which they are slower.
pub(crate) const SLOWDOWN: std::ops::Range<f64> = 1.2..2.5;

/// Time without a disruption before a single stop, and then until its signal.
const CALM_TIME: Duration = Duration::from_millis(3_500);
const STOP_DELAY: Duration = Duration::from_secs(1);

/// Requests that are sent to a gateway in a single stop, and their times after the signal, in milliseconds.
const LATE_REQUESTS: u32 = 40;
const LATE_MS: std::ops::Range<u64> = 0..7_600;

/// Factor by which engines are slower from a time in a single stop on.
const LATE_SLOWDOWN: std::ops::Range<f64> = 1.0..8.0;

/// Indices of injectors that take the steps of series; they distinguish their seeds.
const SERIES_INDICES: std::ops::Range<u64> = 1_000..1_000_000_000;

/// Interval at which ended backend servers are looked for.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);

/// A kind of scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Prompts with one shared part end each engine that begins to respond to them.
    DeadlyParts,
    /// A backend server names a limit of a few requests per second.
    RequestLimits,
    /// A backend server states in its responses that it is leaving, before its entry does.
    Leaving,
    /// A backend server rejects requests and asks for no more of them for some time.
    RetryAfter,
    /// Signals, restarts and changes come in series, each before the one before it is over.
    Series,
    /// One whole request ends each server of the plain service that begins to run it.
    DeadlyRequests,
    /// All engines get another software version while all gateways are away.
    Versions,
    /// Another writer stores odd entries beside those of backend servers, and over some of them.
    OddEntries,
    /// Gateways get SIGTERM at any time, several of them together, beside signals and changes; all callers
    /// connect through a load balancer, and generations differ in length.
    Stops,
    /// One gateway after the other gets SIGTERM, with calm between; requests are sent to it until its exit, and engines
    /// may slow down.
    SingleStops,
}

impl Scenario {
    /// Returns whether graceful stops are what it tests.
    pub(crate) fn tests_stops(self) -> bool {
        matches!(self, Self::Stops | Self::SingleStops)
    }
}

/// All scenarios by the names that the command line uses.
const NAMES: [(&str, Scenario); 10] = [
    ("series", Scenario::Series),
    ("retry-after", Scenario::RetryAfter),
    ("leaving", Scenario::Leaving),
    ("limits", Scenario::RequestLimits),
    ("deadly-parts", Scenario::DeadlyParts),
    ("deadly-requests", Scenario::DeadlyRequests),
    ("versions", Scenario::Versions),
    ("odd-entries", Scenario::OddEntries),
    ("stops", Scenario::Stops),
    ("single-stops", Scenario::SingleStops),
];

/// Scenarios that a seed draws unless the command line names others, by the seed modulo
/// [`SEED_PERIOD`].
const SCENARIOS_OF_SEEDS: [(u64, Scenario); 14] = [
    (0, Scenario::Leaving),
    (2, Scenario::RequestLimits),
    (4, Scenario::DeadlyRequests),
    (5, Scenario::DeadlyParts),
    (6, Scenario::Versions),
    (7, Scenario::Leaving),
    (8, Scenario::RequestLimits),
    (9, Scenario::RequestLimits),
    (10, Scenario::OddEntries),
    (11, Scenario::DeadlyParts),
    (12, Scenario::Series),
    (13, Scenario::RetryAfter),
    (14, Scenario::Series),
    (15, Scenario::DeadlyRequests),
];

/// Period of the scenarios that seeds draw.
const SEED_PERIOD: u64 = 16;

impl FromStr for Scenario {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let mut names = NAMES.iter();
        let found = names.find(|(other, _)| *other == name);
        found.map(|(_, scenario)| *scenario).ok_or_else(|| {
            let known: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
            format!("no scenario {name}, only {}", known.join(", "))
        })
    }
}

/// Returns the scenario that a seed draws.
pub(crate) fn draw_scenario(seed: u64) -> Option<Scenario> {
    let mut drawn = SCENARIOS_OF_SEEDS.iter();
    let found = drawn.find(|(rest, _)| seed % SEED_PERIOD == *rest);
    found.map(|(_, scenario)| *scenario)
}

/// Plays one scenario again and again, beside the injectors.
pub(crate) struct ScenarioPlayer {
    cx: Arc<CallerContext>,
    scenario: Scenario,
    plan: Plan,
    /// Load balancer of the callers, if graceful stops are tested.
    balancer: Option<Arc<Balancer>>,
    rng: StdRng,
    log: Vec<String>,
}

impl ScenarioPlayer {
    pub(crate) fn new(
        cx: Arc<CallerContext>,
        scenario: Scenario,
        plan: &Plan,
        balancer: Option<Arc<Balancer>>,
    ) -> Self {
        Self {
            cx,
            scenario,
            plan: plan.clone(),
            balancer,
            rng: StdRng::seed_from_u64(plan.seed ^ ((scenario as u64 + 1) << 32)),
            log: Vec::new(),
        }
    }

    /// Plays the scenario until `stop` is cancelled, always to its end; returns a log.
    pub(crate) async fn run(mut self, stop: CancellationToken) -> anyhow::Result<Vec<String>> {
        let started = Instant::now();
        while !stop.is_cancelled() {
            let at = started.elapsed().as_secs_f64();
            let description = match self.scenario {
                Scenario::DeadlyParts => self.send_deadly_parts().await?,
                Scenario::RequestLimits => self.limit_requests().await,
                Scenario::Leaving => self.announce_leaving().await?,
                Scenario::RetryAfter => self.reject_for_a_time().await,
                Scenario::Series => self.inject_series().await?,
                Scenario::DeadlyRequests => self.send_deadly_requests().await?,
                Scenario::Versions => self.replace_versions().await?,
                Scenario::OddEntries => self.write_odd_entries().await,
                Scenario::Stops => self.stop_gateways().await?,
                Scenario::SingleStops => self.stop_one_gateway().await?,
            };
            self.log.push(format!("{at:.2} s: {description}"));
        }
        Ok(self.log)
    }

    async fn send_deadly_parts(&mut self) -> anyhow::Result<String> {
        let part = format!("{:08x}", self.rng.random::<u32>());
        let id = self.cx.ledger.begin_disruption(Scope::Backends);
        self.cx.environment.set_deadly_parts(vec![part.clone()]);
        let until = Instant::now() + DEADLY_LOAD_TIME;
        let mut senders = JoinSet::new();
        for _ in 0..DEADLY_CALLERS {
            let caller = Caller::new(self.cx.clone(), self.rng.random());
            senders.spawn(caller.send_deadly_prompts(part.clone(), until));
        }
        let ended = self.restart_ended_until(until).await?;
        senders.join_all().await;
        self.cx.environment.set_deadly_parts(Vec::new());
        let ended = ended + self.restart_ended_until(Instant::now()).await?;
        self.cx.ledger.end_disruption(id);
        Ok(format!("{ended} engines ended under part {part}"))
    }

    async fn send_deadly_requests(&mut self) -> anyhow::Result<String> {
        let name = format!("{:08x}", self.rng.random::<u32>());
        let delay = Duration::from_millis(self.rng.random_range(DEADLY_DELAY_MS));
        let request = if self.rng.random_bool(0.5) {
            // Sound requests have the same path.
            let body = format!("deadly {name}").into_bytes();
            let path = "/write/a".to_owned();
            DeadlyRequest { path, body, delay }
        } else {
            let path = format!("/read/{name}");
            DeadlyRequest {
                path,
                body: Vec::new(),
                delay,
            }
        };
        let id = self.cx.ledger.begin_disruption(Scope::Backends);
        self.cx
            .environment
            .set_deadly_requests(vec![request.clone()]);
        let until = Instant::now() + DEADLY_LOAD_TIME;
        let mut senders = JoinSet::new();
        for _ in 0..DEADLY_CALLERS {
            let caller = Caller::new(self.cx.clone(), self.rng.random());
            senders.spawn(caller.send_deadly_requests(request.clone(), name.clone(), until));
        }
        let ended = self.restart_ended_until(until).await?;
        senders.join_all().await;
        self.cx.environment.set_deadly_requests(Vec::new());
        let ended = ended + self.restart_ended_until(Instant::now()).await?;
        self.cx.ledger.end_disruption(id);
        Ok(format!(
            "{ended} servers ended under request {name} to {}",
            request.path
        ))
    }

    /// Draws a service, and then one of its backend servers.
    fn draw_backend(&mut self) -> usize {
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        let backends = self.cx.environment.backends_of_service(service);
        backends[self.rng.random_range(0..backends.len())]
    }

    async fn limit_requests(&mut self) -> String {
        let backend = self.draw_backend();
        let limit = f64::from(self.rng.random_range(LIMIT_TENTHS)) / 10.0;
        let standin = lock(&self.cx.environment.backends()[backend])
            .standin
            .clone();
        let from = Instant::now();
        standin.set_request_limit(Some(&limit.to_string()));
        tokio::time::sleep(LIMIT_TIME).await;
        standin.set_request_limit(None);
        let instance = standin.instance().to_owned();
        let description = format!("{instance} took {limit} requests a second");
        let to = Instant::now();
        self.cx.ledger.record_limit(LimitPeriod {
            backend,
            instance,
            limit,
            from,
            to,
        });
        description
    }

    /// Lets a backend server leave: its responses say so at once, its entry later or never.
    async fn announce_leaving(&mut self) -> anyhow::Result<String> {
        let backend = self.draw_backend();
        let standin = lock(&self.cx.environment.backends()[backend])
            .standin
            .clone();
        self.cx.ledger.record_leaving(standin.instance());
        standin.set_leaving(true);
        let lag = Duration::from_millis(self.rng.random_range(ENTRY_LAG_MS));
        tokio::time::sleep(lag).await;
        let is_present = || {
            let current = &lock(&self.cx.environment.backends()[backend]).standin;
            current.instance() == standin.instance()
        };
        if self.rng.random_bool(0.7) && is_present() {
            self.cx.environment.drain(backend);
        } else if is_present() {
            self.cx.environment.list_again(standin.instance()).await;
        }
        tokio::time::sleep(LEAVING_TIME.saturating_sub(lag)).await;
        if is_present() {
            let id = self.cx.ledger.begin_disruption(Scope::Backends);
            self.cx
                .environment
                .replace(backend, standin.software())
                .await?;
            self.cx.ledger.end_disruption(id);
        }
        Ok(format!(
            "{} was leaving, its entry {lag:?} later",
            standin.instance()
        ))
    }

    /// Lets a backend server reject requests with `Retry-After`.
    async fn reject_for_a_time(&mut self) -> String {
        let backend = self.draw_backend();
        let retry_after = RETRY_AFTER[self.rng.random_range(0..RETRY_AFTER.len())];
        let id = self.cx.ledger.begin_disruption(Scope::Backends);
        let standin = lock(&self.cx.environment.backends()[backend])
            .standin
            .clone();
        let instance = standin.instance().to_owned();
        let description = format!("{instance} asked for no requests for {retry_after:?}");
        let wait = Wait {
            backend,
            instance,
            retry_after,
        };
        standin.set_retry_after(Some(&wait.header()));
        self.cx.ledger.record_wait(wait);
        let pause = self.rng.random_range(REJECTION_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        standin.set_retry_after(None);
        if retry_after >= LISTED_AGAIN_WITHIN {
            self.cx.environment.list_again(standin.instance()).await;
        }
        tokio::time::sleep(retry_after).await;
        self.cx.ledger.end_disruption(id);
        description
    }

    async fn inject_series(&mut self) -> anyhow::Result<String> {
        let mut steps = JoinSet::new();
        for _ in 0..self.rng.random_range(SERIES_STEPS) {
            let (environment, ledger) = (self.cx.environment.clone(), self.cx.ledger.clone());
            let index = self.rng.random_range(SERIES_INDICES);
            let injector = Injector::for_series(environment, ledger, &self.plan, index);
            steps.spawn(injector.inject_one());
            let gap = self.rng.random_range(SERIES_GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
        let mut descriptions = Vec::new();
        while let Some(step) = steps.join_next().await {
            descriptions.push(step.context("inject a step of a series")??);
        }
        let pause = self.rng.random_range(SERIES_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        Ok(format!("series: {}", descriptions.join("; ")))
    }

    /// Stops some gateways or all, beside signals, changes and pauses that excuse no interrupted request.
    async fn stop_gateways(&mut self) -> anyhow::Result<String> {
        let mut gateways: Vec<usize> = (0..self.cx.environment.gateways.len()).collect();
        gateways.shuffle(&mut self.rng);
        gateways.truncate(self.rng.random_range(1..=gateways.len()));
        let mut steps = JoinSet::new();
        for gateway in gateways {
            let after = Duration::from_millis(self.rng.random_range(STOP_SPREAD_MS));
            steps.spawn(self.injector_beside_stops().stop_later(gateway, after));
        }
        for _ in 0..self.rng.random_range(EVENTS_BESIDE_STOPS) {
            let after = Duration::from_millis(self.rng.random_range(EVENT_SPREAD_MS));
            let injector = self.injector_beside_stops();
            steps.spawn(async move {
                tokio::time::sleep(after).await;
                injector.inject_one().await
            });
        }
        let slowdown = self.rng.random_bool(SLOW_PROBABILITY).then(|| {
            let after = Duration::from_millis(self.rng.random_range(EVENT_SPREAD_MS));
            (after, self.rng.random_range(SLOWDOWN))
        });
        if let Some((after, slowdown)) = slowdown {
            let environment = self.cx.environment.clone();
            steps.spawn(async move {
                tokio::time::sleep(after).await;
                let slow = EnginePace {
                    slowdown,
                    ..ENGINE_PACE
                };
                environment.set_pace(slow);
                Ok(format!("engines slower by {slowdown:.1}"))
            });
        }
        let mut descriptions = Vec::new();
        while let Some(step) = steps.join_next().await {
            descriptions.push(step.context("take a step beside stops")??);
        }
        self.cx.environment.set_pace(ENGINE_PACE);
        let pause = self.rng.random_range(SERIES_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        Ok(descriptions.join("; "))
    }

    /// Stops one gateway while late requests arrive at it, and waits until all is calm again.
    async fn stop_one_gateway(&mut self) -> anyhow::Result<String> {
        tokio::time::sleep(CALM_TIME).await;
        let gateway = self.rng.random_range(0..self.cx.environment.gateways.len());
        let stop = self
            .injector_beside_stops()
            .stop_once_later(gateway, STOP_DELAY);
        let stopped_at = Instant::now() + STOP_DELAY;
        let mut late = JoinSet::new();
        if let Some(balancer) = &self.balancer {
            for _ in 0..LATE_REQUESTS {
                let (cx, seed) = (self.cx.clone(), self.rng.random());
                let caller = Caller::behind(cx, seed, balancer.clone());
                let after = Duration::from_millis(self.rng.random_range(LATE_MS));
                late.spawn(caller.send_late(gateway, stopped_at + after));
            }
        }
        let slowdown = self.rng.random_range(LATE_SLOWDOWN);
        let slows_at = Duration::from_millis(self.rng.random_range(LATE_MS));
        let slow_down = async {
            tokio::time::sleep_until((stopped_at + slows_at).into()).await;
            let slow = EnginePace {
                slowdown,
                ..ENGINE_PACE
            };
            self.cx.environment.set_pace(slow);
        };
        let (description, ()) = tokio::join!(stop, slow_down);
        self.cx.environment.set_pace(ENGINE_PACE);
        late.join_all().await;
        Ok(format!(
            "{}; engines slower by {slowdown:.1} after {slows_at:?}",
            description?
        ))
    }

    fn injector_beside_stops(&mut self) -> Injector {
        let (environment, ledger) = (self.cx.environment.clone(), self.cx.ledger.clone());
        let index = self.rng.random_range(SERIES_INDICES);
        Injector::beside_stops(environment, ledger, &self.plan, index)
    }

    /// Writes odd entries that stay, and then one over the entry of a sound backend server.
    async fn write_odd_entries(&mut self) -> String {
        let environment = self.cx.environment.clone();
        let mut draw_value = || ODD_VALUES[self.rng.random_range(0..ODD_VALUES.len())];
        for key in ODD_KEYS {
            environment.write_odd(key, draw_value());
        }
        let value = draw_value();
        let backend = self.draw_backend();
        let time = Duration::from_millis(self.rng.random_range(ODD_MS));
        let id = self.cx.ledger.begin_disruption(Scope::Backends);
        environment.overwrite_entry(backend, value, time).await;
        self.cx.ledger.end_disruption(id);
        tokio::time::sleep(time).await;
        format!(
            "odd entries, and {value:?} over the entry of backend server {backend} for {time:?}"
        )
    }

    /// Replaces the software version of all engines twice, and waits until no caller resumes a stream of an
    /// earlier one.
    async fn replace_versions(&mut self) -> anyhow::Result<String> {
        let engines = self.cx.environment.backends_of_service(SERVICES[0]);
        let id = self.cx.ledger.begin_disruption(Scope::Backends);
        let first = self.rng.random_range(0..SOFTWARE_VERSIONS.len());
        for step in 0..2 {
            let (environment, ledger) = (self.cx.environment.clone(), self.cx.ledger.clone());
            let index = self.rng.random_range(SERIES_INDICES);
            let injector = Injector::for_series(environment, ledger, &self.plan, index);
            let software = SOFTWARE_VERSIONS[(first + step) % SOFTWARE_VERSIONS.len()];
            injector.replace_version(&engines, software).await?;
            let served = self.rng.random_range(VERSION_MS);
            tokio::time::sleep(Duration::from_millis(served)).await;
        }
        tokio::time::sleep(GENERATION_TIMEOUT).await;
        self.cx.ledger.end_disruption(id);
        Ok(format!(
            "engines {engines:?} got other versions while all gateways were away"
        ))
    }

    /// Replaces backend servers that ended under a run, each after some time, and returns their
    /// number; at `until`, replaces the rest at once.
    async fn restart_ended_until(&mut self, until: Instant) -> anyhow::Result<usize> {
        let mut count = 0;
        let mut away = Duration::from_millis(self.rng.random_range(RESTART_MS));
        loop {
            let is_over = Instant::now() >= until;
            for index in 0..self.cx.environment.backends().len() {
                let standin = lock(&self.cx.environment.backends()[index]).standin.clone();
                let ended_at = standin.fatal_run().and(standin.killed_at());
                if ended_at.is_some_and(|at| is_over || at.elapsed() >= away) {
                    let software = standin.software();
                    self.cx.environment.replace(index, software).await?;
                    away = Duration::from_millis(self.rng.random_range(RESTART_MS));
                    count += 1;
                }
            }
            if is_over {
                return Ok(count);
            }
            tokio::time::sleep(SUPERVISION_INTERVAL).await;
        }
    }
}
