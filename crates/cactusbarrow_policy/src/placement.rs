//! Chooses backend servers for generations, copies and calls.
//!
//! Load pattern: a zone of engines fails, and all gateways move its generations to the
//! remaining engines at the same moment. Memory is scarce, because each generation occupies
//! two engines: the one that runs it and the one that holds its copy.

use std::time::Instant;

use rand::Rng;

use crate::backend::{Backend, BackendKey, BackendWork};
use crate::backend_fleet::BackendFleet;
use crate::software::SoftwareId;

/// Largest number of avoiding peers that add to the cost of an engine.
const MAX_COUNTED_AVOIDERS: u64 = 4;

/// Generation for which an engine is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose engines are candidates.
    pub service: &'a str,
    /// Memory of one engine of the service, in tokens; 0 if not stated.
    pub capacity: u64,
    /// Load that the generation puts on the engine.
    pub work: BackendWork,
    /// Engines that must not get another attempt.
    pub excluded: &'a [BackendKey],
    /// Instance hash of the engine that has the prompt cached, if any.
    pub cached_at: Option<u64>,
    /// Software version that began the stream; only engines that have it are candidates.
    pub software: Option<SoftwareId>,
    /// Software versions whose engines are no candidates.
    pub excluded_software: &'a [SoftwareId],
}

impl BackendFleet {
    /// Chooses the engine for a generation.
    ///
    /// An engine that has the prompt cached is preferred unless others are much less busy.
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
            software,
            excluded_software,
        } = *placement;
        let is_usable = |b: &Backend| {
            software.is_none_or(|software| b.software == software)
                && !excluded_software.contains(&b.software)
                && self.has_token(b, now)
                && self.backoffs.has_backed_off(b.incarnation, now)
                && b.fits(capacity, self.cfg.memory_share, work.memory_tokens)
        };
        self.choose(service, excluded, now, rng, is_usable, |b| {
            let running = b.generations as u64 + b.remote_generations;
            // Reading a prompt and running generations delay each other; a cached prompt is not
            // read again.
            let reading = if cached_at == Some(b.instance_hash) {
                0
            } else {
                work.prompt_tokens + running * self.cfg.running_cost
            };
            let unread = b.unread_tokens + b.remote_unread_tokens;
            let avoided = b.remote_avoiders.min(MAX_COUNTED_AVOIDERS) * self.cfg.avoider_cost;
            let zone = self.zone_cost(&b.entry.zone, now);
            let failures = b.failures.value_at(self.cfg.failure_half_life, now);
            (unread + reading + avoided + zone) as f64 + failures * self.cfg.engine_failure_cost
        })
    }

    /// Chooses the engine that gets a copy of a generation's memory.
    ///
    /// The holder is always in another zone than the generation's engine and has the same software
    /// version; returns `None` if there is no such engine that can be used.
    pub fn choose_copy_holder(
        &self,
        engine: BackendKey,
        capacity: u64,
        work: BackendWork,
        excluded: &[BackendKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let engine = self.backends.get(engine)?;
        let is_usable = |b: &Backend| {
            b.entry.zone != engine.entry.zone
                && b.software == engine.software
                && !self.backoffs.is_backing_off(b.incarnation, now)
                && b.fits(capacity, self.cfg.memory_share, work.memory_tokens)
        };
        self.choose(&engine.entry.service, excluded, now, rng, is_usable, |b| {
            let avoided = b.remote_avoiders.min(MAX_COUNTED_AVOIDERS) * self.cfg.avoider_cost;
            let cost = b.used_memory() + avoided + self.zone_cost(&b.entry.zone, now);
            // Coarse steps make the cost of many engines equal, and gateways choose among these
            // at random.
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
            |b| self.has_token(b, now) && self.backoffs.has_backed_off(b.incarnation, now),
            |b| {
                let failures = b.failures.value_at(self.cfg.failure_half_life, now);
                b.in_flight as f64 + failures * self.cfg.failure_cost
            },
        )
    }

    /// Chooses the usable backend server with the lowest cost, at random among equals.
    ///
    /// Those that are healthy and listed come first, then those whose entry vanished in a
    /// store outage, then those that were lost.
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
                |at: &&Instant| now.saturating_duration_since(**at) < self.cfg.zone_loss_window;
            losses.iter().filter(is_recent).count()
        });
        // A single loss does not indicate a failure of the zone.
        if recent >= 2 {
            self.cfg.zone_loss_cost
        } else {
            0
        }
    }
}
