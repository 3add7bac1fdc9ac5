//! Guards against entries of other writers in the store that keep gateways from following it, end work, or draw
//! requests.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::entry_json;
use common::{EVENTS, Gateway, TestCluster, caller_head, edited_config, eventually};
use serde_json::{Value, json};
use tokio::task::JoinSet;

const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which gateways apply a change of the store.
const APPLY_TIME: Duration = Duration::from_millis(800);

/// Returns entries of engines that another writer may have stored, each odd in one way.
fn odd_entries() -> Vec<String> {
    let addr = "127.0.0.1:9".parse().expect("an address");
    let sound: Value =
        serde_json::from_str(&entry_json("llm", addr, "zona-pa", "ready")).expect("JSON");
    let with = |field: &str, odd: Value| {
        let mut entry = sound.clone();
        entry[field] = odd;
        entry.to_string()
    };
    let text = sound.to_string();
    let replaced = |field: &str, odd: &str| {
        text.replace(&format!("\"{field}\":4"), &format!("\"{field}\":{odd}"))
    };
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    vec![
        with("address", json!("127.0.0.1:0")),
        with("address", json!("127.0.0.1:65536")),
        with("address", json!("0.0.0.0:9")),
        with("address", json!("255.255.255.255:9")),
        with("address", json!("224.0.0.1:9")),
        with("slots", json!(0)),
        with("slots", json!(-1)),
        with("slots", json!(4_294_967_296_u64)),
        with("born", json!(-5)),
        with("born", json!(1.5)),
        with("state", json!("odd")),
        with("version", json!(7)),
        replaced("sequence", "1e999"),
        replaced("sequence", "123456789012345678901234567890e9999999"),
        replaced("sequence", &nested),
        nested,
        String::new(),
        "\u{0}\u{1}".to_owned(),
    ]
}

