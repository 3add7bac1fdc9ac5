//! The whole system on loopback: a caller's stream goes on through the death of its engine.
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
    let judgement = cluster
        .ledger
        .check_tokens(PROMPT, SEED, &transcript.tokens, TOKENS);
    assert_eq!(judgement, TokenCheck::default());
    let resume = transcript.resume_delay(killed_at, &name);
    let ms = resume.map_or(0, |time| time.as_millis());
    println!(
        "\n{} tokens: {} missing, {} repeated, mixed: {}; output went on {ms} ms after the death",
        transcript.tokens.len(),
        judgement.missing,
        judgement.repeated,
        judgement.is_mixed
    );
}

/// Kills the engine that runs the generation; returns the name of its backend server.
fn kill_busy_engine(cluster: &Cluster) -> (String, Instant) {
    let is_busy = |site: &&cactusbarrow_standins::BackendWithAgent<
        cactusbarrow_standins::Engine,
    >| { site.backend.stats.running.load(Ordering::Relaxed) > 0 };
    let site = cluster.engines.iter().find(is_busy).expect("one is busy");
    site.backend.host.kill();
    (site.name.clone(), Instant::now())
}

/// Prints the stream as it arrived, with the place where its engine died.
fn print_arrivals(transcript: &Transcript, dead: &str, killed_at: Instant) {
    let mut shown = 0;
    let mut place = "";
    let mut text = Utf8Assembler::new();
    for arrival in &transcript.arrivals {
        if arrival.backend_server != place && place == dead && arrival.at > killed_at {
            print!("\n*** {dead} is killed ***");
        }
        if place != arrival.backend_server && !arrival.backend_server.is_empty() {
            place = &arrival.backend_server;
            print!("\n[{place}]");
        }
        for token in &transcript.tokens[shown..arrival.tokens] {
            let bytes = cactusbarrow_standins::token_bytes(*token);
            print!("{}", text.push(&bytes));
        }
        shown = arrival.tokens;
    }
    // What is printed is for people; a closed terminal ends the program anyway.
    let _ = std::io::stdout().flush();
    println!();
}
