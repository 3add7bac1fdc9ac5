//! A gateway that is cut off from the store learns the list of engines from a peer, but not the configuration that
//! was written before it, as the peer is lost then. After the cut it does not read that configuration.

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

/// Routes by which `big_config` enlarges the configuration (sites/isobar-wx.toml: count 350).
const MORE_ROUTES: usize = 350;

/// `core_cut` (sites/fascicoli-sud.toml: count 1, for_s 5.5), and when the version is written in it.
const CUT: Duration = Duration::from_millis(5_500);
const WRITE_AT: Duration = Duration::from_millis(3_500);

/// Time from the acknowledgement of the version to the loss of the other gateway.
const LOSS_AFTER_MS: u64 = 300;

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
    let engine = Engine::start_plain("i-7f3a91c2", own_ip(4), Duration::from_millis(5));
    let mut routes = vec![Route::of_calls("r-lookup", "/puxa403/", "idempotent")];
    routes.extend((0..MORE_ROUTES).map(|i| {
        Route::of_calls(
            &format!("r-more{i:05}"),
            &format!("/more{i:05}/"),
            "idempotent",
        )
    }));
    let put = |version: u64, keys: &[&str]| {
        let config = config_json(version, &routes, keys, 15_000);
        store.put("op/config", config.as_bytes());
        record.line(format!(
            "store acknowledges version {version}, {} bytes, keys {keys:?}",
            config.len()
        ));
    };
    put(1, &[KEPT_KEY, REVOKED_KEY]);
    let entry = engine.entry(CALLS, "zona-pa", "ready", 6);
    store.put("servers/i-7f3a91c2", entry.as_bytes());
    let (a_ip, b_ip) = (own_ip(2), own_ip(3));
    let a = Gateway::start(a_ip, &[a_ip, b_ip], store.addr);
    let b = Gateway::start(b_ip, &[a_ip, b_ip], path.addr);
    let lookup = |gateway: &Gateway, n: u32, key: &str| {
        let id = format!("{n:016x}");
        let sent = send(
            gateway.front(),
            &request("GET", "/puxa403/2f", &id, key, 2_500),
            Duration::from_secs(4),
        );
        let status = sent.map_or(0, |(head, _)| head.status());
        (status, engine.runs().iter().any(|run| run.id == id))
    };
    if !wait_until(Duration::from_secs(15), || a.is_ready() && b.is_ready())
        || lookup(&a, 1, REVOKED_KEY) != (200, true)
        || lookup(&b, 2, REVOKED_KEY) != (200, true)
    {
        record.line("could not run: the gateways do not serve");
        return ExitCode::from(2);
    }
    record.line("both gateways serve both keys");
    sleep_ms(3_000);
    let cut_at = Instant::now();
    if has_trouble() {
        path.cut();
        record.line("the path between gateway B and the store is cut");
    }
    std::thread::sleep(WRITE_AT);
    put(2, &[KEPT_KEY]);
    let acked_at = Instant::now();
    sleep_ms(LOSS_AFTER_MS);
    let mut other = Some(a);
    if has_trouble() {
        other = None;
        record.line("gateway A is lost for good");
    }
    std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if has_trouble() {
        path.heal();
        record.line("the cut ends");
    }
    let calm_at = Instant::now();
    let mut broken = 0;
    for n in 100..150 {
        sleep_ms(500);
        let is_due = acked_at.elapsed() > Duration::from_millis(CONFIG_MS)
            && calm_at.elapsed() > Duration::from_millis(STABLE_WINDOW_MS);
        let after_ms = acked_at.elapsed().as_millis();
        let (status, has_run) = lookup(&b, n, REVOKED_KEY);
        let is_broken = is_due && has_run;
        broken += u32::from(is_broken);
        let verdict = if is_broken { "BROKEN" } else { "" };
        record.line(format!(
            "gateway B, request with the revoked key, {after_ms} ms after the ack: {status}, run {has_run} {verdict}"
        ));
    }
    let (status, has_run) = lookup(&b, 200, KEPT_KEY);
    record.line(format!(
        "gateway B, request with the other key: {status}, run {has_run}"
    ));
    for line in b.log_lines("knowledge fetched").iter().rev().take(3) {
        record.line(format!("log of B: {line}"));
    }
    for line in b.log_lines("configuration").iter().rev().take(4) {
        record.line(format!("log of B: {line}"));
    }
    drop(other);
    record.line(format!(
        "{broken} requests ran although their key was revoked and the version in force"
    ));
    ExitCode::from(u8::from(broken > 0))
}
