//! All gateways lose power while the store is down. The streams that began in the outage are taken up by their
//! clients later, and refused, because nobody knows the software version that began them.

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
use review_standins_2::proxy::Proxy;
use review_standins_2::record::Record;
use review_standins_2::store::Store;
use review_standins_2::{has_trouble, own_ip, sleep_ms, wait_until};

/// `platform_down` (sites/fascicoli-sud.toml: for_s 4.5, how busy), and when the power is lost in it.
const OUTAGE_MS: u64 = 4_500;
const POWER_LOST_AT_MS: u64 = 4_300;

/// `herd_kill` (sites/isobar-wx.toml: for_s 2.0, how power).
const DOWN_MS: u64 = 2_000;

/// `sintesi-atti` (SYSTEM.md: 140 events out, time budget 25,000 ms, aim 4,500 ms, 1 retry). A step takes 3.55 ms and
/// more, and an event holds 8 tokens.
const EVENTS: u64 = 140;
const EVENT_MS: u64 = 36;
const PREFILL_MS: u64 = 200;
const BUDGET: Duration = Duration::from_millis(25_000);

/// Gap after which a client abandons a stream (PROTOCOL.md: four times the objective).
const GAP: Duration = Duration::from_millis(18_000);

/// `sintesi-atti` and `sommario-causa` bring 2.34 streams per second each (SYSTEM.md, Court bundle assembly).
const STREAMS: u64 = 17;
const STREAM_GAP_MS: u64 = 214;
const NEW_STREAMS: u64 = 12;
const GATEWAYS: u8 = 3;
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
const ENGINES_OF_VERSION: usize = 3;
const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// A stream as its client has received it.
struct Received {
    status: u16,
    /// Id of the last event.
    last: u64,
    is_complete: bool,
}

fn run_stream(head: &Head, stream: &mut TcpStream) -> bool {
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
        if !write_chunk(stream, format!("id: {id}\ndata: token {id}\n\n").as_bytes()) {
            return false;
        }
    }
    write_chunk(stream, b"")
}

