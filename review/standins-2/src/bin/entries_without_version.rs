//! Another writer stores entries of engines without their software version. A gateway uses these engines as if they
//! had one version in common, and joins what two versions write.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_2::client::request_head;
use review_standins_2::config::{ENGINES, Route, config_json};
use review_standins_2::engine::{Engine, begin_stream, write_chunk};
use review_standins_2::gateway::Gateway;
use review_standins_2::http::{Head, read_chunk, read_head};
use review_standins_2::record::Record;
use review_standins_2::store::Store;
use review_standins_2::{has_trouble, own_ip, sleep_ms, wait_until};

/// Interval at which engines write their entries (`heartbeatMs`), and at which the other writer writes its own.
const HEARTBEAT_MS: u64 = 1_200;
const OTHER_WRITER_MS: u64 = 400;
const OTHER_WRITES: u64 = 50;

/// `sintesi-atti` (SYSTEM.md: 140 events out, time budget 25,000 ms).
const EVENTS: u64 = 140;
const EVENT_MS: u64 = 36;
const PREFILL_MS: u64 = 200;
const BUDGET_MS: u64 = 25_000;

const STREAMS: u64 = 144;
const STREAM_GAP_MS: u64 = 125;
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
const ENGINES_OF_VERSION: usize = 6;
/// Engines of each version whose entries the other writer stores; those of the others stay as they are.
const ODD_ENTRIES_OF_VERSION: usize = 5;

/// `srv_crash` (sites/fascicoli-sud.toml: share 0.17, one of four zones every 6 s to 7 s on the standard days): two of
/// the twelve engines at a time, one of each version.
const CRASHES_AT_MS: [u64; 4] = [5_000, 9_000, 13_000, 17_000];
const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// What a client got of one stream.
struct Received {
    status: u16,
    events: u64,
    is_complete: bool,
    versions: BTreeSet<String>,
}

fn run_stream(version: &str, head: &Head, stream: &mut TcpStream) -> bool {
    let last = head
        .get("last-event-id")
        .and_then(|id| id.parse::<u64>().ok())
        .unwrap_or(0);
    sleep_ms(PREFILL_MS);
    if !begin_stream(head, stream) {
        return false;
    }
    for id in last + 1..=EVENTS {
        sleep_ms(EVENT_MS);
        if !write_chunk(
            stream,
            format!("id: {id}\ndata: token {id} by {version}\n\n").as_bytes(),
        ) {
            return false;
        }
    }
    write_chunk(stream, b"")
}

fn receive(to: SocketAddr, n: u64) -> Received {
    let mut received = Received {
        status: 0,
        events: 0,
        is_complete: false,
        versions: BTreeSet::new(),
    };
    let id = format!("{n:016x}");
    let head = request_head("POST", "/lohu930/2f", &id, KEY, BUDGET_MS);
    let request = format!(
        "{head}Cactusbarrow-Model: m\r\nCactusbarrow-Token-Usage: 5200,1120\r\n\
         Cactusbarrow-Prompt-Prefix: 5c1e07a2:200,{n:08x}:5000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let Ok(mut stream) = TcpStream::connect(to) else {
        return received;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(18)));
    if stream.write_all(request.as_bytes()).is_err() {
        return received;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return received;
    };
    received.status = head.status();
    if received.status != 200 {
        return received;
    }
    while let Ok(chunk) = read_chunk(&mut reader) {
        if chunk.is_empty() {
            received.is_complete = true;
            break;
        }
        for line in String::from_utf8_lossy(&chunk).lines() {
            if let Some((_, version)) = line.split_once(" by ") {
                received.events += 1;
                received.versions.insert(version.to_owned());
            }
        }
    }
    received
}

