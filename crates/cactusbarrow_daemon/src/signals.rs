//! Signals that stop a daemon.

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals that stop a daemon.
///
/// Without a handler a signal ends the process at once, so they are registered before it serves anyone.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Registers the handlers; fails if the operating system refuses one.
    pub(crate) fn register() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal, also one that arrived since the handlers were registered.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        log::info!("stop signal received; draining");
    }
}

/// Registers a handler of one kind of signal.
pub(crate) fn register(kind: SignalKind) -> anyhow::Result<Signal> {
    signal(kind).with_context(|| format!("register a handler for signal {kind:?}"))
}
