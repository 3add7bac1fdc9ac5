//! Durable claims that make an unrepeatable call run at most once.
//!
//! Keys are spread over shards. A shard has one head page in the platform's
//! store; the page lists older segments, which are immutable. A claim is valid
//! only after a compare-and-swap has written it to the head page. The swap
//! expects the store index at which the page was read, so it fails if any other
//! process has written the page since, which also fences off a process that
//! resumes after a pause with an outdated page.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::claim_page::{ClaimEntry, ClaimPage, EntryState, SegmentRef};
use crate::hash::stable_hash;
use crate::ids::{ClaimNonce, KeyHash};

/// Settings of a [`ClaimShard`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Minimum time between two writes of one head page.
    pub write_interval: Duration,
    /// Number of entries at which the head page is sealed into a segment.
    pub seal_threshold: usize,
    /// How long a claimed key is kept; segments with only older keys are deleted.
    pub retention: Duration,
    /// Wait before the next store operation after one has failed.
    pub retry_wait: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(250),
            seal_threshold: 400,
            retention: Duration::from_secs(24 * 3600),
            retry_wait: Duration::from_millis(300),
        }
    }
}

/// Request to claim the key of an unrepeatable call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: KeyHash,
    /// Identifies this request, also when it is sent again.
    pub nonce: ClaimNonce,
    /// Hash of the request body.
    pub body_hash: u64,
    /// Time from which the claim is refused with [`ClaimVerdict::Expired`].
    pub deadline: Instant,
}

/// Result of a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is durable, and the call may be sent once.
    Granted,
    /// Another request holds the key; its call may have been run.
    Held,
    /// The key was claimed before with a different request body.
    Conflict,
    /// The store does not respond, so the call must not be sent.
    Unavailable,
    /// The deadline has passed, so the call must not be sent.
    Expired,
}

/// Input of a [`ClaimShard`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A process requests a claim.
    Claim(ClaimRequest),
    /// A claimed call was certainly not run and never will be, so its key is freed.
    Release {
        /// Key of the claim.
        key: KeyHash,
        /// Nonce of the claim; a claim with another nonce stays in place.
        nonce: ClaimNonce,
    },
    /// The head page was read, with its store index; `None` if it does not exist.
    HeadRead(Option<(u64, ClaimPage)>),
    /// The head page could not be read.
    HeadReadFailed,
    /// A segment was read.
    SegmentRead {
        /// Identifies the segment.
        id: u64,
        /// Content of the segment.
        page: ClaimPage,
    },
    /// A segment could not be read or written.
    SegmentFailed,
    /// A segment was written.
    SegmentWritten,
    /// The compare-and-swap of the head page succeeded.
    HeadWritten,
    /// The compare-and-swap failed because the head page had changed.
    HeadConflict,
    /// The compare-and-swap got no response, so it may or may not have taken effect.
    HeadWriteUnknown,
    /// Prompts the shard to continue if it can; due at [`ClaimShard::next_wake`].
    Tick,
}

/// Action that the process that runs a [`ClaimShard`] must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the head page.
    ReadHead,
    /// Read the segment with this id.
    ReadSegment(u64),
    /// Write a segment; idempotent, since the id is a hash of the content.
    WriteSegment {
        /// Identifies the segment.
        id: u64,
        /// Encoded segment.
        value: Vec<u8>,
    },
    /// Replace the head page with a compare-and-swap.
    WriteHead {
        /// Encoded page.
        value: Vec<u8>,
        /// Store index that the page must still have; 0 if it must not exist.
        expected: u64,
    },
    /// Delete the segments with these ids, whose keys are all past the retention time.
    DeleteSegments(Vec<u64>),
    /// Deliver the verdict to the sender of a [`ClaimRequest`].
    DeliverVerdict {
        /// Nonce of the request.
        nonce: ClaimNonce,
        /// Result of the request.
        verdict: ClaimVerdict,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    ReadingHead,
    ReadingSegments(usize),
    Sealing {
        id: u64,
        page: ClaimPage,
    },
    Writing {
        page: ClaimPage,
    },
    /// The compare-and-swap got no response; the head page is read to find out its result.
    Resolving {
        page: ClaimPage,
    },
}

