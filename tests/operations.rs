//! Runs every command that the operators' page shows.

use std::net::SocketAddr;
use std::process::{Command, Output};

use cactusbarrow_standins::ConsulServer;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .output()
        .expect("the program runs")
}

fn client(store: SocketAddr, args: &[&str]) -> Output {
    let store = store.to_string();
    let args: Vec<&str> = ["--store", &store].iter().chain(args).copied().collect();
    run(env!("CARGO_BIN_EXE_cactusbarrow"), &args)
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

async fn store() -> ConsulServer {
    ConsulServer::start(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

#[tokio::test(flavor = "multi_thread")]
async fn every_command_of_the_page_works() {
    let store = store().await;
    let mut commands = 0;
    for line in PAGE.lines().filter_map(|line| line.strip_prefix("    ")) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let output = match words.split_first() {
            Some((&"cactusbarrow", args)) => client(store.addr, args),
            Some((&"cactusbarrowd", args)) => run(env!("CARGO_BIN_EXE_cactusbarrowd"), args),
            _ => panic!("not a command: {line}"),
        };
        assert_eq!(code(&output), 0, "{line}: {output:?}");
        commands += 1;
    }
    assert_eq!(commands, 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_tell_what_happened() {
    let store = store().await;
    let document = "examples/documents/isobar.yaml";
    let apply = |args: &[&str]| {
        let args: Vec<&str> = ["apply", document].iter().chain(args).copied().collect();
        client(store.addr, &args)
    };
    assert_eq!(code(&client(store.addr, &["nonsense"])), 2);
    assert_eq!(code(&client(store.addr, &["get", "service/none"])), 1);
    assert_eq!(code(&client(store.addr, &["drain", "none"])), 1);
    assert_eq!(code(&apply(&["--operation", "one"])), 0);
    let missing = ["apply", "--delete", "model_version/captions-v1"];
    let refused = client(store.addr, &missing);
    assert_eq!(code(&refused), 3, "{refused:?}");
    let message = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(
        message.contains("service/captions.versions[0]"),
        "{message}"
    );
    assert_eq!(code(&client(store.addr, &["drain", "captions-1"])), 0);
    let conflict = apply(&["--expected-revision", "1"]);
    assert_eq!(code(&conflict), 4, "{conflict:?}");
    let reused = [
        "apply",
        "--delete",
        "customer/presenters",
        "--operation",
        "one",
    ];
    assert_eq!(code(&client(store.addr, &reused)), 4);
    store.set_down(true);
    assert_eq!(code(&apply(&[])), 6);
}
