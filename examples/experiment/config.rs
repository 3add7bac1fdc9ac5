//! Operators who race each other, while the store loses answers and goes down.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cactusbarrow_document::{BackendServer, Customer, Object, hash_api_key};
use cactusbarrow_platform::{
    CommitError, CommitRequest, ConsulStore, Edit, PlanError, commit, find_operation,
    load_configuration,
};
use cactusbarrow_policy::Revision;
use cactusbarrow_standins::{Cluster, ClusterConfig};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles};

const IN_FORCE_BOUND_MS: f64 = 5_000.0;
const OPERATORS: u64 = 4;
/// Customers that the operators change, few enough that they meet.
const CUSTOMERS: u64 = 6;
const LOST_ANSWERS_PER_MILLE: u32 = 100;
const OUTAGE: Duration = Duration::from_secs(2);

/// A change that is known to be in force.
#[derive(Clone)]
struct Accepted {
    revision: u64,
    at: Instant,
    customer: String,
    limit: u32,
}

#[derive(Default)]
struct Tally {
    changes: u64,
    conflicts: u64,
    uncertain: u64,
    unavailable: u64,
    accepted: Vec<Accepted>,
    /// Accepted changes of backend servers: name, revision and when.
    of_servers: Vec<(String, u64, Instant)>,
}

/// When each process had each revision in force.
#[derive(Default)]
struct Observed {
    by_process: BTreeMap<String, Vec<(Instant, u64)>>,
}

impl Observed {
    fn record(&mut self, process: &str, revision: u64) {
        let seen = self.by_process.entry(process.to_owned()).or_default();
        seen.push((Instant::now(), revision));
    }
}

/// Runs the experiment.
pub(crate) async fn run(seed: u64, is_short: bool) -> Outcome {
    let mut cluster = Cluster::start(ClusterConfig {
        routers: 6,
        engines: 4,
        zones: 4,
        ..ClusterConfig::default()
    })
    .await;
    cluster
        .store
        .faults
        .lost_responses_per_mille
        .store(LOST_ANSWERS_PER_MILLE, Ordering::Relaxed);
    let observed = Arc::new(Mutex::new(Observed::default()));
    for router in &cluster.routers {
        observe(
            &router.cfg.name,
            router.handle.subscribe_config(),
            &observed,
        );
    }
    for site in &cluster.engines {
        observe_agent(&site.name, site.revisions.clone(), &observed);
    }
    let tally = Arc::new(Mutex::new(Tally::default()));
    let changes_each = if is_short { 8 } else { 60 };
    let done = Arc::new(AtomicBool::new(false));
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let store = cluster.store_client();
        operators.spawn(operate(store, operator, seed, changes_each, tally.clone()));
    }
    let servers = cluster.engines.iter().map(|site| site.object.clone());
    operators.spawn(resize(
        cluster.store_client(),
        servers.collect(),
        seed,
        changes_each,
        tally.clone(),
    ));
    let outages = {
        let fault = inject(&mut cluster, &observed, done.clone());
        let wait = async {
            operators.join_all().await;
            done.store(true, Ordering::Relaxed);
        };
        tokio::join!(fault, wait).0
    };
    tokio::time::sleep(Duration::from_secs(5)).await;
    report(seed, &cluster, &tally, &observed, &outages).await
}

fn observe(
    name: &str,
    mut revisions: tokio::sync::watch::Receiver<Arc<cactusbarrow_document::Fleet>>,
    observed: &Arc<Mutex<Observed>>,
) {
    let name = name.to_owned();
    let observed = observed.clone();
    tokio::spawn(async move {
        loop {
            let revision = revisions.borrow_and_update().revision().0;
            observed
                .lock()
                .expect("no observer panics")
                .record(&name, revision);
            if revisions.changed().await.is_err() {
                return;
            }
        }
    });
}

fn observe_agent(
    name: &str,
    mut revisions: tokio::sync::watch::Receiver<Revision>,
    observed: &Arc<Mutex<Observed>>,
) {
    let name = name.to_owned();
    let observed = observed.clone();
    tokio::spawn(async move {
        while revisions.changed().await.is_ok() {
            let revision = revisions.borrow_and_update().0;
            observed
                .lock()
                .expect("no observer panics")
                .record(&name, revision);
        }
    });
}

