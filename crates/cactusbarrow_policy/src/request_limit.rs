//! Keeps to limits that backend servers name for the requests of all gateways together.
//!
//! Load pattern: a backend server in need names a limit of a few requests per second, and many
//! gateways send it work. A limit can be smaller than the number of gateways, so only as many
//! gateways as it allows requests per second use the backend server, each with an equal share.
//! Rendezvous hashing chooses them, so the gateways agree without messages of their own.

use std::time::{Duration, Instant};

use crate::backend::{Backend, BackendKey};
use crate::backend_fleet::BackendFleet;
use crate::hash::rendezvous_weight;

/// Lowest rate at which a limited backend server is used, in requests per second: only its
/// responses show that the limit has ended.
const MIN_RATE: f64 = 0.1;

/// Requests that a gateway may send at once to a limited backend server after it sent none.
const MAX_TOKENS: f64 = 1.0;

/// Tolerance for the rounding of refilled tokens.
const TOKEN_ROUNDING: f64 = 1e-9;

/// Limit of a backend server, as gateways tell one another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Hash of the backend server's instance.
    pub backend: u64,
    /// Requests per second from all gateways together; `None` if the limit has ended.
    pub per_s: Option<f64>,
    /// When a response showed it.
    pub named_at: Instant,
}

/// Limit of a backend server, with this gateway's token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLimit {
    per_s: Option<f64>,
    named_at: Instant,
    tokens: f64,
    refilled_at: Instant,
}

impl RequestLimit {
    /// Creates a limit; its bucket is empty, since the gateway has just used the backend server.
    fn new(per_s: Option<f64>, named_at: Instant, now: Instant) -> Self {
        Self {
            per_s,
            named_at,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    fn tokens_at(&self, rate: f64, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.refilled_at);
        (self.tokens + rate * since.as_secs_f64()).min(MAX_TOKENS)
    }
}

impl BackendFleet {
    /// Records the live gateways among which limits are divided, by the hashes of their addresses.
    pub fn record_gateways(&mut self, own: u64, peers: impl Iterator<Item = u64>) {
        self.own_gateway = own;
        self.peer_gateways.clear();
        self.peer_gateways.extend(peers);
    }

    /// Records the limit that a response names, or that it names none; returns whether it changed.
    ///
    /// `sent_at` is when the request was sent: a response from before the limit does not end it.
    pub fn record_limit(
        &mut self,
        key: BackendKey,
        per_s: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        match &mut backend.request_limit {
            None if per_s.is_none() => false,
            Some(limit) if per_s.is_none() && sent_at <= limit.named_at => false,
            None => {
                backend.request_limit = Some(RequestLimit::new(per_s, now, now));
                true
            }
            Some(limit) => {
                let is_changed = limit.per_s != per_s;
                limit.per_s = per_s;
                limit.named_at = now;
                is_changed
            }
        }
    }

    /// Records the limit of a backend server that a peer reports.
    pub fn record_peer_limit(&mut self, reported: NamedLimit, now: Instant) {
        let is_reported = |b: &&mut Backend| b.instance_hash == reported.backend;
        let Some(backend) = self.backends.values_mut().find(is_reported) else {
            return;
        };
        let NamedLimit {
            per_s, named_at, ..
        } = reported;
        match &mut backend.request_limit {
            None => backend.request_limit = Some(RequestLimit::new(per_s, named_at, now)),
            Some(limit) if limit.named_at < named_at => {
                limit.per_s = per_s;
                limit.named_at = named_at;
            }
            Some(_) => {}
        }
    }

    /// Returns the limits that were named recently, the newest first.
    pub fn named_limits(&self, now: Instant) -> Vec<NamedLimit> {
        let limit_of = |backend: &Backend| {
            let limit = self.recent_limit(backend, now)?;
            Some(NamedLimit {
                backend: backend.instance_hash,
                per_s: limit.per_s,
                named_at: limit.named_at,
            })
        };
        let mut limits: Vec<NamedLimit> = self.backends.values().filter_map(limit_of).collect();
        limits.sort_by_key(|limit| std::cmp::Reverse(limit.named_at));
        limits
    }

    /// Returns whether a backend server may be used and neither a limit nor a pause that it stated keeps
    /// another request from it.
    pub fn allows_request(&self, key: BackendKey, now: Instant) -> bool {
        let backend = self.backends.get(key);
        backend.is_some_and(|b| {
            b.tier(now).is_some()
                && self.has_token(b, now)
                && self.backoffs.has_backed_off(b.incarnation, now)
        })
    }

    /// Returns the shortest time until a limited backend server of a service takes another request
    /// from this gateway; `None` if limits keep no request from the service.
    ///
    /// It is zero if other gateways use the backend server.
    pub fn limit_wait(
        &self,
        service: &str,
        excluded: &[BackendKey],
        now: Instant,
    ) -> Option<Duration> {
        let candidates = self.backends.iter().filter(|(key, backend)| {
            &*backend.entry.service == service
                && !excluded.contains(key)
                && backend.tier(now).is_some()
                && self.backoffs.has_backed_off(backend.incarnation, now)
                && !self.has_token(backend, now)
        });
        let wait = |backend: &Backend| {
            let limit = self.recent_limit(backend, now)?;
            let Some(rate) = self.own_rate(backend, limit.per_s?) else {
                return Some(Duration::ZERO);
            };
            let missing = (MAX_TOKENS - limit.tokens_at(rate, now)).max(0.0);
            Duration::try_from_secs_f64(missing / rate).ok()
        };
        candidates.filter_map(|(_, backend)| wait(backend)).min()
    }

    pub(crate) fn has_token(&self, backend: &Backend, now: Instant) -> bool {
        let limit = self.recent_limit(backend, now);
        let Some((limit, per_s)) = limit.and_then(|limit| Some((limit, limit.per_s?))) else {
            return true;
        };
        let rate = self.own_rate(backend, per_s);
        rate.is_some_and(|rate| limit.tokens_at(rate, now) >= MAX_TOKENS - TOKEN_ROUNDING)
    }

    /// Takes a token for a request that is sent to a backend server, if it has a limit.
    pub(crate) fn take_token(&mut self, key: BackendKey, now: Instant) {
        let Some(backend) = self.backends.get(key) else {
            return;
        };
        let Some(mut limit) = backend.request_limit else {
            return;
        };
        let rate = limit.per_s.and_then(|per_s| self.own_rate(backend, per_s));
        limit.tokens = limit.tokens_at(rate.unwrap_or(0.0), now) - 1.0;
        limit.refilled_at = now;
        if let Some(backend) = self.backends.get_mut(key) {
            backend.request_limit = Some(limit);
        }
    }

    fn recent_limit<'a>(&self, backend: &'a Backend, now: Instant) -> Option<&'a RequestLimit> {
        let limit = backend.request_limit.as_ref()?;
        let age = now.saturating_duration_since(limit.named_at);
        (age < self.cfg.limit_memory).then_some(limit)
    }

    /// Returns this gateway's share of a limit in requests per second; `None` if only others use
    /// the backend server.
    fn own_rate(&self, backend: &Backend, per_s: f64) -> Option<f64> {
        let weight = |gateway: u64| (rendezvous_weight(backend.instance_hash, gateway), gateway);
        let own = weight(self.own_gateway);
        let rank = self
            .peer_gateways
            .iter()
            .filter(|peer| weight(**peer) > own)
            .count();
        let per_s = per_s.max(MIN_RATE);
        let users = (per_s as usize).clamp(1, self.peer_gateways.len() + 1);
        (rank < users).then_some(per_s / users as f64)
    }
}
