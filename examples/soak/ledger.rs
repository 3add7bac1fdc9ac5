//! Record of a run: disruptions, requests, counts and violated invariants.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::environment::ONCE_PREFIX;
use crate::stop_costs::Operation;

/// Time after the end of a disruption during which bounds need not hold.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Time after the last byte of a request in which a connection is closed that was not read.
const UNREAD_BOUND: Duration = Duration::from_millis(200);

/// Largest number of violations of one invariant whose text is kept.
const MAX_VIOLATION_TEXTS: usize = 10;

/// What a disruption affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// One gateway, unplanned: it is killed or paused.
    Gateway(usize),
    /// The link from one gateway to the store.
    StoreLink(usize),
    /// One gateway, by a graceful stop.
    Stop(usize),
    /// The platform's store.
    Store,
    /// Engines and plain services.
    Backends,
    /// Links from gateways to engines and plain services.
    BackendLinks,
}

impl Scope {
    /// Returns the scopes of all disruptions of one gateway.
    pub(crate) fn of_gateway(gateway: usize) -> [Self; 3] {
        [
            Self::Gateway(gateway),
            Self::StoreLink(gateway),
            Self::Stop(gateway),
        ]
    }
}

/// A period in which a scope is disrupted.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    scope: Scope,
    from: Instant,
    /// `None` while the disruption lasts.
    to: Option<Instant>,
}

/// A period in which a sound backend server sends nothing; not a disruption.
#[derive(Clone, Copy, Debug)]
struct Pause {
    backend: usize,
    from: Instant,
    /// `None` while the pause lasts.
    to: Option<Instant>,
}

impl Pause {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// A period in which a backend server asks for no requests for some time.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    pub(crate) backend: usize,
    pub(crate) instance: String,
    /// Time that each rejection names.
    pub(crate) retry_after: Duration,
}

impl Wait {
    /// Returns the value of the `Retry-After` header.
    pub(crate) fn header(&self) -> String {
        self.retry_after.as_secs_f64().to_string()
    }
}

/// A period in which a backend server names a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitPeriod {
    pub(crate) backend: usize,
    pub(crate) instance: String,
    /// Requests per second, from all gateways together.
    pub(crate) limit: f64,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// Identifies a disruption, so that its end can be recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DisruptionId(usize);

/// One request that a caller sent, under a request id of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Index of the gateway to which it was sent.
    pub(crate) gateway: usize,
    /// When it was sent.
    pub(crate) sent_at: Instant,
    /// Time that its caller waits.
    pub(crate) timeout: Duration,
    /// Time that it takes at the slowest pace of its engine, if that depends on its size.
    pub(crate) needed: Duration,
    /// When its last byte was handed over for sending, if it was and that was noted.
    pub(crate) sent_whole_at: Option<Instant>,
    /// When the head of the response arrived, if it did.
    pub(crate) answered_at: Option<Instant>,
    /// When the response was complete, or the caller gave up.
    pub(crate) ended_at: Instant,
    /// Status of the response; `None` if it was truncated or there was none.
    pub(crate) status: Option<u16>,
    /// Service that its route names.
    pub(crate) service: &'static str,
    pub(crate) kind: RequestKind,
}