#[derive(Clone, Debug)]
struct CachedHead {
    index: u64,
    page: ClaimPage,
}

/// State machine of one process for one shard of claims.
#[derive(Clone, Debug)]
pub struct ClaimShard {
    cfg: ClaimConfig,
    phase: Phase,
    head: Option<CachedHead>,
    segments: HashMap<u64, HashMap<KeyHash, ClaimEntry>>,
    queue: VecDeque<ClaimRequest>,
    batch: Vec<ClaimRequest>,
    releases: HashMap<KeyHash, ClaimNonce>,
    not_before: Option<Instant>,
}

impl ClaimShard {
    /// Creates a shard whose head page has not been read yet.
    pub fn new(cfg: ClaimConfig) -> Self {
        Self {
            cfg,
            phase: Phase::Idle,
            head: None,
            segments: HashMap::new(),
            queue: VecDeque::new(),
            batch: Vec::new(),
            releases: HashMap::new(),
            not_before: None,
        }
    }

    /// Returns the time at which [`ClaimEvent::Tick`] must be sent, if any.
    pub fn next_wake(&self) -> Option<Instant> {
        let has_work = !self.queue.is_empty() || !self.releases.is_empty();
        self.not_before
            .filter(|_| has_work && self.phase == Phase::Idle)
    }

    /// Returns the number of entries held in memory.
    pub fn entry_count(&self) -> usize {
        let head = self.head.as_ref().map_or(0, |head| head.page.entries.len());
        head + self.segments.values().map(HashMap::len).sum::<usize>()
    }