/// Changes backend servers one after another; their agents must learn of it.
async fn resize(
    store: ConsulStore,
    servers: Vec<BackendServer>,
    seed: u64,
    changes: usize,
    tally: Arc<Mutex<Tally>>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5e7);
    for n in 0..changes {
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..300))).await;
        let Ok(configuration) = load_configuration(&store).await else {
            continue;
        };
        let mut server = servers[n % servers.len()].clone();
        server.max_in_flight = 100 + n as u32;
        let name = server.name.clone();
        let req = CommitRequest {
            operation: format!("resize-{seed}-{n}"),
            base: configuration.root.revision(),
            edits: vec![Edit::Set(Object::BackendServer(server))],
        };
        if let Ok(done) = commit(&store, &req).await {
            let accepted = (name, done.revision.0, Instant::now());
            let mut tally = tally.lock().expect("no operator panics");
            tally.of_servers.push(accepted);
        }
    }
}

/// Makes changes one after another, each retried until its fate is known.
async fn operate(
    store: ConsulStore,
    operator: u64,
    seed: u64,
    changes: usize,
    tally: Arc<Mutex<Tally>>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ (operator << 32));
    for n in 0..changes {
        let customer = format!("raced-{}", rng.random_range(0..CUSTOMERS));
        let limit = rng.random_range(1..1_000_000);
        let operation = format!("operator-{operator}-{seed}-{n}");
        change(&store, &operation, &customer, limit, &tally).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
    }
}

async fn change(
    store: &ConsulStore,
    operation: &str,
    customer: &str,
    limit: u32,
    tally: &Mutex<Tally>,
) {
    let tally = || tally.lock().expect("no operator panics");
    tally().changes += 1;
    let base = match load_configuration(store).await {
        Ok(configuration) => configuration.root.revision(),
        Err(_) => {
            tally().unavailable += 1;
            return;
        }
    };
    let object = Customer {
        name: customer.to_owned(),
        key_sha256: hash_api_key(customer),
        max_in_flight: limit,
        tokens_per_second: 1_000,
        services: Vec::new(),
    };
    let req = CommitRequest {
        operation: operation.to_owned(),
        base,
        edits: vec![Edit::Set(Object::Customer(object))],
    };
    let accepted = |revision: u64| Accepted {
        revision,
        at: Instant::now(),
        customer: customer.to_owned(),
        limit,
    };
    match commit(store, &req).await {
        Ok(done) if done.is_change => {
            tally().accepted.push(accepted(done.revision.0));
        }
        Ok(_) => {}
        Err(CommitError::Refused(PlanError::Conflict { .. })) => tally().conflicts += 1,
        Err(CommitError::Uncertain(_)) => {
            tally().uncertain += 1;
            // The operator asks later, as the client tells it to.
            tokio::time::sleep(OUTAGE * 2).await;
            if let Ok(Some(receipt)) = find_operation(store, operation).await {
                tally().accepted.push(accepted(receipt.revision));
            }
        }
        Err(_) => tally().unavailable += 1,
    }
}

/// Takes the store down at times, and restarts a router during an outage.
async fn inject(
    cluster: &mut Cluster,
    observed: &Arc<Mutex<Observed>>,
    done: Arc<AtomicBool>,
) -> Vec<(Instant, Instant)> {
    let mut outages = Vec::new();
    let mut n = 0;
    while !done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let start = Instant::now();
        cluster.store.set_down(true);
        let dead = cluster.routers.remove(0);
        dead.host.kill();
        let mut cfg = dead.cfg.clone();
        cfg.name = format!("restarted-{n}");
        cfg.seeds = cluster
            .routers
            .iter()
            .map(cactusbarrow_standins::RouterProcess::peer)
            .collect();
        let mut next = cluster.start_router_with(cfg).await;
        cluster.store.remove_node(&dead.cfg.name);
        // The store is down, so what it takes can only come from its peers.
        next.handle.wait_for_revision(Revision(1)).await;
        observe(&next.cfg.name, next.handle.subscribe_config(), observed);
        cluster.routers.push(next);
        tokio::time::sleep(OUTAGE.saturating_sub(start.elapsed())).await;
        cluster.store.set_down(false);
        outages.push((start, Instant::now()));
        n += 1;
    }
    outages
}

