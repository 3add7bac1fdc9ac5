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
const OTHER_WRITES: u64 = 62;

/// `sintesi-atti` (SYSTEM.md: 140 events out, time budget 25,000 ms).
const EVENTS: u64 = 140;
const EVENT_MS: u64 = 36;
const PREFILL_MS: u64 = 200;
const BUDGET_MS: u64 = 25_000;

/// `sintesi-atti` and `sommario-causa` bring 2.34 streams per second each (SYSTEM.md, Court bundle assembly).
const STREAMS: u64 = 112;
const STREAM_GAP_MS: u64 = 214;
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
const ENGINES_OF_VERSION: usize = 6;
/// Engines of each version whose entries the other writer stores; those of the others stay as they are.
const ODD_ENTRIES_OF_VERSION: usize = 5;

const ZONES: [&str; 4] = ["zona-pa", "zona-ct", "zona-me", "zona-cl"];

/// `srv_crash` of the standard days (sites/fascicoli-sud.toml: one of four zones every 6 s to 7 s, for_s 1.2, how "").
const CRASHES_AT_MS: [u64; 4] = [5_000, 11_000, 18_000, 24_000];
const DOWN_MS: u64 = 1_200;

/// Silence after which the entry of an engine that crashed is removed: three heartbeats.
const REMOVED_AFTER_MS: u64 = 3 * HEARTBEAT_MS;

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

/// A place at which engines run one after the other.
struct Place {
    engine: Engine,
    version: &'static str,
    zone: &'static str,
}

impl Place {
    fn new(at: usize, start: usize) -> Self {
        let (version, zone) = (VERSIONS[at / ENGINES_OF_VERSION], ZONES[at % ZONES.len()]);
        let handler =
            move |head: &Head, _: &[u8], stream: &mut TcpStream| run_stream(version, head, stream);
        let engine = Engine::start(&format!("i-{at}-{start}"), own_ip(2), Arc::new(handler));
        Self {
            engine,
            version,
            zone,
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.engine.instance)
    }

    fn entry(&self) -> String {
        self.engine
            .entry_of_version(ENGINES, self.zone, "ready", 96, self.version)
    }
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
    let places: Vec<Arc<Mutex<Place>>> = (0..VERSIONS.len() * ENGINES_OF_VERSION)
        .map(|at| Arc::new(Mutex::new(Place::new(at, 0))))
        .collect();
    for (n, place) in places.iter().enumerate() {
        let (place, store) = (place.clone(), store.clone());
        std::thread::spawn(move || {
            sleep_ms(n as u64 * 90);
            loop {
                {
                    let place = place.lock().expect("a place");
                    if !place.engine.has_crashed() {
                        store.keep(&place.key(), place.entry().as_bytes());
                    }
                }
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
    // With TROUBLE=crash the engines crash, and there is no other writer.
    if has_trouble() && std::env::var("TROUBLE").as_deref() != Ok("crash") {
        let (places, store, record) = (places.clone(), store.clone(), record.clone());
        std::thread::spawn(move || {
            for n in 0..OTHER_WRITES {
                wait_for(n * OTHER_WRITER_MS);
                for (at, place) in places.iter().enumerate() {
                    let place = place.lock().expect("a place");
                    if at % ENGINES_OF_VERSION >= ODD_ENTRIES_OF_VERSION
                        || place.engine.has_crashed()
                    {
                        continue;
                    }
                    let odd = place
                        .entry()
                        .replace(&format!("\"version\":\"{}\",", place.version), "");
                    store.put(&place.key(), odd.as_bytes());
                }
                record.line("another writer stores the entries of ten engines without `version`");
            }
        });
    }
    let joined: Arc<Mutex<Vec<u64>>> = Arc::default();
    if has_trouble() {
        let (places, store, record) = (places.clone(), store.clone(), record.clone());
        std::thread::spawn(move || {
            for (n, at) in CRASHES_AT_MS.into_iter().enumerate() {
                wait_for(at);
                let in_zone: Vec<_> = places
                    .iter()
                    .enumerate()
                    .filter(|(at, _)| at % ZONES.len() == n)
                    .collect();
                let mut keys = Vec::new();
                for (_, place) in &in_zone {
                    let place = place.lock().expect("a place");
                    place.engine.crash();
                    keys.push(place.key());
                }
                record.line(format!(
                    "the {} engines of zone {} crash",
                    in_zone.len(),
                    ZONES[n]
                ));
                wait_for(at + DOWN_MS);
                for (at, place) in &in_zone {
                    let new = Place::new(*at, n + 1);
                    store.put(&new.key(), new.entry().as_bytes());
                    *place.lock().expect("a place") = new;
                }
                record.line("as many start again, under new names");
                wait_for(at + REMOVED_AFTER_MS);
                for key in keys {
                    store.delete(&key);
                }
            }
        });
    }
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
    for client in clients {
        let _ = client.join();
    }
    let joined = joined.lock().expect("joined").len();
    record.line(format!(
        "{joined} of {STREAMS} streams hold events from engines of two versions; two are allowed"
    ));
    ExitCode::from(u8::from(joined > 2))
}
