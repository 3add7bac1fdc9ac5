//! Admission control of an agent for its backend server.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{AttemptNumber, ClaimNonce, GenerationId, Revision};
use crate::outcome::Reason;

/// Settings of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Retention time of used claims; longer than the age at which a claim expires.
    pub claim_retention: Duration,
    /// Retention time of the latest attempt of each generation.
    pub attempt_retention: Duration,
    /// Time after the refusal of a resumed generation in which only resumed generations may start.
    pub resume_priority: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            claim_retention: Duration::from_secs(600),
            attempt_retention: Duration::from_secs(120),
            resume_priority: Duration::from_millis(300),
        }
    }
}

/// Why a backend server takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DrainCause {
    /// The configuration document marks the backend server as draining.
    Document,
    /// The platform's host list says that the host is being removed.
    HostList,
    /// The agent received a signal to stop.
    Signal,
}

/// Work that a router asks the agent to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work<'a> {
    /// An attempt of a generation.
    Attempt {
        /// Generation that the attempt belongs to.
        generation: GenerationId,
        /// Number of the attempt; must be higher than that of every earlier attempt.
        attempt: AttemptNumber,
        /// Model version that the generation is pinned to.
        version: &'a str,
        /// Whether the caller already has tokens of the generation.
        is_resume: bool,
    },
    /// A call that may be run more than once.
    Repeatable,
    /// An unrepeatable call that was claimed before it was sent.
    Claimed {
        /// Nonce of the claim, which admits one call.
        nonce: ClaimNonce,
    },
}

/// Permission to run one piece of work; must be returned to [`AdmissionController::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released counts as in flight forever"]
pub struct Permit(());

/// Decides which work may start on one backend server.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    cfg: AdmissionConfig,
    drain_causes: BTreeSet<DrainCause>,
    revision: Revision,
    limit: usize,
    in_flight: usize,
    version: Option<String>,
    used_claims: HashMap<ClaimNonce, Instant>,
    claims_by_age: VecDeque<(Instant, ClaimNonce)>,
    attempts: HashMap<GenerationId, (AttemptNumber, Instant)>,
    attempts_swept_at: Option<Instant>,
    resume_refused_at: Option<Instant>,
}

impl AdmissionController {
    /// Creates a controller that allows at most `limit` pieces of work in flight.
    pub fn new(cfg: AdmissionConfig, limit: usize) -> Self {
        Self {
            cfg,
            drain_causes: BTreeSet::new(),
            revision: Revision::default(),
            limit,
            in_flight: 0,
            version: None,
            used_claims: HashMap::new(),
            claims_by_age: VecDeque::new(),
            attempts: HashMap::new(),
            attempts_swept_at: None,
            resume_refused_at: None,
        }
    }

    /// Adopts the configuration of this backend server.
    ///
    /// Returns false and changes nothing unless `revision` is higher than the current one.
    pub fn adopt(
        &mut self,
        revision: Revision,
        limit: usize,
        draining: bool,
        version: Option<&str>,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.limit = limit;
        self.version = version.map(str::to_owned);
        self.set_draining(DrainCause::Document, draining);
        true
    }

    /// Sets or clears one cause of draining.
    pub fn set_draining(&mut self, cause: DrainCause, draining: bool) {
        if draining {
            self.drain_causes.insert(cause);
        } else {
            self.drain_causes.remove(&cause);
        }
    }

    /// Returns true while any cause of draining is set.
    pub fn is_draining(&self) -> bool {
        !self.drain_causes.is_empty()
    }

    /// Returns the revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of pieces of work in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the maximum number of pieces of work in flight.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Decides whether work may start now.
    ///
    /// A refusal means that the work was not run and never will be under this request.
    pub fn admit(&mut self, work: &Work<'_>, now: Instant) -> Result<Permit, Reason> {
        self.evict_expired(now);
        if self.is_draining() {
            return Err(Reason::Draining);
        }
        self.check_capacity(work, now)?;
        match work {
            Work::Attempt {
                generation,
                attempt,
                version,
                ..
            } => self.admit_attempt(*generation, *attempt, version, now)?,
            Work::Repeatable => {}
            Work::Claimed { nonce } => self.admit_claim(*nonce, now)?,
        }
        self.in_flight += 1;
        Ok(Permit(()))
    }

    /// Records that admitted work has ended.
    pub fn release(&mut self, permit: Permit) {
        let Permit(()) = permit;
        self.in_flight -= 1;
    }

    /// Records that an attempt was abandoned, so that a delayed request for it is refused.
    pub fn fence_attempt(
        &mut self,
        generation: GenerationId,
        attempt: AttemptNumber,
        now: Instant,
    ) {
        let entry = self.attempts.entry(generation).or_insert((attempt, now));
        entry.0 = entry.0.max(attempt);
        entry.1 = now;
    }

    /// Checks the limit.
    ///
    /// After a resumed generation was refused, only resumed generations are admitted for
    /// `resume_priority`, so that one of them takes the next free slot when its router retries.
    fn check_capacity(&mut self, work: &Work<'_>, now: Instant) -> Result<(), Reason> {
        let is_resume = matches!(
            work,
            Work::Attempt {
                is_resume: true,
                ..
            }
        );
        let is_full = self.in_flight >= self.limit;
        if is_full && is_resume {
            self.resume_refused_at = Some(now);
        }
        let is_reserved = self
            .resume_refused_at
            .is_some_and(|at| now.duration_since(at) < self.cfg.resume_priority);
        if is_full || (is_reserved && !is_resume) {
            return Err(Reason::BackendFull);
        }
        Ok(())
    }

    fn admit_attempt(
        &mut self,
        generation: GenerationId,
        attempt: AttemptNumber,
        version: &str,
        now: Instant,
    ) -> Result<(), Reason> {
        if self.version.as_deref().is_some_and(|v| v != version) {
            return Err(Reason::WrongVersion);
        }
        let last = self.attempts.get(&generation);
        if last.is_some_and(|(last, _)| attempt <= *last) {
            return Err(Reason::StaleAttempt);
        }
        self.attempts.insert(generation, (attempt, now));
        Ok(())
    }

    fn admit_claim(&mut self, nonce: ClaimNonce, now: Instant) -> Result<(), Reason> {
        if self.used_claims.contains_key(&nonce) {
            return Err(Reason::ClaimUsed);
        }
        self.used_claims.insert(nonce, now);
        self.claims_by_age.push_back((now, nonce));
        Ok(())
    }

    fn evict_expired(&mut self, now: Instant) {
        while let Some((at, nonce)) = self.claims_by_age.front().copied() {
            if now.duration_since(at) < self.cfg.claim_retention {
                break;
            }
            self.claims_by_age.pop_front();
            self.used_claims.remove(&nonce);
        }
        let retention = self.cfg.attempt_retention;
        let is_expired = |at: Instant| now.duration_since(at) >= retention;
        if self.attempts_swept_at.is_none_or(is_expired) {
            self.attempts.retain(|_, (_, at)| !is_expired(*at));
            self.attempts_swept_at = Some(now);
        }
    }
}
