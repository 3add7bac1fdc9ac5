//! Checks of invariants after a run, from what callers and backend servers observed.

use std::collections::HashMap;
use std::time::Duration;

use cactusbarrow_adapter_standins::Run;

use crate::environment::{InstanceRecord, PERMANENT_KEY};
use crate::ledger::{Attempt, Ledger, Scope};

/// Longest time after its drain began that a server may still get work.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Allowance for delays in the callers themselves on a busy host.
const CALLER_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);

/// Statuses by which a gateway reports that the request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks all attempts against the runs of all instances.
pub(crate) fn check_attempts(ledger: &Ledger, instances: &[InstanceRecord], gateways: usize) {
    let attempts = ledger.attempts();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for instance in instances {
        for run in &instance.runs {
            let Some(id) = request_id(run) else {
                ledger.record_violation("every run has a request id", instance.instance.clone());
                continue;
            };
            *runs.entry(id).or_default() += 1;
            check_run(ledger, instance, run, id, attempts.get(id));
        }
    }
    for (id, attempt) in &attempts {
        check_attempt(
            ledger,
            id,
            attempt,
            runs.get(id.as_str()).copied().unwrap_or(0),
            gateways,
        );
    }
}

fn request_id(run: &Run) -> Option<&str> {
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
    let scopes = [
        Scope::Store,
        Scope::Gateway(attempt.gateway),
        Scope::Stop(attempt.gateway),
    ];
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

fn check_attempt(ledger: &Ledger, id: &str, attempt: &Attempt, runs: u32, gateways: usize) {
    if attempt.is_at_most_once && runs > 1 {
        ledger.record_violation("at most once", format!("{id} ran {runs} times"));
    }
    let is_reported_not_run = attempt
        .status
        .is_some_and(|status| NOT_RUN_STATUSES.contains(&status));
    if attempt.is_at_most_once && is_reported_not_run && runs > 0 {
        let text = format!("{id} got {:?} and ran", attempt.status);
        ledger.record_violation("a not-run status means that the request did not run", text);
    }
    // A graceful stop or an outage of the store alone does not excuse a lost request.
    let unplanned = [Scope::Gateway(attempt.gateway), Scope::Backends];
    let is_unexcused = ledger.is_undisrupted(&unplanned, attempt.sent_at, attempt.ended_at);
    if attempt.status.is_none() && runs > 0 && is_unexcused {
        let text = format!(
            "{id} at gateway {} got no complete response",
            attempt.gateway
        );
        ledger.record_violation("planned stops and store outages interrupt no request", text);
    }
    check_undisrupted(ledger, id, attempt, gateways);
}

/// Checks that an attempt succeeded if nothing was disrupted meanwhile.
fn check_undisrupted(ledger: &Ledger, id: &str, attempt: &Attempt, gateways: usize) {
    let mut scopes = vec![Scope::Store, Scope::Backends];
    scopes.extend((0..gateways).flat_map(|i| [Scope::Gateway(i), Scope::Stop(i)]));
    if !ledger.is_undisrupted(&scopes, attempt.sent_at, attempt.ended_at) {
        return;
    }
    ledger.increment("requests in calm");
    let is_probe = id.starts_with("probe-") || id.starts_with("key-");
    if attempt.status != Some(200) && !is_probe {
        let text = format!("{id} at gateway {}: {:?}", attempt.gateway, attempt.status);
        ledger.record_violation("every request succeeds while nothing is disrupted", text);
    }
}
