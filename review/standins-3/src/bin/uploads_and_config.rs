//! Generations with large prompts run at a gateway while the operator takes a key away.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context;
use cactusbarrow_adapter_standins::{
    BackendStandin, StoreStandin, reserve_ports, reserved_network,
};
use review_standins_3::{
    ClientRequest, HostSize, Setup, ask, config, default_limits, route, run_case, settings,
    wait_until_ready,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of each prompt; `maxBodyBytes` is 4,194,304.
const PROMPT_BYTES: usize = 270_000;

/// Generations that run at once as a rule, and 1.7 times as many in the burst.
const USUAL: usize = 100;
const BURST: usize = 170;

/// Routes that the configuration has besides the two that are used.
const MORE_ROUTES: usize = 1_400;

const CONFIG_TIME: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    run_case(run)
}

fn config_of(version: u64, keys: &[&str]) -> String {
    let mut routes = vec![
        route("r-stream", "/stream/", "stream", "llm", 25_000),
        route("r-read", "/read/", "idempotent", "app", 2_000),
    ];
    routes.extend((0..MORE_ROUTES).map(|i| {
        route(
            &format!("r-more-{i:04}"),
            &format!("/more{i:04}/"),
            "idempotent",
            "app",
            2_000,
        )
    }));
    let keys = keys.iter().map(ToString::to_string).collect();
    config(
        version,
        &routes,
        &default_limits(),
        &[("huka270".to_owned(), keys)],
    )
}

async fn upload(to: SocketAddr, number: usize, size: usize) -> anyhow::Result<u64> {
    let body = vec![b'p'; size];
    let id = format!("upload-{number}");
    let parts = format!(
        "Cactusbarrow-Token-Usage: 1000,150\r\nCactusbarrow-Prompt-Prefix: a{number:03}:200,b{number:03}:800\r\n"
    );
    let req = ClientRequest {
        method: "POST",
        path: "/stream/draft",
        id: &id,
        key: "key-kept",
        deadline_ms: 25_000,
        headers: &parts,
        body: &body,
    };
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(&req.encode()).await?;
    let mut total = 0;
    let mut buf = [0; 4 << 10];
    loop {
        let count = stream.read(&mut buf).await?;
        total += count as u64;
        if count == 0
            || buf[..count].ends_with(b"0\r\n\r\n")
            || buf[..count].starts_with(b"HTTP/1.1 5")
        {
            return Ok(total);
        }
    }
}

async fn run(setup: Setup) -> anyhow::Result<bool> {
    let record = setup.record.clone();
    let store = StoreStandin::start().await?;
    let mut engines = Vec::new();
    for (i, zone) in ["nc-a", "nc-b", "nc-c"].iter().cycle().take(18).enumerate() {
        let engine =
            BackendStandin::start(&format!("i-llm-{i}"), 150, Duration::from_millis(100)).await?;
        store.put(
            &format!("servers/i-llm-{i}"),
            &engine.entry_json("llm", zone, "ready"),
        );
        let plain =
            BackendStandin::start(&format!("i-app-{i}"), 1, Duration::from_millis(1)).await?;
        store.put(
            &format!("servers/i-app-{i}"),
            &plain.entry_json("app", zone, "ready"),
        );
        engines.push((engine, plain));
    }
    let first = config_of(7, &["key-kept", "key-taken"]);
    record.line(format!("configuration has {} bytes", first.len()));
    store.put("op/config", &first);
    let net = reserved_network();
    let ips = [format!("127.{net}.0.1"), format!("127.{net}.0.2")];
    let addrs: Vec<Ipv4Addr> = ips.iter().map(|ip| ip.parse()).collect::<Result<_, _>>()?;
    let port = reserve_ports(&addrs);
    let size = HostSize {
        memory_mb: 160,
        max_fds: 4_100,
        cores: 1,
    };
    let mut gateways = Vec::new();
    for (i, ip) in ips.iter().enumerate() {
        let text = settings(
            &format!("front-{i}"),
            ip,
            port,
            &[&ips[0], &ips[1]],
            store.addr(),
            &size,
        );
        gateways.push(setup.start_gateway(&format!("front-{i}"), &text)?);
    }
    let callers: Vec<SocketAddr> = addrs.iter().map(|ip| (*ip, port).into()).collect();
    for ip in &addrs {
        wait_until_ready((*ip, port + 1).into(), Duration::from_secs(10)).await?;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let count = if setup.has_trouble { BURST } else { USUAL };
    record.line(format!(
        "{count} generations with prompts of {PROMPT_BYTES} bytes begin at front-0"
    ));
    let mut uploads = Vec::new();
    for i in 0..count {
        let (to, size, record) = (callers[0], PROMPT_BYTES, record.clone());
        uploads.push(tokio::spawn(async move {
            let result = upload(to, i, size).await;
            if result.as_ref().is_ok_and(|bytes| *bytes < 1_000) {
                record.line(format!("generation {i} was refused"));
            }
        }));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.put("op/config", &config_of(9, &["key-kept"]));
    let acked = Instant::now();
    record.line("store acknowledged version 9, without key-taken");
    let mut broken = 0;
    let mut is_known = [false; 2];
    while acked.elapsed() < Duration::from_secs(8) {
        for (i, to) in callers.iter().enumerate() {
            let id = format!("probe-{i}-{}", acked.elapsed().as_millis());
            let req = ClientRequest {
                method: "GET",
                path: "/read/status",
                id: &id,
                key: "key-taken",
                deadline_ms: 2_000,
                headers: "",
                body: b"",
            };
            let sent_after = acked.elapsed();
            let answer = ask(to_addr(to), &req)
                .await
                .context("ask with the key that was taken away");
            let status = answer.as_ref().map(|a| a.status);
            record.line(format!(
                "front-{i}: request sent {} ms after the acknowledgement: {status:?}",
                sent_after.as_millis()
            ));
            is_known[i] |= status.as_ref().is_ok_and(|s| *s == 401);
            if sent_after > CONFIG_TIME && status.is_ok_and(|s| s == 200) {
                broken += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let runs: usize = engines.iter().map(|(_, plain)| plain.runs().len()).sum();
    record.line(format!("{broken} requests with the key ran later than {} ms after it; {runs} runs at the plain service", CONFIG_TIME.as_millis()));
    for upload in uploads {
        upload.abort();
    }
    for gateway in &mut gateways {
        record.line(format!(
            "gateway {} runs: {}",
            gateway.pid(),
            gateway.is_running()
        ));
    }
    Ok(broken == 0)
}

fn to_addr(addr: &SocketAddr) -> SocketAddr {
    *addr
}
