//! Finds prompt parts that end engines, and keeps prompts with them away from engines.
//!
//! Load pattern: requests that share one part of their prompts, and little else, end each engine
//! that begins to respond to them. Every retry ends another engine and interrupts the generations of
//! other callers there. Engines also end for other reasons, and then a retry saves the request.
//!
//! Gateways record which attempts ended with their engine before the response had begun. A part is
//! quarantined when chance no longer explains how often that happened to prompts with it, compared
//! with other prompts in the same time. A response that begins clears all parts of its prompt.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::hash::{mix, stable_hash};
use crate::operator_config::ServiceName;
use crate::stream_origins::ServiceId;

/// Identifies a part of a prompt by the hashes of its id and of the service that gets the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// Identifies one incarnation of an engine by the hash of its instance and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IncarnationId(pub u64);

impl IncarnationId {
    /// Returns the id of an instance that was started as `incarnation`.
    pub fn new(instance: &str, incarnation: u64) -> Self {
        Self(mix(stable_hash(instance.as_bytes()) ^ incarnation))
    }
}

/// Parts of a prompt that may be at fault when its engine ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptParts {
    /// Service that gets the prompt.
    pub service: ServiceId,
    /// Parts that other prompts may share, in order.
    pub shared: Vec<PartId>,
    /// Last part, which only attempts at the same prompt share.
    pub unique: Option<PartId>,
}

impl PromptParts {
    /// Maximum number of shared parts that are considered, half of them from each end of a longer
    /// prompt: those that most other prompts share, and those that the fewest do.
    const MAX_SHARED: usize = 8;

    /// Creates the parts of a prompt for a service from their ids.
    pub fn new(service: &ServiceName, shared: &[String], unique: Option<&str>) -> Self {
        let service = ServiceId::from_name(service);
        let id_of = |part: &str| PartId(mix(stable_hash(part.as_bytes()) ^ service.0));
        let half = Self::MAX_SHARED / 2;
        let is_considered =
            |i: usize| shared.len() <= Self::MAX_SHARED || i < half || i + half >= shared.len();
        let considered = shared.iter().enumerate().filter(|(i, _)| is_considered(*i));
        Self {
            service,
            shared: considered.map(|(_, part)| id_of(part)).collect(),
            unique: unique.map(id_of),
        }
    }

    fn iter(&self) -> impl Iterator<Item = PartId> + '_ {
        self.shared.iter().copied().chain(self.unique)
    }

    fn contains(&self, part: PartId) -> bool {
        self.iter().any(|own| own == part)
    }

    fn remove(&mut self, part: PartId) {
        self.shared.retain(|own| *own != part);
        self.unique = self.unique.filter(|own| *own != part);
    }

    fn is_empty(&self) -> bool {
        self.shared.is_empty() && self.unique.is_none()
    }
}

/// An attempt that ended with its engine before the response had begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostAttempt {
    /// Engine that ended.
    pub engine: IncarnationId,
    /// Parts of the prompt that may be at fault.
    pub parts: PromptParts,
    /// When the attempt ended.
    pub lost_at: Instant,
}

/// Settings of [`PartQuarantine`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineConfig {
    /// Time for which prompts with a quarantined part are refused. For the same time after that a
    /// single lost attempt is enough to quarantine the part again.
    pub hold: Duration,
    /// Time for which lost attempts are remembered.
    pub memory: Duration,
    /// Time in which lost attempts are taken for one event: a zone's engines fail at the same
    /// moment, and silent ones are detected within it.
    pub event_spacing: Duration,
    /// How improbable it has to be that chance explains the lost attempts, as odds against it.
    pub odds: f64,
    /// Number of events after which a prompt is quarantined by its unique part, not below the usual
    /// number of attempts: until then another attempt may save a sound prompt.
    pub min_prompt_events: usize,
    /// Lowest assumed probability that an attempt at a sound prompt is lost.
    pub min_loss_probability: f64,
    /// Maximum number of lost attempts that are remembered, about 150 bytes each.
    pub max_losses: usize,
    /// Maximum number of quarantined and of cleared parts, 24 bytes each.
    pub max_parts: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(300),
            memory: Duration::from_secs(600),
            event_spacing: Duration::from_millis(400),
            odds: 10_000.0,
            min_prompt_events: 5,
            min_loss_probability: 0.02,
            max_losses: 256,
            max_parts: 256,
        }
    }
}

