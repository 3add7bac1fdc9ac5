//! Checks of the invariants that scenarios test, from what callers and backend servers observed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{Rejection, Run};

use crate::callers::{DEADLY_PART_ID_PREFIX, DEADLY_REQUEST_ID_PREFIX};
use crate::checks::request_id;
use crate::environment::InstanceRecord;
use crate::ledger::{Attempt, Ledger, LimitPeriod, Scope, Wait};

/// Time within which all gateways have to know what ends backend servers.
const RECOGNITION_BOUND: Duration = Duration::from_millis(3_000);

/// Number of runs of the same deadly part or request that are tolerated after that.
const MAX_LATE_DEADLY_RUNS: usize = 3;

/// Number of engines that may end under a part before it has to be known.
const ENDS_UNDER_PART: usize = 5;

/// Number of servers that may end under a whole request before it has to be known.
const ENDS_UNDER_REQUEST: usize = 3;

/// Time after which gateways keep to a limit that a backend server names.
const LIMIT_ADOPTION_BOUND: Duration = Duration::from_millis(3_000);

/// Sliding window in which requests to a backend server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);

/// Tolerated ratio of requests to the limit, besides [`LIMIT_SLACK`].
const LIMIT_RATIO: f64 = 1.5;

/// Number of requests that are tolerated above the ratio.
const LIMIT_SLACK: f64 = 5.0;

/// Time after which no request goes to a backend server whose response said that it is leaving.
const LEAVING_BOUND: Duration = Duration::from_millis(2_000);

/// Time that a gateway has to heed the `Retry-After` of a backend server.
const WAIT_ADOPTION_BOUND: Duration = Duration::from_millis(500);

/// Number of requests from a gateway that are tolerated in the rest of the time that a backend
/// server asked for.
const MAX_EARLY_REQUESTS: usize = 2;

/// What backend servers and callers observed in a run.
pub(crate) struct Observations<'a> {
    pub(crate) ledger: &'a Ledger,
    pub(crate) instances: &'a [InstanceRecord],
    pub(crate) attempts: &'a HashMap<String, Attempt>,
}

