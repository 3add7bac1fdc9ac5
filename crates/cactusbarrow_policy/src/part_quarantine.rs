//! Finds requests and prompt parts that end engines, and keeps them away from engines.
//!
//! Load pattern: one request that arrives again and again, or requests that share one part of their
//! prompts and little else, end each engine that begins to respond to them. Every retry ends another
//! engine and interrupts the requests of other callers there. Engines also end for other reasons, and
//! then a retry saves the request.
//!
//! Gateways record which attempts ended with their engine before the response had begun. A request
//! or a part is quarantined when chance no longer explains how often that happened to it, compared
//! with other requests in the same time. A response that begins clears all parts of its request. A
//! whole request counts as the last and most specific of its parts.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::request_parts::{IncarnationId, PartId, PartKind, RequestParts};
use crate::stream_origins::ServiceId;

/// Share of the lost attempts that is dropped when the table is full, as its inverse.
const DROPPED_SHARE: usize = 16;

/// An attempt that ended with its engine before the response had begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostAttempt {
    /// Engine that ended.
    pub engine: IncarnationId,
    /// Parts of the request that may be at fault.
    pub parts: RequestParts,
    /// When the request was sent to the engine.
    pub sent_at: Instant,
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
    /// The same for attempts at a request that is not known to have begun before.
    pub request_spacing: Duration,
    /// How improbable it has to be that chance explains the lost attempts, as odds against it.
    pub odds: f64,
    /// Number of events after which a prompt is quarantined by its unique part, not below the usual
    /// number of attempts: until then another attempt may save a sound prompt.
    pub min_prompt_events: usize,
    /// Number of engines that have to end under a request, one after the other, before it is
    /// quarantined; one more if it has begun before.
    pub min_request_events: usize,
    /// Time after an attempt at a request was lost in which peers may report what else was lost at the
    /// same engine. Until then the request is neither sent nor quarantined.
    pub settling: Duration,
    /// Times before the first attempt at a lost request in which other requests are compared with it:
    /// the second if fewer than `min_compared` responses began in the first.
    pub comparison: [Duration; 2],
    /// Number of responses that are enough for a comparison.
    pub min_compared: u64,
    /// Largest error of the times of attempts that peers report.
    pub clock_error: Duration,
    /// Lowest assumed probability that an attempt at a sound prompt is lost.
    pub min_loss_probability: f64,
    /// Maximum number of lost attempts that are remembered, about 150 bytes each.
    pub max_losses: usize,
    /// Maximum number of lost attempts that are remembered without their parts, 32 bytes each.
    pub max_faded_losses: usize,
    /// Maximum number of quarantined and of cleared parts, 24 bytes each.
    pub max_parts: usize,
    /// Number of requests that began most recently and are remembered, about 30 bytes each.
    pub max_begun_requests: usize,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(300),
            memory: Duration::from_secs(600),
            event_spacing: Duration::from_millis(400),
            request_spacing: Duration::from_millis(20),
            odds: 10_000.0,
            min_prompt_events: 5,
            min_request_events: 3,
            settling: Duration::from_millis(250),
            comparison: [Duration::from_secs(10), Duration::from_secs(60)],
            min_compared: 100,
            clock_error: Duration::from_millis(10),
            min_loss_probability: 0.02,
            max_losses: 256,
            max_faded_losses: 1_024,
            max_parts: 256,
            max_begun_requests: 4_096,
        }
    }
}

/// A part that was found to end engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineVerdict {
    /// Part that is now quarantined.
    pub part: PartId,
    /// What it stands for.
    pub kind: PartKind,
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
    /// Part by which attempts at the same request are recognized, also after it was cleared.
    prompt: Option<PartId>,
    /// Whether it was an attempt of this gateway.
    is_own: bool,
}

/// When requests last began, for a bounded number of them.
#[derive(Clone, Debug, Default)]
struct RecentRequests {
    begun_at: HashMap<PartId, Instant>,
    /// The same requests in the order of insertion.
    order: VecDeque<PartId>,
}

impl RecentRequests {
    fn begun_at(&self, request: PartId) -> Option<Instant> {
        self.begun_at.get(&request).copied()
    }

    /// Records that a request began; if the table is full, the first one is dropped.
    fn insert(&mut self, request: PartId, now: Instant, max_entries: usize) {
        if self.begun_at.insert(request, now).is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > max_entries
            && let Some(first) = self.order.pop_front()
        {
            self.begun_at.remove(&first);
        }
    }
}

/// A lost attempt whose parts were dropped, but that still shows how often attempts are lost.
#[derive(Clone, Copy, Debug)]
struct FadedLoss {
    engine: IncarnationId,
    service: ServiceId,
    lost_at: Instant,
}

