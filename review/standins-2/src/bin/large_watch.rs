//! A gateway that was cut off from the store while many versions of a large configuration were written does not
//! read the newest one after the cut.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use review_standins_2::client::{request, send};
use review_standins_2::config::{CALLS, Route, config_json};
use review_standins_2::engine::Engine;
use review_standins_2::gateway::Gateway;
use review_standins_2::proxy::Proxy;
use review_standins_2::record::Record;
use review_standins_2::store::Store;
use review_standins_2::{has_trouble, own_ip, sleep_ms, wait_until};

/// Routes by which `big_config` enlarges the configuration (grown/fascicoli-sud-grown.toml: count 1400).
const MORE_ROUTES: usize = 1_400;

/// `config_storm` (sites/fascicoli-sud.toml: for_s 4.64, gap_s 0.273).
const STORM_VERSIONS: u64 = 17;
const STORM_GAP_MS: u64 = 273;

/// `core_cut` (sites/fascicoli-sud.toml: count 1, for_s 5.5).
const CUT: Duration = Duration::from_millis(5_500);

/// Bounds of the settings.
const HISTORY: Duration = Duration::from_secs(20);
const CONFIG_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;

const KEPT_KEY: &str = "xd9dnn2ctnfzs989anu6";
const REVOKED_KEY: &str = "wsjnbanfqasnmgkcuyj8";

fn main() -> ExitCode {
    let record = Record::create();
    let store = Store::start(own_ip(1), HISTORY);
    let path = Proxy::start(own_ip(1), store.addr);
    let engine = Engine::start_plain("i-7f3a91c2", own_ip(3), Duration::from_millis(5));
    let mut routes = vec![Route::of_calls("r-lookup", "/puxa403/", "idempotent")];
    routes.extend((0..MORE_ROUTES).map(|i| {
        Route::of_calls(
            &format!("r-more{i:05}"),
            &format!("/more{i:05}/"),
            "idempotent",
        )
    }));
    let put = |version: u64, keys: &[&str]| {
        // Each version changes the idle time-out.
        let config = config_json(version, &routes, keys, 15_000 - version * 10);
        store.put("op/config", config.as_bytes());
        record.line(format!(
            "store acknowledges version {version}, {} bytes, keys {keys:?}",
            config.len()
        ));
    };
    put(1, &[KEPT_KEY, REVOKED_KEY]);
    let entry = engine.entry(CALLS, "zona-pa", "ready", 6);
    store.put("servers/i-7f3a91c2", entry.as_bytes());
    let gateway = Gateway::start(own_ip(2), &[], path.addr);
    let lookup = |n: u32, key: &str| {
        let id = format!("{n:016x}");
        let sent = send(
            gateway.front(),
            &request("GET", "/puxa403/2f", &id, key, 2_500),
            Duration::from_secs(4),
        );
        let status = sent.map_or(0, |(head, _)| head.status());
        let has_run = engine.runs().iter().any(|run| run.id == id);
        (status, has_run)
    };
    if !wait_until(Duration::from_secs(15), || gateway.is_ready())
        || lookup(1, REVOKED_KEY) != (200, true)
    {
        record.line("could not run: the gateway does not serve");
        return ExitCode::from(2);
    }
    record.line("the gateway serves both keys");
    sleep_ms(1_000);
    let cut_at = Instant::now();
    if has_trouble() {
        record.line("the path between the gateway and the store is cut");
        path.cut();
    }
    sleep_ms(200);
    for version in 2..2 + STORM_VERSIONS {
        put(version, &[KEPT_KEY, REVOKED_KEY]);
        sleep_ms(STORM_GAP_MS);
    }
    std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if has_trouble() {
        path.heal();
        record.line("the cut ends");
    }
    let healed_at = Instant::now();
    sleep_ms(1_500);
    put(2 + STORM_VERSIONS, &[KEPT_KEY]);
    let acked_at = Instant::now();
    let mut broken = 0;
    for n in 100..145 {
        sleep_ms(500);
        let is_due = acked_at.elapsed() > Duration::from_millis(CONFIG_MS)
            && healed_at.elapsed() > Duration::from_millis(STABLE_WINDOW_MS);
        let after_ms = acked_at.elapsed().as_millis();
        let (status, has_run) = lookup(n, REVOKED_KEY);
        let is_broken = is_due && has_run;
        broken += u32::from(is_broken);
        let verdict = if is_broken { "BROKEN" } else { "" };
        record.line(format!(
            "request with the revoked key, {after_ms} ms after the ack: {status}, run {has_run} {verdict}"
        ));
    }
    let (status, has_run) = lookup(200, KEPT_KEY);
    record.line(format!(
        "request with the other key: {status}, run {has_run}"
    ));
    for line in gateway.log_lines("too large").iter().take(3) {
        record.line(format!("gateway's log: {line}"));
    }
    record.line(format!(
        "{broken} requests ran although their key was revoked and the version in force"
    ));
    ExitCode::from(u8::from(broken > 0))
}
