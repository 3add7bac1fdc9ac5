//! A randomized soak test: gateways as processes, faults from outside, and checks of invariants.
//!
//! `cargo run --release --example soak -- --seed 1 --seeds 50` runs 50 seeds. A seed draws the
//! faults and the load; the timing of the processes differs from run to run. The logs of a run
//! that violated an invariant stay under `target/soak`.

mod balancer;
mod callers;
mod checks;
mod client;
mod environment;
mod faults;
mod flags;
mod ledger;
mod process;
mod proxy;
mod scenario_checks;
mod scenarios;
mod stop_costs;

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use cactusbarrow_adapter_standins::reserve_ports;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::balancer::Balancer;
use crate::callers::{Caller, CallerContext, GENERATION_TIMEOUT, LONG_GENERATION_TIMEOUT};
use crate::environment::{ENGINE_PACE, Environment, SOFTWARE_VERSIONS, lock};
use crate::faults::Injector;
use crate::ledger::Ledger;
use crate::process::LaunchConfig;
use crate::scenarios::{Scenario, ScenarioPlayer, draw_scenario};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Time that all gateways get to start before the load begins.
const START_WAIT: Duration = Duration::from_millis(1_500);

/// Time without faults at the end of a run; after the recovery time, every request has to succeed.
const UNDISRUPTED_TIME: Duration = Duration::from_millis(6_000);

/// Time beyond their deadlines that callers get to finish their last requests.
const FINISH_ALLOWANCE: Duration = Duration::from_secs(2);

/// Grace period of the gateways, unless their stops are what is tested.
const SHORT_GRACE: Duration = Duration::from_secs(4);

/// Grace period of gateways whose stops are tested, as in production.
const LONG_GRACE: Duration = Duration::from_secs(8);

/// Largest number of injectors in one run.
const MAX_INJECTORS: u64 = 6;

/// Largest number of gateway processes in one run, so that a host bears it.
const MAX_GATEWAYS: usize = 300;

/// Seed and size of one run.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    faults: Duration,
    gateways: usize,
    engines: usize,
    callers: usize,
    /// Number of software versions that serve side by side.
    software_versions: usize,
    injectors: u64,
    scenarios: Vec<Scenario>,
    /// Executable of the daemon, if it is not the one that was built beside this program.
    daemon: Option<PathBuf>,
}

impl Plan {
    /// Returns whether graceful stops are what is tested: callers then connect through a load balancer.
    fn tests_stops(&self) -> bool {
        self.scenarios.iter().any(|scenario| scenario.tests_stops())
    }

    /// Returns the grace period of the gateways.
    fn grace(&self) -> Duration {
        if self.tests_stops() {
            LONG_GRACE
        } else {
            SHORT_GRACE
        }
    }

