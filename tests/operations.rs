//! Tests that documented operator commands succeed, and what the client's exit codes and `explain`
//! report.

use std::net::SocketAddr;
use std::process::{Command, Output};

use cactusbarrow_standins::ConsulServer;

const OPERATIONS_PAGE: &str = include_str!("../docs/OPERATIONS.md");

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .output()
        .expect("the program starts")
}

fn client(store: SocketAddr, args: &[&str]) -> Output {
    let store = store.to_string();
    let args: Vec<&str> = ["--store", &store].iter().chain(args).copied().collect();
    run(env!("CARGO_BIN_EXE_cactusbarrow"), &args)
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

async fn start_store() -> ConsulServer {
    ConsulServer::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

#[tokio::test(flavor = "multi_thread")]
async fn documented_commands_succeed() {
    let store = start_store().await;
    let mut commands = 0;
    for line in OPERATIONS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
    {
        let words: Vec<&str> = line.split_whitespace().collect();
        let output = match words.split_first() {
            Some((&"cactusbarrow", args)) => client(store.addr, args),
            Some((&"cactusbarrowd", args)) => run(env!("CARGO_BIN_EXE_cactusbarrowd"), args),
            _ => panic!("not a command: {line}"),
        };
        assert_eq!(exit_code(&output), 0, "{line}: {output:?}");
        commands += 1;
    }
    assert_eq!(commands, 16);
}

#[test]
fn explain_shows_the_cause_and_omits_other_requests() {
    let explain = |id: &str, file: &str| {
        let file = format!("examples/logs/{file}.jsonl");
        let output = run(env!("CARGO_BIN_EXE_cactusbarrow"), &["explain", id, &file]);
        assert_eq!(exit_code(&output), 0, "{output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let paused = explain("b97325407e3ea71f", "pause");
    assert!(paused.contains("longest_pause_ms=1579"), "{paused}");
    assert!(paused.contains("reason=other_instance"), "{paused}");
    assert!(
        !paused.contains("8a8f3b5b1063d736"),
        "lines of other requests are omitted"
    );
    let unknown = explain("130482cd9e042527", "unknown");
    assert!(unknown.contains("outcome=unknown"), "{unknown}");
    assert!(unknown.contains("reason=broken_answer"), "{unknown}");
    let refused = explain("06c496256a89699b", "refusal");
    assert!(refused.contains("reason=no_configuration"), "{refused}");
    let missing = ["explain", "no-such-id", "examples/logs/pause.jsonl"];
    let missing = run(env!("CARGO_BIN_EXE_cactusbarrow"), &missing);
    assert_eq!(exit_code(&missing), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_outcomes() {
    let store = start_store().await;
    let document = "examples/documents/isobar.yaml";
    let apply = |args: &[&str]| {
        let args: Vec<&str> = ["apply", document].iter().chain(args).copied().collect();
        client(store.addr, &args)
    };
    assert_eq!(exit_code(&client(store.addr, &["nonsense"])), 2);
    assert_eq!(exit_code(&client(store.addr, &["get", "service/none"])), 1);
    assert_eq!(exit_code(&client(store.addr, &["drain", "none"])), 1);
    assert_eq!(exit_code(&apply(&["--operation", "one"])), 0);
    let missing = ["apply", "--delete", "model_version/captions-v1"];
    let refused = client(store.addr, &missing);
    assert_eq!(exit_code(&refused), 3, "{refused:?}");
    let message = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(
        message.contains("service/captions.versions[0]"),
        "{message}"
    );
    assert_eq!(exit_code(&client(store.addr, &["drain", "captions-1"])), 0);
    let conflict = apply(&["--expected-revision", "1"]);
    assert_eq!(exit_code(&conflict), 4, "{conflict:?}");
    let reused = [
        "apply",
        "--delete",
        "customer/presenters",
        "--operation",
        "one",
    ];
    assert_eq!(exit_code(&client(store.addr, &reused)), 4);
    store.set_down(true);
    assert_eq!(exit_code(&apply(&[])), 6);
}
