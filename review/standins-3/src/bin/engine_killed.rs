//! An engine, some of whose answers end with their channel, is killed in the middle of its streams.

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

const ENGINES: u64 = 8;
const STREAMS: usize = 160;
const EVENTS: u64 = 40;

/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(60);

fn main() -> ExitCode {
    run_case(run)
}

/// What a client has received of a stream.
struct Received {
    last_event: u64,
    /// Whether each event followed the one before.
    is_in_order: bool,
    engines: Vec<String>,
    /// Whether the response ended in order, so that it looks complete.
    looks_complete: bool,
}

async fn receive(to: SocketAddr, number: usize) -> anyhow::Result<Received> {
    let id = format!("stream-{number}");
    let parts = format!(
        "Cactusbarrow-Model: m\r\nCactusbarrow-Token-Usage: 1000,40\r\nCactusbarrow-Prompt-Prefix: a{number:03}:200,b{number:03}:800\r\n"
    );
    let req = ClientRequest {
        method: "POST",
        path: "/stream/draft",
        id: &id,
        key: "key-kept",
        deadline_ms: 25_000,
        headers: &parts,
        body: b"prompt",
    };
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(&req.encode()).await?;
    let mut bytes = Vec::new();
    let mut buf = [0; 4 << 10];
    loop {
        let count = stream.read(&mut buf).await.unwrap_or(0);
        bytes.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&bytes);
        let looks_complete = text
            .to_ascii_lowercase()
            .contains("transfer-encoding: chunked")
            && text.ends_with("\r\n0\r\n\r\n");
        if count == 0 || looks_complete {
            let ids: Vec<u64> = text
                .lines()
                .filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok())
                .collect();
            let mut engines: Vec<String> = text
                .lines()
                .filter_map(|line| Some(line.split_once(" by ")?.1.to_owned()))
                .collect();
            engines.dedup();
            return Ok(Received {
                last_event: ids.last().copied().unwrap_or(0),
                is_in_order: ids.iter().zip(1..).all(|(id, expected)| *id == expected),
                engines,
                looks_complete,
            });
        }
    }
}

async fn run(setup: Setup) -> anyhow::Result<bool> {
    let record = setup.record.clone();
    let store = StoreStandin::start().await?;
    let net = reserved_network();
    let mut engines = Vec::new();
    let engine_ip = Ipv4Addr::new(127, net, 1, 1);
    for i in 0..ENGINES {
        let address = SocketAddr::from((engine_ip, reserve_ports(&[engine_ip])));
        let (instance, born) = (format!("i-llm-{i}"), 1_790_000_000_000 + i);
        engines.push(EngineProcess::start(
            address, &instance, born, EVENTS, INTERVAL,
        )?);
        let zone = ["nc-a", "nc-b"][i as usize % 2];
        store.put(
            &format!("servers/{instance}"),
            &entry("llm", address, zone, 64, born),
        );
    }
    let routes = [route("r-stream", "/stream/", "stream", "llm", 25_000)];
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
    record.line(format!("{STREAMS} streams of {EVENTS} events begin"));
    let to: SocketAddr = (addr, port).into();
    let streams: Vec<_> = (0..STREAMS).map(|i| tokio::spawn(receive(to, i))).collect();
    if setup.has_trouble {
        tokio::time::sleep(INTERVAL * 12).await;
        engines[0].kill();
        record.line("engine i-llm-0 killed; the other seven go on");
    }
    let mut broken = 0;
    for (i, stream) in streams.into_iter().enumerate() {
        let Received {
            last_event,
            is_in_order,
            engines,
            looks_complete,
        } = stream.await??;
        let end = if looks_complete {
            "complete"
        } else {
            "broken off"
        };
        record.line(format!("stream {i}: events 1 to {last_event} of {EVENTS}, in order: {is_in_order}, by {}, ends as {end}", engines.join(", then ")));
        broken += usize::from(looks_complete && (last_event < EVENTS || !is_in_order));
    }
    record.line(format!(
        "{broken} of {STREAMS} streams ended as complete before their last event; gateway runs: {}",
        gateway.is_running()
    ));
    Ok(broken == 0)
}
