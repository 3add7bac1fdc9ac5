//! Chooses the engine of a generation's next attempt.

use std::time::Duration;

use cactusbarrow_net::Clock;
use cactusbarrow_policy::{
    AttemptStart, BackendEntry, BackendFleet, BackendKey, BackendWork, PlacementRequest, Reason,
    ServiceId, SoftwareId, stable_hash,
};

use super::{GenerationItem, GenerationStream};
use crate::generation::attempt::{AttemptTarget, RunningAttempt};
use crate::generation::copy_manager::Holder;

/// Longest wait for the store to show a version at which a stream may begin: a few calls, also if a packet is
/// lost.
const STORED_VERSION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest share of its remaining time that a caller waits for it, as a divisor.
const STORED_VERSION_WAIT_DIVISOR: u32 = 8;

impl<C: Clock> GenerationStream<C> {
    /// Returns whether a healthy engine can run the generation after the current one.
    pub(super) fn has_healthy_successor(&self) -> bool {
        let shared = &self.req.shared;
        let cached_at = self.cached_at();
        let fleet = shared.fleet();
        let running = self.running.as_ref();
        let holder = running.and_then(|running| self.usable_holder(running));
        let now = shared.now();
        let is_usable = |key| fleet.is_up(key) && fleet.allows_request(key, now);
        if holder.is_some_and(|holder| is_usable(holder.key)) {
            return true;
        }
        let rng = &mut *shared.rng();
        let engine = fleet.choose_engine(&self.placement(cached_at), now, rng);
        engine.is_some_and(|key| fleet.is_up(key))
    }

    /// Returns the holder of an attempt's copy unless it has declined the generation.
    pub(super) fn usable_holder<'a>(&self, running: &'a RunningAttempt<C>) -> Option<&'a Holder> {
        let holder = running.copies.holder();
        holder.filter(|holder| !self.plan.excluded().contains(&holder.key))
    }

    /// Returns why no engine can be chosen for the next attempt.
    pub(super) fn missing_engine_reason(&self) -> Reason {
        let shared = &self.req.shared;
        let now = shared.now();
        match self.software {
            Some(id) if !shared.fleet().has_software(&self.req.service, id, now) => {
                Reason::SoftwareGone
            }
            None if !self.may_begin() => Reason::UnstoredVersion,
            _ if self.req.backoff_wait(&[]).is_some() => Reason::BackendBackoff,
            _ if self.req.limit_wait(self.plan.excluded()).is_some() => Reason::BackendLimit,
            _ => Reason::NoBackend,
        }
    }

    /// Decides what follows if no engine can be chosen; returns the caller's last item if nothing does.
    pub(super) fn decide_without_engine(&mut self) -> Option<GenerationItem> {
        let reason = self.missing_engine_reason();
        let wait = self.req.backoff_wait(self.plan.excluded());
        if wait.is_some_and(|wait| wait >= self.req.time_left()) {
            return Some(self.refusal(reason));
        }
        let action = self.plan.decide_without_engine(reason);
        self.apply(action)
    }

    /// Chooses the engine of the next attempt and the holder of its copy.
    pub(super) fn choose_target(&self) -> Option<AttemptTarget> {
        let shared = &self.req.shared;
        let now = shared.now();
        let cached_at = self.cached_at();
        let fleet = shared.fleet();
        let rng = &mut *shared.rng();
        let capacity = self.req.spec.kv_capacity;
        let work = self.work();
        let excluded = self.plan.excluded();
        let entry_of = |key: BackendKey| -> Option<(BackendKey, BackendEntry)> {
            Some((key, fleet.get(key)?.entry.clone()))
        };
        let holder = match self.next_start {
            AttemptStart::ReadPrompt => None,
            AttemptStart::FromCopy(holder) if fleet.allows_request(holder, now) => {
                let holder = entry_of(holder);
                let has_software = |entry: &BackendEntry| {
                    let software = self.software;
                    software.is_none_or(|software| entry.software.id() == software)
                };
                holder.filter(|(_, entry)| has_software(entry))
            }
            AttemptStart::FromCopy(_) => None,
        };
        let resume_from = holder
            .as_ref()
            .and(self.holder.as_ref())
            .map(|holder| holder.copy_location(self.request_id()));
        let (key, entry) = match holder {
            Some(holder) => holder,
            None => {
                let unstored = self.unstored_software(&fleet);
                let placement = PlacementRequest {
                    excluded_software: &unstored,
                    ..self.placement(cached_at)
                };
                let key = fleet.choose_engine(&placement, now, rng);
                key.and_then(entry_of)?
            }
        };
        let new_holder = if self.req.spec.has_copies {
            let mut excluded = excluded.to_vec();
            excluded.push(key);
            fleet
                .choose_copy_holder(key, capacity, work, &excluded, now, rng)
                .and_then(entry_of)
                .map(|(key, entry)| Holder::new(shared, key, entry))
        } else {
            None
        };
        Some(AttemptTarget {
            key,
            holder: new_holder,
            resume_from,
            is_cached: cached_at == Some(stable_hash(entry.instance.as_bytes())),
            entry,
            work,
        })
    }

    fn placement(&self, cached_at: Option<u64>) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.req.service,
            capacity: self.req.spec.kv_capacity,
            work: self.work(),
            excluded: self.plan.excluded(),
            cached_at,
            software: self.software,
            excluded_software: &[],
        }
    }

    /// Returns the software versions at which the stream must not begin yet, since the store does not show that
    /// they are served: if this process ended, nobody could tell that the stream can be of that version.
    fn unstored_software(&self, fleet: &BackendFleet) -> Vec<SoftwareId> {
        if self.software.is_some() || !self.req.kind.can_resume() {
            return Vec::new();
        }
        let mut software = fleet.software_versions(&self.req.service);
        let service = ServiceId::from_name(&self.req.service);
        let now = self.req.shared.now();
        let versions = self.req.shared.versions();
        software.retain(|software| !versions.is_stored(service, *software, now));
        software
    }

    /// Returns whether the stream may begin at an engine that is listed, or none is.
    fn may_begin(&self) -> bool {
        let fleet = self.req.shared.fleet();
        let listed = fleet.software_versions(&self.req.service).len();
        listed == 0 || self.unstored_software(&fleet).len() < listed
    }

    /// Waits until the store shows a version at which the stream may begin, as shortly after the start of this
    /// process or the first entry of a service.
    pub(super) async fn wait_for_stored_version(&self) {
        let shared = &self.req.shared;
        let wait = STORED_VERSION_TIMEOUT.min(self.req.time_left() / STORED_VERSION_WAIT_DIVISOR);
        let mut stored = shared.subscribe_stored_versions();
        // After a time-out no engine can be chosen.
        drop(tokio::time::timeout(wait, stored.wait_for(|_| self.may_begin())).await);
    }

    fn work(&self) -> BackendWork {
        let caller = &self.req.caller;
        BackendWork {
            prompt_tokens: caller.prompt_tokens,
            memory_tokens: caller.prompt_tokens + caller.output_tokens,
        }
    }
}
