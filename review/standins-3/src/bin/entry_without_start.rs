//! Another writer stores the entry of a server that is draining, without its start.

use std::collections::HashMap;
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
use serde_json::Value;

const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which a server looks at its own entry.
const SERVER_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time after the acknowledgement at which the other writer writes, once.
const FOREIGN_WRITE_AT: Duration = Duration::from_millis(2_500);

const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which the server goes on after it has reported that it is draining.
const RUN_TIME: Duration = Duration::from_secs(8);

const KEY: &str = "servers/i-app-0";

fn main() -> ExitCode {
    run_case(run)
}

async fn run(setup: Setup) -> anyhow::Result<bool> {
    let record = setup.record.clone();
    let store = StoreStandin::start().await?;
    let zones = ["nc-a", "nc-b", "nc-c"];
    let mut servers = Vec::new();
    for (i, zone) in zones.iter().enumerate() {
        let name = format!("i-app-{i}");
        let server = BackendStandin::start(&name, 1, Duration::from_millis(1)).await?;
        server.set_run_time(Duration::from_millis(30));
        store.put(
            &format!("servers/{name}"),
            &server.entry_json("app", zone, "ready"),
        );
        servers.push(server);
    }
    let routes = [route("r-write", "/write/", "non_idempotent", "app", 2_000)];
    let tenants = [("huka270".to_owned(), vec!["key-kept".to_owned()])];
    store.put(
        "op/config",
        &config(7, &routes, &default_limits(), &tenants),
    );
    let ip = format!("127.{}.0.1", reserved_network());
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
    tokio::time::sleep(Duration::from_secs(2)).await;

    let draining = servers[0].entry_json("app", zones[0], "draining");
    let mut foreign: Value =
        serde_json::from_str(&servers[0].entry_json("app", zones[0], "ready"))?;
    foreign.as_object_mut().map(|entry| entry.remove("born"));
    let foreign = foreign.to_string();
    record.line(format!("entry of the server: {draining}"));
    record.line(format!("entry of the other writer: {foreign}"));
    store.put(KEY, &draining);
    let acked = Instant::now();
    record.line("store acknowledged that i-app-0 is draining");
    let writer = {
        let (store, has_trouble) = (store.clone(), setup.has_trouble);
        let record = record.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until((acked + FOREIGN_WRITE_AT).into()).await;
            if has_trouble {
                store.put(KEY, &foreign);
                record.line("the other writer has written its entry");
                // The server writes again if the store holds another entry than its own.
                tokio::time::sleep_until((acked + 3 * SERVER_INTERVAL).into()).await;
                store.put(KEY, &draining);
                record.line("i-app-0 has written its entry again");
            }
        })
    };
    let mut asked = Vec::new();
    let mut number = 0;
    while acked.elapsed() < RUN_TIME {
        number += 1;
        let id = format!("booking-{number}");
        let sent_after = acked.elapsed();
        asked.push(tokio::spawn(async move {
            let req = ClientRequest {
                method: "POST",
                path: "/write/slot",
                id: &id,
                key: "key-kept",
                deadline_ms: 2_000,
                headers: "",
                body: b"slot",
            };
            let status = ask(to, &req).await.map(|answer| answer.status);
            (id, sent_after, status)
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut sent = HashMap::new();
    for task in asked {
        let (id, sent_after, status) = task.await?;
        record.line(format!(
            "{id}: sent {} ms after it, answered {status:?}",
            sent_after.as_millis()
        ));
        sent.insert(id, sent_after);
    }
    writer.abort();
    let mut broken = 0;
    for run in servers[0].runs() {
        let id = run
            .headers
            .get("cactusbarrow-request-id")
            .and_then(|id| id.to_str().ok());
        let Some((id, sent_after)) = id.and_then(|id| sent.get_key_value(id)) else {
            continue;
        };
        record.line(format!(
            "i-app-0 ran {id}, sent {} ms after it",
            sent_after.as_millis()
        ));
        broken += usize::from(*sent_after > DRAIN_TIME);
    }
    record.line(format!(
        "{broken} of {number} requests were sent later than {} ms after it and reached i-app-0; gateway runs: {}",
        DRAIN_TIME.as_millis(),
        gateway.is_running()
    ));
    Ok(broken == 0)
}
