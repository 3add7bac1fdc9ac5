//! Entry point of the daemon: runs a router, an agent or a gateway until a stop signal.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use cactusbarrow_net::SystemClock;
use cactusbarrow_platform::ConsulStore;
use rustix::process::{Resource, getrlimit};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::admin::{self, Status};
use crate::flags::{Cactusbarrowd, CactusbarrowdCmd};
use crate::gateway;
use crate::logs;
use crate::settings::{AgentSettings, RouterSettings, read_settings};
use crate::signals::Signals;

const EXIT_USAGE: u8 = 2;
const EXIT_FAILED: u8 = 1;
const EXIT_UNCLEAN: u8 = 3;

/// Runs the daemon.
///
/// Exit codes: 0 graceful shutdown, 1 failed to start or run, 2 invalid command line, 3 work was
/// aborted at the drain time-out.
pub fn main() -> ExitCode {
    let flags = match Cactusbarrowd::from_env() {
        Ok(flags) => flags,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(flags) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_UNCLEAN),
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(flags: Cactusbarrowd) -> anyhow::Result<bool> {
    match flags.subcommand {
        CactusbarrowdCmd::Router(cmd) => {
            let settings: RouterSettings = read_settings(&cmd.settings)?;
            if !print_check_result(&cmd.settings, cmd.check) {
                return block_on(run_router(settings));
            }
        }
        CactusbarrowdCmd::Agent(cmd) => {
            let settings: AgentSettings = read_settings(&cmd.settings)?;
            if !print_check_result(&cmd.settings, cmd.check) {
                return block_on(run_agent(settings));
            }
        }
        CactusbarrowdCmd::Gateway(cmd) => {
            let (file, settings) = gateway::read_settings(cmd.settings)?;
            if !print_check_result(&file, cmd.check) {
                return gateway::run(&file, settings);
            }
        }
    }
    Ok(true)
}

/// Prints that the settings are valid if only a check is requested; returns `check_only`.
fn print_check_result(file: &Path, check_only: bool) -> bool {
    if check_only {
        println!("{}: settings are valid", file.display());
    }
    check_only
}

fn block_on<F: Future<Output = anyhow::Result<bool>>>(future: F) -> anyhow::Result<bool> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("start the async runtime")?
        .block_on(future)
}

async fn run_router(settings: RouterSettings) -> anyhow::Result<bool> {
    logs::start(
        settings.name.clone(),
        settings.log_level.into(),
        std::io::stderr(),
    )?;
    let mut signals = Signals::register()?;
    let metrics = admin::install_metrics_recorder()?;
    let shutdown = CancellationToken::new();
    let store = ConsulStore::new(settings.store);
    let cfg = settings.to_config(descriptor_limit());
    let handle = cactusbarrow_router::start(cfg, store, SystemClock, shutdown.clone())
        .await
        .context("start the router")?;
    let status = Status {
        name: settings.name.clone(),
        role: "router",
        ..Status::default()
    };
    let status = Arc::new(watch::Sender::new(status));
    let stop_admin = CancellationToken::new();
    let rx = status.subscribe();
    admin::start(settings.admin, metrics, rx, stop_admin.clone()).await?;
    log::info!(listen:% = handle.listen, control:% = handle.control; "router started");
    let mut revisions = handle.subscribe_config();
    let status_tx = status.clone();
    tokio::spawn(async move {
        while revisions.changed().await.is_ok() {
            let revision = revisions.borrow_and_update().revision().0;
            status_tx.send_modify(|status| {
                status.revision = revision;
                status.ready = revision > 0;
            });
        }
    });
    signals.wait_for_stop(log_unread_settings).await;
    status.send_modify(|status| status.ready = false);
    let is_clean = handle.stop().await;
    stop_admin.cancel();
    Ok(is_clean)
}

async fn run_agent(settings: AgentSettings) -> anyhow::Result<bool> {
    logs::start(
        settings.name.clone(),
        settings.log_level.into(),
        std::io::stderr(),
    )?;
    let mut signals = Signals::register()?;
    let metrics = admin::install_metrics_recorder()?;
    let shutdown = CancellationToken::new();
    let cfg = settings.to_config(descriptor_limit());
    let handle = cactusbarrow_agent::start(cfg, SystemClock, shutdown.clone())
        .await
        .context("start the agent")?;
    let status = watch::Sender::new(Status {
        name: settings.name.clone(),
        role: "agent",
        ready: true,
        ..Status::default()
    });
    let stop_admin = CancellationToken::new();
    let rx = status.subscribe();
    admin::start(settings.admin, metrics, rx, stop_admin.clone()).await?;
    log::info!(listen:% = handle.listen, control:% = handle.control; "agent started");
    let status = Arc::new(status);
    let status_tx = status.clone();
    let mut revisions = handle.subscribe_revision();
    tokio::spawn(async move {
        while revisions.changed().await.is_ok() {
            let revision = revisions.borrow_and_update().0;
            status_tx.send_modify(|status| status.revision = revision);
        }
    });
    signals.wait_for_stop(log_unread_settings).await;
    status.send_modify(|status| status.ready = false);
    let is_clean = handle.stop().await;
    stop_admin.cancel();
    Ok(is_clean)
}

/// Returns the number of descriptors that the process may open.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

fn log_unread_settings() {
    log::info!("the settings file is read at the next start only");
}
