//! The operator writes large configurations in quick succession, and the last one takes a key away.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use cactusbarrow_adapter_standins::{
    BackendStandin, StoreStandin, reserve_ports, reserved_network,
};
use review_standins_3::{
    ClientRequest, HostSize, Setup, ask, config, default_limits, route, run_case, settings,
    wait_until_ready,
};

/// Customers of the configuration, each with a key.
const CUSTOMERS: usize = 9_200;

const GAP: Duration = Duration::from_millis(60);
const CHANGES: u64 = 25;

const CONFIG_TIME: Duration = Duration::from_millis(2_000);

fn main() -> ExitCode {
    run_case(run)
}

fn config_of(version: u64, keys: &[&str]) -> String {
    let routes = [route("r-read", "/read/", "idempotent", "app", 2_000)];
    let mut tenants: Vec<_> = (0..CUSTOMERS)
        .map(|i| {
            (
                format!("customer-{i:04}"),
                vec![
                    format!("wsjnbanfqasnmgkc{i:04}"),
                    format!("xd9dnn2ctnfzs989{i:04}"),
                ],
            )
        })
        .collect();
    tenants.push((
        "huka270".to_owned(),
        keys.iter().map(ToString::to_string).collect(),
    ));
    config(version, &routes, &default_limits(), &tenants)
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
    let first = config_of(7, &["key-kept", "key-taken"]);
    record.line(format!("configuration has {} bytes", first.len()));
    store.put("op/config", &first);
    let n: usize = std::env::var("GATEWAYS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    let net = reserved_network();
    let ips: Vec<String> = (1..=n).map(|i| format!("127.{net}.0.{i}")).collect();
    let addrs: Vec<Ipv4Addr> = ips.iter().map(|ip| ip.parse()).collect::<Result<_, _>>()?;
    let port = reserve_ports(&addrs);
    let size = HostSize {
        memory_mb: 260,
        max_fds: 4_100,
        cores: 1,
    };
    let mut gateways = Vec::new();
    for (i, ip) in ips.iter().enumerate() {
        let seeds: Vec<&str> = ips.iter().map(String::as_str).collect();
        let text = settings(&format!("front-{i}"), ip, port, &seeds, store.addr(), &size);
        gateways.push(setup.start_gateway(&format!("front-{i}"), &text)?);
    }
    let callers: Vec<SocketAddr> = addrs.iter().map(|ip| (*ip, port).into()).collect();
    for ip in &addrs {
        wait_until_ready((*ip, port + 1).into(), Duration::from_secs(10)).await?;
    }
    let versions: Vec<String> = (0..CHANGES)
        .map(|i| {
            let keys: &[&str] = if i + 1 == CHANGES {
                &["key-kept"]
            } else {
                &["key-kept", "key-taken"]
            };
            config_of(9 + 2 * i, keys)
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let gap = if setup.has_trouble {
        GAP
    } else {
        Duration::from_secs(1)
    };
    let mut due = tokio::time::Instant::now();
    for version in &versions {
        store.put("op/config", version);
        due += gap;
        tokio::time::sleep_until(due).await;
    }
    let acked = Instant::now();
    record.line("store acknowledged the last version, without key-taken");
    let mut broken = 0;
    while acked.elapsed() < Duration::from_secs(10) {
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
            let status = ask(*to, &req).await.map(|a| a.status);
            record.line(format!(
                "front-{i}: request sent {} ms after the acknowledgement: {status:?}",
                sent_after.as_millis()
            ));
            if sent_after > CONFIG_TIME && status.is_ok_and(|s| s == 200) {
                broken += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    record.line(format!(
        "{broken} requests with the key ran later than {} ms after it",
        CONFIG_TIME.as_millis()
    ));
    for gateway in &mut gateways {
        record.line(format!(
            "gateway {} runs: {}",
            gateway.pid(),
            gateway.is_running()
        ));
    }
    Ok(broken == 0)
}
