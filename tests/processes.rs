//! End-to-end test with the client, a router and agents as separate processes, and stand-ins for the
//! store and the engines.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::time::Duration;

use cactusbarrow_adapter_standins::{reserve_ports, reserved_network};
use cactusbarrow_document::hash_api_key;
use cactusbarrow_standins::{
    Caller, Cluster, ConsulServer, Engine, EngineConfig, Ledger, StreamEnd, Transcript,
};

const API_KEY: &str = "secret-of-processes";
const VERSION: &str = "captions-v1";
const TOKENS: usize = 120;

/// Daemon process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may already have exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(role: &str, settings: &Path) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_cactusbarrowd"))
            .args([role, "--settings"])
            .arg(settings)
            .spawn()
            .expect("the daemon starts");
        Self(child)
    }

    fn signal(&self, name: &str) {
        Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status()
            .expect("a signal can be sent");
    }

    fn terminate(&mut self) -> i32 {
        self.signal("-TERM");
        self.0.wait().expect("the daemon ends").code().unwrap_or(-1)
    }
}

/// Returns the addresses at which a process accepts callers, control connections and the operators' requests.
fn reserve_addrs() -> [SocketAddr; 3] {
    let base = reserve_ports(&[Ipv4Addr::LOCALHOST]);
    [base, base + 1, base + 2].map(|port| (Ipv4Addr::LOCALHOST, port).into())
}

/// Writes a file that concurrent processes of this test do not share.
fn write_file(name: &str, text: &str) -> PathBuf {
    let name = format!("{}-{name}", reserved_network());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file can be written");
    path
}

fn run_client(store: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cactusbarrow"))
        .args(["--store", &store.to_string(), "--json"])
        .args(args)
        .output()
        .expect("the client runs")
}

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

async fn wait_ready(admin: SocketAddr) {
    let caller = Caller::new("");
    for _ in 0..200 {
        let wait = Duration::from_millis(500);
        let ready = caller
            .send(admin, http_get(), "/readyz", &[], "", wait)
            .await;
        if ready.is_ok_and(|res| res.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the process at {admin} is not ready");
}

fn http_get() -> http::Method {
    http::Method::GET
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
