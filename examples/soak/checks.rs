//! Checks of invariants after a run, from what callers and backend servers observed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::Run;

use crate::callers::DEADLY_ID_PREFIX;
use crate::environment::{Environment, InstanceRecord, PERMANENT_KEY};
use crate::ledger::{Attempt, Ledger, RequestKind, Scope};
use crate::scenario_checks::Observations;

/// Longest time after its drain began that a server may still get work.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Allowance for delays in the callers themselves on a busy host.
const CALLER_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);

/// Statuses by which a gateway reports that the request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Status of a request that reached the time-out of its route.
const GATEWAY_TIMEOUT: u16 = 504;

/// Time-out of the routes for calls, as in the stand-in's configuration.
const CALL_ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after which a connection that closes without a response counts as a lost request.
const LOSS_BOUND: Duration = Duration::from_millis(200);

/// Time after a stop signal until which requests may be cut at the drain time-out.
const LAST_DRAINED_ARRIVAL: Duration = Duration::from_millis(3_000);

/// Part of the grace period, from its start, after which a stopping gateway may cut a request at whose backend
/// server work goes on.
const UNCUT_GRACE_SHARE: f64 = 5.0 / 6.0;

/// Time within which gateways notice that a paused server is back.
const RETURN_DETECTION_BOUND: Duration = Duration::from_millis(500);

/// Checks all attempts against the runs of all instances.
pub(crate) fn check_attempts(ledger: &Ledger, environment: &Environment) {
    let instances = environment.take_instance_records();
    let attempts = ledger.attempts();
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for instance in &instances {
        for run in &instance.runs {
            let Some(id) = request_id(run) else {
                ledger.record_violation("every run has a request id", instance.instance.clone());
                continue;
            };
            runs.entry(id).or_default().push(run);
            check_run(ledger, instance, run, id, attempts.get(id));
        }
    }
    for (id, attempt) in &attempts {
        let runs = runs.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        check_attempt(ledger, environment, id, attempt, runs);
        check_undisrupted(ledger, id, attempt, environment);
    }
    let observations = Observations {
        ledger,
        instances: &instances,
        attempts: &attempts,
    };
    observations.check();
}

/// Returns the request id of a run.
pub(crate) fn request_id(run: &Run) -> Option<&str> {
    run.headers.get("cactusbarrow-request-id")?.to_str().ok()
}

fn check_run(
    ledger: &Ledger,
    instance: &InstanceRecord,
    run: &Run,
    id: &str,
    attempt: Option<&Attempt>,
) {
    let Some(attempt) = attempt else {
        ledger.record_violation("only requests that a caller sent run", id.to_owned());
        return;
    };
    let has = |name: &str, value: &str| run.headers.get(name).is_some_and(|v| v == value);
    if run.headers.contains_key("cactusbarrow-key") || !has("cactusbarrow-tenant", "huka270") {
        ledger.record_violation(
            "the backend gets the customer but not the key",
            format!("{id}, {PERMANENT_KEY}"),
        );
    }
    if !has("cactusbarrow-expect-instance", &instance.instance) {
        ledger.record_violation("a request runs at the expected instance", id.to_owned());
    }
    let Some(drained_at) = instance.drained_at else {
        return;
    };
    let [unplanned, link, stop] = Scope::of_gateway(attempt.gateway);
    let scopes = [Scope::Store, unplanned, link, stop];
    let is_late = run.started_at > drained_at + DRAIN_BOUND + CALLER_DELAY_ALLOWANCE;
    if is_late && ledger.is_undisrupted(&scopes, drained_at, run.started_at) {
        let age = run
            .started_at
            .saturating_duration_since(drained_at)
            .as_millis();
        let text = format!(
            "{id} reached {} {age} ms after its drain began",
            instance.instance
        );
        ledger.record_violation("no new work on draining servers", text);
    }
}

