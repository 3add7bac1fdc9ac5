//! Watches whether the engine of an attempt is suspected to be lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{BackendKey, ResumeEvent};
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Interval at which an attempt that is kept at a suspected engine is reconsidered.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reports when an engine is suspected, and again at intervals while it stays suspected.
pub(crate) struct LossWatch<C: Clock> {
    shared: Arc<Shared<C>>,
    key: BackendKey,
    lost: CancellationToken,
    /// When a kept attempt is reconsidered; `None` while the engine is not suspected.
    recheck_at: Option<Instant>,
}

impl<C: Clock> LossWatch<C> {
    pub(crate) fn new(shared: Arc<Shared<C>>, key: BackendKey) -> Self {
        // The token is taken first, so that a loss in between is not missed. It is not cancelled
        // again for an engine that is lost already.
        let lost = shared.loss_token(key);
        let is_lost = shared.fleet().is_lost(key);
        let recheck_at = is_lost.then(|| shared.now() + RECHECK_INTERVAL);
        Self {
            shared,
            key,
            lost,
            recheck_at,
        }
    }

    /// Waits until the engine is suspected; one that stays so is reported at each recheck.
    pub(crate) async fn suspected(&mut self) {
        while let Some(at) = self.recheck_at {
            tokio::time::sleep_until(at.into()).await;
            let lost = self.shared.loss_token(self.key);
            if self.shared.fleet().is_lost(self.key) {
                return;
            }
            self.recheck_at = None;
            self.lost = lost;
        }
        self.lost.cancelled().await;
    }

    /// Keeps the attempt of a request until the next recheck.
    pub(crate) fn keep(&mut self, request_id: &str, suspicion: ResumeEvent) {
        let next = self.shared.now() + RECHECK_INTERVAL;
        if self.recheck_at.replace(next).is_some() {
            return;
        }
        let reason = suspicion.reason().as_str();
        metrics::counter!("gateway_kept_attempts_total", "reason" => reason).increment(1);
        log::info!(
            request_id = request_id,
            cause = reason;
            "attempt kept at a suspected engine: no other may run the generation"
        );
    }
}