/// Returns items of the store with odd keys and revisions, as bytes of its response.
fn odd_items() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(500), "]".repeat(500));
    let mut items: Vec<Vec<u8>> = [
        r#"{"key":"servers/\ud800","value":"","revision":1}"#,
        r#"{"key":"servers/x","value":"","revision":-1}"#,
        r#"{"key":"servers/x","value":"","revision":1.5}"#,
        r#"{"key":"servers/x","value":"","revision":1e999}"#,
        r#"{"key":"servers/x","value":"","revision":18446744073709551615}"#,
        r#"{"key":"servers/x","value":7,"revision":1}"#,
        r#"{"key":"servers/x","value":"not base64","revision":1}"#,
        r#"{"key":7}"#,
        "7",
    ]
    .iter()
    .map(|item| item.as_bytes().to_vec())
    .collect();
    items.push(format!(r#"{{"key":{nested}}}"#).into_bytes());
    let mut key_with_odd_bytes = br#"{"key":"servers/"#.to_vec();
    key_with_odd_bytes.extend([0xff, 0xfe, 0xc0]);
    key_with_odd_bytes.extend(br#"","value":"","revision":1}"#);
    items.push(key_with_odd_bytes);
    items
}

/// Writes odd values under all keys that gateways read, except those of sound engines.
fn put_odd_values(cluster: &TestCluster) {
    let store = &cluster.store;
    for (i, entry) in odd_entries().iter().enumerate() {
        store.put(&format!("servers/odd-{i}"), entry);
    }
    let addr = cluster.engines[0].addr();
    let sound = entry_json("llm", addr, "zona-pa", "ready");
    let long = "x".repeat(190);
    for key in [
        "",
        "odd key",
        "odd\nkey",
        "ödd",
        "a&b=c#d%zz",
        "odd\"\\key",
        &long,
    ] {
        let unreachable = sound.replace(&addr.to_string(), "127.0.0.1:9");
        store.put(&format!("servers/{key}"), &unreachable);
    }
    let pages = [
        "127.0.0.9/0",
        "127.0.0.9/4",
        "odd",
        "",
        "127.0.0.9/18446744073709551615",
    ];
    for prefix in [
        "streams/",
        "quarantine/",
        "versions/",
        "prompts/",
        "keys/",
        "op/",
        "odd/",
    ] {
        for page in pages {
            store.put(&format!("{prefix}{page}"), "\u{8}\u{ff}\u{ff}odd");
            store.put(&format!("{prefix}{page}0"), "");
        }
    }
}

async fn assert_served(gateway: &Gateway, id: &str) {
    for (kind, path, method) in [("read", "/read/1", "GET"), ("write", "/write/1", "POST")] {
        let id = format!("{id}-{kind}");
        let response = gateway.call(&caller_head(&id, path), method).await;
        assert_eq!(response.status(), 200, "{id}");
    }
    let id = format!("{id}-stream");
    let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
    assert_eq!(
        response.event_ids(),
        (1..=EVENTS).collect::<Vec<_>>(),
        "{id}"
    );
}

/// Checks that the gateway follows the list: it learns of a change after the odd entries.
async fn assert_follows(cluster: &TestCluster, gateway: &Gateway, usable: usize) {
    let backends = || gateway.handle.status().backends;
    eventually("the sound servers are listed", || backends() == usable).await;
    let engine = &cluster.engines[0];
    cluster.put_entry(engine, "llm", "zona-pa", "draining");
    eventually("a drain is noticed", || backends() == usable - 1).await;
    cluster.put_entry(engine, "llm", "zona-pa", "ready");
    cluster.store.put(
        "op/config",
        &edited_config(20, |config| {
            config["routes"][1]["prefix"] = json!("/new/");
        }),
    );
    let versions = gateway.handle.subscribe_version();
    eventually("a configuration is adopted", || versions.borrow().0 == 20).await;
}

#[tokio::test]
async fn odd_entries_that_are_there_at_the_start_do_no_harm() {
    let cluster = TestCluster::start(2).await;
    put_odd_values(&cluster);
    for item in odd_items() {
        cluster.store.add_raw_item(&item);
    }
    let gateway = cluster.one_gateway().await;
    assert_served(&gateway, "start").await;
    assert_follows(&cluster, &gateway, SOUND_AND_UNREACHABLE).await;
}

#[tokio::test]
async fn odd_entries_that_arrive_later_do_no_harm() {
    let cluster = TestCluster::start(2).await;
    let gateway = cluster.one_gateway().await;
    assert_served(&gateway, "before").await;
    put_odd_values(&cluster);
    for item in odd_items() {
        cluster.store.add_raw_item(&item);
    }
    tokio::time::sleep(APPLY_TIME).await;
    assert_served(&gateway, "after").await;
    assert_follows(&cluster, &gateway, SOUND_AND_UNREACHABLE).await;
}

/// Two engines, two plain servers, and the entry under a long id, whose address nobody has.
const SOUND_AND_UNREACHABLE: usize = 5 + 2;

/// Load pattern: the list takes several pages, and one ends at an odd key.
#[tokio::test]
async fn list_of_several_pages_is_read_whole_beside_odd_keys() {
    let cluster = TestCluster::start(2).await;
    put_odd_values(&cluster);
    cluster.store.set_page_size(1);
    let gateway = cluster.one_gateway().await;
    assert_served(&gateway, "paged").await;
    assert_follows(&cluster, &gateway, SOUND_AND_UNREACHABLE).await;
}

#[tokio::test]
async fn odd_value_over_a_sound_engines_entry_ends_no_stream() {
    let cases: JoinSet<()> = odd_entries()
        .into_iter()
        .map(assert_ends_no_stream)
        .collect();
    cases.join_all().await;
}

async fn assert_ends_no_stream(odd: String) {
    let cluster = TestCluster::start_with_interval(1, EVENT_INTERVAL).await;
    let gateway = cluster.one_gateway().await;
    let head = caller_head("running", "/stream/1");
    let overwrite = async {
        eventually("the stream runs", || cluster.run_count("running") == 1).await;
        tokio::time::sleep(EVENT_INTERVAL * 4).await;
        cluster.store.put("servers/engine-0", &odd);
    };
    let (response, ()) = tokio::join!(gateway.call(&head, "POST"), overwrite);
    assert_eq!(
        response.event_ids(),
        (1..=EVENTS).collect::<Vec<_>>(),
        "{odd:.80}"
    );
    assert_eq!(cluster.run_count("running"), 1, "{odd:.80}");
    cluster.put_entry(&cluster.engines[0], "llm", "zona-pa", "ready");
    eventually("the engine is used again", || {
        gateway.handle.status().backends == 3
    })
    .await;
    let response = gateway
        .call(&caller_head("next", "/stream/1"), "POST")
        .await;
    assert_eq!(response.status(), 200, "{odd:.80}");
}

/// Guards against a configuration whose numbers end the handling of requests; the current one stays, or the new
/// one serves.
#[tokio::test]
async fn odd_numbers_in_a_configuration_end_no_requests() {
    let cluster = TestCluster::start(1).await;
    let gateway = cluster.one_gateway().await;
    let odd = [
        json!(1e300),
        json!(u64::MAX),
        json!(-1),
        json!("odd"),
        json!([[[]]]),
    ];
    let mut version = 100;
    for odd in odd {
        for field in [
            "timeoutMs",
            "targetLatencyMs",
            "gapAimMs",
            "priority",
            "attempts",
        ] {
            version += 1;
            let config = edited_config(version, |config| {
                config["routes"][0][field] = odd.clone();
            });
            cluster.store.put("op/config", &config);
        }
        for field in ["idleTimeoutMs", "maxHeaderBytes", "headerTimeoutMs"] {
            version += 1;
            let config = edited_config(version, |config| config["limits"][field] = odd.clone());
            cluster.store.put("op/config", &config);
        }
        tokio::time::sleep(APPLY_TIME).await;
        let id = format!("odd-{version}");
        let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
        assert!(
            [200, 503, 504].contains(&response.status()),
            "{odd}: {}",
            response.status()
        );
        let response = gateway
            .call(&caller_head(&format!("{id}-read"), "/read/1"), "GET")
            .await;
        assert_eq!(response.status(), 200, "{odd}");
    }
}