fn main() -> ExitCode {
    let record = Record::create();
    let store = Store::start(own_ip(1), Duration::from_secs(20));
    let route = Route {
        name: "r-draft".to_owned(),
        prefix: "/lohu930/".to_owned(),
        kind: "stream",
        service: ENGINES,
        timeout_ms: BUDGET_MS,
        attempts: 5,
        can_resume: true,
    };
    store.put(
        "op/config",
        config_json(1, &[route], &[KEY], 15_000).as_bytes(),
    );
    let mut engines: Vec<(Engine, &str)> = Vec::new();
    for version in VERSIONS {
        for n in 0..ENGINES_OF_VERSION {
            let handler = move |head: &Head, _: &[u8], stream: &mut TcpStream| {
                run_stream(version, head, stream)
            };
            let engine = Engine::start(
                &format!("i-{}{n}", version.replace('.', "")),
                own_ip(2),
                Arc::new(handler),
            );
            engines.push((engine, version));
        }
    }
    for (n, (engine, version)) in engines.iter().enumerate() {
        let (engine, store, version) = (engine.clone(), store.clone(), *version);
        std::thread::spawn(move || {
            sleep_ms(n as u64 * 130);
            while !engine.has_crashed() {
                let entry = engine.entry_of_version(ENGINES, "zona-pa", "ready", 96, version);
                store.keep(&format!("servers/{}", engine.instance), entry.as_bytes());
                sleep_ms(HEARTBEAT_MS);
            }
        });
    }
    let gateway = Gateway::start(own_ip(3), &[], store.addr);
    if !wait_until(Duration::from_secs(15), || gateway.is_ready()) {
        record.line("could not run: the gateway is not ready");
        return ExitCode::from(2);
    }
    sleep_ms(3_000);
    let probe = receive(gateway.front(), 0xaaaa);
    if !probe.is_complete || probe.versions.len() != 1 {
        record.line(format!(
            "could not run: a first stream got {} and {} events",
            probe.status, probe.events
        ));
        return ExitCode::from(2);
    }
    let began = Instant::now();
    let wait_for = move |ms: u64| {
        std::thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()))
    };
    if has_trouble() {
        let (engines, store, record) = (engines.clone(), store.clone(), record.clone());
        std::thread::spawn(move || {
            for n in 0..OTHER_WRITES {
                wait_for(n * OTHER_WRITER_MS);
                for (at, (engine, version)) in engines.iter().enumerate() {
                    if at % ENGINES_OF_VERSION >= ODD_ENTRIES_OF_VERSION || engine.has_crashed() {
                        continue;
                    }
                    let entry = engine.entry_of_version(ENGINES, "zona-pa", "ready", 96, version);
                    let odd = entry.replace(&format!("\"version\":\"{version}\","), "");
                    store.put(&format!("servers/{}", engine.instance), odd.as_bytes());
                }
                record.line("another writer stores the entries of ten engines without `version`");
            }
        });
    }
    let joined: Arc<Mutex<Vec<u64>>> = Arc::default();
    let crashes = {
        let (engines, record) = (engines.clone(), record.clone());
        std::thread::spawn(move || {
            for (n, at) in CRASHES_AT_MS.into_iter().enumerate() {
                wait_for(at);
                for (engine, version) in [&engines[n], &engines[n + ENGINES_OF_VERSION]] {
                    engine.crash();
                    record.line(format!(
                        "engine {} of version {version} crashes",
                        engine.instance
                    ));
                }
            }
        })
    };
    let mut clients = Vec::new();
    for n in 0..STREAMS {
        wait_for(1_000 + n * STREAM_GAP_MS);
        let (front, record, joined) = (gateway.front(), record.clone(), joined.clone());
        clients.push(std::thread::spawn(move || {
            let got = receive(front, n);
            let verdict = if got.versions.len() > 1 { "BROKEN" } else { "" };
            record.line(format!(
                "stream {n}: {}, {} events by {:?}, whole {} {verdict}",
                got.status, got.events, got.versions, got.is_complete
            ));
            if got.versions.len() > 1 {
                joined.lock().expect("joined").push(n);
            }
        }));
    }
    let _ = crashes.join();
    for client in clients {
        let _ = client.join();
    }
    let joined = joined.lock().expect("joined").len();
    record.line(format!(
        "{joined} of {STREAMS} streams hold events from engines of two versions; two are allowed"
    ));
    ExitCode::from(u8::from(joined > 2))
}
