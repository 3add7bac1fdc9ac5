//! Handles what backend servers state about themselves in their responses.

use std::time::{Duration, Instant};

use cactusbarrow_adapter::ServerNotice;
use cactusbarrow_net::Clock;
use cactusbarrow_policy::{BackendEntry, BackendKey, ServerIncarnation};
use cactusbarrow_protocol::generated::GatewayHeartbeat;

use crate::request::AdmittedRequest;
use crate::shared::Shared;

/// Largest number of departures in a heartbeat, each 8 bytes.
const MAX_HEARTBEAT_DEPARTURES: usize = 16;

impl<C: Clock> Shared<C> {
    /// Records what the backend server that registered `entry` states about itself in the response to
    /// a request that was sent at `sent_at`; the entry may be gone.
    pub(crate) fn record_notice(
        &self,
        entry: &BackendEntry,
        notice: ServerNotice,
        sent_at: Instant,
    ) {
        if notice.retry_after.is_none() {
            self.fleet().record_response(entry, sent_at);
        }
        self.record_statement(entry, notice);
    }

    /// Records what the same server states in a response that ends no time that it stated before.
    pub(crate) fn record_statement(&self, entry: &BackendEntry, notice: ServerNotice) {
        self.record_unnamed_notice(entry, notice);
        if notice.is_leaving && self.fleet().record_departure(entry, self.now()) {
            self.handle_departure(entry, "response");
        }
    }

    /// Records what a server at the address of `entry` states without naming its instance.
    ///
    /// No other one is known there, so a stated time is kept; a departure is final and needs a name.
    pub(crate) fn record_unnamed_notice(&self, entry: &BackendEntry, notice: ServerNotice) {
        if let Some(wait) = notice.retry_after {
            self.record_backoff(entry, wait);
        }
    }

    fn record_backoff(&self, entry: &BackendEntry, wait: Duration) {
        if !self.fleet().record_backoff(entry, wait, self.now()) {
            return;
        }
        metrics::counter!("gateway_server_backoffs_total").increment(1);
        log::info!(
            instance = &*entry.instance,
            peer:% = entry.address,
            wait_ms = wait.as_millis() as u64;
            "backend server wants no requests for some time"
        );
    }

    /// Adds the departures that this gateway observed to a heartbeat.
    pub(crate) fn add_departures(&self, heartbeat: &mut GatewayHeartbeat) {
        let mut fleet = self.fleet();
        let reports = fleet.take_departure_reports(MAX_HEARTBEAT_DEPARTURES, self.now());
        heartbeat.departures = reports.into_iter().map(|id| id.0).collect();
    }

    /// Records the departures that a peer reports.
    pub(crate) fn record_peer_departures(&self, departures: &[u64]) {
        for id in departures {
            let entry = {
                let mut fleet = self.fleet();
                let key = fleet.record_peer_departure(ServerIncarnation(*id), self.now());
                key.and_then(|key| fleet.get(key)).map(|b| b.entry.clone())
            };
            if let Some(entry) = entry {
                self.handle_departure(&entry, "peer");
            }
        }
    }

    /// Logs a departure and has copies made elsewhere.
    fn handle_departure(&self, entry: &BackendEntry, source: &'static str) {
        log::info!(
            instance = &*entry.instance,
            peer:% = entry.address,
            source = source;
            "backend server announced that it is leaving"
        );
        metrics::counter!("gateway_departures_total", "source" => source).increment(1);
        self.cancel_unreliable_tokens();
        self.load_change().notify();
    }
}

impl<C: Clock> AdmittedRequest<C> {
    /// Draws the delay after which the caller may retry, if all backend servers of the service have
    /// stated that they want no requests now; `excluded` ones are left out.
    pub(crate) fn backoff_wait(&self, excluded: &[BackendKey]) -> Option<Duration> {
        let shared = &self.shared;
        let fleet = shared.fleet();
        let rng = &mut *shared.rng();
        fleet.backoff_wait(&self.service, excluded, shared.now(), rng)
    }
}
