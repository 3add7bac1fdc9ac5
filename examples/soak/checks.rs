//! Promises that are judged when all is over, from what callers and servers saw.

use std::collections::HashMap;
use std::time::Duration;

use cactusbarrow_adapter_standins::Run;

use crate::ledger::{Ledger, Scope, Try};
use crate::world::{KEY, Retired};

/// Time in which a server that leaves may still get work.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Allowance for the callers' own delays on a busy machine.
const OWN_DELAY: Duration = Duration::from_millis(300);

/// Statuses that say that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Judges all requests.
pub(crate) fn judge(ledger: &Ledger, instances: &[Retired], gateways: usize) {
    let tries = ledger.tries();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for instance in instances {
        for run in &instance.runs {
            let Some(id) = request_id(run) else {
                ledger.violate("no run without an id", instance.instance.clone());
                continue;
            };
            *runs.entry(id).or_default() += 1;
            judge_run(ledger, instance, run, id, tries.get(id));
        }
    }
    for (id, sent) in &tries {
        judge_try(
            ledger,
            id,
            sent,
            runs.get(id.as_str()).copied().unwrap_or(0),
            gateways,
        );
    }
}

fn request_id(run: &Run) -> Option<&str> {
    run.headers.get("cactusbarrow-request-id")?.to_str().ok()
}

fn judge_run(ledger: &Ledger, instance: &Retired, run: &Run, id: &str, sent: Option<&Try>) {
    let Some(sent) = sent else {
        ledger.violate("only what a caller sent is run", id.to_owned());
        return;
    };
    let has = |name: &str, value: &str| run.headers.get(name).is_some_and(|v| v == value);
    if run.headers.contains_key("cactusbarrow-key") || !has("cactusbarrow-tenant", "huka270") {
        ledger.violate(
            "the customer is told and the key is not",
            format!("{id}, {KEY}"),
        );
    }
    if !has("cactusbarrow-expect-instance", &instance.instance) {
        ledger.violate("a run is at the instance that was meant", id.to_owned());
    }
    let Some(drained) = instance.drained else {
        return;
    };
    let scopes = [
        Scope::Store,
        Scope::Gateway(sent.gateway),
        Scope::Stop(sent.gateway),
    ];
    let is_late = run.started_at > drained + DRAIN_BOUND + OWN_DELAY;
    if is_late && ledger.is_calm(&scopes, drained, run.started_at) {
        let age = run
            .started_at
            .saturating_duration_since(drained)
            .as_millis();
        let text = format!(
            "{id} reached {} {age} ms after its drain",
            instance.instance
        );
        ledger.violate("no work for servers that leave", text);
    }
}

fn judge_try(ledger: &Ledger, id: &str, sent: &Try, runs: u32, gateways: usize) {
    if sent.is_once && runs > 1 {
        ledger.violate("at most once", format!("{id} ran {runs} times"));
    }
    let is_told_not_run = sent.status.is_some_and(|status| NOT_RUN.contains(&status));
    if sent.is_once && is_told_not_run && runs > 0 {
        let text = format!("{id} got {:?} and ran", sent.status);
        ledger.violate("not run only when true", text);
    }
    // A graceful stop and an outage of the store alone excuse no lost request.
    let unplanned = [Scope::Gateway(sent.gateway), Scope::Backends];
    let is_planned = ledger.is_calm(&unplanned, sent.sent, sent.ended);
    if sent.status.is_none() && runs > 0 && is_planned {
        let text = format!("{id} at gateway {} was cut", sent.gateway);
        ledger.violate("planned work cuts nothing", text);
    }
    judge_calm(ledger, id, sent, gateways);
}

/// While nothing is disrupted, all is served.
fn judge_calm(ledger: &Ledger, id: &str, sent: &Try, gateways: usize) {
    let mut scopes = vec![Scope::Store, Scope::Backends];
    scopes.extend((0..gateways).flat_map(|i| [Scope::Gateway(i), Scope::Stop(i)]));
    if !ledger.is_calm(&scopes, sent.sent, sent.ended) {
        return;
    }
    ledger.count("requests in calm");
    let is_probe = id.starts_with("probe-") || id.starts_with("key-");
    if sent.status != Some(200) && !is_probe {
        let text = format!("{id} at gateway {}: {:?}", sent.gateway, sent.status);
        ledger.violate("all is served in calm", text);
    }
}