impl Observations<'_> {
    /// Checks the invariants of all scenarios.
    pub(crate) fn check(&self) {
        self.check_deadly(
            DEADLY_PART_ID_PREFIX,
            ENDS_UNDER_PART,
            "a deadly part is known after five engines",
        );
        self.check_deadly(
            DEADLY_REQUEST_ID_PREFIX,
            ENDS_UNDER_REQUEST,
            "a deadly request is known after three servers",
        );
        for period in &self.ledger.limits() {
            self.check_limit(period);
        }
        for wait in &self.ledger.waits() {
            self.check_wait(wait);
        }
        for (instance, leaving_at) in &self.ledger.leaving() {
            self.check_leaving(instance, *leaving_at);
        }
    }

    /// Checks the runs at a backend server while it names a limit, in each window that lies wholly
    /// in the time in which gateways know it; runs by gateways that were disrupted do not count.
    fn check_limit(&self, period: &LimitPeriod) {
        let is_limited = |i: &&InstanceRecord| i.instance == period.instance;
        let Some(instance) = self.instances.iter().find(is_limited) else {
            return;
        };
        let is_counted = |run: &&Run| {
            let attempt = request_id(run).and_then(|id| self.attempts.get(id));
            attempt.is_some_and(|a| {
                let scopes = Scope::of_gateway(a.gateway);
                let is_in_period = run.started_at >= period.from + LIMIT_ADOPTION_BOUND
                    && run.started_at <= period.to;
                let at = run.started_at;
                is_in_period && self.ledger.is_undisrupted(&scopes, at, at)
            })
        };
        let counted = instance.runs.iter().filter(is_counted);
        let mut starts: Vec<Instant> = counted.map(|run| run.started_at).collect();
        starts.sort_unstable();
        let most = (0..starts.len()).map(|first| {
            let in_window = starts[first..].iter();
            in_window
                .take_while(|at| **at < starts[first] + LIMIT_WINDOW)
                .count()
        });
        let most = most.max().unwrap_or(0);
        let allowed = LIMIT_RATIO * period.limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        self.ledger.increment("limits that were checked");
        if most as f64 > allowed {
            let limit = period.limit;
            let text = format!(
                "{}: {most} runs in 4 s at {limit} a second",
                period.instance
            );
            self.ledger
                .record_violation("gateways together keep to a limit", text);
        }
    }

    /// Checks that a gateway sends no request to an instance that came later than
    /// [`LEAVING_BOUND`] after it had passed on that the instance is leaving; only a pause or an
    /// end of its process excuses that.
    fn check_leaving(&self, instance: &str, leaving_at: Instant) {
        let Some(record) = self.instances.iter().find(|i| i.instance == instance) else {
            return;
        };
        let told = self.told_of_leaving(record, leaving_at);
        for (id, attempt) in record.runs.iter().filter_map(|run| self.attempt_of(run)) {
            let (gateway, sent_at) = (attempt.gateway, attempt.sent_at);
            let has_to_know = |(other, told_at): &&(usize, Instant)| {
                let is_late = *other == gateway && sent_at > *told_at + LEAVING_BOUND;
                let process = [Scope::Gateway(gateway), Scope::Stop(gateway)];
                is_late && self.ledger.is_clear_between(&process, *told_at, sent_at)
            };
            if let Some((_, told_at)) = told.iter().find(has_to_know) {
                let age = sent_at - *told_at;
                let text = format!("{id} reached {instance} from gateway {gateway} after {age:?}");
                let invariant = "no request goes to a server that says that it is leaving";
                self.ledger.record_violation(invariant, text);
            }
        }
    }

    /// Checks that after each rejection by an instance its gateway leaves it alone for the time that
    /// the rejection names; a disruption of the gateway or its links excuses that, and a pause of
    /// the instance, which holds the rejection back.
    fn check_wait(&self, wait: &Wait) {
        let Some(record) = self.instances.iter().find(|i| i.instance == wait.instance) else {
            return;
        };
        let rejected = record.rejections.iter().map(|rejection| &rejection.request);
        let arrivals = record.runs.iter().chain(rejected);
        let arrivals: Vec<(usize, Instant)> = arrivals
            .filter_map(|run| Some((self.attempt_of(run)?.1.gateway, run.started_at)))
            .collect();
        // The instance may name another time in the next period.
        let is_of_wait = |rejection: &&Rejection| rejection.retry_after == wait.header();
        for rejection in record.rejections.iter().filter(is_of_wait) {
            let Some((id, attempt)) = self.attempt_of(&rejection.request) else {
                continue;
            };
            let (gateway, rejected_at) = (attempt.gateway, rejection.request.started_at);
            let (from, to) = (
                rejected_at + WAIT_ADOPTION_BOUND,
                rejected_at + wait.retry_after,
            );
            let is_early =
                |(other, at): &&(usize, Instant)| *other == gateway && *at > from && *at < to;
            let early = arrivals.iter().filter(is_early).count();
            if early > MAX_EARLY_REQUESTS && !self.is_wait_excused(wait, gateway, rejected_at, to) {
                let text = format!(
                    "{}, {id}: {early} requests from gateway {gateway} in {:?}",
                    wait.instance, wait.retry_after
                );
                self.ledger
                    .record_violation("gateways heed Retry-After", text);
            }
        }
    }

    fn is_wait_excused(&self, wait: &Wait, gateway: usize, from: Instant, to: Instant) -> bool {
        let [process, link, stop] = Scope::of_gateway(gateway);
        let scopes = [process, link, stop, Scope::BackendLinks];
        !self.ledger.is_clear_between(&scopes, from, to)
            || self.ledger.was_any_paused(&[wait.backend], from, to)
    }

    /// Returns which gateways passed on that an instance is leaving, and when.
    fn told_of_leaving(
        &self,
        record: &InstanceRecord,
        leaving_at: Instant,
    ) -> Vec<(usize, Instant)> {
        let stating = record.runs.iter().filter(|run| run.started_at > leaving_at);
        let attempts = stating.filter_map(|run| self.attempt_of(run));
        // A request that also ran elsewhere may have its response from there.
        let passed_on = attempts.filter(|(id, a)| a.status == Some(200) && self.runs_of(id) == 1);
        let mut told: Vec<(usize, Instant)> = passed_on
            .filter_map(|(_, a)| Some((a.gateway, a.answered_at?)))
            .collect();
        told.sort_unstable();
        told
    }

    /// Returns the attempt of a run, with its request id.
    fn attempt_of<'a>(&'a self, run: &'a Run) -> Option<(&'a str, &'a Attempt)> {
        let id = request_id(run)?;
        Some((id, self.attempts.get(id)?))
    }

    /// Returns how often a request ran.
    fn runs_of(&self, id: &str) -> usize {
        let runs = self.instances.iter().flat_map(|instance| &instance.runs);
        runs.filter(|run| request_id(run) == Some(id)).count()
    }

    /// Checks that few requests of a series reach backend servers once `max_ends` of these have
    /// ended under it and all gateways can know that.
    fn check_deadly(&self, id_prefix: &str, max_ends: usize, invariant: &'static str) {
        let ids = self.attempts.keys().filter_map(|id| series(id));
        let all: HashSet<&str> = ids.filter(|name| name.starts_with(id_prefix)).collect();
        for name in all {
            let ends = self.ends_under(name);
            let Some(last) = ends.get(max_ends - 1) else {
                continue;
            };
            self.ledger.increment("deadly series with enough ends");
            let runs = self.runs_of_informed_gateways(name, *last, *last + RECOGNITION_BOUND);
            if runs.len() > MAX_LATE_DEADLY_RUNS {
                let late: Vec<String> = runs.iter().map(|at| format!("{at:?}")).collect();
                let text = format!(
                    "{name}: {} ended; runs after the end that counts: {}",
                    ends.len(),
                    late.join(", ")
                );
                self.ledger.record_violation(invariant, text);
            }
        }
    }

    /// Returns when backend servers ended under requests of a series, in order.
    fn ends_under(&self, name: &str) -> Vec<Instant> {
        let is_cause = |instance: &&InstanceRecord| {
            let id = instance.fatal_run.as_ref().and_then(request_id);
            id.and_then(series) == Some(name)
        };
        let ended = self.instances.iter().filter(is_cause);
        let mut ends: Vec<Instant> = ended.filter_map(|instance| instance.ended_at).collect();
        ends.sort_unstable();
        ends
    }

    /// Returns when runs of a series started, as the time since `since`: those after `from`, by
    /// gateways that have to know of the ends until `since`.
    fn runs_of_informed_gateways(
        &self,
        name: &str,
        since: Instant,
        from: Instant,
    ) -> Vec<Duration> {
        let runs = self.instances.iter().flat_map(|instance| &instance.runs);
        let late = runs.filter(|run| run.started_at > from).filter(|run| {
            let Some(id) = request_id(run).filter(|id| series(id) == Some(name)) else {
                return false;
            };
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|a| self.is_informed(a.gateway, since, run.started_at))
        });
        let mut times: Vec<Duration> = late.map(|run| run.started_at - since).collect();
        times.sort_unstable();
        times
    }

    /// Returns whether a gateway has to know at `at` what all gateways knew at `since`; one that was
    /// disrupted meanwhile learns it from others or from the store.
    fn is_informed(&self, gateway: usize, since: Instant, at: Instant) -> bool {
        let scopes = Scope::of_gateway(gateway);
        let is_sound = self.ledger.is_undisrupted(&scopes, at, at);
        let knew_always = self.ledger.is_undisrupted(&scopes, since, at);
        is_sound && (knew_always || self.ledger.is_undisrupted(&[Scope::Store], since, at))
    }
}

/// Returns the part of a request id that all requests of a series have in common.
fn series(id: &str) -> Option<&str> {
    Some(id.rsplit_once('-')?.0)
}
