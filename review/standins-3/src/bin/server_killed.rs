//! A server, some of whose answers end with their channel, is killed in the middle of its answers to lookups.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;

use cactusbarrow_adapter_standins::{StoreStandin, reserve_ports, reserved_network};
use review_standins_3::{
    ClientRequest, EngineProcess, HostSize, Setup, config, default_limits, entry, route, run_case,
    settings, wait_until_ready,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SERVERS: u64 = 8;
const LOOKUPS: usize = 160;

/// Lines of an answer.
const LINES: u64 = 10;

/// Time between two lines.
const INTERVAL: Duration = Duration::from_millis(30);

fn main() -> ExitCode {
    run_case(run)
}

/// What a client has received of an answer.
struct Received {
    status: u16,
    lines: usize,
    is_signed: bool,
    /// Whether the connection was closed in order behind an answer without a length, so that it looks complete.
    looks_complete: bool,
}

async fn receive(to: SocketAddr, number: usize) -> anyhow::Result<Received> {
    let id = format!("lookup-{number}");
    let path = format!("/read/status?of={number}");
    let req = ClientRequest {
        method: "GET",
        path: &path,
        id: &id,
        key: "key-kept",
        deadline_ms: 4_000,
        headers: "Connection: close\r\n",
        body: b"",
    };
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(&req.encode()).await?;
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).await.is_ok();
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_ascii_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    Ok(Received {
        status,
        lines: body
            .lines()
            .filter(|line| line.starts_with("line "))
            .count(),
        is_signed: head.contains("cactusbarrow-server-signature"),
        looks_complete: is_closed && !head.contains("content-length") && !head.contains("chunked"),
    })
}

async fn run(setup: Setup) -> anyhow::Result<bool> {
    let record = setup.record.clone();
    let store = StoreStandin::start().await?;
    let net = reserved_network();
    let mut engines = Vec::new();
    let engine_ip = Ipv4Addr::new(127, net, 1, 1);
    for i in 0..SERVERS {
        let address = SocketAddr::from((engine_ip, reserve_ports(&[engine_ip])));
        let (instance, born) = (format!("i-app-{i}"), 1_790_000_000_000 + i);
        engines.push(EngineProcess::start(
            address, &instance, born, LINES, INTERVAL,
        )?);
        let zone = ["nc-a", "nc-b"][i as usize % 2];
        store.put(
            &format!("servers/{instance}"),
            &entry("app", address, zone, 6, born),
        );
    }
    let routes = [route("r-read", "/read/", "idempotent", "app", 2_000)];
    store.put(
        "op/config",
        &config(
            7,
            &routes,
            &default_limits(),
            &[("huka270".to_owned(), vec!["key-kept".to_owned()])],
        ),
    );
    let ip = format!("127.{net}.0.1");
    let addr: Ipv4Addr = ip.parse()?;
    let port = reserve_ports(&[addr]);
    let size = HostSize {
        memory_mb: 260,
        max_fds: 4_100,
        cores: 1,
    };
    let mut gateway = setup.start_gateway(
        "front-0",
        &settings("front-0", &ip, port, &[&ip], store.addr(), &size),
    )?;
    wait_until_ready((addr, port + 1).into(), Duration::from_secs(10)).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    record.line(format!(
        "{LOOKUPS} lookups begin, with answers of {LINES} lines"
    ));
    let to: SocketAddr = (addr, port).into();
    let lookups: Vec<_> = (0..LOOKUPS).map(|i| tokio::spawn(receive(to, i))).collect();
    if setup.has_trouble {
        tokio::time::sleep(INTERVAL * 5 + INTERVAL / 2).await;
        engines[0].kill();
        record.line("server i-app-0 killed; the other seven go on");
    }
    let mut broken = 0;
    for (i, lookup) in lookups.into_iter().enumerate() {
        let Received {
            status,
            lines,
            is_signed,
            looks_complete,
        } = lookup.await??;
        let end = if looks_complete {
            "complete"
        } else {
            "cut or framed"
        };
        record.line(format!("lookup {i}: status {status}, {lines} of {LINES} lines, signed: {is_signed}, ends as {end}"));
        broken += usize::from(status == 200 && looks_complete && (lines as u64) < LINES);
    }
    record.line(format!(
        "{broken} of {LOOKUPS} lookups succeeded without the whole body; gateway runs: {}",
        gateway.is_running()
    ));
    Ok(broken == 0)
}