fn check_attempt(
    ledger: &Ledger,
    environment: &Environment,
    id: &str,
    attempt: &Attempt,
    runs: &[&Run],
) {
    if attempt.kind.is_at_most_once() && runs.len() > 1 {
        let text = format!("{id} ran {} times", runs.len());
        ledger.record_violation("at most once", text);
    }
    let is_reported_not_run = attempt
        .status
        .is_some_and(|status| NOT_RUN_STATUSES.contains(&status));
    if attempt.kind.is_at_most_once() && is_reported_not_run && !runs.is_empty() {
        let text = format!("{id} got {:?} and ran", attempt.status);
        ledger.record_violation("a not-run status means that the request did not run", text);
    }
    if attempt.status.is_none() {
        check_lost(ledger, environment, id, attempt, runs);
    }
}

/// Checks that an attempt without a complete response is excused, and counts by what.
fn check_lost(
    ledger: &Ledger,
    environment: &Environment,
    id: &str,
    attempt: &Attempt,
    runs: &[&Run],
) {
    // A pause, a graceful stop or an outage of the store alone does not excuse a lost request.
    let [unplanned, link, _] = Scope::of_gateway(attempt.gateway);
    let unplanned = [unplanned, link, Scope::Backends, Scope::BackendLinks];
    let is_undisrupted = ledger.is_undisrupted(&unplanned, attempt.sent_at, attempt.ended_at);
    let sent_whole_at = attempt.sent_whole_at.unwrap_or(attempt.sent_at);
    let since_sent = attempt.ended_at.saturating_duration_since(sent_whole_at);
    // A gateway that stops may close a connection on which it has not read a request.
    let is_accepted = !runs.is_empty() || since_sent > LOSS_BOUND + CALLER_DELAY_ALLOWANCE;
    ledger.increment(if !is_accepted {
        "not taken"
    } else if !is_undisrupted {
        "lost beside unplanned disruptions"
    } else if is_cut_in_last_grace(ledger, environment.grace, attempt, runs) {
        "cut at the exit, sent within 3 s"
    } else if is_stream_cut_at_deadline(attempt, runs) {
        "cut at the deadline"
    } else {
        let text = describe_loss(ledger, id, attempt, runs);
        ledger.record_violation(
            "pauses, planned stops and store outages interrupt no request",
            text,
        );
        "lost"
    });
}

/// Returns whether a stopping gateway cut an attempt at the end of its grace period, while a backend server still
/// worked on it; an attempt that began late in that time has to end before.
fn is_cut_in_last_grace(
    ledger: &Ledger,
    grace: Duration,
    attempt: &Attempt,
    runs: &[&Run],
) -> bool {
    // The end is observed after the gateway has exited.
    let cut_at = cut_at(attempt, runs);
    let at = cut_at.checked_sub(CALLER_DELAY_ALLOWANCE);
    let at = at.unwrap_or(cut_at);
    ledger.was_stopping(attempt.gateway, at, |stop_at| {
        let may_cut_at = stop_at + grace.mul_f64(UNCUT_GRACE_SHARE);
        let is_at_work = |run: &&Run| run.end.get().is_none_or(|end| end.at >= may_cut_at);
        attempt.sent_at <= stop_at + LAST_DRAINED_ARRIVAL
            && attempt.ended_at >= may_cut_at
            && runs.iter().any(is_at_work)
    })
}

/// Returns whether a stream was still running at the deadline of its caller.
fn is_stream_cut_at_deadline(attempt: &Attempt, runs: &[&Run]) -> bool {
    attempt.answered_at.is_some() && cut_at(attempt, runs) >= attempt.sent_at + attempt.timeout
}

/// Returns when an attempt without a complete response was cut: its caller observes that later if it reads slowly.
fn cut_at(attempt: &Attempt, runs: &[&Run]) -> Instant {
    let ends = runs.iter().filter_map(|run| run.end.get());
    let cut = ends.filter(|end| !end.is_complete).map(|end| end.at).max();
    cut.map_or(attempt.ended_at, |at| at.min(attempt.ended_at))
}

