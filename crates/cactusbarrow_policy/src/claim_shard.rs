//! Durable claims that make an unrepeatable call run at most once.
//!
//! Keys are spread over shards. A shard has one head page in the platform's
//! store, which names older, sealed segments that never change. A claim counts
//! only once a compare-and-swap of the head has put it there; the revision that
//! the swap expects bars every other writer, also one that wakes from a pause.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::claim_page::{ClaimEntry, ClaimPage, EntryState, SegmentRef};
use crate::hash::stable_hash;
use crate::ids::{ClaimNonce, KeyHash};

/// Tuning of a [`ClaimShard`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// Shortest time between two writes of one head page.
    pub write_interval: Duration,
    /// Number of entries at which the head page is sealed into a segment.
    pub seal_at: usize,
    /// How long a key is remembered.
    pub retention: Duration,
    /// Wait after the store did not answer.
    pub retry_wait: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(250),
            seal_at: 400,
            retention: Duration::from_secs(24 * 3600),
            retry_wait: Duration::from_millis(300),
        }
    }
}

/// A call that asks to be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: KeyHash,
    /// Drawn at random for this try.
    pub nonce: ClaimNonce,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// The claim is refused from this time on.
    pub deadline: Instant,
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is durable, and the call may be sent once.
    Granted,
    /// An earlier try holds the key; its call may have been run.
    Held,
    /// The key is held for another body.
    Conflict,
    /// The store does not answer; the call must not be sent.
    Unavailable,
    /// The request is too old to be claimed; the call must not be sent.
    Expired,
}

/// What happened to a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A call asks to be claimed.
    Claim(ClaimRequest),
    /// A claimed call was certainly not run and never will be.
    Release {
        /// The key.
        key: KeyHash,
        /// The try that was granted.
        nonce: ClaimNonce,
    },
    /// The head page was read, with its store index; `None` if it does not exist.
    HeadRead(Option<(u64, ClaimPage)>),
    /// The head page could not be read.
    HeadReadFailed,
    /// A segment was read.
    SegmentRead {
        /// The segment.
        id: u64,
        /// Its page.
        page: ClaimPage,
    },
    /// A segment could not be read or written.
    SegmentFailed,
    /// A segment was written.
    SegmentWritten,
    /// The head page was swapped.
    HeadWritten,
    /// The swap was refused: the page has moved on.
    HeadConflict,
    /// The answer to the swap was lost.
    HeadWriteUnknown,
    /// Time has passed.
    Tick,
}

/// What the owner of a shard has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the head page.
    ReadHead,
    /// Read a segment.
    ReadSegment(u64),
    /// Write a segment; writing it twice is harmless.
    WriteSegment {
        /// The segment.
        id: u64,
        /// Its bytes.
        value: Vec<u8>,
    },
    /// Swap the head page.
    WriteHead {
        /// Its bytes.
        value: Vec<u8>,
        /// The store index it must still have; 0 if it must not exist.
        expected: u64,
    },
    /// Delete segments whose keys are no longer remembered.
    DeleteSegments(Vec<u64>),
    /// Answer a request.
    Answer {
        /// The try.
        nonce: ClaimNonce,
        /// The answer.
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
    /// The swap's answer was lost and the head is being read back.
    Resolving {
        page: ClaimPage,
    },
}

#[derive(Clone, Debug)]
struct View {
    index: u64,
    page: ClaimPage,
}

/// One process's state machine for one shard of claims.
#[derive(Clone, Debug)]
pub struct ClaimShard {
    cfg: ClaimConfig,
    phase: Phase,
    view: Option<View>,
    segments: HashMap<u64, HashMap<KeyHash, ClaimEntry>>,
    queue: VecDeque<ClaimRequest>,
    batch: Vec<ClaimRequest>,
    releases: HashMap<KeyHash, ClaimNonce>,
    not_before: Option<Instant>,
}

impl ClaimShard {
    /// Creates a shard about which nothing is known yet.
    pub fn new(cfg: ClaimConfig) -> Self {
        Self {
            cfg,
            phase: Phase::Idle,
            view: None,
            segments: HashMap::new(),
            queue: VecDeque::new(),
            batch: Vec::new(),
            releases: HashMap::new(),
            not_before: None,
        }
    }

    /// Returns when [`ClaimEvent::Tick`] is due.
    pub fn next_wake(&self) -> Option<Instant> {
        let has_work = !self.queue.is_empty() || !self.releases.is_empty();
        self.not_before
            .filter(|_| has_work && self.phase == Phase::Idle)
    }

    /// Returns the number of keys held in memory.
    pub fn key_count(&self) -> usize {
        let head = self.view.as_ref().map_or(0, |v| v.page.entries.len());
        head + self.segments.values().map(HashMap::len).sum::<usize>()
    }

