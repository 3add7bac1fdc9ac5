//! The agent's decision whether work may start on its backend server.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::{AttemptNumber, ClaimNonce, GenerationId, Revision};
use crate::outcome::Reason;

/// Tuning of a [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Longest time a used claim is remembered; it exceeds the age at which a claim is refused.
    pub claim_memory: Duration,
    /// Longest time the attempts of a generation are remembered.
    pub attempt_memory: Duration,
    /// Time after the refusal of a resumed generation during which new work stands back.
    pub resume_preference: Duration,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            claim_memory: Duration::from_secs(600),
            attempt_memory: Duration::from_secs(120),
            resume_preference: Duration::from_millis(300),
        }
    }
}

/// Why a backend server takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DrainCause {
    /// The operator's document says so.
    Document,
    /// The platform's list says that the host is leaving.
    HostList,
    /// The process was asked to stop.
    Signal,
}

/// Work that asks to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work<'a> {
    /// An attempt of a generation.
    Attempt {
        /// The generation.
        generation: GenerationId,
        /// Its attempt.
        attempt: AttemptNumber,
        /// The model version that the generation is pinned to.
        version: &'a str,
        /// Whether its reader already has tokens.
        is_resume: bool,
    },
    /// A call that may be repeated.
    Repeatable,
    /// A call that was claimed before it was sent.
    Claimed {
        /// The claim it was sent under.
        nonce: ClaimNonce,
    },
}

/// Permission to run one piece of work; give it back with [`AdmissionController::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released keeps its place"]
pub struct Permit(());

/// State of the gate of one backend server.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    cfg: AdmissionConfig,
    causes: BTreeSet<DrainCause>,
    revision: Revision,
    limit: usize,
    in_flight: usize,
    version: Option<String>,
    used_claims: HashMap<ClaimNonce, Instant>,
    claims_by_age: VecDeque<(Instant, ClaimNonce)>,
    attempts: HashMap<GenerationId, (AttemptNumber, Instant)>,
    attempts_swept: Option<Instant>,
    resume_refused: Option<Instant>,
}

impl AdmissionController {
    /// Creates a gate that admits `limit` pieces of work at once.
    pub fn new(cfg: AdmissionConfig, limit: usize) -> Self {
        Self {
            cfg,
            causes: BTreeSet::new(),
            revision: Revision::default(),
            limit,
            in_flight: 0,
            version: None,
            used_claims: HashMap::new(),
            claims_by_age: VecDeque::new(),
            attempts: HashMap::new(),
            attempts_swept: None,
            resume_refused: None,
        }
    }

    /// Adopts what the configuration says of this backend server.
    ///
    /// Returns false, and changes nothing, unless `revision` is higher than the one in force.
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
            self.causes.insert(cause);
        } else {
            self.causes.remove(&cause);
        }
    }

    /// Returns true while any cause of draining is set.
    pub fn is_draining(&self) -> bool {
        !self.causes.is_empty()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of pieces of work that run now.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the largest number of pieces of work that may run at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Decides whether work may start now.
    ///
    /// A refusal means that the work was not run and never will be under this request.
    pub fn admit(&mut self, work: &Work<'_>, now: Instant) -> Result<Permit, Reason> {
        self.forget_old(now);
        if self.is_draining() {
            return Err(Reason::Draining);
        }
        self.check_room(work, now)?;
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

    /// Gives a place back.
    pub fn release(&mut self, permit: Permit) {
        let Permit(()) = permit;
        self.in_flight -= 1;
    }

    /// Records that an attempt was given up, so that it can never start here.
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

    /// Checks the limit; a place that is freed goes to a resumed generation that was refused.
    fn check_room(&mut self, work: &Work<'_>, now: Instant) -> Result<(), Reason> {
        let is_resume = matches!(
            work,
            Work::Attempt {
                is_resume: true,
                ..
            }
        );
        let is_full = self.in_flight >= self.limit;
        if is_full && is_resume {
            self.resume_refused = Some(now);
        }
        let is_awaited = self
            .resume_refused
            .is_some_and(|at| now.duration_since(at) < self.cfg.resume_preference);
        if is_full || (is_awaited && !is_resume) {
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

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, nonce)) = self.claims_by_age.front().copied() {
            if now.duration_since(at) < self.cfg.claim_memory {
                break;
            }
            self.claims_by_age.pop_front();
            self.used_claims.remove(&nonce);
        }
        let memory = self.cfg.attempt_memory;
        let is_due = |at: Instant| now.duration_since(at) >= memory;
        if self.attempts_swept.is_none_or(is_due) {
            self.attempts.retain(|_, (_, at)| !is_due(*at));
            self.attempts_swept = Some(now);
        }
    }
}
