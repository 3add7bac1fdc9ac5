//! Signals that a daemon handles.

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks a daemon to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// Stop gracefully.
    Stop,
    /// Look at the settings file, which has changed.
    CheckSettings,
}

/// Handlers of the signals that a daemon handles.
///
/// Without a handler a signal ends the process at once, so they are registered before it serves anyone.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the handlers; fails if the operating system refuses one.
    pub(crate) fn register() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
            hangup: register(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal, also one that arrived since the handlers were registered.
    pub(crate) async fn recv(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            _ = self.hangup.recv() => return SignalRequest::CheckSettings,
        }
        log::info!("stop signal received; draining");
        SignalRequest::Stop
    }

    /// Waits for a stop signal, and calls `check_settings` on each SIGHUP before it.
    pub(crate) async fn wait_for_stop(&mut self, check_settings: impl Fn()) {
        while self.recv().await == SignalRequest::CheckSettings {
            check_settings();
        }
    }
}

fn register(kind: SignalKind) -> anyhow::Result<Signal> {
    signal(kind).with_context(|| format!("register a handler for signal {kind:?}"))
}