/// Table of lost attempts and quarantined parts, as known to this gateway.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    cfg: QuarantineConfig,
    /// Lost attempts whose engine's end no quarantined part explains. Cleared parts are removed from
    /// them; one that has none left still shows that attempts at sound prompts are lost.
    losses: Vec<RecordedLoss>,
    /// Lost attempts of which only their number is of use, in the order in which they were dropped.
    faded: VecDeque<FadedLoss>,
    /// Engines whose end a quarantined part explains, and when that was found.
    explained: HashMap<IncarnationId, Instant>,
    /// Suspected parts with which a response began, and when.
    cleared: HashMap<PartId, Instant>,
    /// Quarantined parts and since when.
    quarantined: HashMap<PartId, Instant>,
    /// Requests that began here most recently.
    begun_requests: RecentRequests,
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
            faded: VecDeque::new(),
            explained: HashMap::new(),
            cleared: HashMap::new(),
            quarantined: HashMap::new(),
            begun_requests: RecentRequests::default(),
            begun: HashMap::new(),
            own_begun: HashMap::new(),
        }
    }

    /// Returns for how long prompts with these parts are still refused; `None` if they are not.
    pub fn time_left(&self, parts: &RequestParts, now: Instant) -> Option<Duration> {
        let held = parts.iter().filter_map(|part| self.held_since(part, now));
        held.map(|since| (since + self.cfg.hold).saturating_duration_since(now))
            .max()
    }

    /// Returns whether one more lost attempt at a request may lead to a verdict on it.
    pub fn is_suspected(&self, parts: &RequestParts) -> bool {
        let request = parts.request;
        let count = request.map_or(0, |request| self.with_part(request).count());
        count + 1 >= self.cfg.min_request_events
    }

    /// Returns how long a request with these parts has to wait for reports from peers, after which it
    /// may be quarantined; `None` if it may be sent now.
    pub fn settling_time(&self, parts: &RequestParts, now: Instant) -> Option<Duration> {
        let request = parts.request?;
        let last = self.with_part(request).map(|loss| loss.lost_at).max()?;
        let left = (last + self.cfg.settling).saturating_duration_since(now);
        if left.is_zero() || self.request_verdict(request, parts.service).is_none() {
            return None;
        }
        Some(left)
    }

    /// Records that a response began whose prompt has these parts; returns whether that cleared any.
    pub fn record_begun(&mut self, parts: &RequestParts, now: Instant) -> bool {
        *self.own_begun.entry(parts.service).or_default() += 1;
        self.count_begun(parts.service, 1, now);
        if let Some(request) = parts.request {
            self.begun_requests
                .insert(request, now, self.cfg.max_begun_requests);
        }
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
        let prompt = loss.parts.identity();
        let is_known =
            |known: &RecordedLoss| known.loss.engine == loss.engine && known.prompt == prompt;
        if self.explained.contains_key(&loss.engine) || self.losses.iter().any(is_known) {
            return Vec::new();
        }
        let mut verdicts = Vec::new();
        let mut explaining_part = None;
        for (part, kind) in loss.parts.most_specific_first() {
            let Some(since) = self.quarantined.get_mut(&part) else {
                continue;
            };
            let is_held_again = loss.lost_at >= *since + self.cfg.hold;
            if is_held_again {
                *since = loss.lost_at;
                verdicts.push(QuarantineVerdict {
                    part,
                    kind,
                    events: 1,
                    prompts: 1,
                    loss_probability: self.cfg.min_loss_probability,
                });
            }
            // The end of engines under one prompt does not show which of its parts is at fault.
            if kind == PartKind::Shared || loss.parts.shared.is_empty() {
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
        loss.parts.request = loss.parts.request.filter(is_open);
        if let Some(request) = loss.parts.request
            && let Some(begun_at) = self.begun_requests.begun_at(request)
            && begun_at >= lost_at
        {
            // It began here before the loss was known.
            loss.parts.request = None;
            insert_bounded(&mut self.cleared, request, begun_at, self.cfg.max_parts);
        }
        if self.losses.len() >= self.cfg.max_losses {
            self.drop_least_suspicious();
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

    /// Quarantines those parts of a request whose lost attempts chance no longer explains.
    ///
    /// The whole request is judged first and the last part next, since the fewest sound requests
    /// share them. Engines that ended under a quarantined part are no evidence against the parts
    /// before it.
    pub fn judge(&mut self, parts: &RequestParts, now: Instant) -> Vec<QuarantineVerdict> {
        let mut verdicts = Vec::new();
        for (part, kind) in parts.most_specific_first() {
            if self.quarantined.contains_key(&part) {
                continue;
            }
            let verdict = match kind {
                PartKind::Request => self.settled_verdict(part, parts.service, now),
                PartKind::Prompt | PartKind::Shared => self.verdict(part, parts.service, kind),
            };
            let Some(verdict) = verdict else {
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

    /// Returns the same with the number of engines that are known to have ended under the same request
    /// or under the part with the most, the largest first.
    pub fn own_losses_by_suspicion(&self) -> Vec<(usize, &LostAttempt)> {
        let counts = self.loss_counts();
        let own = self.own_losses();
        let mut losses: Vec<_> = own.map(|loss| (suspicion(loss, &counts), loss)).collect();
        losses.sort_by_key(|(count, loss)| std::cmp::Reverse((*count, loss.lost_at)));
        losses
    }

    /// Drops some of the lost attempts: those whose parts were lost the least often, the oldest first.
    fn drop_least_suspicious(&mut self) {
        let counts = self.loss_counts();
        let order = |recorded: &RecordedLoss| {
            let loss = &recorded.loss;
            (suspicion(loss, &counts), loss.lost_at)
        };
        let mut orders: Vec<_> = self.losses.iter().map(order).collect();
        orders.sort_unstable();
        let Some(limit) = orders.get(self.cfg.max_losses / DROPPED_SHARE).copied() else {
            return;
        };
        let dropped = self.losses.extract_if(.., |known| order(known) <= limit);
        let faded = dropped.map(|RecordedLoss { loss, .. }| FadedLoss {
            engine: loss.engine,
            service: loss.parts.service,
            lost_at: loss.lost_at,
        });
        self.faded.extend(faded);
        let excess = self.faded.len().saturating_sub(self.cfg.max_faded_losses);
        self.faded.drain(..excess);
    }

    /// Returns how often each part was lost.
    fn loss_counts(&self) -> HashMap<PartId, usize> {
        let mut counts = HashMap::new();
        for part in self.losses.iter().flat_map(|known| known.loss.parts.iter()) {
            *counts.entry(part).or_default() += 1;
        }
        counts
    }

    fn held_since(&self, part: PartId, now: Instant) -> Option<Instant> {
        let since = *self.quarantined.get(&part)?;
        (now.saturating_duration_since(since) < self.cfg.hold).then_some(since)
    }

    /// Drops the lost attempts at an engine whose end `part` explains.
    ///
    /// Attempts at the prompt that `part` is unique to still count against its shared parts.
    fn explain(&mut self, engine: IncarnationId, part: PartId, now: Instant) {
        let has_other_suspects = |known: &RecordedLoss| {
            known.prompt == Some(part) && !known.loss.parts.shared.is_empty()
        };
        self.losses
            .retain(|known| known.loss.engine != engine || has_other_suspects(known));
        self.faded.retain(|faded| faded.engine != engine);
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
        let lost = self.lost_elsewhere(part, service, first) as f64;
        let probability = (lost + 1.0) / (begun as f64 + lost + 1.0);
        probability.max(self.cfg.min_loss_probability)
    }

    /// Returns the number of attempts at a service that were lost since `first`, at engines that did
    /// not end under the part, and that no quarantined request explains.
    fn lost_elsewhere(&self, part: PartId, service: ServiceId, first: Instant) -> usize {
        let engines = self.engines_lost_under(part);
        let is_other = |recorded: &&RecordedLoss| {
            let RecordedLoss { loss, prompt, .. } = recorded;
            let is_explained = prompt.is_some_and(|part| self.quarantined.contains_key(&part));
            let is_other_engine = !engines.contains(&loss.engine);
            let is_same_service = loss.parts.service == service;
            loss.lost_at >= first && is_same_service && is_other_engine && !is_explained
        };
        let is_other_faded = |faded: &&FadedLoss| {
            let is_same_service = faded.service == service;
            faded.lost_at >= first && is_same_service && !engines.contains(&faded.engine)
        };
        let faded = self.faded.iter().filter(is_other_faded).count();
        self.losses.iter().filter(is_other).count() + faded
    }

    /// Returns the share of attempts at a service that were lost elsewhere since `first`.
    fn share_lost_elsewhere(&self, part: PartId, service: ServiceId, first: Instant) -> f64 {
        let lost = self.lost_elsewhere(part, service, first) as f64;
        let begun = self.begun_since(service, first) as f64;
        lost / (begun + lost).max(1.0)
    }

    /// Returns the verdict on a request once peers had time to report what else was lost.
    fn settled_verdict(
        &self,
        request: PartId,
        service: ServiceId,
        now: Instant,
    ) -> Option<QuarantineVerdict> {
        let last = self.with_part(request).map(|loss| loss.lost_at).max()?;
        let is_settled = now.saturating_duration_since(last) >= self.cfg.settling;
        let verdict = is_settled.then(|| self.request_verdict(request, service));
        verdict.flatten()
    }

    /// Returns the verdict on a request if neither chance nor another request explains its lost
    /// attempts.
    fn request_verdict(&self, request: PartId, service: ServiceId) -> Option<QuarantineVerdict> {
        let count = self.with_part(request).count();
        if count < self.cfg.min_request_events {
            return None;
        }
        let rivals = self.engines_of_rivals(request, count);
        let losses = self.with_part(request);
        let own: Vec<_> = losses.filter(|l| !rivals.contains(&l.engine)).collect();
        let first = own.iter().map(|loss| loss.sent_at).min()?;
        // Many attempts at a popular request may run when engines fail for another reason.
        let is_popular = self.begun_requests.begun_at(request).is_some();
        let (spacing, needed) = if is_popular {
            let needed = self.cfg.min_request_events + 1;
            (self.cfg.event_spacing, needed)
        } else {
            (self.cfg.request_spacing, self.cfg.min_request_events)
        };
        let events = self.count_successive(own, spacing);
        if events < needed {
            return None;
        }
        let from = self.comparison_start(service, first);
        let mut loss_probability = self.loss_probability(request, service, from);
        if is_popular {
            // Before the first of its losses, engines may have failed less often.
            let share = self.share_lost_elsewhere(request, service, first);
            loss_probability = loss_probability.max(share);
        }
        let is_found = events as f64 * -loss_probability.ln() >= self.cfg.odds.ln();
        is_found.then_some(QuarantineVerdict {
            part: request,
            kind: PartKind::Request,
            events,
            prompts: 1,
            loss_probability,
        })
    }

    /// Returns the engines that ended under other requests under which at least `count` ended.
    ///
    /// A request that often ran beside one that ends engines is lost as often as that at most.
    fn engines_of_rivals(&self, request: PartId, count: usize) -> HashSet<IncarnationId> {
        let mut by_request: HashMap<PartId, Vec<IncarnationId>> = HashMap::new();
        for RecordedLoss { loss, .. } in &self.losses {
            if let Some(rival) = loss.parts.request.filter(|rival| *rival != request) {
                by_request.entry(rival).or_default().push(loss.engine);
            }
        }
        let is_rival = |engines: &Vec<IncarnationId>| engines.len() >= count;
        by_request
            .into_values()
            .filter(is_rival)
            .flatten()
            .collect()
    }

    /// Returns in how many separate events attempts at a request were lost.
    ///
    /// Engines that fail together are one event, however many attempts ran there; attempts of which
    /// each was sent after the one before was lost are independent, however soon.
    fn count_successive(&self, mut losses: Vec<&LostAttempt>, spacing: Duration) -> usize {
        losses.sort_unstable_by_key(|loss| loss.lost_at);
        let mut last_lost: Option<Instant> = None;
        let mut count = 0;
        for loss in losses {
            let run_time = loss.lost_at.saturating_duration_since(loss.sent_at);
            let sent_at = loss.sent_at + self.cfg.clock_error.min(run_time / 2);
            let is_separate = |at| sent_at >= at || loss.lost_at >= at + spacing;
            if last_lost.is_none_or(is_separate) {
                count += 1;
                last_lost = Some(loss.lost_at);
            }
        }
        count
    }

    /// Returns from when other requests are compared with one that was first sent at `first`.
    ///
    /// Few responses begin once engines end one after the other, so the time before counts, too.
    fn comparison_start(&self, service: ServiceId, first: Instant) -> Instant {
        let [short, long] = self.cfg.comparison;
        let before = |time| first.checked_sub(time).unwrap_or(first);
        if self.begun_since(service, before(short)) >= self.cfg.min_compared {
            before(short)
        } else {
            before(long)
        }
    }

    /// Returns the verdict on a part of prompts if chance no longer explains its lost attempts.
    fn verdict(
        &self,
        part: PartId,
        service: ServiceId,
        kind: PartKind,
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
        let is_enough = if kind == PartKind::Prompt {
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
            kind,
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
        self.faded.retain(|faded| is_recent(faded.lost_at));
        self.explained.retain(|_, at| is_recent(*at));
        self.cleared.retain(|_, at| is_recent(*at));
        self.quarantined
            .retain(|_, since| now.saturating_duration_since(*since) < 2 * cfg.hold);
    }
}

/// Returns how often the part of a lost attempt was lost that was lost the most often.
fn suspicion(loss: &LostAttempt, counts: &HashMap<PartId, usize>) -> usize {
    let counts = loss.parts.iter().filter_map(|part| counts.get(&part));
    counts.max().copied().unwrap_or(0)
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
