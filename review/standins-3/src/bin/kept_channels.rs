//! The operator allows larger heads while clients keep their channels open.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;

use cactusbarrow_adapter_standins::{
    BackendStandin, StoreStandin, reserve_ports, reserved_network,
};
use review_standins_3::{
    ClientRequest, HostSize, Setup, config, exchange, route, run_case, settings, wait_until_ready,
};
use serde_json::json;
use tokio::net::TcpStream;

/// Clients with a kept channel each.
const CLIENTS: usize = 20;

/// Parts of the prompt that each request names.
const PARTS: usize = 4_000;

fn main() -> ExitCode {
    run_case(run)
}

fn config_of(version: u64, header_bytes: u64) -> String {
    let routes = [
        route("r-stream", "/stream/", "stream", "llm", 25_000),
        route("r-read", "/read/", "idempotent", "app", 2_000),
    ];
    let limits = json!({"maxHeaderBytes": header_bytes, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000});
    config(
        version,
        &routes,
        &limits,
        &[("huka270".to_owned(), vec!["key-kept".to_owned()])],
    )
}

async fn run(setup: Setup) -> anyhow::Result<bool> {
    let record = setup.record.clone();
    let store = StoreStandin::start().await?;
    let mut plains = Vec::new();
    for (i, zone) in ["nc-a", "nc-b"].iter().enumerate() {
        let plain =
            BackendStandin::start(&format!("i-app-{i}"), 1, Duration::from_millis(1)).await?;
        store.put(
            &format!("servers/i-app-{i}"),
            &plain.entry_json("app", zone, "ready"),
        );
        plains.push(plain);
    }
    let small = 16_384;
    let large = 65_536;
    store.put(
        "op/config",
        &config_of(7, if setup.has_trouble { small } else { large }),
    );
    let net = reserved_network();
    let ip = format!("127.{net}.0.1");
    let addr: Ipv4Addr = ip.parse()?;
    let port = reserve_ports(&[addr]);
    let size = HostSize {
        memory_mb: 260,
        max_fds: 4_100,
        cores: 1,
    };
    let text = settings("front-0", &ip, port, &[&ip], store.addr(), &size);
    let mut gateway = setup.start_gateway("front-0", &text)?;
    let to: SocketAddr = (addr, port).into();
    wait_until_ready((addr, port + 1).into(), Duration::from_secs(10)).await?;
    let mut channels = Vec::new();
    for i in 0..CLIENTS {
        let mut stream = TcpStream::connect(to).await?;
        let id = format!("before-{i}");
        let req = ClientRequest {
            method: "GET",
            path: "/read/status",
            id: &id,
            key: "key-kept",
            deadline_ms: 2_000,
            headers: "",
            body: b"",
        };
        let answer = exchange(&mut stream, &req).await?;
        record.line(format!(
            "channel {i}: small head answered {}",
            answer.status
        ));
        channels.push(stream);
    }
    if setup.has_trouble {
        store.put("op/config", &config_of(9, large));
        record.line(format!(
            "store acknowledged version 9: maxHeaderBytes {large} instead of {small}"
        ));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let parts: Vec<String> = (0..PARTS)
        .map(|i| format!("{:08x}:4", 0x5c1e_07a2 + i))
        .collect();
    let headers = format!("Cactusbarrow-Prompt-Prefix: {}\r\n", parts.join(","));
    record.line(format!(
        "requests with heads of some {} bytes begin, 4 s after it",
        headers.len() + 200
    ));
    let mut denied = 0;
    for (i, stream) in channels.iter_mut().enumerate() {
        let id = format!("kept-{i}");
        let req = ClientRequest {
            method: "GET",
            path: "/read/status",
            id: &id,
            key: "key-kept",
            deadline_ms: 2_000,
            headers: &headers,
            body: b"",
        };
        let answer = exchange(stream, &req).await;
        let status = answer.as_ref().map(|answer| answer.status);
        record.line(format!("kept channel {i}: {status:?}"));
        denied += usize::from(matches!(status, Ok(400..=499)));
    }
    let mut fresh = TcpStream::connect(to).await?;
    let req = ClientRequest {
        method: "GET",
        path: "/read/status",
        id: "fresh",
        key: "key-kept",
        deadline_ms: 2_000,
        headers: &headers,
        body: b"",
    };
    let answer = exchange(&mut fresh, &req).await?;
    record.line(format!("new channel: {}", answer.status));
    let all = 2 * CLIENTS + 1;
    record.line(format!(
        "{denied} of {all} requests denied, {} allowed by the rule; gateway runs: {}",
        5 + all / 500,
        gateway.is_running()
    ));
    Ok(denied <= 5 + all / 500)
}