/// Sends one attempt at a stream and reads events until its end, or until none has come for [`GAP`].
fn receive(
    to: SocketAddr,
    id: &str,
    part: &str,
    resumed: Option<(&str, u64)>,
    time_left: Duration,
) -> Received {
    let mut received = Received {
        status: 0,
        last: resumed.map_or(0, |(_, last)| last),
        is_complete: false,
    };
    let mut head = request_head("POST", "/lohu930/2f", id, KEY, time_left.as_millis() as u64);
    head += &format!(
        "Cactusbarrow-Model: m\r\nCactusbarrow-Token-Usage: 5200,1120\r\n\
         Cactusbarrow-Prompt-Prefix: 5c1e07a2:200,{part}:5000\r\nContent-Length: 2\r\n"
    );
    if let Some((first, last)) = resumed {
        head += &format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
    }
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return received;
    };
    let _ = stream.set_read_timeout(Some(GAP.min(time_left)));
    if stream
        .write_all(format!("{head}\r\n{{}}").as_bytes())
        .is_err()
    {
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
            received.is_complete = received.last == EVENTS;
            return received;
        }
        for line in String::from_utf8_lossy(&chunk).lines() {
            let id = line
                .strip_prefix("id:")
                .and_then(|id| id.trim().parse::<u64>().ok());
            received.last = id.unwrap_or(received.last);
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
        timeout_ms: 25_000,
        attempts: 5,
        can_resume: true,
    };
    store.put(
        "op/config",
        config_json(1, &[route], &[KEY], 15_000).as_bytes(),
    );
    let mut engines = Vec::new();
    for version in VERSIONS {
        for n in 0..ENGINES_OF_VERSION {
            let handler = |head: &Head, _: &[u8], stream: &mut TcpStream| run_stream(head, stream);
            let engine = Engine::start(
                &format!("i-{}{n}", version.replace('.', "")),
                own_ip(2),
                Arc::new(handler),
            );
            let entry = engine.entry_of_version(ENGINES, "zona-pa", "ready", 96, version);
            store.put(&format!("servers/{}", engine.instance), entry.as_bytes());
            engines.push(engine);
        }
    }
    let ips: Vec<_> = (10..10 + GATEWAYS).map(own_ip).collect();
    let start = || -> Vec<Gateway> {
        ips.iter()
            .map(|ip| Gateway::start(*ip, &ips, store.addr))
            .collect()
    };
    let mut gateways = start();
    if !wait_until(Duration::from_secs(15), || {
        gateways.iter().all(Gateway::is_ready)
    }) {
        record.line("could not run: the gateways are not ready");
        return ExitCode::from(2);
    }
    // Clients connect through these, which fall silent when the gateways lose power.
    let entries: Vec<Proxy> = gateways
        .iter()
        .map(|gateway| Proxy::start(own_ip(3), gateway.front()))
        .collect();
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.addr).collect();
    sleep_ms(4_000);
    let probe = receive(fronts[0], "00000000000000aa", "00aa", None, BUDGET);
    if !probe.is_complete {
        record.line(format!(
            "could not run: a first stream got {} and {} events",
            probe.status, probe.last
        ));
        return ExitCode::from(2);
    }
    let began = Instant::now();
    let wait_for =
        |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    // With TROUBLE=power the store stays in service.
    let has_outage = has_trouble() && std::env::var("TROUBLE").as_deref() != Ok("power");
    if has_outage {
        store.set_busy(true);
        record.line("the store is down");
    }
    let results: Arc<Mutex<Vec<(bool, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for n in 0..STREAMS {
        wait_for(500 + n * STREAM_GAP_MS);
        let (record, fronts, results) = (record.clone(), fronts.clone(), results.clone());
        clients.push(std::thread::spawn(move || {
            let started = Instant::now();
            let at = n as usize % fronts.len();
            let (first_id, id) = (format!("{n:08x}00000000"), format!("{n:08x}00000001"));
            let part = format!("{n:08x}");
            let first = receive(fronts[at], &first_id, &part, None, BUDGET);
            if first.is_complete || first.last == 0 {
                record.line(format!("stream {n}: {}, {} events, whole {}", first.status, first.last, first.is_complete));
                return;
            }
            let time_left = BUDGET.saturating_sub(started.elapsed());
            let at = (at + 1) % fronts.len();
            let second = receive(fronts[at], &id, &part, Some((&first_id, first.last)), time_left);
            let goes_on = second.last > first.last;
            record.line(format!(
                "stream {n}: {} events, then silence; taken up with {} ms left: {}, then {} events, whole {}",
                first.last,
                time_left.as_millis(),
                second.status,
                second.last - first.last,
                second.is_complete
            ));
            results.lock().expect("results").push((true, goes_on));
        }));
    }
    if has_trouble() {
        wait_for(POWER_LOST_AT_MS);
        let open: u32 = entries.iter().map(Proxy::silence).sum();
        gateways.clear();
        record.line(format!(
            "all gateways lose power, {open} channels of clients hang"
        ));
        wait_for(OUTAGE_MS);
        if has_outage {
            store.set_busy(false);
            record.line("the store is back");
        }
        wait_for(POWER_LOST_AT_MS + DOWN_MS);
        gateways = start();
        record.line("the gateways start again");
    }
    wait_for(POWER_LOST_AT_MS + GAP.as_millis() as u64 - 1_000);
    for n in 0..NEW_STREAMS {
        let (record, fronts, results) = (record.clone(), fronts.clone(), results.clone());
        clients.push(std::thread::spawn(move || {
            sleep_ms(n * STREAM_GAP_MS);
            let at = n as usize % fronts.len();
            let new = receive(
                fronts[at],
                &format!("{n:08x}00000009"),
                &format!("9{n:07x}"),
                None,
                BUDGET,
            );
            record.line(format!(
                "new stream {n}: {}, {} events, whole {}",
                new.status, new.last, new.is_complete
            ));
            results.lock().expect("results").push((false, new.last > 0));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    for gateway in &gateways {
        for line in gateway.log_lines("generation refused").iter().take(2) {
            record.line(format!("log of {}: {line}", gateway.ip));
        }
    }
    let results = results.lock().expect("results");
    let count = |is_resumed: bool, is_good: bool| {
        let matching = results
            .iter()
            .filter(|(resumed, good)| *resumed == is_resumed && (*good || !is_good));
        matching.count() as f64
    };
    let (resumed, gone_on) = (count(true, false), count(true, true));
    let (new, begun) = (count(false, false), count(false, true));
    record.line(format!("of {resumed} streams that were taken up {gone_on} went on; of {new} new streams {begun} began"));
    let is_broken = resumed >= 12.0 && gone_on / resumed < 0.5 * begun / new;
    record.line(if is_broken { "BROKEN" } else { "held" });
    ExitCode::from(u8::from(is_broken))
}
