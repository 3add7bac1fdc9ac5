//! Chooses backend servers for generations, copies and calls.
//!
//! Load pattern: a zone of engines ends, and all gateways place what it had on the rest
//! at the same moment; memory is short, since each generation lies at two engines.

use std::time::Instant;

use rand::Rng;

use crate::backend::{Backend, BackendKey, Work};
use crate::backend_fleet::BackendFleet;

/// Gateways beyond which further ones that avoid an engine add nothing.
const MAX_AVOIDERS: u64 = 4;

/// A generation that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Its service.
    pub service: &'a str,
    /// Memory of one engine of the service, in tokens; 0 if not stated.
    pub capacity: u64,
    /// What it takes.
    pub work: Work,
    /// Engines that get no further attempt.
    pub excluded: &'a [BackendKey],
    /// Engine that has its prompt in memory, by the hash of its instance.
    pub cached_at: Option<u64>,
}

impl BackendFleet {
    /// Chooses the engine for a generation.
    ///
    /// An engine that has its prompt in memory is preferred as long as others are not much
    /// less busy.
    pub fn choose_engine(
        &self,
        placement: &PlacementRequest<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let PlacementRequest {
            service,
            capacity,
            work,
            excluded,
            cached_at,
        } = *placement;
        let fits = |b: &Backend| b.fits(capacity, self.cfg.memory_share, work.memory_tokens);
        self.choose(service, excluded, now, rng, fits, |b| {
            let running = b.generations as u64 + b.remote_generations;
            // Generations delay each other while a prompt is read, and a kept one is not.
            let reading = if cached_at == Some(b.instance_hash) {
                0
            } else {
                work.prompt_tokens + running * self.cfg.running_cost
            };
            let unread = b.unread_tokens + b.remote_unread_tokens;
            let avoided = b.remote_avoiders.min(MAX_AVOIDERS) * self.cfg.avoider_cost;
            let zone = self.zone_cost(&b.entry.zone, now);
            let failures = b.failures.now(self.cfg.failure_half_life, now);
            (unread + reading + avoided + zone) as f64 + failures * self.cfg.engine_failure_cost
        })
    }

    /// Chooses the engine that gets a copy of a generation's memory.
    ///
    /// It lies in another zone than the generation's engine, if there is any.
    pub fn choose_copy_holder(
        &self,
        engine: BackendKey,
        capacity: u64,
        work: Work,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let engine = &self.backends.get(engine)?.entry;
        let is_usable = |b: &Backend| {
            b.entry.zone != engine.zone
                && b.fits(capacity, self.cfg.memory_share, work.memory_tokens)
        };
        self.choose(&engine.service, excluded, now, rng, is_usable, |b| {
            let avoided = b.remote_avoiders.min(MAX_AVOIDERS) * self.cfg.avoider_cost;
            let cost = b.used_memory() + avoided + self.zone_cost(&b.entry.zone, now);
            // Steps leave many equals, among which gateways choose at random.
            (cost / self.cfg.copy_cost_step) as f64
        })
    }

    /// Chooses the backend server for a call.
    pub fn choose_for_call(
        &self,
        service: &str,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        self.choose(
            service,
            excluded,
            now,
            rng,
            |_| true,
            |b| {
                let failures = b.failures.now(self.cfg.failure_half_life, now);
                b.in_flight as f64 + failures * self.cfg.failure_cost
            },
        )
    }

    /// Chooses the cheapest usable backend server, at random among equals.
    ///
    /// Those that are healthy and listed go first, then those that vanished from the
    /// list in an outage or were lost a while ago.
    fn choose(
        &self,
        service: &str,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
        is_usable: impl Fn(&Backend) -> bool,
        cost: impl Fn(&Backend) -> f64,
    ) -> Option<BackendKey> {
        let mut best: Option<(u8, f64, u64, BackendKey)> = None;
        for (key, backend) in &self.backends {
            if &*backend.entry.service != service || excluded.contains(&key) || !is_usable(backend)
            {
                continue;
            }
            let Some(tier) = backend.tier(now) else {
                continue;
            };
            let rank = (tier, cost(backend), rng.next_u64(), key);
            let is_better = best.is_none_or(|b| (rank.0, rank.1, rank.2) < (b.0, b.1, b.2));
            if is_better {
                best = Some(rank);
            }
        }
        best.map(|(.., key)| key)
    }

    fn zone_cost(&self, zone: &str, now: Instant) -> u64 {
        let recent = self.zone_losses.get(zone).map_or(0, |losses| {
            let is_recent =
                |at: &&Instant| now.saturating_duration_since(**at) < self.cfg.zone_loss_memory;
            losses.iter().filter(is_recent).count()
        });
        // A single loss says nothing about the neighbours.
        if recent >= 2 {
            self.cfg.zone_loss_cost
        } else {
            0
        }
    }
}