async fn report(
    seed: u64,
    cluster: &Cluster,
    tally: &Mutex<Tally>,
    observed: &Mutex<Observed>,
    outages: &[(Instant, Instant)],
) -> Outcome {
    let mut outcome = Outcome::new("config", seed);
    let configuration = loop {
        // Answers are still being lost at times.
        if let Ok(configuration) = load_configuration(&cluster.store_client()).await {
            break configuration;
        }
    };
    let tally = tally.lock().expect("no operator panics");
    let observed = observed.lock().expect("no observer panics");
    outcome.set("changes", tally.changes);
    outcome.set("accepted", tally.accepted.len());
    outcome.set("conflicts", tally.conflicts);
    outcome.set("uncertain", tally.uncertain);
    outcome.set("unavailable", tally.unavailable);
    outcome.set("outages", outages.len());
    let reverts = observed
        .by_process
        .values()
        .flat_map(|seen| seen.windows(2))
        .filter(|pair| pair[1].1 < pair[0].1)
        .count();
    outcome.must_be("reverts", reverts as u64, 0);
    outcome.must_be("lost", lost_changes(&tally, &configuration), 0);
    let live: Vec<&str> = cluster
        .routers
        .iter()
        .map(|r| r.cfg.name.as_str())
        .collect();
    let behind = live
        .iter()
        .filter(|name| {
            let last = observed.by_process.get(**name).and_then(|seen| seen.last());
            last.map(|(_, revision)| *revision) != Some(configuration.root.revision)
        })
        .count();
    outcome.must_be("routers_behind_at_end", behind as u64, 0);
    let (agents_calm, agents_in_outage) = agent_times(&tally.of_servers, &observed, outages);
    let agents = Percentiles::of(&agents_calm);
    outcome.set("changes_of_backend_servers", tally.of_servers.len());
    outcome.set("in_force_at_agent_ms", agents);
    let agents_in_outage = Percentiles::of(&agents_in_outage);
    outcome.set("in_force_at_agent_ms_over_outage", agents_in_outage);
    outcome.bound("in_force_at_agent_max", agents.max, IN_FORCE_BOUND_MS);
    let (calm, in_outage) = in_force_times(&tally.accepted, &observed, &live, outages);
    let calm = Percentiles::of(&calm);
    outcome.set("in_force_ms", calm);
    outcome.set("in_force_ms_over_outage", Percentiles::of(&in_outage));
    outcome.bound("in_force_max", calm.max, IN_FORCE_BOUND_MS);
    outcome
}

/// Counts accepted changes that are neither in force nor overwritten by a later one.
fn lost_changes(tally: &Tally, configuration: &cactusbarrow_platform::Configuration) -> u64 {
    let mut last: BTreeMap<&str, &Accepted> = BTreeMap::new();
    for accepted in &tally.accepted {
        let entry = last.entry(&accepted.customer).or_insert(accepted);
        if accepted.revision > entry.revision {
            *entry = accepted;
        }
    }
    let stored = |customer: &str| {
        let key = format!("customer/{customer}");
        configuration
            .shards
            .values()
            .find_map(|shard| shard.objects.get(&key))
    };
    let is_lost = |accepted: &&Accepted| match stored(&accepted.customer) {
        Some(found) if found.revision == accepted.revision => !matches!(
            &found.object,
            Object::Customer(c) if c.max_in_flight == accepted.limit
        ),
        Some(found) => found.revision < accepted.revision,
        None => true,
    };
    last.into_values().filter(is_lost).count() as u64
}

/// Returns the times from acceptance until the agent concerned had a change, or a later one.
fn agent_times(
    accepted: &[(String, u64, Instant)],
    observed: &Observed,
    outages: &[(Instant, Instant)],
) -> (Vec<Duration>, Vec<Duration>) {
    let (mut calm, mut in_outage) = (Vec::new(), Vec::new());
    for (name, revision, accepted_at) in accepted {
        let seen = observed.by_process.get(name);
        let reached = seen.and_then(|seen| seen.iter().find(|(_, r)| r >= revision));
        // A change that never arrives counts with the whole time that was left for it.
        let end = reached.map_or_else(Instant::now, |(at, _)| *at);
        let time = end.saturating_duration_since(*accepted_at);
        if is_calm(*accepted_at, end, outages) {
            calm.push(time);
        } else {
            in_outage.push(time);
        }
    }
    (calm, in_outage)
}

fn is_calm(from: Instant, to: Instant, outages: &[(Instant, Instant)]) -> bool {
    outages
        .iter()
        .all(|(start, end)| to < *start || from > *end)
}

/// Returns the times from acceptance until all routers that live to the end had a change.
fn in_force_times(
    accepted: &[Accepted],
    observed: &Observed,
    live: &[&str],
    outages: &[(Instant, Instant)],
) -> (Vec<Duration>, Vec<Duration>) {
    let (mut calm, mut in_outage) = (Vec::new(), Vec::new());
    for change in accepted {
        let reached = live.iter().filter_map(|name| {
            let seen = observed.by_process.get(*name)?;
            let is_old = seen.first().is_some_and(|(at, _)| *at <= change.at);
            let at = seen.iter().find(|(_, r)| *r >= change.revision)?.0;
            is_old.then(|| at.saturating_duration_since(change.at))
        });
        let Some(time) = reached.max() else { continue };
        let end = change.at + time;
        if is_calm(change.at, end, outages) {
            calm.push(time);
        } else {
            in_outage.push(time);
        }
    }
    (calm, in_outage)
}
