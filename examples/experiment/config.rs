//! Configuration experiment: concurrent operators, while the store loses responses and goes down.

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

const ADOPTION_BOUND_MS: f64 = 5_000.0;
const OPERATORS: u64 = 4;
/// Customers that the operators change; few, so that they change the same ones.
const CUSTOMERS: u64 = 6;
const LOST_RESPONSES_PER_MILLE: u32 = 100;
const OUTAGE_DURATION: Duration = Duration::from_secs(2);

/// A change of a customer that the store is known to have accepted.
#[derive(Clone)]
struct AcceptedChange {
    revision: u64,
    accepted_at: Instant,
    customer: String,
    limit: u32,
}

/// What became of the operators' changes.
#[derive(Default)]
struct ChangeLog {
    changes: u64,
    conflicts: u64,
    uncertain: u64,
    unavailable: u64,
    accepted: Vec<AcceptedChange>,
    /// Accepted changes of backend servers: name, revision and time of acceptance.
    server_changes: Vec<(String, u64, Instant)>,
}

/// The times at which each process adopted each revision.
#[derive(Default)]
struct ObservedRevisions {
    by_process: BTreeMap<String, Vec<(Instant, u64)>>,
}

impl ObservedRevisions {
    fn record(&mut self, process: &str, revision: u64) {
        let seen = self.by_process.entry(process.to_owned()).or_default();
        seen.push((Instant::now(), revision));
    }
}

/// Runs operators and outages; no accepted change may be lost and no process may revert.
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
        .store(LOST_RESPONSES_PER_MILLE, Ordering::Relaxed);
    let observed = Arc::new(Mutex::new(ObservedRevisions::default()));
    for router in &cluster.routers {
        observe_router(
            &router.cfg.name,
            router.handle.subscribe_config(),
            &observed,
        );
    }
    for engine in &cluster.engines {
        observe_agent(&engine.name, engine.revisions.clone(), &observed);
    }
    let log = Arc::new(Mutex::new(ChangeLog::default()));
    let changes_each = if is_short { 8 } else { 60 };
    let done = Arc::new(AtomicBool::new(false));
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let store = cluster.store_client();
        operators.spawn(run_operator(
            store,
            operator,
            seed,
            changes_each,
            log.clone(),
        ));
    }
    let servers = cluster.engines.iter().map(|engine| engine.object.clone());
    operators.spawn(resize_servers(
        cluster.store_client(),
        servers.collect(),
        seed,
        changes_each,
        log.clone(),
    ));
    let outages = {
        let fault = inject_outages(&mut cluster, &observed, done.clone());
        let wait = async {
            operators.join_all().await;
            done.store(true, Ordering::Relaxed);
        };
        tokio::join!(fault, wait).0
    };
    tokio::time::sleep(Duration::from_secs(5)).await;
    report(seed, &cluster, &log, &observed, &outages).await
}

fn observe_router(
    name: &str,
    mut revisions: tokio::sync::watch::Receiver<Arc<cactusbarrow_document::Fleet>>,
    observed: &Arc<Mutex<ObservedRevisions>>,
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
    observed: &Arc<Mutex<ObservedRevisions>>,
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

/// Changes backend servers one after another; their agents must adopt each change.
async fn resize_servers(
    store: ConsulStore,
    servers: Vec<BackendServer>,
    seed: u64,
    changes: usize,
    log: Arc<Mutex<ChangeLog>>,
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
            let mut log = log.lock().expect("no operator panics");
            log.server_changes.push(accepted);
        }
    }
}

/// Makes changes of random customers one after another.
async fn run_operator(
    store: ConsulStore,
    operator: u64,
    seed: u64,
    changes: usize,
    log: Arc<Mutex<ChangeLog>>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ (operator << 32));
    for n in 0..changes {
        let customer = format!("raced-{}", rng.random_range(0..CUSTOMERS));
        let limit = rng.random_range(1..1_000_000);
        let operation = format!("operator-{operator}-{seed}-{n}");
        change_customer(&store, &operation, &customer, limit, &log).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
    }
}