    /// Applies an event and returns what to do.
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
            ClaimEvent::HeadRead(head) => self.on_head(head, &mut actions),
            ClaimEvent::HeadReadFailed | ClaimEvent::SegmentFailed => {
                self.on_store_failed(now, &mut actions);
            }
            ClaimEvent::SegmentRead { id, page } => self.on_segment(id, page),
            ClaimEvent::SegmentWritten => self.on_sealed(now, &mut actions),
            ClaimEvent::HeadWritten => self.on_written(&mut actions),
            ClaimEvent::HeadConflict => self.on_conflict(&mut actions),
            ClaimEvent::HeadWriteUnknown => self.on_uncertain(&mut actions),
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
        if self.view.is_none() {
            self.read_head(actions);
            return;
        }
        self.form_batch(now, unix_seconds, actions);
    }

    fn form_batch(&mut self, now: Instant, unix_seconds: u32, actions: &mut Vec<ClaimAction>) {
        let Some(view) = &self.view else { return };
        let mut page = view.page.clone();
        self.drop_expired_segments(&mut page, unix_seconds, actions);
        let mut changed = self.apply_releases(&mut page, unix_seconds);
        while let Some(req) = self.queue.pop_front() {
            if let Some(verdict) = self.verdict_before_claim(&page, &req, now) {
                actions.push(ClaimAction::Answer {
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
        if view_is_full(&self.view, self.cfg.seal_at) {
            self.start_sealing(page, actions);
        } else {
            self.start_writing(page, now, actions);
        }
    }

    fn verdict_before_claim(
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
                .view
                .as_ref()
                .map_or(Vec::new(), |view| view.page.entries.clone()),
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
        self.segments.insert(id, by_key(&sealed));
        self.phase = Phase::Sealing { id, page: head };
        actions.push(ClaimAction::WriteSegment { id, value });
    }

    fn start_writing(&mut self, page: ClaimPage, now: Instant, actions: &mut Vec<ClaimAction>) {
        self.not_before = Some(now + self.cfg.write_interval);
        actions.push(ClaimAction::WriteHead {
            value: page.encode(),
            expected: self.view.as_ref().map_or(0, |view| view.index),
        });
        self.phase = Phase::Writing { page };
    }

    fn on_sealed(&mut self, now: Instant, actions: &mut Vec<ClaimAction>) {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Sealing { page, .. } => self.start_writing(page, now, actions),
            other => self.phase = other,
        }
    }

    fn on_written(&mut self, actions: &mut Vec<ClaimAction>) {
        if !matches!(self.phase, Phase::Writing { .. }) {
            return;
        }
        self.grant_batch(actions);
        // The swap does not return the new index, so the next one needs a read.
        self.read_head(actions);
    }

    fn on_conflict(&mut self, actions: &mut Vec<ClaimAction>) {
        if matches!(self.phase, Phase::Writing { .. }) {
            self.requeue_batch();
            self.read_head(actions);
        }
    }

    fn on_uncertain(&mut self, actions: &mut Vec<ClaimAction>) {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Writing { page } => {
                self.phase = Phase::Resolving { page };
                actions.push(ClaimAction::ReadHead);
            }
            other => self.phase = other,
        }
    }

    fn on_head(&mut self, head: Option<(u64, ClaimPage)>, actions: &mut Vec<ClaimAction>) {
        let (index, page) = head.unwrap_or_default();
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::ReadingHead => self.adopt_head(index, page, actions),
            Phase::Resolving { page: written } => {
                self.resolve(index, page, written, actions);
            }
            other => self.phase = other,
        }
    }

    /// Decides what became of a swap whose answer was lost.
    fn resolve(
        &mut self,
        index: u64,
        page: ClaimPage,
        written: ClaimPage,
        actions: &mut Vec<ClaimAction>,
    ) {
        let expected = self.view.as_ref().map_or(0, |view| view.index);
        if index == expected {
            // The swap may still arrive; the same swap again settles it either way.
            actions.push(ClaimAction::WriteHead {
                value: written.encode(),
                expected,
            });
            self.phase = Phase::Writing { page: written };
            return;
        }
        let landed = self
            .batch
            .first()
            .is_some_and(|req| self.find(&page, req.key).map(|e| e.nonce) == Some(req.nonce));
        if landed {
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
        self.view = Some(View { index, page });
        if missing.is_empty() {
            self.phase = Phase::Idle;
            return;
        }
        self.phase = Phase::ReadingSegments(missing.len());
        actions.extend(missing.into_iter().map(ClaimAction::ReadSegment));
    }

    fn on_segment(&mut self, id: u64, page: ClaimPage) {
        self.segments.insert(id, by_key(&page));
        if let Phase::ReadingSegments(left) = &mut self.phase {
            *left -= 1;
            if *left == 0 {
                self.phase = Phase::Idle;
            }
        }
    }

    /// Refuses everything that waits; nothing of it was or will be sent.
    fn on_store_failed(&mut self, now: Instant, actions: &mut Vec<ClaimAction>) {
        self.phase = Phase::Idle;
        self.view = None;
        self.not_before = Some(now + self.cfg.retry_wait);
        for req in self.batch.drain(..) {
            // The swap may have landed; its claim is released once the store answers.
            self.releases.insert(req.key, req.nonce);
            actions.push(ClaimAction::Answer {
                nonce: req.nonce,
                verdict: ClaimVerdict::Unavailable,
            });
        }
        for req in self.queue.drain(..) {
            actions.push(ClaimAction::Answer {
                nonce: req.nonce,
                verdict: ClaimVerdict::Unavailable,
            });
        }
    }

    fn read_head(&mut self, actions: &mut Vec<ClaimAction>) {
        self.view = None;
        self.phase = Phase::ReadingHead;
        actions.push(ClaimAction::ReadHead);
    }

    fn grant_batch(&mut self, actions: &mut Vec<ClaimAction>) {
        actions.extend(self.batch.drain(..).map(|req| ClaimAction::Answer {
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

fn view_is_full(view: &Option<View>, seal_at: usize) -> bool {
    view.as_ref()
        .is_some_and(|view| view.page.entries.len() >= seal_at)
}

fn by_key(page: &ClaimPage) -> HashMap<KeyHash, ClaimEntry> {
    page.entries
        .iter()
        .map(|entry| (entry.key, *entry))
        .collect()
}