impl Attempt {
    /// Returns whether its connection was closed, or not opened, before the request can have been read.
    pub(crate) fn is_not_taken(&self) -> bool {
        let sent_at = self.sent_whole_at.unwrap_or(self.sent_at);
        let since_sent = self.ended_at.saturating_duration_since(sent_at);
        self.status.is_none() && self.answered_at.is_none() && since_sent <= UNREAD_BOUND
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestKind {
    Lookup,
    Booking,
    /// A generation that its caller can resume.
    Generation,
    /// A generation that nobody can resume.
    OnceGeneration,
}

impl RequestKind {
    /// Returns the kind of the requests of a path.
    pub(crate) fn of_path(path: &str) -> Self {
        if path.starts_with(ONCE_PREFIX) {
            Self::OnceGeneration
        } else if path.starts_with("/stream/") {
            Self::Generation
        } else if path.starts_with("/write/") {
            Self::Booking
        } else {
            Self::Lookup
        }
    }

    /// Returns whether a request may run at most once.
    pub(crate) fn is_at_most_once(self) -> bool {
        matches!(self, Self::Booking | Self::OnceGeneration)
    }
}

#[derive(Debug, Default)]
struct State {
    disruptions: Vec<Disruption>,
    pauses: Vec<Pause>,
    limits: Vec<LimitPeriod>,
    leaving: HashMap<String, Instant>,
    waits: Vec<Wait>,
    attempts: HashMap<String, Attempt>,
    counts: HashMap<&'static str, u64>,
    operations: Vec<Operation>,
    violations: Vec<String>,
    violation_count: u64,
}

/// Everything that callers, injectors and checks record during one run.
#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<State>);

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a disruption begins.
    pub(crate) fn begin_disruption(&self, scope: Scope) -> DisruptionId {
        let mut state = self.state();
        state.disruptions.push(Disruption {
            scope,
            from: Instant::now(),
            to: None,
        });
        DisruptionId(state.disruptions.len() - 1)
    }

    /// Records that a disruption has ended.
    pub(crate) fn end_disruption(&self, id: DisruptionId) {
        self.state().disruptions[id.0].to = Some(Instant::now());
    }

    /// Records that a backend server pauses; returns whether it was not paused before.
    pub(crate) fn begin_pause(&self, backend: usize) -> bool {
        let mut state = self.state();
        let is_paused = |pause: &Pause| pause.backend == backend && pause.to.is_none();
        if state.pauses.iter().any(is_paused) {
            return false;
        }
        state.pauses.push(Pause {
            backend,
            from: Instant::now(),
            to: None,
        });
        true
    }

    /// Records that the pause of a backend server has ended.
    pub(crate) fn end_pause(&self, backend: usize) {
        let mut state = self.state();
        let mut pauses = state.pauses.iter_mut();
        if let Some(pause) = pauses.find(|pause| pause.backend == backend && pause.to.is_none()) {
            pause.to = Some(Instant::now());
        }
    }

    /// Returns whether any of `backends` was paused between `from` and `to`.
    pub(crate) fn was_any_paused(&self, backends: &[usize], from: Instant, to: Instant) -> bool {
        let state = self.state();
        let mut pauses = state.pauses.iter();
        pauses.any(|pause| backends.contains(&pause.backend) && pause.overlaps(from, to))
    }

    /// Returns whether all of `backends` were paused at one time between `from` and `to`.
    pub(crate) fn were_all_paused(&self, backends: &[usize], from: Instant, to: Instant) -> bool {
        let state = self.state();
        let is_paused_at = |backend: usize, at: Instant| {
            let mut pauses = state.pauses.iter();
            pauses.any(|pause| pause.backend == backend && pause.overlaps(at, at))
        };
        // The set of paused servers grows only where a pause begins.
        let begins = state.pauses.iter().map(|pause| pause.from.max(from));
        let mut begins = begins.filter(|at| *at <= to);
        begins.any(|at| backends.iter().all(|backend| is_paused_at(*backend, at)))
    }

    /// Records that the responses of an instance state from now on that it is leaving.
    pub(crate) fn record_leaving(&self, instance: &str) {
        let mut state = self.state();
        state.leaving.insert(instance.to_owned(), Instant::now());
    }

    /// Returns since when instances state that they are leaving.
    pub(crate) fn leaving(&self) -> HashMap<String, Instant> {
        self.state().leaving.clone()
    }

    /// Records that a backend server begins to ask for no requests.
    pub(crate) fn record_wait(&self, wait: Wait) {
        self.state().waits.push(wait);
    }

    /// Returns the periods in which backend servers asked for no requests.
    pub(crate) fn waits(&self) -> Vec<Wait> {
        self.state().waits.clone()
    }

    /// Records a period in which a backend server named a limit.
    pub(crate) fn record_limit(&self, period: LimitPeriod) {
        self.state().limits.push(period);
    }

    /// Returns the periods in which backend servers named limits.
    pub(crate) fn limits(&self) -> Vec<LimitPeriod> {
        self.state().limits.clone()
    }

    /// Returns whether a graceful stop of `gateway` was in progress at `at`, for which `is_match`
    /// returns true; it takes the time of the stop signal.
    pub(crate) fn was_stopping(
        &self,
        gateway: usize,
        at: Instant,
        is_match: impl Fn(Instant) -> bool,
    ) -> bool {
        let state = self.state();
        state.disruptions.iter().any(|d| {
            let is_in_progress = d.from <= at && d.to.is_none_or(|end| end >= at);
            d.scope == Scope::Stop(gateway) && is_in_progress && is_match(d.from)
        })
    }

    /// Returns when the last graceful stop of `gateway` before `at` began.
    pub(crate) fn last_stop(&self, gateway: usize, at: Instant) -> Option<Instant> {
        let state = self.state();
        let stops = state.disruptions.iter();
        let stops = stops.filter(|d| d.scope == Scope::Stop(gateway) && d.from <= at);
        stops.map(|d| d.from).max()
    }

    /// Returns whether none of `scopes` was disrupted between `from` and `to`.
    pub(crate) fn is_clear_between(&self, scopes: &[Scope], from: Instant, to: Instant) -> bool {
        let state = self.state();
        !state.disruptions.iter().any(|d| {
            let is_overlapping = d.from <= to && d.to.is_none_or(|end| end >= from);
            scopes.contains(&d.scope) && is_overlapping
        })
    }

    /// Returns whether none of `scopes` was disrupted between `from` and `to`, or during the
    /// `RECOVERY_TIME` before `from`.
    pub(crate) fn is_undisrupted(&self, scopes: &[Scope], from: Instant, to: Instant) -> bool {
        let state = self.state();
        !state.disruptions.iter().any(|d| {
            let until = d.to.map(|end| end + RECOVERY_TIME);
            scopes.contains(&d.scope) && d.from <= to && until.is_none_or(|until| until >= from)
        })
    }

    /// Records an attempt that is being sent.
    pub(crate) fn record_sent(&self, request_id: &str, attempt: Attempt) {
        self.state().attempts.insert(request_id.to_owned(), attempt);
    }

    /// Records when the last byte of an attempt was handed over for sending.
    pub(crate) fn record_sent_whole(&self, request_id: &str, at: Instant) {
        if let Some(attempt) = self.state().attempts.get_mut(request_id) {
            attempt.sent_whole_at = Some(at);
        }
    }

    /// Records that the head of an attempt's response arrived.
    pub(crate) fn record_answered(&self, request_id: &str) {
        if let Some(attempt) = self.state().attempts.get_mut(request_id) {
            attempt.answered_at = Some(Instant::now());
        }
    }

    /// Records the status of an attempt's complete response; `None` if there is none.
    pub(crate) fn record_response(&self, request_id: &str, status: Option<u16>) {
        if let Some(attempt) = self.state().attempts.get_mut(request_id) {
            attempt.status = status;
            attempt.ended_at = Instant::now();
        }
    }

    /// Returns an attempt that was recorded.
    pub(crate) fn attempt(&self, request_id: &str) -> Option<Attempt> {
        self.state().attempts.get(request_id).copied()
    }

    /// Returns all attempts by their request ids.
    pub(crate) fn attempts(&self) -> HashMap<String, Attempt> {
        self.state().attempts.clone()
    }

    /// Records what a caller got in the end.
    pub(crate) fn record_operation(&self, operation: Operation) {
        self.state().operations.push(operation);
    }

    /// Returns what callers got in the end.
    pub(crate) fn operations(&self) -> Vec<Operation> {
        self.state().operations.clone()
    }

    /// Increments the counter `name`.
    pub(crate) fn increment(&self, name: &'static str) {
        *self.state().counts.entry(name).or_default() += 1;
    }

    /// Returns the value of the counter `name`.
    pub(crate) fn count(&self, name: &'static str) -> u64 {
        self.state().counts.get(name).copied().unwrap_or(0)
    }

    /// Returns the values of all counters, sorted by name.
    pub(crate) fn counts(&self) -> Vec<(&'static str, u64)> {
        let mut counts: Vec<_> = self.state().counts.clone().into_iter().collect();
        counts.sort_unstable();
        counts
    }

    /// Records that an invariant was violated.
    pub(crate) fn record_violation(&self, invariant: &'static str, text: String) {
        let mut state = self.state();
        state.violation_count += 1;
        let violations = state.violations.iter();
        let same = violations.filter(|violation| violation.starts_with(invariant));
        if same.count() < MAX_VIOLATION_TEXTS {
            state.violations.push(format!("{invariant}: {text}"));
        }
    }

    /// Returns the texts of the first violations of each invariant, and the number of all violations.
    pub(crate) fn violations(&self) -> (Vec<String>, u64) {
        let state = self.state();
        (state.violations.clone(), state.violation_count)
    }
}