/// Describes an attempt without a complete response, with times since the last stop signal of its gateway, or
/// else since it was sent.
fn describe_loss(ledger: &Ledger, id: &str, attempt: &Attempt, runs: &[&Run]) -> String {
    let stop_at = ledger.last_stop(attempt.gateway, attempt.ended_at);
    let origin = stop_at.unwrap_or(attempt.sent_at);
    let since = |at: Instant| {
        let later = at.saturating_duration_since(origin).as_secs_f64();
        later - origin.saturating_duration_since(at).as_secs_f64()
    };
    let time =
        |at: Option<Instant>| at.map_or("never".to_owned(), |at| format!("{:.3}", since(at)));
    let runs = runs.iter().map(|run| {
        let end = run.end.get();
        let how = end.map_or(
            "goes on",
            |end| if end.is_complete { "complete" } else { "cut" },
        );
        format!(
            "{:.3} to {} {how}",
            since(run.started_at),
            time(end.map(|end| end.at))
        )
    });
    format!(
        "{id} at gateway {}, s since {}: sent {:.3}, whole {}, head {}, ended {:.3}; runs: [{}]",
        attempt.gateway,
        if stop_at.is_some() {
            "the stop signal"
        } else {
            "sent"
        },
        since(attempt.sent_at),
        time(attempt.sent_whole_at),
        time(attempt.answered_at),
        since(attempt.ended_at),
        runs.collect::<Vec<_>>().join(", ")
    )
}

/// Checks that an attempt succeeded if nothing was disrupted meanwhile.
fn check_undisrupted(ledger: &Ledger, id: &str, attempt: &Attempt, environment: &Environment) {
    let gateways = 0..environment.gateways.len();
    let mut scopes = vec![Scope::Store, Scope::Backends, Scope::BackendLinks];
    scopes.extend(gateways.flat_map(Scope::of_gateway));
    if !ledger.is_undisrupted(&scopes, attempt.sent_at, attempt.ended_at) {
        return;
    }
    ledger.increment("requests in calm");
    let mut kinds_without_promise = ["probe-", "key-", DEADLY_ID_PREFIX].into_iter();
    let is_probe = kinds_without_promise.any(|prefix| id.starts_with(prefix));
    let is_excused = is_probe
        || is_body_late(attempt)
        || is_excused_by_pause(ledger, attempt, environment)
        // The rest of the caller's time does not suffice.
        || attempt.timeout < attempt.needed;
    if attempt.status != Some(200) && !is_excused {
        let gateway = attempt.gateway;
        let duration = attempt.ended_at - attempt.sent_at;
        let text = format!(
            "{id} at gateway {gateway}: {:?} in {duration:?}",
            attempt.status
        );
        ledger.record_violation("every request succeeds while nothing is disrupted", text);
    }
}

/// Returns whether a call was refused since its caller sent the body for longer than its route waits.
fn is_body_late(attempt: &Attempt) -> bool {
    let deadline = attempt.sent_at + CALL_ROUTE_TIMEOUT;
    attempt.kind == RequestKind::Booking
        && attempt.ended_at >= deadline
        && attempt.sent_whole_at.is_none_or(|at| at >= deadline)
}

/// Returns whether an attempt could not succeed because backend servers were paused.
fn is_excused_by_pause(ledger: &Ledger, attempt: &Attempt, environment: &Environment) -> bool {
    let mut backends = environment.backends_of_service(attempt.service);
    // One that names a limit may have to take no more.
    let limits = ledger.limits();
    let is_limited = |backend: &usize| {
        let mut periods = limits.iter().filter(|period| period.backend == *backend);
        periods.any(|period| period.from <= attempt.ended_at && period.to >= attempt.sent_at)
    };
    backends.retain(|backend| !is_limited(backend));
    match attempt.status {
        Some(status) if NOT_RUN_STATUSES.contains(&status) => {
            // Gateways learn with some delay that a server is back.
            let from = attempt.sent_at.checked_sub(RETURN_DETECTION_BOUND);
            let from = from.unwrap_or(attempt.sent_at);
            ledger.were_all_paused(&backends, from, attempt.ended_at)
        }
        Some(GATEWAY_TIMEOUT) => {
            attempt.ended_at - attempt.sent_at >= CALL_ROUTE_TIMEOUT
                && ledger.was_any_paused(&backends, attempt.sent_at, attempt.ended_at)
        }
        _ => false,
    }
}