async fn change_customer(
    store: &ConsulStore,
    operation: &str,
    customer: &str,
    limit: u32,
    log: &Mutex<ChangeLog>,
) {
    let log = || log.lock().expect("no operator panics");
    log().changes += 1;
    let base = match load_configuration(store).await {
        Ok(configuration) => configuration.root.revision(),
        Err(_) => {
            log().unavailable += 1;
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
    let accepted = |revision: u64| AcceptedChange {
        revision,
        accepted_at: Instant::now(),
        customer: customer.to_owned(),
        limit,
    };
    match commit(store, &req).await {
        Ok(done) if done.is_change => {
            log().accepted.push(accepted(done.revision.0));
        }
        Ok(_) => {}
        Err(CommitError::Refused(PlanError::Conflict { .. })) => log().conflicts += 1,
        Err(CommitError::Uncertain(_)) => {
            log().uncertain += 1;
            // The operator queries the outcome later, as the client advises.
            tokio::time::sleep(OUTAGE_DURATION * 2).await;
            if let Ok(Some(receipt)) = find_operation(store, operation).await {
                log().accepted.push(accepted(receipt.revision));
            }
        }
        Err(_) => log().unavailable += 1,
    }
}

/// Takes the store down repeatedly, and restarts a router during each outage.
async fn inject_outages(
    cluster: &mut Cluster,
    observed: &Arc<Mutex<ObservedRevisions>>,
    done: Arc<AtomicBool>,
) -> Vec<(Instant, Instant)> {
    let mut outages = Vec::new();
    let mut n = 0;
    while !done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let start = Instant::now();
        cluster.store.set_down(true);
        let killed = cluster.routers.remove(0);
        killed.process.kill();
        let mut cfg = killed.cfg.clone();
        cfg.name = format!("restarted-{n}");
        cfg.seeds = cluster
            .routers
            .iter()
            .map(cactusbarrow_standins::RouterProcess::peer)
            .collect();
        let mut next = cluster.start_router_with(cfg).await;
        cluster.store.remove_node(&killed.cfg.name);
        // The store is down, so the router can adopt a configuration only from its peers.
        next.handle.wait_for_revision(Revision(1)).await;
        observe_router(&next.cfg.name, next.handle.subscribe_config(), observed);
        cluster.routers.push(next);
        tokio::time::sleep(OUTAGE_DURATION.saturating_sub(start.elapsed())).await;
        cluster.store.set_down(false);
        outages.push((start, Instant::now()));
        n += 1;
    }
    outages
}

async fn report(
    seed: u64,
    cluster: &Cluster,
    log: &Mutex<ChangeLog>,
    observed: &Mutex<ObservedRevisions>,
    outages: &[(Instant, Instant)],
) -> Outcome {
    let mut outcome = Outcome::new("config", seed);
    let configuration = loop {
        // The store still loses responses.
        if let Ok(configuration) = load_configuration(&cluster.store_client()).await {
            break configuration;
        }
    };
    let log = log.lock().expect("no operator panics");
    let observed = observed.lock().expect("no observer panics");
    outcome.set("changes", log.changes);
    outcome.set("accepted", log.accepted.len());
    outcome.set("conflicts", log.conflicts);
    outcome.set("uncertain", log.uncertain);
    outcome.set("unavailable", log.unavailable);
    outcome.set("outages", outages.len());
    let reverts = observed
        .by_process
        .values()
        .flat_map(|seen| seen.windows(2))
        .filter(|pair| pair[1].1 < pair[0].1)
        .count();
    outcome.must_be("reverts", reverts as u64, 0);
    outcome.must_be("lost", lost_changes(&log, &configuration), 0);
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
    let (agents_undisturbed, agents_in_outage) =
        agent_adoption_times(&log.server_changes, &observed, outages);
    let agents = Percentiles::of(&agents_undisturbed);
    outcome.set("changes_of_backend_servers", log.server_changes.len());
    outcome.set("in_force_at_agent_ms", agents);
    let agents_in_outage = Percentiles::of(&agents_in_outage);
    outcome.set("in_force_at_agent_ms_over_outage", agents_in_outage);
    outcome.bound("in_force_at_agent_max", agents.max, ADOPTION_BOUND_MS);
    let (undisturbed, in_outage) = router_adoption_times(&log.accepted, &observed, &live, outages);
    let undisturbed = Percentiles::of(&undisturbed);
    outcome.set("in_force_ms", undisturbed);
    outcome.set("in_force_ms_over_outage", Percentiles::of(&in_outage));
    outcome.bound("in_force_max", undisturbed.max, ADOPTION_BOUND_MS);
    outcome
}

/// Counts accepted changes that are neither stored nor overwritten by a later one.
fn lost_changes(log: &ChangeLog, configuration: &cactusbarrow_platform::Configuration) -> u64 {
    let mut last: BTreeMap<&str, &AcceptedChange> = BTreeMap::new();
    for accepted in &log.accepted {
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
    let is_lost = |accepted: &&AcceptedChange| match stored(&accepted.customer) {
        Some(found) if found.revision == accepted.revision => !matches!(
            &found.object,
            Object::Customer(c) if c.max_in_flight == accepted.limit
        ),
        Some(found) => found.revision < accepted.revision,
        None => true,
    };
    last.into_values().filter(is_lost).count() as u64
}

/// Returns the times from acceptance until the agent concerned adopted a change or a later one,
/// first those outside outages, then those that overlap one.
fn agent_adoption_times(
    accepted: &[(String, u64, Instant)],
    observed: &ObservedRevisions,
    outages: &[(Instant, Instant)],
) -> (Vec<Duration>, Vec<Duration>) {
    let (mut undisturbed, mut in_outage) = (Vec::new(), Vec::new());
    for (name, revision, accepted_at) in accepted {
        let seen = observed.by_process.get(name);
        let reached = seen.and_then(|seen| seen.iter().find(|(_, r)| r >= revision));
        // A change that was never adopted counts with the time until now.
        let reached_at = reached.map_or_else(Instant::now, |(adopted_at, _)| *adopted_at);
        let time = reached_at.saturating_duration_since(*accepted_at);
        if is_outside_outages(*accepted_at, reached_at, outages) {
            undisturbed.push(time);
        } else {
            in_outage.push(time);
        }
    }
    (undisturbed, in_outage)
}

fn is_outside_outages(from: Instant, to: Instant, outages: &[(Instant, Instant)]) -> bool {
    outages
        .iter()
        .all(|(start, end)| to < *start || from > *end)
}

/// Returns the times from acceptance until all routers that live to the end adopted a change,
/// first those outside outages, then those that overlap one.
fn router_adoption_times(
    accepted: &[AcceptedChange],
    observed: &ObservedRevisions,
    live: &[&str],
    outages: &[(Instant, Instant)],
) -> (Vec<Duration>, Vec<Duration>) {
    let (mut undisturbed, mut in_outage) = (Vec::new(), Vec::new());
    for change in accepted {
        let reached = live.iter().filter_map(|name| {
            let seen = observed.by_process.get(*name)?;
            let was_running = seen
                .first()
                .is_some_and(|(adopted_at, _)| *adopted_at <= change.accepted_at);
            let adopted_at = seen.iter().find(|(_, r)| *r >= change.revision)?.0;
            was_running.then(|| adopted_at.saturating_duration_since(change.accepted_at))
        });
        let Some(time) = reached.max() else { continue };
        let reached_at = change.accepted_at + time;
        if is_outside_outages(change.accepted_at, reached_at, outages) {
            undisturbed.push(time);
        } else {
            in_outage.push(time);
        }
    }
    (undisturbed, in_outage)
}
