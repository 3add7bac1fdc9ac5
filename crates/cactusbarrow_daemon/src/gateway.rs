//! Runs a gateway with the settings of the users' platform.

use std::path::{Path, PathBuf};

use anyhow::Context;
use cactusbarrow_adapter::{GatewaySettings, SETTINGS_VARIABLE, parse_settings};
use cactusbarrow_net::SystemClock;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::admin::{self, Status};
use crate::line_queue::LineQueue;
use crate::logs;

/// Reads the settings from `file`, or from the file that the platform names.
pub(crate) fn read_settings(file: Option<PathBuf>) -> anyhow::Result<(PathBuf, GatewaySettings)> {
    let named = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let file = file
        .or_else(named)
        .with_context(|| format!("give --settings, or set {SETTINGS_VARIABLE}"))?;
    let settings = parse_file(&file)?;
    Ok((file, settings))
}

fn parse_file(file: &Path) -> anyhow::Result<GatewaySettings> {
    let name = file.display();
    let text = std::fs::read_to_string(file).with_context(|| format!("read settings {name}"))?;
    parse_settings(&text).with_context(|| format!("settings {name}"))
}

/// Runs a gateway until it is told to stop; returns whether all its work ended in time.
pub(crate) fn run(file: &Path, settings: GatewaySettings) -> anyhow::Result<bool> {
    let queue = LineQueue::start(SystemClock, std::io::stdout()).context("start the log writer")?;
    let output = fern::Output::call(move |record| queue.push(record));
    logs::start(settings.name.clone(), log::LevelFilter::Info, output)?;
    let mut builder = if settings.cores > 1 {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(settings.cores);
        builder
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let runtime = builder.enable_all().build().context("start the runtime")?;
    let is_clean = runtime.block_on(serve(file, settings));
    if let Err(e) = &is_clean {
        log::error!("gateway failed: {e:#}");
    }
    is_clean
}

async fn serve(file: &Path, settings: GatewaySettings) -> anyhow::Result<bool> {
    let metrics = admin::start_metrics()?;
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
    let mut versions = handle.versions();
    let follow = status.clone();
    tokio::spawn(async move {
        while versions.changed().await.is_ok() {
            let version = versions.borrow_and_update().0;
            follow.send_modify(|status| {
                status.revision = version;
                status.ready = true;
            });
        }
    });
    wait_for_stop(file).await?;
    status.send_modify(|status| status.ready = false);
    let is_clean = handle.stop().await;
    log::info!(clean = is_clean; "gateway stopped");
    stop_admin.cancel();
    Ok(is_clean)
}

/// Waits for the order to stop; checks the settings file on each order to reload.
async fn wait_for_stop(file: &Path) -> anyhow::Result<()> {
    let listen = |kind: SignalKind| -> anyhow::Result<Signal> {
        signal(kind).with_context(|| format!("listen for signal {kind:?}"))
    };
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(file),
        }
    }
    log::info!("stopping gracefully");
    Ok(())
}

/// Checks a changed settings file; addresses and limits take effect at the next start.
fn reload(file: &Path) {
    match parse_file(file) {
        Ok(_) => log::info!("settings reloaded; they are valid and apply from the next start"),
        Err(e) => log::error!("settings not reloaded, the old ones stay: {e:#}"),
    }
}