    /// Applies an event and returns the actions to perform; `unix_seconds` stamps new entries.
    pub fn handle(
        &mut self,
        event: ClaimEvent,
        now: Instant,
        unix_seconds: u32,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Claim(req) => self.queue.push_back(req),
            ClaimEvent::Release { key, nonce } => {
                self.releases.insert(key, nonce);
            }
            ClaimEvent::HeadRead(head) => self.on_head_read(head, &mut actions),
            ClaimEvent::HeadReadFailed | ClaimEvent::SegmentFailed => {
                self.on_store_failed(now, &mut actions);
            }
            ClaimEvent::SegmentRead { id, page } => self.on_segment_read(id, page),
            ClaimEvent::SegmentWritten => self.on_segment_written(now, &mut actions),
            ClaimEvent::HeadWritten => self.on_head_written(&mut actions),
            ClaimEvent::HeadConflict => self.on_head_conflict(&mut actions),
            ClaimEvent::HeadWriteUnknown => self.on_head_write_unknown(&mut actions),
            ClaimEvent::Tick => {}
        }
        self.advance(now, unix_seconds, &mut actions);
        actions
    }

    fn advance(&mut self, now: Instant, unix_seconds: u32, actions: &mut Vec<ClaimAction>) {
        let has_work = !self.queue.is_empty() || !self.releases.is_empty();
        if self.phase != Phase::Idle || !has_work {
            return;
        }
        if self.not_before.is_some_and(|at| now < at) {
            return;
        }
        if self.head.is_none() {
            self.read_head(actions);
            return;
        }
        self.form_batch(now, unix_seconds, actions);
    }

    fn form_batch(&mut self, now: Instant, unix_seconds: u32, actions: &mut Vec<ClaimAction>) {
        let Some(head) = &self.head else { return };
        let mut page = head.page.clone();
        self.drop_expired_segments(&mut page, unix_seconds, actions);
        let mut changed = self.apply_releases(&mut page, unix_seconds);
        while let Some(req) = self.queue.pop_front() {
            if let Some(verdict) = self.verdict_without_write(&page, &req, now) {
                actions.push(ClaimAction::DeliverVerdict {
                    nonce: req.nonce,
                    verdict,
                });
                continue;
            }
            page.entries.push(ClaimEntry {
                key: req.key,
                nonce: req.nonce,
                body_hash: req.body_hash,
                unix_seconds,
                state: EntryState::Claimed,
            });
            self.batch.push(req);
            changed = true;
        }
        if !changed {
            return;
        }
        if head_is_full(&self.head, self.cfg.seal_threshold) {
            self.start_sealing(page, actions);
        } else {
            self.start_writing(page, now, actions);
        }
    }

    fn verdict_without_write(
        &self,
        page: &ClaimPage,
        req: &ClaimRequest,
        now: Instant,
    ) -> Option<ClaimVerdict> {
        match self.find(page, req.key) {
            Some(entry) if entry.body_hash != req.body_hash => Some(ClaimVerdict::Conflict),
            Some(entry) if entry.state == EntryState::Claimed && entry.nonce == req.nonce => {
                Some(ClaimVerdict::Granted)
            }
            Some(entry) if entry.state == EntryState::Claimed => Some(ClaimVerdict::Held),
            _ if now >= req.deadline => Some(ClaimVerdict::Expired),
            _ => None,
        }
    }

    fn find<'a>(&'a self, page: &'a ClaimPage, key: KeyHash) -> Option<&'a ClaimEntry> {
        page.find(key).or_else(|| {
            page.segments
                .iter()
                .rev()
                .find_map(|segment| self.segments.get(&segment.id)?.get(&key))
        })
    }

    fn apply_releases(&mut self, page: &mut ClaimPage, unix_seconds: u32) -> bool {
        let releases = std::mem::take(&mut self.releases);
        let mut changed = false;
        for (key, nonce) in releases {
            let Some(entry) = self.find(page, key).copied() else {
                continue;
            };
            if entry.nonce != nonce || entry.state == EntryState::Released {
                continue;
            }
            page.entries.push(ClaimEntry {
                unix_seconds,
                state: EntryState::Released,
                ..entry
            });
            changed = true;
        }
        changed
    }

    fn drop_expired_segments(
        &mut self,
        page: &mut ClaimPage,
        unix_seconds: u32,
        actions: &mut Vec<ClaimAction>,
    ) {
        let retention = self.cfg.retention.as_secs() as u32;
        let oldest = unix_seconds.saturating_sub(retention);
        let (kept, expired): (Vec<_>, Vec<_>) = page
            .segments
            .iter()
            .copied()
            .partition(|segment| segment.newest_unix_seconds >= oldest);
        if expired.is_empty() {
            return;
        }
        page.segments = kept;
        let ids: Vec<u64> = expired.iter().map(|segment| segment.id).collect();
        for id in &ids {
            self.segments.remove(id);
        }
        actions.push(ClaimAction::DeleteSegments(ids));
    }

    fn start_sealing(&mut self, page: ClaimPage, actions: &mut Vec<ClaimAction>) {
        let sealed = ClaimPage {
            segments: Vec::new(),
            entries: self
                .head
                .as_ref()
                .map_or(Vec::new(), |head| head.page.entries.clone()),
        };
        let value = sealed.encode();
        let id = stable_hash(&value);
        let newest_unix_seconds = sealed.entries.last().map_or(0, |e| e.unix_seconds);
        let mut head = page;
        head.entries.drain(..sealed.entries.len());
        head.segments.push(SegmentRef {
            id,
            newest_unix_seconds,
        });
        self.segments.insert(id, index_by_key(&sealed));
        self.phase = Phase::Sealing { id, page: head };
        actions.push(ClaimAction::WriteSegment { id, value });
    }

    fn start_writing(&mut self, page: ClaimPage, now: Instant, actions: &mut Vec<ClaimAction>) {
        self.not_before = Some(now + self.cfg.write_interval);
        actions.push(ClaimAction::WriteHead {
            value: page.encode(),
            expected: self.head.as_ref().map_or(0, |head| head.index),
        });
        self.phase = Phase::Writing { page };
    }

    fn on_segment_written(&mut self, now: Instant, actions: &mut Vec<ClaimAction>) {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Sealing { page, .. } => self.start_writing(page, now, actions),
            other => self.phase = other,
        }
    }

    fn on_head_written(&mut self, actions: &mut Vec<ClaimAction>) {
        if !matches!(self.phase, Phase::Writing { .. }) {
            return;
        }
        self.grant_batch(actions);
        // The swap does not return the new index, so the head must be read before the next swap.
        self.read_head(actions);
    }

    fn on_head_conflict(&mut self, actions: &mut Vec<ClaimAction>) {
        if matches!(self.phase, Phase::Writing { .. }) {
            self.requeue_batch();
            self.read_head(actions);
        }
    }

    fn on_head_write_unknown(&mut self, actions: &mut Vec<ClaimAction>) {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Writing { page } => {
                self.phase = Phase::Resolving { page };
                actions.push(ClaimAction::ReadHead);
            }
            other => self.phase = other,
        }
    }

    fn on_head_read(&mut self, head: Option<(u64, ClaimPage)>, actions: &mut Vec<ClaimAction>) {
        let (index, page) = head.unwrap_or_default();
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::ReadingHead => self.adopt_head(index, page, actions),
            Phase::Resolving { page: written } => {
                self.resolve(index, page, written, actions);
            }
            other => self.phase = other,
        }
    }

    /// Determines from the head page whether a compare-and-swap without a response took effect.
    fn resolve(
        &mut self,
        index: u64,
        page: ClaimPage,
        written: ClaimPage,
        actions: &mut Vec<ClaimAction>,
    ) {
        let expected = self.head.as_ref().map_or(0, |head| head.index);
        if index == expected {
            // The swap may still reach the store. Repeating it settles the result: at most one
            // of the two succeeds, since both expect the same index.
            actions.push(ClaimAction::WriteHead {
                value: written.encode(),
                expected,
            });
            self.phase = Phase::Writing { page: written };
            return;
        }
        let took_effect = self
            .batch
            .first()
            .is_some_and(|req| self.find(&page, req.key).map(|e| e.nonce) == Some(req.nonce));
        if took_effect {
            self.grant_batch(actions);
        } else {
            self.requeue_batch();
        }
        self.adopt_head(index, page, actions);
    }

    fn adopt_head(&mut self, index: u64, page: ClaimPage, actions: &mut Vec<ClaimAction>) {
        let missing: Vec<u64> = page
            .segments
            .iter()
            .map(|segment| segment.id)
            .filter(|id| !self.segments.contains_key(id))
            .collect();
        self.head = Some(CachedHead { index, page });
        if missing.is_empty() {
            self.phase = Phase::Idle;
            return;
        }
        self.phase = Phase::ReadingSegments(missing.len());
        actions.extend(missing.into_iter().map(ClaimAction::ReadSegment));
    }

    fn on_segment_read(&mut self, id: u64, page: ClaimPage) {
        self.segments.insert(id, index_by_key(&page));
        if let Phase::ReadingSegments(remaining) = &mut self.phase {
            *remaining -= 1;
            if *remaining == 0 {
                self.phase = Phase::Idle;
            }
        }
    }

    /// Refuses all pending requests; none of their calls has been or will be sent.
    fn on_store_failed(&mut self, now: Instant, actions: &mut Vec<ClaimAction>) {
        self.phase = Phase::Idle;
        self.head = None;
        self.not_before = Some(now + self.cfg.retry_wait);
        for req in self.batch.drain(..) {
            // The swap may have taken effect, so the claim is released once the store responds.
            self.releases.insert(req.key, req.nonce);
            actions.push(ClaimAction::DeliverVerdict {
                nonce: req.nonce,
                verdict: ClaimVerdict::Unavailable,
            });
        }
        for req in self.queue.drain(..) {
            actions.push(ClaimAction::DeliverVerdict {
                nonce: req.nonce,
                verdict: ClaimVerdict::Unavailable,
            });
        }
    }

    fn read_head(&mut self, actions: &mut Vec<ClaimAction>) {
        self.head = None;
        self.phase = Phase::ReadingHead;
        actions.push(ClaimAction::ReadHead);
    }

    fn grant_batch(&mut self, actions: &mut Vec<ClaimAction>) {
        actions.extend(self.batch.drain(..).map(|req| ClaimAction::DeliverVerdict {
            nonce: req.nonce,
            verdict: ClaimVerdict::Granted,
        }));
    }

    fn requeue_batch(&mut self) {
        for req in self.batch.drain(..).rev() {
            self.queue.push_front(req);
        }
    }
}

fn head_is_full(head: &Option<CachedHead>, seal_threshold: usize) -> bool {
    head.as_ref()
        .is_some_and(|head| head.page.entries.len() >= seal_threshold)
}

fn index_by_key(page: &ClaimPage) -> HashMap<KeyHash, ClaimEntry> {
    page.entries
        .iter()
        .map(|entry| (entry.key, *entry))
        .collect()
}
