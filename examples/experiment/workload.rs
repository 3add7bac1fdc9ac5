//! Load of generations: callers that reconnect and retry as customers' programs do.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use cactusbarrow_standins::{Caller, Cluster, Ledger, StreamEnd, Transcript};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::report::{Outcome, Percentiles, rounded};

/// Time-out of one generation, reconnections included.
const GENERATION_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Addresses of the routers that callers may currently use.
pub(crate) type Routers = Arc<RwLock<Vec<SocketAddr>>>;

/// One generation, as its caller observed it.
pub(crate) struct GenerationRecord {
    pub(crate) prompt: String,
    pub(crate) seed: u64,
    /// Number of tokens that the generation must have.
    pub(crate) token_count: usize,
    pub(crate) started: Instant,
    pub(crate) transcript: Transcript,
    pub(crate) is_complete: bool,
    /// Connections that broke before the end of the generation.
    pub(crate) disconnects: usize,
    /// Responses that refused the generation.
    pub(crate) refusals: Vec<String>,
}

/// How a backend server fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    Killed,
    Frozen,
}

/// A fault that was injected into a backend server.
pub(crate) struct Fault {
    pub(crate) at: Instant,
    pub(crate) backend_server: String,
    pub(crate) kind: FaultKind,
}

/// Number, rate and length of the generations of a run.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    pub(crate) generations: usize,
    /// Time between the starts of consecutive generations.
    pub(crate) interval: Duration,
    /// Smallest number of tokens of a generation.
    pub(crate) min_tokens: usize,
    /// Largest number of tokens of a generation.
    pub(crate) max_tokens: usize,
}

/// Runs a load until all its generations have finished.
pub(crate) async fn run_load(
    load: Load,
    seed: u64,
    routers: Routers,
    caller: Caller,
) -> Vec<GenerationRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    for i in 0..load.generations {
        let token_count = rng.random_range(load.min_tokens..=load.max_tokens);
        let generation_seed = rng.random();
        let prompt = format!("forecast {i} of run {seed}");
        running.spawn(generate(
            caller.clone(),
            routers.clone(),
            prompt,
            generation_seed,
            token_count,
        ));
        tokio::time::sleep(load.interval).await;
    }
    running.join_all().await
}

/// Runs one generation for a caller that gives up at the first refusal.
pub(crate) async fn generate_once(
    caller: Caller,
    routers: Routers,
    prompt: String,
    seed: u64,
    token_count: usize,
) -> GenerationRecord {
    run_generation(caller, routers, prompt, seed, token_count, 1).await
}

/// Runs one generation; reconnects and resumes whenever the connection breaks.
pub(crate) async fn generate(
    caller: Caller,
    routers: Routers,
    prompt: String,
    seed: u64,
    token_count: usize,
) -> GenerationRecord {
    run_generation(caller, routers, prompt, seed, token_count, usize::MAX).await
}

async fn run_generation(
    caller: Caller,
    routers: Routers,
    prompt: String,
    seed: u64,
    token_count: usize,
    max_refusals: usize,
) -> GenerationRecord {
    let started = Instant::now();
    let body = Cluster::completion_body(&prompt, seed, token_count);
    let key = format!("key-{seed}");
    let mut headers = vec![
        ("cactusbarrow-first-attempt", "1"),
        ("idempotency-key", key.as_str()),
    ];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut finished = GenerationRecord {
        prompt,
        seed,
        token_count,
        started,
        transcript: Transcript::default(),
        is_complete: false,
        disconnects: 0,
        refusals: Vec::new(),
    };
    while started.elapsed() < GENERATION_TIMEOUT {
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
            StreamEnd::Broken => finished.disconnects += 1,
            StreamEnd::Refused(response) => {
                let is_final = response.contains("\"failed\"");
                finished.refusals.push(response);
                if is_final || finished.refusals.len() >= max_refusals {
                    break;
                }
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    finished
}

/// Compares what callers received with what engines produced, and adds the required counts.
pub(crate) fn check_transcripts(
    outcome: &mut Outcome,
    finished: &[GenerationRecord],
    ledger: &Ledger,
) {
    let mut missing = 0;
    let mut repeated = 0;
    let mut mixed = 0;
    let mut garbled = 0;
    for f in finished {
        let check = ledger.check_tokens(&f.prompt, f.seed, &f.transcript.tokens, f.token_count);
        missing += check.missing;
        repeated += check.repeated;
        mixed += u64::from(check.is_mixed);
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

/// Adds the tokens that engines produced beyond those that callers received.
pub(crate) fn add_extra_work(
    outcome: &mut Outcome,
    finished: &[GenerationRecord],
    ledger: &Ledger,
) {
    let delivered: usize = finished.iter().map(|f| f.transcript.tokens.len()).sum();
    let extra = ledger.tokens_produced() as f64 - delivered as f64;
    let ratio = extra / delivered.max(1) as f64;
    outcome.set("tokens_delivered", delivered);
    outcome.set("extra_tokens_ratio", rounded(ratio));
}

/// Returns percentiles of the time from the request to the first token.
pub(crate) fn first_token_times(finished: &[GenerationRecord]) -> Percentiles {
    let times: Vec<Duration> = finished
        .iter()
        .filter_map(|f| f.transcript.time_to_first_token(f.started))
        .collect();
    Percentiles::of(&times)
}

/// Returns percentiles of the time from each fault of a kind until its streams resumed.
pub(crate) fn resume_times(
    finished: &[GenerationRecord],
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
