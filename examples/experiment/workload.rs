//! Callers that behave as customers' programs do.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_standins::{Caller, Cluster, Ledger, StreamEnd, Transcript};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};

/// Longest time for one generation, reconnections included.
const PATIENCE: Duration = Duration::from_secs(60);
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Addresses of the routers that callers may use now.
pub(crate) type Routers = Arc<RwLock<Vec<SocketAddr>>>;

/// One generation as its caller saw it.
pub(crate) struct Finished {
    pub(crate) prompt: String,
    pub(crate) seed: u64,
    pub(crate) wanted: usize,
    pub(crate) started: Instant,
    pub(crate) transcript: Transcript,
    pub(crate) is_complete: bool,
    /// Connections that ended before the generation did.
    pub(crate) breaks: usize,
    /// Answers other than tokens.
    pub(crate) refusals: Vec<String>,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    Killed,
    Frozen,
}

/// A fault of a backend server.
pub(crate) struct Fault {
    pub(crate) at: Instant,
    pub(crate) backend_server: String,
    pub(crate) kind: FaultKind,
}

/// A load of generations.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    /// Number of generations.
    pub(crate) generations: usize,
    /// Time between the starts of two generations.
    pub(crate) spacing: Duration,
    /// Fewest tokens of a generation.
    pub(crate) min_tokens: usize,
    /// Most tokens of a generation.
    pub(crate) max_tokens: usize,
}

/// Runs a load of generations to the end.
pub(crate) async fn run_load(
    load: Load,
    seed: u64,
    routers: Routers,
    caller: Caller,
) -> Vec<Finished> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    for i in 0..load.generations {
        let wanted = rng.random_range(load.min_tokens..=load.max_tokens);
        let generation_seed = rng.random();
        let prompt = format!("forecast {i} of run {seed}");
        running.spawn(generate(
            caller.clone(),
            routers.clone(),
            prompt,
            generation_seed,
            wanted,
        ));
        tokio::time::sleep(load.spacing).await;
    }
    running.join_all().await
}

/// Runs one generation for a caller that does not ask again once it is refused.
pub(crate) async fn generate_once(
    caller: Caller,
    routers: Routers,
    prompt: String,
    seed: u64,
    wanted: usize,
) -> Finished {
    run_generation(caller, routers, prompt, seed, wanted, 1).await
}

/// Runs one generation; comes back for the rest whenever the connection breaks.
pub(crate) async fn generate(
    caller: Caller,
    routers: Routers,
    prompt: String,
    seed: u64,
    wanted: usize,
) -> Finished {
    run_generation(caller, routers, prompt, seed, wanted, usize::MAX).await
}

async fn run_generation(
    caller: Caller,
    routers: Routers,
    prompt: String,
    seed: u64,
    wanted: usize,
    max_refusals: usize,
) -> Finished {
    let started = Instant::now();
    let body = Cluster::completion_body(&prompt, seed, wanted);
    let key = format!("key-{seed}");
    let mut headers = vec![
        ("cactusbarrow-first-attempt", "1"),
        ("idempotency-key", key.as_str()),
    ];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut finished = Finished {
        prompt,
        seed,
        wanted,
        started,
        transcript: Transcript::default(),
        is_complete: false,
        breaks: 0,
        refusals: Vec::new(),
    };
    while started.elapsed() < PATIENCE {
        let router = {
            let routers = routers.read().expect("no writer panics");
            routers[rng.random_range(0..routers.len())]
        };
        let opened = caller
            .open(router, &headers, &body, &finished.transcript)
            .await;
        headers.retain(|(name, _)| *name == "idempotency-key");
        let end = match opened {
            Ok(mut stream) => stream.read(&mut finished.transcript).await,
            Err(end) => end,
        };
        match end {
            StreamEnd::Done => {
                finished.is_complete = true;
                break;
            }
            StreamEnd::Broken => finished.breaks += 1,
            StreamEnd::Refused(answer) => {
                let is_final = answer.contains("\"failed\"");
                finished.refusals.push(answer);
                if is_final || finished.refusals.len() >= max_refusals {
                    break;
                }
            }
        }
        tokio::time::sleep(RETRY_WAIT).await;
    }
    finished
}

/// Judges what callers got and adds the figures that must hold.
pub(crate) fn judge(outcome: &mut Outcome, finished: &[Finished], ledger: &Ledger) {
    let mut missing = 0;
    let mut repeated = 0;
    let mut mixed = 0;
    let mut garbled = 0;
    for f in finished {
        let judgement = ledger.check_tokens(&f.prompt, f.seed, &f.transcript.tokens, f.wanted);
        missing += judgement.missing;
        repeated += judgement.repeated;
        mixed += u64::from(judgement.is_mixed);
        let bytes: Vec<u8> = f
            .transcript
            .tokens
            .iter()
            .flat_map(|token| cactusbarrow_standins::token_bytes(*token))
            .collect();
        let text = String::from_utf8_lossy(&bytes);
        garbled += u64::from(f.is_complete && text != f.transcript.text);
    }
    let completed = finished.iter().filter(|f| f.is_complete).count() as u64;
    outcome.set("generations", finished.len());
    outcome.must_be("completed", completed, finished.len() as u64);
    outcome.must_be("tokens_missing", missing, 0);
    outcome.must_be("tokens_repeated", repeated, 0);
    outcome.must_be("generations_mixed", mixed, 0);
    outcome.must_be("texts_garbled", garbled, 0);
    let refusals: Vec<&String> = finished.iter().flat_map(|f| &f.refusals).take(3).collect();
    if !refusals.is_empty() {
        outcome.set("first_refusals", refusals);
    }
}

/// Adds the work of engines beyond what callers got.
pub(crate) fn add_extra_work(outcome: &mut Outcome, finished: &[Finished], ledger: &Ledger) {
    let delivered: usize = finished.iter().map(|f| f.transcript.tokens.len()).sum();
    let extra = ledger.tokens_produced() as f64 - delivered as f64;
    let ratio = extra / delivered.max(1) as f64;
    outcome.set("tokens_delivered", delivered);
    outcome.set("extra_tokens_ratio", rounded(ratio));
}

/// Returns the times from the request to the first token.
pub(crate) fn first_tokens(finished: &[Finished]) -> Percentiles {
    let times: Vec<Duration> = finished
        .iter()
        .filter_map(|f| f.transcript.time_to_first_token(f.started))
        .collect();
    Percentiles::of(&times)
}

/// Returns the times from faults of a kind until output flowed again.
pub(crate) fn resume_times(
    finished: &[Finished],
    faults: &[Fault],
    kind: FaultKind,
) -> Percentiles {
    let times: Vec<Duration> = faults
        .iter()
        .filter(|fault| fault.kind == kind)
        .flat_map(|fault| {
            finished
                .iter()
                .filter_map(|f| f.transcript.resume_delay(fault.at, &fault.backend_server))
        })
        .collect();
    Percentiles::of(&times)
}