/// A part that was found to end engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineVerdict {
    /// Part that is now quarantined.
    pub part: PartId,
    /// Number of separate events in which engines ended under it.
    pub events: usize,
    /// Number of different prompts with it whose engines ended.
    pub prompts: usize,
    /// Estimated probability that an attempt at a sound prompt is lost.
    pub loss_probability: f64,
}

/// A lost attempt in the table.
#[derive(Clone, Debug)]
struct RecordedLoss {
    loss: LostAttempt,
    /// Unique part of the prompt, also after it was cleared.
    prompt: Option<PartId>,
    /// Whether it was an attempt of this gateway.
    is_own: bool,
}

/// Table of lost attempts and quarantined parts, as known to this gateway.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    cfg: QuarantineConfig,
    /// Lost attempts whose engine's end no quarantined part explains. Cleared parts are removed from
    /// them; one that has none left still shows that attempts at sound prompts are lost.
    losses: Vec<RecordedLoss>,
    /// Engines whose end a quarantined part explains, and when that was found.
    explained: HashMap<IncarnationId, Instant>,
    /// Suspected parts with which a response began, and when.
    cleared: HashMap<PartId, Instant>,
    /// Quarantined parts and since when.
    quarantined: HashMap<PartId, Instant>,
    /// Numbers of responses that began, here and at peers, with the start of their interval.
    begun: HashMap<ServiceId, VecDeque<(Instant, u64)>>,
    /// Number of responses that began here since the start.
    own_begun: HashMap<ServiceId, u64>,
}

impl PartQuarantine {
    /// Width of the intervals in which responses that began are counted.
    const COUNT_INTERVAL: Duration = Duration::from_millis(250);

