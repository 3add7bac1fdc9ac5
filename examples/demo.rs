//! Demonstration of the system on loopback: a stream of tokens resumes after its engine is killed.
//!
//! `cargo run --release --example demo`

use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cactusbarrow_policy::Utf8Assembler;
use cactusbarrow_standins::{
    Caller, Cluster, ClusterConfig, StreamEnd, TokenCheck, Transcript, api_key,
};

const PROMPT: &str = "tomorrow over the coast";
const SEED: u64 = 7;
const TOKENS: usize = 150;
const KILL_AFTER: Duration = Duration::from_millis(1_200);

#[tokio::main]
async fn main() {
    println!("starting: store, 2 routers, 3 engines with their agents, in 2 availability zones");
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let router = cluster.routers[0].handle.listen;
    println!("caller asks router {router} for {TOKENS} tokens\n");
    let caller = Caller::new(&api_key(0));
    let body = Cluster::completion_body(PROMPT, SEED, TOKENS);
    let mut transcript = Transcript::default();
    let mut stream = caller
        .open(router, &[], &body, &transcript)
        .await
        .expect("the router answers");
    let kill = tokio::time::sleep(KILL_AFTER);
    let end = {
        let read = stream.read(&mut transcript);
        let (end, killed) = tokio::join!(read, async {
            kill.await;
            kill_busy_engine(&cluster)
        });
        (end, killed)
    };
    let (end, (name, killed_at)) = end;
    print_arrivals(&transcript, &name, killed_at);
    assert_eq!(end, StreamEnd::Done, "the stream ends whole");
    let check = cluster
        .ledger
        .check_tokens(PROMPT, SEED, &transcript.tokens, TOKENS);
    assert_eq!(check, TokenCheck::default());
    let resume_delay = transcript.resume_delay(killed_at, &name);
    let ms = resume_delay.map_or(0, |time| time.as_millis());
    println!(
        "\n{} tokens: {} missing, {} repeated, mixed: {}; output went on {ms} ms after the death",
        transcript.tokens.len(),
        check.missing,
        check.repeated,
        check.is_mixed
    );
}

/// Kills the engine that runs the generation; returns the name of its backend server.
fn kill_busy_engine(cluster: &Cluster) -> (String, Instant) {
    let is_busy = |engine: &&cactusbarrow_standins::BackendWithAgent<
        cactusbarrow_standins::Engine,
    >| { engine.backend.stats.running.load(Ordering::Relaxed) > 0 };
    let engine = cluster.engines.iter().find(is_busy).expect("one is busy");
    engine.backend.process.kill();
    (engine.name.clone(), Instant::now())
}

/// Prints the stream in order of arrival, and marks where its engine was killed.
fn print_arrivals(transcript: &Transcript, killed_server: &str, killed_at: Instant) {
    let mut shown = 0;
    let mut current_server = "";
    let mut text = Utf8Assembler::new();
    for arrival in &transcript.arrivals {
        if arrival.backend_server != current_server
            && current_server == killed_server
            && arrival.at > killed_at
        {
            print!("\n*** {killed_server} is killed ***");
        }
        if current_server != arrival.backend_server && !arrival.backend_server.is_empty() {
            current_server = &arrival.backend_server;
            print!("\n[{current_server}]");
        }
        for token in &transcript.tokens[shown..arrival.tokens] {
            let bytes = cactusbarrow_standins::token_bytes(*token);
            print!("{}", text.push(&bytes));
        }
        shown = arrival.tokens;
    }
    // A flush error is ignored: it means that standard output is closed.
    let _ = std::io::stdout().flush();
    println!();
}
