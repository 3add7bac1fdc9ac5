//! The settings change while a gateway runs: the platform kills a stopping process sooner than at its start.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

use anyhow::ensure;
use cactusbarrow_adapter_standins::{
    BackendStandin, StoreStandin, reserve_ports, reserved_network,
};
use review_standins_3::{
    ClientRequest, HostSize, Setup, ask, config, default_limits, route, run_case, settings,
    wait_until_ready,
};

/// `graceS` at the start and after the change, in seconds.
const FIRST_GRACE_S: u64 = 8;
const LATER_GRACE_S: u64 = 4;

/// Time for which a booking runs at its server.
const RUN_TIME: Duration = Duration::from_millis(450);

const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Requests that are sent later after a SIGTERM count although their server is at work at the end.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    run_case(run)
}

fn signal(name: &str, pid: u32) -> anyhow::Result<()> {
    let status = Command::new("kill")
        .args([name, &pid.to_string()])
        .status()?;
    ensure!(status.success(), "signal {name} was not sent");
    Ok(())
}

async fn run(setup: Setup) -> anyhow::Result<bool> {
    let record = setup.record.clone();
    let store = StoreStandin::start().await?;
    let mut servers = Vec::new();
    for (i, zone) in ["nc-a", "nc-b", "nc-c"].iter().enumerate() {
        let name = format!("i-app-{i}");
        let server = BackendStandin::start(&name, 1, Duration::from_millis(1)).await?;
        server.set_run_time(RUN_TIME);
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
    let mut text = settings("front-0", &ip, port, &[&ip], store.addr(), &size);
    // With `TROUBLE=start` the settings are the later ones from the start.
    let is_start = std::env::var("TROUBLE").is_ok_and(|value| value == "start");
    let first = format!("graceS: {FIRST_GRACE_S}");
    let later = format!("graceS: {LATER_GRACE_S}");
    if is_start {
        text = text.replace(&first, &later);
    }
    let mut gateway = setup.start_gateway("front-0", &text)?;
    let to: SocketAddr = (addr, port).into();
    wait_until_ready((addr, port + 1).into(), Duration::from_secs(10)).await?;
    let mut grace_s = FIRST_GRACE_S;
    if setup.has_trouble {
        grace_s = LATER_GRACE_S;
        if !is_start {
            let changed = text.replace(&first, &later);
            setup.change_settings("front-0", &changed)?;
            signal("-HUP", gateway.pid())?;
            record.line(format!(
                "settings changed: graceS {grace_s} instead of {FIRST_GRACE_S}; SIGHUP sent"
            ));
        }
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    signal("-TERM", gateway.pid())?;
    let stopped = Instant::now();
    record.line("SIGTERM sent");
    let grace = Duration::from_secs(grace_s);
    let mut asked = Vec::new();
    let mut number = 0;
    while stopped.elapsed() < grace {
        number += 1;
        let id = format!("booking-{number}");
        let sent_after = stopped.elapsed();
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
            let answer = ask(to, &req).await.map(|answer| answer.status);
            (id, sent_after, answer)
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    if gateway.is_running() {
        gateway.kill();
        record.line(format!(
            "SIGKILL sent {} ms after the SIGTERM",
            stopped.elapsed().as_millis()
        ));
    }
    let ran: Vec<String> = servers
        .iter()
        .flat_map(BackendStandin::runs)
        .filter_map(|run| {
            run.headers
                .get("cactusbarrow-request-id")?
                .to_str()
                .ok()
                .map(str::to_owned)
        })
        .collect();
    let mut lost = 0;
    for task in asked {
        let (id, sent_after, answer) = task.await?;
        let was_run = ran.contains(&id);
        record.line(format!(
            "{id}: sent {} ms after the SIGTERM, run: {was_run}, answered {:?}",
            sent_after.as_millis(),
            answer.as_ref().map_err(ToString::to_string)
        ));
        lost += usize::from(was_run && answer.is_err() && sent_after > EXCUSED_UNTIL);
    }
    record.line(format!(
        "{lost} of {number} bookings were sent later than {} ms after the SIGTERM, run and not answered",
        EXCUSED_UNTIL.as_millis()
    ));
    Ok(lost == 0)
}
