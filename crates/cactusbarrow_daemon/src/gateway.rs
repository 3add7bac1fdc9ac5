//! Runs a gateway process, from its settings to its graceful shutdown.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use cactusbarrow_adapter::{GatewaySettings, SETTINGS_VARIABLE, parse_settings};
use cactusbarrow_net::SystemClock;
use tokio_util::sync::CancellationToken;

use crate::admin::{self, Status};
use crate::line_queue::LineQueue;
use crate::logs;
use crate::signals::Signals;

/// Longest time for which the exit waits until the log has been written: nothing else is left to do then, and the
/// platform kills a process that takes longer than its grace period.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads the settings from `file`, or else from the file that the environment variable
/// [`SETTINGS_VARIABLE`] names.
pub(crate) fn read_settings(file: Option<PathBuf>) -> anyhow::Result<(PathBuf, GatewaySettings)> {
    let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let file = file
        .or_else(from_environment)
        .with_context(|| format!("no settings file: pass --settings or set {SETTINGS_VARIABLE}"))?;
    let settings = parse_file(&file)?;
    Ok((file, settings))
}

fn parse_file(file: &Path) -> anyhow::Result<GatewaySettings> {
    let name = file.display();
    let text =
        std::fs::read_to_string(file).with_context(|| format!("read settings file {name}"))?;
    parse_settings(&text).with_context(|| format!("invalid settings in {name}"))
}

/// Runs a gateway until a stop signal arrives.
///
/// Returns true if all connections ended before the drain time-out.
pub(crate) fn run(file: &Path, settings: GatewaySettings) -> anyhow::Result<bool> {
    let queue =
        LineQueue::start(SystemClock, std::io::stdout()).context("start the log writer thread")?;
    let lines = queue.clone();
    let output = fern::Output::call(move |record| lines.push(record));
    logs::start(settings.name.clone(), log::LevelFilter::Info, output)?;
    let mut builder = if settings.cores > 1 {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(settings.cores);
        builder
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let runtime = builder
        .enable_all()
        .build()
        .context("start the async runtime")?;
    let is_clean = runtime.block_on(serve(file, settings));
    if let Err(e) = &is_clean {
        log::error!("gateway failed: {e:#}");
    }
    // Requests that are cut by the exit log their end.
    drop(runtime);
    queue.flush(LOG_FLUSH_TIMEOUT);
    is_clean
}

async fn serve(file: &Path, settings: GatewaySettings) -> anyhow::Result<bool> {
    let mut signals = Signals::register()?;
    let metrics = admin::install_metrics_recorder()?;
    let (name, callers, admin_addr) = (settings.name.clone(), settings.callers, settings.metrics);
    let status = tokio::sync::watch::Sender::new(Status {
        name: name.clone(),
        role: "gateway",
        ..Status::default()
    });
    let stop_admin = CancellationToken::new();
    admin::start(admin_addr, metrics, status.subscribe(), stop_admin.clone()).await?;
    log::info!(
        callers:% = callers,
        metrics:% = admin_addr,
        store:% = settings.store,
        zone = settings.zone.as_str();
        "gateway started"
    );
    let handle = cactusbarrow_gateway::start(settings, SystemClock)
        .await
        .context("start the gateway")?;
    let mut versions = handle.subscribe_version();
    let status_tx = status.clone();
    tokio::spawn(async move {
        while versions.changed().await.is_ok() {
            let version = versions.borrow_and_update().0;
            status_tx.send_modify(|status| {
                status.revision = version;
                status.ready = true;
            });
        }
    });
    signals.wait_for_stop(|| validate_file(file)).await;
    status.send_modify(|status| status.ready = false);
    let is_clean = handle.stop().await;
    log::info!(clean = is_clean; "gateway stopped");
    stop_admin.cancel();
    Ok(is_clean)
}

/// Validates a changed settings file, whose addresses and limits take effect at the next start.
fn validate_file(file: &Path) {
    match parse_file(file) {
        Ok(_) => log::info!("settings file is valid; it takes effect at the next start"),
        Err(e) => log::error!("settings file rejected; current settings are kept: {e:#}"),
    }
}
