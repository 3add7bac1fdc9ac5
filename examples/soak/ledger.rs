//! What happened when, and which promises were broken.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after a disruption in which bounds do not hold yet.
const SETTLE: Duration = Duration::from_secs(3);

/// Violations that are kept with their text.
const MAX_VIOLATIONS: usize = 40;

/// What a disruption harms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// One gateway, without a plan: it is killed, paused, or cut from the store.
    Gateway(usize),
    /// One gateway by a graceful stop.
    Stop(usize),
    /// The platform's store.
    Store,
    /// Engines and plain services.
    Backends,
}

#[derive(Clone, Copy, Debug)]
struct Disruption {
    scope: Scope,
    from: Instant,
    /// `None` while it lasts.
    to: Option<Instant>,
}

/// Names a disruption until it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DisruptionId(usize);

/// How one request of a caller went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    /// Gateway that had it.
    pub(crate) gateway: usize,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// When the answer was whole, or the caller gave up.
    pub(crate) ended: Instant,
    /// Status of the answer; `None` if it broke off or there was none.
    pub(crate) status: Option<u16>,
    /// Whether it may run once at most.
    pub(crate) is_once: bool,
}

#[derive(Debug, Default)]
struct State {
    disruptions: Vec<Disruption>,
    tries: HashMap<String, Try>,
    counts: HashMap<&'static str, u64>,
    violations: Vec<String>,
    violation_count: u64,
}

/// Notes of one run.
#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<State>);

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a disruption begins.
    pub(crate) fn begin(&self, scope: Scope) -> DisruptionId {
        let mut state = self.state();
        state.disruptions.push(Disruption {
            scope,
            from: Instant::now(),
            to: None,
        });
        DisruptionId(state.disruptions.len() - 1)
    }

    /// Notes that a disruption has ended.
    pub(crate) fn end(&self, id: DisruptionId) {
        self.state().disruptions[id.0].to = Some(Instant::now());
    }

    /// Returns whether nothing of `scopes` was disrupted in a span or shortly before it.
    pub(crate) fn is_calm(&self, scopes: &[Scope], from: Instant, to: Instant) -> bool {
        let state = self.state();
        !state.disruptions.iter().any(|d| {
            let until = d.to.map(|end| end + SETTLE);
            scopes.contains(&d.scope) && d.from <= to && until.is_none_or(|until| until >= from)
        })
    }

    /// Notes a request that is sent.
    pub(crate) fn record_sent(&self, request_id: &str, sent: Try) {
        self.state().tries.insert(request_id.to_owned(), sent);
    }

    /// Notes the status of a request's whole answer; `None` if there is none.
    pub(crate) fn record_end(&self, request_id: &str, status: Option<u16>) {
        if let Some(sent) = self.state().tries.get_mut(request_id) {
            sent.status = status;
            sent.ended = Instant::now();
        }
    }

    /// Returns all requests.
    pub(crate) fn tries(&self) -> HashMap<String, Try> {
        self.state().tries.clone()
    }

    /// Counts something.
    pub(crate) fn count(&self, what: &'static str) {
        *self.state().counts.entry(what).or_default() += 1;
    }

    /// Returns a count.
    pub(crate) fn counted(&self, what: &'static str) -> u64 {
        self.state().counts.get(what).copied().unwrap_or(0)
    }

    /// Returns all counts, by name.
    pub(crate) fn counts(&self) -> Vec<(&'static str, u64)> {
        let mut counts: Vec<_> = self.state().counts.clone().into_iter().collect();
        counts.sort_unstable();
        counts
    }

    /// Notes a broken promise.
    pub(crate) fn violate(&self, promise: &'static str, text: String) {
        let mut state = self.state();
        state.violation_count += 1;
        if state.violations.len() < MAX_VIOLATIONS {
            state.violations.push(format!("{promise}: {text}"));
        }
    }

    /// Returns the broken promises and their number.
    pub(crate) fn violations(&self) -> (Vec<String>, u64) {
        let state = self.state();
        (state.violations.clone(), state.violation_count)
    }
}