    /// Returns the longest time that a caller spends on one generation.
    fn generation_timeout(&self) -> Duration {
        if self.tests_stops() {
            LONG_GENERATION_TIMEOUT
        } else {
            GENERATION_TIMEOUT
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::Soak::from_env() {
        Ok(flags) => flags,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run_all(&flags) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_FAILED),
        Err(e) => {
            eprintln!("cannot run the soak: {e:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Runs all seeds; returns how many violated an invariant.
fn run_all(flags: &flags::Soak) -> anyhow::Result<u64> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .context("build a runtime")?;
    let first = flags.seed.unwrap_or(1);
    let seeds = flags.seeds.unwrap_or(1);
    let mut failed = 0;
    for seed in first..first + seeds {
        let plan = Plan {
            seed,
            faults: Duration::from_secs(flags.seconds.unwrap_or(12)),
            gateways: flags.gateways.unwrap_or(3).clamp(2, MAX_GATEWAYS),
            engines: flags.engines.unwrap_or(6).max(2),
            callers: flags.callers.unwrap_or(16).max(1),
            software_versions: 1 + (seed / MAX_INJECTORS) as usize % SOFTWARE_VERSIONS.len(),
            injectors: flags.injectors.unwrap_or(1 + seed % MAX_INJECTORS),
            scenarios: scenarios(flags, seed)?,
            daemon: flags.daemon.clone(),
        };
        failed += u64::from(!runtime.block_on(run(plan))?);
    }
    println!("soak: {} passed, {failed} failed", seeds - failed);
    Ok(failed)
}

/// Returns the scenarios that the command line names, or else that of the seed.
fn scenarios(flags: &flags::Soak, seed: u64) -> anyhow::Result<Vec<Scenario>> {
    let parse = |name: &str| name.parse().map_err(anyhow::Error::msg);
    match flags.scenarios.as_deref() {
        None => Ok(draw_scenario(seed).into_iter().collect()),
        Some("none") => Ok(Vec::new()),
        Some(names) => names.split(',').map(parse).collect(),
    }
}

/// Runs one seed; returns whether all invariants held.
async fn run(plan: Plan) -> anyhow::Result<bool> {
    let current_exe = std::env::current_exe().context("find the path of this program")?;
    let dir = Path::new("target/soak").join(format!("seed-{}", plan.seed));
    if dir.exists() {
        std::fs::remove_dir_all(&dir).context("remove old logs")?;
    }
    std::fs::create_dir_all(&dir).context("create the directory for logs")?;
    let program = match &plan.daemon {
        Some(program) => program.clone(),
        None => process::find_daemon(&current_exe)?,
    };
    let gateway_ips: Vec<Ipv4Addr> = (0..plan.gateways).map(process::gateway_ip).collect();
    let launch = LaunchConfig {
        program,
        dir: dir.clone(),
        base_port: reserve_ports(&gateway_ips),
        grace: plan.grace(),
    };
    let environment = Arc::new(
        Environment::start(&launch, plan.gateways, plan.engines, plan.software_versions).await?,
    );
    let ledger = Arc::new(Ledger::default());
    tokio::time::sleep(START_WAIT).await;
    let (stop_callers, stop_faults) = (CancellationToken::new(), CancellationToken::new());
    let callers = Arc::new(CallerContext::new(environment.clone(), ledger.clone()));
    let balancer = plan.tests_stops().then(|| {
        environment.set_pace(ENGINE_PACE);
        Balancer::start(plan.gateways, environment.base_port)
    });
    let mut running = start_callers(&plan, &callers, balancer.as_ref(), &stop_callers);
    let mut injectors = JoinSet::new();
    for i in 0..plan.injectors {
        let injector = Injector::new(environment.clone(), ledger.clone(), &plan, i);
        injectors.spawn(injector.run(stop_faults.clone()));
    }
    for scenario in &plan.scenarios {
        let player = ScenarioPlayer::new(callers.clone(), *scenario, &plan, balancer.clone());
        injectors.spawn(player.run(stop_faults.clone()));
    }
    tokio::time::sleep(plan.faults).await;
    stop_faults.cancel();
    let mut faults = Vec::new();
    while let Some(log) = injectors.join_next().await {
        faults.extend(log.context("inject faults")??);
    }
    tokio::time::sleep(UNDISRUPTED_TIME).await;
    stop_callers.cancel();
    let finish = async { while running.join_next().await.is_some() {} };
    let finish_timeout = plan.generation_timeout() + FINISH_ALLOWANCE;
    if tokio::time::timeout(finish_timeout, finish).await.is_err() {
        ledger.record_violation(
            "every caller finishes in time",
            "some still wait".to_owned(),
        );
    }
    for gateway in &environment.gateways {
        let mut gateway = lock(gateway);
        if let Some(end) = gateway.reap() {
            ledger.record_violation("no gateway exits unexpectedly", end);
        }
        gateway.signal(Signal::KILL);
    }
    checks::check_attempts(&ledger, &environment);
    if ledger.count("requests in calm") == 0 {
        ledger.record_violation(
            "some requests are sent while nothing is disrupted",
            "no request".to_owned(),
        );
    }
    report(plan, &ledger, &mut faults, &dir)
}

/// Starts the callers, which run until `stop` is cancelled.
fn start_callers(
    plan: &Plan,
    cx: &Arc<CallerContext>,
    balancer: Option<&Arc<Balancer>>,
    stop: &CancellationToken,
) -> JoinSet<()> {
    let mut running = JoinSet::new();
    for i in 0..plan.callers {
        let (cx, seed) = (cx.clone(), plan.seed * 1_000 + i as u64);
        let caller = match balancer {
            Some(balancer) => Caller::behind(cx, seed, balancer.clone()),
            None => Caller::new(cx, seed),
        };
        running.spawn(caller.run(stop.clone()));
    }
    running
}

fn report(plan: Plan, ledger: &Ledger, faults: &mut [String], dir: &Path) -> anyhow::Result<bool> {
    let counts: Vec<String> = ledger
        .counts()
        .iter()
        .map(|(name, n)| format!("{n} {name}"))
        .collect();
    println!(
        "seed {}: {} faults; {}",
        plan.seed,
        faults.len(),
        counts.join(", ")
    );
    for line in stop_costs::describe(ledger) {
        println!("  in a stop, {line}");
    }
    let (violations, count) = ledger.violations();
    if count == 0 {
        std::fs::remove_dir_all(dir).context("remove the logs")?;
        return Ok(true);
    }
    println!(
        "seed {}: {count} broken promises; logs in {}",
        plan.seed,
        dir.display()
    );
    for violation in &violations {
        println!("  {violation}");
    }
    faults.sort_by(|a, b| a.len().cmp(&b.len()).then(a.cmp(b)));
    std::fs::write(dir.join("faults.txt"), faults.join("\n")).context("write the faults")?;
    Ok(false)
}
