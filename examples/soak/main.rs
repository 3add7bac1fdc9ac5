//! A randomized soak: gateways as processes, faults from outside, promises checked.
//!
//! `cargo run --release --example soak -- --seed 1 --seeds 50` runs 50 seeds. A seed draws the
//! faults and the load; the times at which processes act differ from run to run. Logs of a
//! run with a broken promise stay under `target/soak`.

mod callers;
mod checks;
mod faults;
mod flags;
mod ledger;
mod process;
mod proxy;
mod world;

use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::{Caller, Callers};
use crate::faults::Injector;
use crate::ledger::Ledger;
use crate::process::Site;
use crate::world::{World, lock};

const EXIT_BROKEN: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Wait for the first answers of all gateways.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Calm at the end, in which all has to be served again.
const CALM_TIME: Duration = Duration::from_millis(6_000);

/// Time that callers get to finish.
const FINISH_TIME: Duration = Duration::from_secs(12);

/// First of the ports that are tried.
const FIRST_PORT: u16 = 23_000;

/// Most sources of faults at once.
const MAX_INJECTORS: u64 = 6;

/// Size of one run.
#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    faults: Duration,
    gateways: usize,
    engines: usize,
    callers: usize,
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
        Ok(_) => ExitCode::from(EXIT_BROKEN),
        Err(e) => {
            eprintln!("soak could not run: {e:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Runs all seeds; returns how many broke a promise.
fn run_all(flags: &flags::Soak) -> anyhow::Result<u64> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .context("build a runtime")?;
    let first = flags.seed.unwrap_or(1);
    let seeds = flags.seeds.unwrap_or(1);
    let mut broken = 0;
    for seed in first..first + seeds {
        let plan = Plan {
            seed,
            faults: Duration::from_secs(flags.seconds.unwrap_or(12)),
            gateways: flags.gateways.unwrap_or(3).max(2),
            engines: flags.engines.unwrap_or(6).max(2),
            callers: flags.callers.unwrap_or(16).max(1),
        };
        broken += u64::from(!runtime.block_on(run(plan))?);
    }
    println!("soak: {} passed, {broken} failed", seeds - broken);
    Ok(broken)
}

/// Runs one seed; returns whether all promises held.
async fn run(plan: Plan) -> anyhow::Result<bool> {
    let own = std::env::current_exe().context("find this program")?;
    let folder = Path::new("target/soak").join(format!("seed-{}", plan.seed));
    if folder.exists() {
        std::fs::remove_dir_all(&folder).context("remove old logs")?;
    }
    std::fs::create_dir_all(&folder).context("create the folder for logs")?;
    let site = Site {
        program: process::daemon(&own)?,
        folder: folder.clone(),
        base_port: free_ports(plan.gateways),
    };
    let world = Arc::new(World::start(&site, plan.gateways, plan.engines).await?);
    let ledger = Arc::new(Ledger::default());
    tokio::time::sleep(START_TIME).await;
    let (stop_callers, stop_faults) = (CancellationToken::new(), CancellationToken::new());
    let callers = Arc::new(Callers::new(world.clone(), ledger.clone()));
    let mut running = JoinSet::new();
    for i in 0..plan.callers {
        let caller = Caller::new(callers.clone(), plan.seed * 1_000 + i as u64);
        running.spawn(caller.run(stop_callers.clone()));
    }
    let mut sources = JoinSet::new();
    for i in 0..1 + plan.seed % MAX_INJECTORS {
        let injector = Injector::new(world.clone(), ledger.clone(), plan.seed * 100 + i);
        sources.spawn(injector.run(stop_faults.clone()));
    }
    tokio::time::sleep(plan.faults).await;
    stop_faults.cancel();
    let mut faults = Vec::new();
    while let Some(log) = sources.join_next().await {
        faults.extend(log.context("inject faults")??);
    }
    tokio::time::sleep(CALM_TIME).await;
    stop_callers.cancel();
    let finish = async { while running.join_next().await.is_some() {} };
    if tokio::time::timeout(FINISH_TIME, finish).await.is_err() {
        ledger.violate("callers get an end", "some wait on".to_owned());
    }
    for gateway in &world.gateways {
        let mut gateway = lock(gateway);
        if let Some(end) = gateway.reap() {
            ledger.violate("a process does not end by itself", end);
        }
        gateway.signal(Signal::KILL);
    }
    checks::judge(&ledger, &world.all_runs(), plan.gateways);
    if ledger.counted("requests in calm") == 0 {
        ledger.violate(
            "the calm at the end is long enough",
            "no request".to_owned(),
        );
    }
    report(plan, &ledger, &mut faults, &folder)
}

fn report(
    plan: Plan,
    ledger: &Ledger,
    faults: &mut [String],
    folder: &Path,
) -> anyhow::Result<bool> {
    let counts: Vec<String> = ledger
        .counts()
        .iter()
        .map(|(what, n)| format!("{n} {what}"))
        .collect();
    println!(
        "seed {}: {} faults; {}",
        plan.seed,
        faults.len(),
        counts.join(", ")
    );
    let (violations, count) = ledger.violations();
    if count == 0 {
        std::fs::remove_dir_all(folder).context("remove the logs")?;
        return Ok(true);
    }
    println!(
        "seed {}: {count} broken promises; logs in {}",
        plan.seed,
        folder.display()
    );
    for violation in &violations {
        println!("  {violation}");
    }
    faults.sort_by(|a, b| a.len().cmp(&b.len()).then(a.cmp(b)));
    std::fs::write(folder.join("faults.txt"), faults.join("\n")).context("write the faults")?;
    Ok(false)
}

/// Finds ports that are free on the addresses of all gateways.
fn free_ports(gateways: usize) -> u16 {
    let is_free = |port: u16| {
        (0..gateways).all(|i| TcpListener::bind((process::ip(i).as_str(), port)).is_ok())
    };
    (FIRST_PORT..)
        .step_by(20)
        .find(|base| (*base..base + 4).all(is_free))
        .unwrap_or(FIRST_PORT)
}
