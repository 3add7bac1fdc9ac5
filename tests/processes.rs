//! End-to-end test with the client, a router and agents as separate processes, and stand-ins for the
//! store and the engines.

#[path = "common/daemon_process.rs"]
mod daemon_process;

use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_document::hash_api_key;
use cactusbarrow_standins::{
    Caller, Cluster, ConsulServer, Engine, EngineConfig, Ledger, StreamEnd, Transcript,
};
use daemon_process::{Process, reserve_addrs, run_client, wait_ready, write_file};

const API_KEY: &str = "secret-of-processes";
const VERSION: &str = "captions-v1";
const TOKENS: usize = 120;

/// Agent process with its addresses.
struct Agent {
    process: Process,
    listen: SocketAddr,
    control: SocketAddr,
}

fn start_agent(name: &str, backend: SocketAddr) -> Agent {
    let [listen, control, admin] = reserve_addrs();
    let settings = format!(
        "name: {name}\nlisten: {listen}\ncontrol: {control}\nadmin: {admin}\n\
         backend: {backend}\nkind: engine\nlog_level: warn\n"
    );
    let file = write_file(&format!("{name}.yaml"), &settings);
    Agent {
        process: Process::start("agent", &file),
        listen,
        control,
    }
}

fn document(agents: &[(&str, &Agent)]) -> String {
    let mut text = format!(
        "service:\n  name: captions\n  protocol: completions\n  model: captions\n  \
         versions:\n    - model_version: {VERSION}\n      weight: 10000\n\
         ---\nmodel_version:\n  name: {VERSION}\n  model: captions\n  weights: store/captions-v1\n\
         ---\ncustomer:\n  name: isobar\n  key_sha256: {}\n  max_in_flight: 100\n  \
         tokens_per_second: 100000\n",
        hash_api_key(API_KEY)
    );
    for (name, agent) in agents {
        text += &format!(
            "---\nbackend_server:\n  name: {name}\n  service: captions\n  zone: zone-a\n  \
             agent_address: {}\n  control_address: {}\n  model_version: {VERSION}\n  \
             max_in_flight: 16\n",
            agent.listen, agent.control
        );
    }
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_survives_engine_failure_across_processes() {
    let store = ConsulServer::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let ledger = Ledger::default();
    let engine_one = Engine::start(EngineConfig::new(VERSION), ledger.clone(), 1).await;
    let engine_two = Engine::start(EngineConfig::new(VERSION), ledger.clone(), 2).await;
    let agent_one = start_agent("engine-1", engine_one.addr);
    let mut agent_two = start_agent("engine-2", engine_two.addr);
    let [listen, control, admin] = reserve_addrs();
    let settings = format!(
        "name: router-1\nzone: zone-a\nlisten: {listen}\ncontrol: {control}\nadmin: {admin}\n\
         store: {}\nlog_level: warn\n",
        store.addr
    );
    let mut router = Process::start("router", &write_file("router-1.yaml", &settings));
    let text = document(&[("engine-1", &agent_one), ("engine-2", &agent_two)]);
    let file = write_file("document.yaml", &text);
    let file = file.to_str().expect("a path in UTF-8");
    let applied = run_client(store.addr, &["apply", file, "--operation", "first"]);
    assert!(applied.status.success(), "{applied:?}");
    let replayed = run_client(store.addr, &["apply", file, "--operation", "first"]);
    let replayed = String::from_utf8_lossy(&replayed.stdout).into_owned();
    assert!(replayed.contains("\"replay\":true"), "{replayed}");
    wait_ready(admin).await;
    tokio::time::sleep(Duration::from_secs(1)).await;

    let caller = Caller::new(API_KEY);
    let body = Cluster::completion_body("a forecast", 7, TOKENS);
    let mut transcript = Transcript::default();
    let mut stream = caller
        .open(listen, &[], &body, &transcript)
        .await
        .expect("the stream opens");
    let busy_engine = async {
        loop {
            let running_requests =
                |e: &Engine| e.stats.running.load(std::sync::atomic::Ordering::Relaxed);
            if running_requests(&engine_one) > 0 {
                return &engine_one;
            }
            if running_requests(&engine_two) > 0 {
                return &engine_two;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let kill = async {
        let engine = busy_engine.await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        engine.process.kill();
    };
    let (end, ()) = tokio::join!(stream.read(&mut transcript), kill);
    assert_eq!(end, StreamEnd::Done);
    let check = ledger.check_tokens("a forecast", 7, &transcript.tokens, TOKENS);
    assert_eq!(check, cactusbarrow_standins::TokenCheck::default());
    assert_eq!(transcript.tokens.len(), TOKENS);
    assert!(!transcript.text.contains('\u{fffd}'), "{}", transcript.text);

    // A changed settings file ends no process.
    agent_two.process.signal("-HUP");
    router.signal("-HUP");
    assert_eq!(agent_two.process.terminate(), 0);
    assert_eq!(router.terminate(), 0);
}
