//! Measures the system under faults and load, on loopback, with real router and agent code.
//!
//! `cargo run --release --example experiment -- NAME --seed N --json` prints one JSON object.
//! All figures are counted in the callers and the stand-ins, not by the system under test.

mod at_most_once;
mod backup;
mod config;
mod control_cost;
mod drain;
mod failover;
mod fairness;
mod flags;
mod membership;
mod overhead;
mod report;
mod retry_storm;
mod router_loss;
mod routing;
mod suspicion;
mod workload;
mod zone_loss;

use std::process::ExitCode;

use crate::report::Outcome;

const EXIT_USAGE: u8 = 2;
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let flags = match flags::Experiment::from_env() {
        Ok(flags) => flags,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let seed = flags.seed.unwrap_or(1);
    let is_short = flags.short;
    let outcome: Option<Outcome> = runtime.block_on(async {
        Some(match flags.name.as_str() {
            "failover" => failover::run(seed, is_short).await,
            "router_loss" => router_loss::run(seed, is_short).await,
            "at_most_once" => at_most_once::run(seed, is_short).await,
            "backup" => backup::run(seed, is_short).await,
            "drain" => drain::run(seed, is_short).await,
            "config" => config::run(seed, is_short).await,
            "overhead" => overhead::run(seed, is_short).await,
            "routing" => routing::run(seed, is_short).await,
            "suspicion" => suspicion::run(seed, is_short).await,
            "zone_loss" => zone_loss::run(seed, is_short).await,
            "fairness" => fairness::run(seed, is_short).await,
            "retry_storm" => retry_storm::run(seed, is_short).await,
            "membership" => membership::run(seed, is_short).await,
            "control_cost" => control_cost::run(seed, is_short).await,
            _ => return None,
        })
    });
    runtime.shutdown_background();
    let Some(outcome) = outcome else {
        eprintln!("unknown experiment: {}", flags.name);
        return ExitCode::from(EXIT_USAGE);
    };
    outcome.print(flags.json);
    if outcome.has_passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    }
}