    /// Creates an empty table.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            cfg,
            losses: Vec::new(),
            explained: HashMap::new(),
            cleared: HashMap::new(),
            quarantined: HashMap::new(),
            begun: HashMap::new(),
            own_begun: HashMap::new(),
        }
    }

    /// Returns for how long prompts with these parts are still refused; `None` if they are not.
    pub fn time_left(&self, parts: &PromptParts, now: Instant) -> Option<Duration> {
        let held = parts.iter().filter_map(|part| self.held_since(part, now));
        held.map(|since| (since + self.cfg.hold).saturating_duration_since(now))
            .max()
    }

    /// Records that a response began whose prompt has these parts; returns whether that cleared any.
    pub fn record_begun(&mut self, parts: &PromptParts, now: Instant) -> bool {
        *self.own_begun.entry(parts.service).or_default() += 1;
        self.count_begun(parts.service, 1, now);
        let is_suspect = |part: &PartId| {
            let is_lost = self.with_part(*part).next().is_some();
            is_lost || self.quarantined.contains_key(part)
        };
        let suspects: Vec<PartId> = parts.iter().filter(is_suspect).collect();
        for part in &suspects {
            self.clear(*part, now);
        }
        !suspects.is_empty()
    }

    /// Adds responses of a service that began, here or since a peer's last report.
    pub fn count_begun(&mut self, service: ServiceId, count: u64, now: Instant) {
        let intervals = self.begun.entry(service).or_default();
        match intervals.back_mut() {
            Some((start, sum)) if now.saturating_duration_since(*start) < Self::COUNT_INTERVAL => {
                *sum += count;
            }
            _ => intervals.push_back((now, count)),
        }
        while let Some((start, _)) = intervals.front()
            && now.saturating_duration_since(*start) >= self.cfg.memory
        {
            intervals.pop_front();
        }
    }

    /// Returns the number of responses of a service that have begun at this gateway since its start.
    pub fn own_begun(&self, service: ServiceId) -> u64 {
        self.own_begun.get(&service).copied().unwrap_or(0)
    }

    /// Clears a part with which a response began at `begun_at`, here or at a peer.
    pub fn clear(&mut self, part: PartId, begun_at: Instant) {
        for RecordedLoss { loss, .. } in &mut self.losses {
            if loss.lost_at <= begun_at {
                loss.parts.remove(part);
            }
        }
        if self
            .quarantined
            .get(&part)
            .is_some_and(|since| *since <= begun_at)
        {
            self.quarantined.remove(&part);
        }
        insert_bounded(&mut self.cleared, part, begun_at, self.cfg.max_parts);
    }

    /// Records a lost attempt; `is_own` tells whether it was this gateway's.
    ///
    /// Returns the parts that are quarantined for it.
    pub fn record_loss(
        &mut self,
        mut loss: LostAttempt,
        is_own: bool,
        now: Instant,
    ) -> Vec<QuarantineVerdict> {
        self.expire(now);
        let prompt = loss.parts.unique;
        let is_known =
            |known: &RecordedLoss| known.loss.engine == loss.engine && known.prompt == prompt;
        if self.explained.contains_key(&loss.engine) || self.losses.iter().any(is_known) {
            return Vec::new();
        }
        let mut verdicts = Vec::new();
        let mut explaining_part = None;
        for part in loss.parts.iter() {
            let Some(since) = self.quarantined.get_mut(&part) else {
                continue;
            };
            let is_held_again = loss.lost_at >= *since + self.cfg.hold;
            if is_held_again {
                *since = loss.lost_at;
                verdicts.push(QuarantineVerdict {
                    part,
                    events: 1,
                    prompts: 1,
                    loss_probability: self.cfg.min_loss_probability,
                });
            }
            // The end of engines under one prompt does not show which of its parts is at fault.
            if loss.parts.unique != Some(part) {
                explaining_part = Some(part);
            }
        }
        if let Some(part) = explaining_part {
            self.explain(loss.engine, part, now);
            return verdicts;
        }
        let lost_at = loss.lost_at;
        let cleared = &self.cleared;
        let is_open = |part: &PartId| cleared.get(part).is_none_or(|at| *at < lost_at);
        loss.parts.shared.retain(is_open);
        loss.parts.unique = loss.parts.unique.filter(is_open);
        if self.losses.len() >= self.cfg.max_losses {
            self.losses.remove(0);
        }
        let parts = loss.parts.clone();
        self.losses.push(RecordedLoss {
            loss,
            prompt,
            is_own,
        });
        verdicts.extend(self.judge(&parts, now));
        verdicts
    }

    /// Quarantines those parts of a prompt whose lost attempts chance no longer explains.
    ///
    /// The last part is judged first, since the fewest sound prompts share it. Engines that ended
    /// under a quarantined part are no evidence against the parts before it.
    pub fn judge(&mut self, parts: &PromptParts, now: Instant) -> Vec<QuarantineVerdict> {
        let mut verdicts = Vec::new();
        let last_first = parts.unique.into_iter();
        for part in last_first.chain(parts.shared.iter().rev().copied()) {
            if self.quarantined.contains_key(&part) {
                continue;
            }
            let is_unique = parts.unique == Some(part);
            let Some(verdict) = self.verdict(part, parts.service, is_unique) else {
                continue;
            };
            insert_bounded(&mut self.quarantined, part, now, self.cfg.max_parts);
            for engine in self.engines_lost_under(part) {
                self.explain(engine, part, now);
            }
            verdicts.push(verdict);
        }
        verdicts
    }

    /// Adopts the quarantine of a part from a peer or the store; returns whether it was unknown.
    pub fn adopt(&mut self, part: PartId, since: Instant, now: Instant) -> bool {
        self.expire(now);
        let is_cleared = self.cleared.get(&part).is_some_and(|at| *at >= since);
        let is_over = now.saturating_duration_since(since) >= 2 * self.cfg.hold;
        if is_cleared || is_over || self.quarantined.get(&part).is_some_and(|own| *own >= since) {
            return false;
        }
        let is_new = !self.quarantined.contains_key(&part);
        insert_bounded(&mut self.quarantined, part, since, self.cfg.max_parts);
        is_new
    }

    /// Returns the quarantined parts and since when they are, the newest first.
    pub fn quarantined(&self) -> Vec<(PartId, Instant)> {
        newest_first(self.quarantined.iter())
    }

    /// Returns the cleared parts and when their responses began, the newest first.
    pub fn cleared(&self) -> Vec<(PartId, Instant)> {
        newest_first(self.cleared.iter())
    }

    /// Returns this gateway's own lost attempts that nothing explains yet, the newest first.
    pub fn own_losses(&self) -> impl Iterator<Item = &LostAttempt> {
        let own = self.losses.iter().rev().filter(|recorded| recorded.is_own);
        let losses = own.map(|recorded| &recorded.loss);
        losses.filter(|loss| !loss.parts.is_empty())
    }

    fn held_since(&self, part: PartId, now: Instant) -> Option<Instant> {
        let since = *self.quarantined.get(&part)?;
        (now.saturating_duration_since(since) < self.cfg.hold).then_some(since)
    }

    /// Drops the lost attempts at an engine whose end `part` explains.
    ///
    /// Attempts at the prompt that `part` is unique to still count against its shared parts.
    fn explain(&mut self, engine: IncarnationId, part: PartId, now: Instant) {
        self.losses
            .retain(|known| known.loss.engine != engine || known.prompt == Some(part));
        insert_bounded(&mut self.explained, engine, now, self.cfg.max_losses);
    }

    /// Returns the lost attempts for which a part may be at fault.
    fn with_part(&self, part: PartId) -> impl Iterator<Item = &LostAttempt> {
        let losses = self.losses.iter().map(|recorded| &recorded.loss);
        losses.filter(move |loss| loss.parts.contains(part))
    }

    fn engines_lost_under(&self, part: PartId) -> HashSet<IncarnationId> {
        self.with_part(part).map(|loss| loss.engine).collect()
    }

    /// Returns when the first attempt at a prompt with a part was lost, and in how many separate
    /// events that happened.
    fn events(&self, part: PartId) -> Option<(Instant, usize)> {
        self.count_events(self.with_part(part))
    }

    /// Returns the same for those lost attempts that no later shared part explains as well.
    fn own_events(&self, part: PartId) -> Option<(Instant, usize)> {
        let is_suspect = |later: &PartId| self.events(*later).is_some_and(|(_, n)| n >= 2);
        let has_later_suspect = |loss: &&LostAttempt| {
            let shared = loss.parts.shared.iter();
            shared.rev().take_while(|own| **own != part).any(is_suspect)
        };
        let is_unique = |loss: &&LostAttempt| loss.parts.unique == Some(part);
        let losses = self.with_part(part);
        self.count_events(losses.filter(|loss| is_unique(loss) || !has_later_suspect(loss)))
    }

    fn count_events<'a>(
        &self,
        losses: impl Iterator<Item = &'a LostAttempt>,
    ) -> Option<(Instant, usize)> {
        let mut lost_at: Vec<Instant> = losses.map(|loss| loss.lost_at).collect();
        lost_at.sort_unstable();
        let first = *lost_at.first()?;
        let mut events = 0;
        let mut event_end = first;
        for at in lost_at {
            if at >= event_end {
                events += 1;
                event_end = at + self.cfg.event_spacing;
            }
        }
        Some((first, events))
    }

    fn begun_since(&self, service: ServiceId, first: Instant) -> u64 {
        let intervals = self.begun.get(&service).into_iter().flatten();
        let recent = intervals.filter(|(start, _)| *start >= first);
        recent.map(|(_, count)| count).sum()
    }

    /// Estimates the probability that an attempt at a sound prompt is lost, from all attempts at the
    /// service since `first`, at engines that did not end under the part.
    fn loss_probability(&self, part: PartId, service: ServiceId, first: Instant) -> f64 {
        let begun = self.begun_since(service, first);
        // Without a response that began there is nothing to compare with, and chance explains all.
        if begun == 0 {
            return 1.0;
        }
        let engines = self.engines_lost_under(part);
        let is_other = |recorded: &&RecordedLoss| {
            let RecordedLoss { loss, prompt, .. } = recorded;
            let is_explained = prompt.is_some_and(|part| self.quarantined.contains_key(&part));
            let is_other_engine = !engines.contains(&loss.engine);
            let is_same_service = loss.parts.service == service;
            loss.lost_at >= first && is_same_service && is_other_engine && !is_explained
        };
        let lost = self.losses.iter().filter(is_other).count();
        let lost = lost as f64;
        let probability = (lost + 1.0) / (begun as f64 + lost + 1.0);
        probability.max(self.cfg.min_loss_probability)
    }

    /// Returns the verdict on a part if chance no longer explains its lost attempts.
    fn verdict(
        &self,
        part: PartId,
        service: ServiceId,
        is_unique: bool,
    ) -> Option<QuarantineVerdict> {
        let needed = self.cfg.odds.ln();
        // Most parts are not lost often enough to look closer.
        let is_frequent =
            |events: usize| events as f64 * -self.cfg.min_loss_probability.ln() >= needed;
        let (first, events) = self.events(part)?;
        if !is_frequent(events) || self.begun_since(service, first) == 0 {
            return None;
        }
        let (first, events) = self.own_events(part)?;
        if !is_frequent(events) {
            return None;
        }
        let prompts: HashSet<_> = self.with_part(part).map(|loss| loss.parts.unique).collect();
        // Lost attempts at one prompt do not show that a shared part is at fault.
        let is_enough = if is_unique {
            events >= self.cfg.min_prompt_events
        } else {
            prompts.len() >= 2
        };
        if !is_enough {
            return None;
        }
        let loss_probability = self.loss_probability(part, service, first);
        let is_found = events as f64 * -loss_probability.ln() >= needed;
        is_found.then_some(QuarantineVerdict {
            part,
            events,
            prompts: prompts.len(),
            loss_probability,
        })
    }

    fn expire(&mut self, now: Instant) {
        let cfg = self.cfg;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < cfg.memory;
        self.losses
            .retain(|recorded| is_recent(recorded.loss.lost_at));
        self.explained.retain(|_, at| is_recent(*at));
        self.cleared.retain(|_, at| is_recent(*at));
        self.quarantined
            .retain(|_, since| now.saturating_duration_since(*since) < 2 * cfg.hold);
    }
}

/// Inserts an entry; if the table is full, the oldest one is dropped first.
fn insert_bounded<K: Copy + Eq + std::hash::Hash>(
    table: &mut HashMap<K, Instant>,
    key: K,
    at: Instant,
    max_entries: usize,
) {
    if table.len() >= max_entries
        && !table.contains_key(&key)
        && let Some(oldest) = table.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key)
    {
        table.remove(&oldest);
    }
    table.insert(key, at);
}

fn newest_first<'a>(
    table: impl Iterator<Item = (&'a PartId, &'a Instant)>,
) -> Vec<(PartId, Instant)> {
    let mut entries: Vec<_> = table.map(|(part, at)| (*part, *at)).collect();
    entries.sort_unstable_by_key(|(part, at)| (std::cmp::Reverse(*at), *part));
    entries
}
