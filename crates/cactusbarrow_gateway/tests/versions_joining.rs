//! Guards against streams of a version that has just joined, which go on at another version where it is not known.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cactusbarrow_adapter_standins::{CallerHead, Fault};
use common::cut_proxy::CutProxy;
use common::streams::{begin_stream, writers};
use common::{
    CallerResponse, EVENTS, Gateway, KillableGateway, TestCluster, caller_head, eventually,
    free_ports, start_engine,
};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which gateways know one another and have written their pages.
const MEETING_TIME: Duration = Duration::from_millis(1_000);

/// Time after which a gateway waits for changes again, on a connection that has just been opened.
const RECOVERY_TIME: Duration = Duration::from_millis(100);

/// Number of backend servers before the new version joins: two engines and two plain ones.
const BACKENDS: usize = 4;

/// Index of the engine of the new version.
const NEW: usize = 2;

/// Two gateways, of which the second one falls out of step, and an engine of a new version without an entry.
struct Release {
    cluster: TestCluster,
    in_step: KillableGateway,
    out_of_step: KillableGateway,
    /// Link of the second gateway to the store.
    link: CutProxy,
}

impl Release {
    async fn start(are_peers: bool) -> Self {
        let cluster = TestCluster::start_with_software(&["v1", "v1", "v2"], EVENT_INTERVAL).await;
        cluster.store.delete("servers/engine-2");
        let link = CutProxy::start(cluster.store.addr()).await;
        let base = free_ports("127.0.0.1");
        let (first, second) = ("127.0.0.1", "127.0.0.2");
        let seeds = if are_peers {
            (second, first)
        } else {
            (first, second)
        };
        let store = cluster.store.addr();
        let in_step = KillableGateway::start(first, base, seeds.0, store).await;
        let out_of_step = KillableGateway::start(second, base, seeds.1, link.addr()).await;
        tokio::time::sleep(MEETING_TIME).await;
        Self {
            cluster,
            in_step,
            out_of_step,
            link,
        }
    }

    /// Stalls the watch of the second gateway; its next calls to the store succeed.
    async fn stall_watch(&self) {
        self.link.set_cut(true);
        tokio::time::sleep(RECOVERY_TIME).await;
        let forwarded = self.link.forwarded();
        self.link.set_cut(false);
        eventually("the watch is back", || self.link.forwarded() > forwarded).await;
        tokio::time::sleep(RECOVERY_TIME).await;
        self.link.stall_connections();
    }

    /// Has the new version join, and a stream begin at it; returns the last event that its caller has.
    async fn begin_at_new(&self) -> u64 {
        self.cluster
            .put_entry(&self.cluster.engines[NEW], "llm", "zona-pa", "ready");
        let first = &self.in_step.gateway;
        eventually("the new version is listed", || {
            first.handle.status().backends > BACKENDS
        })
        .await;
        begin_stream(&self.cluster, first, "begun", "v2").await
    }

    /// Takes the stream up at the gateway that is out of step, by a caller that names it and one that does not.
    async fn assert_not_mixed(&self, last_event: u64) {
        for resumes in [None, Some("begun")] {
            let id = format!("again-{}", resumes.unwrap_or("unnamed"));
            let response = resume(&self.out_of_step.gateway, &id, resumes, last_event).await;
            self.assert_refused_or_new(&id, &response);
        }
    }

    fn assert_refused_or_new(&self, id: &str, response: &CallerResponse) {
        if response.status() == 200 {
            assert_eq!(writers(response), BTreeSet::from(["v2"]), "{id}");
        } else {
            let ran = self.cluster.run_count(id);
            assert_eq!((response.status(), ran), (503, 0), "{id}");
        }
    }
}

/// Sends the request of a caller that resumes a stream after `last_event`, which it need not name.
async fn resume(
    gateway: &Gateway,
    id: &str,
    resumes: Option<&str>,
    last_event: u64,
) -> CallerResponse {
    let last_event = last_event.to_string();
    let mut extra = vec![("last-event-id", &*last_event)];
    extra.extend(resumes.map(|resumes| ("resumes", resumes)));
    let head = CallerHead {
        extra: &extra,
        ..caller_head(id, "/stream/1")
    };
    gateway.call(&head, "POST").await
}

/// Load pattern: the watch stalls while other calls to the store succeed, and the pages were just read.
#[tokio::test]
async fn pages_that_were_read_before_a_version_joined_prove_nothing() {
    let release = Release::start(false).await;
    release.stall_watch().await;
    let second = &release.out_of_step.gateway;
    let response = resume(second, "other", None, EVENTS - 1).await;
    assert_eq!(response.event_ids(), [EVENTS], "the pages are read");
    let last_event = release.begin_at_new().await;
    release.assert_not_mixed(last_event).await;
}

async fn assert_not_mixed_after(cut: impl AsyncFnOnce(&Release), are_peers: bool) {
    let release = Release::start(are_peers).await;
    cut(&release).await;
    let last_event = release.begin_at_new().await;
    release.assert_not_mixed(last_event).await;
}

#[tokio::test]
async fn gateway_that_is_cut_from_the_store_or_its_peers_joins_no_versions() {
    for are_peers in [true, false] {
        assert_not_mixed_after(async |release| release.link.set_cut(true), are_peers).await;
        assert_not_mixed_after(async |release| release.link.stall_connections(), are_peers).await;
        assert_not_mixed_after(async |_| {}, are_peers).await;
    }
}

async fn start_next(store: SocketAddr) -> KillableGateway {
    let ip = "127.0.0.4";
    KillableGateway::start(ip, free_ports(ip), ip, store).await
}

#[tokio::test]
async fn gateway_that_starts_while_a_version_joins_continues_at_no_other() {
    let mut release = Release::start(false).await;
    let store = release.cluster.store.addr();
    let (next, last_event) = tokio::join!(start_next(store), release.begin_at_new());
    release.out_of_step = next;
    release.assert_not_mixed(last_event).await;
}

/// Time after which a gateway has given up a write and done the next one, well before it repeats the former.
const NEXT_WRITE_TIME: Duration = Duration::from_millis(2_000);

/// Has a stream begin at a version that joins and leaves, and all gateways end; takes it up at one that starts then.
///
/// `before` comes before the version joins, and `after` before the next gateway starts.
async fn assert_not_mixed_by_next(
    before: impl AsyncFnOnce(&Release),
    after: impl FnOnce(&TestCluster),
) {
    let mut release = Release::start(false).await;
    // Otherwise its page names the new version, too.
    release.link.set_cut(true);
    before(&release).await;
    let last_event = release.begin_at_new().await;
    tokio::time::sleep(MEETING_TIME).await;
    let store = release.cluster.store.addr();
    release.cluster.store.delete("servers/engine-2");
    after(&release.cluster);
    release.out_of_step = start_next(store).await;
    release.assert_not_mixed(last_event).await;
}

/// Load pattern: the store executes a write seconds after its writer has given it up.
#[tokio::test]
async fn late_write_hides_no_version_that_a_newer_page_names() {
    let hold_write = async |release: &Release| {
        let store = &release.cluster.store;
        store.set_holds_writes(true);
        begin_stream(&release.cluster, &release.in_step.gateway, "early", "v1").await;
        eventually("a write is held", || store.held_writes() > 0).await;
        store.set_holds_writes(false);
        tokio::time::sleep(NEXT_WRITE_TIME).await;
    };
    assert_not_mixed_by_next(hold_write, |cluster| cluster.store.execute_held_writes()).await;
}

/// Load pattern: another writer damages the page.
#[tokio::test]
async fn page_that_was_cut_short_proves_nothing() {
    // A page that is cut short may decode, too: here, one group without fields.
    for value in ["", "\n\0", "not a page"] {
        let damage = |cluster: &TestCluster| cluster.store.put("streams/127.0.0.1/0", value);
        assert_not_mixed_by_next(async |_| {}, damage).await;
    }
}

/// Load pattern: another writer leaves an item in place of the page that cannot be decoded.
#[tokio::test]
async fn page_whose_item_cannot_be_decoded_proves_nothing() {
    for rest in [
        r#""value":"not base64","revision":1"#,
        r#""value":7,"revision":1"#,
        r#""value":"","revision":-1"#,
        r#""value":"","revision":18446744073709551615"#,
    ] {
        let replace = |cluster: &TestCluster| {
            cluster.store.delete("streams/127.0.0.1/0");
            let item = format!(r#"{{"key":"streams/127.0.0.1/0",{rest}}}"#);
            cluster.store.add_raw_item(item.as_bytes());
        };
        assert_not_mixed_by_next(async |_| {}, replace).await;
    }
}

/// Ends the only engine and starts it again in place, at `v2`.
async fn start_again(cluster: &mut TestCluster) {
    let engine = cluster.engines.remove(0);
    engine.kill();
    tokio::time::sleep(RECOVERY_TIME).await;
    let again = engine.restart_with_software(engine.instance(), "v2").await;
    cluster.engines.push(again.expect("the address is free"));
}

/// Load pattern: an engine starts again under its id and address, and its entry tells its new version later.
#[tokio::test]
async fn engine_that_started_again_at_another_version_continues_no_stream() {
    let mut cluster = TestCluster::start_with_software(&["v1"], EVENT_INTERVAL).await;
    let gateway = cluster.one_gateway().await;
    let last_event = begin_stream(&cluster, &gateway, "begun", "v1").await;
    start_again(&mut cluster).await;
    for attempt in 0..10 {
        let id = format!("again-{attempt}");
        let response = resume(&gateway, &id, Some("begun"), last_event).await;
        let ran = cluster.run_count(&id);
        assert_eq!((response.status(), ran), (503, 0), "{id}");
        tokio::time::sleep(RECOVERY_TIME).await;
    }
}

/// Load pattern: the same, and the engine sends no sound report.
#[tokio::test]
async fn engine_that_started_again_and_sends_no_report_continues_no_stream() {
    let mut cluster = TestCluster::start_with_software(&["v1"], EVENT_INTERVAL).await;
    let gateway = cluster.one_gateway().await;
    let last_event = begin_stream(&cluster, &gateway, "begun", "v1").await;
    start_again(&mut cluster).await;
    cluster.engines[0].set_fault(Some(Fault::FailReports));
    for attempt in 0..10 {
        let id = format!("again-{attempt}");
        let response = resume(&gateway, &id, Some("begun"), last_event).await;
        let ran = cluster.run_count(&id);
        assert_eq!((response.status(), ran), (503, 0), "{id}");
        tokio::time::sleep(RECOVERY_TIME).await;
    }
}

/// Resumes a stream that `v2` began, and checks that `v2` completes it.
async fn assert_resumed_at_v2(gateway: &Gateway, begun: &str, last_event: u64) {
    let response = resume(gateway, "again", Some(begun), last_event).await;
    assert_eq!(response.status(), 200);
    let ids: Vec<u64> = (last_event + 1..=EVENTS).collect();
    assert_eq!(response.event_ids(), ids);
    assert_eq!(writers(&response), BTreeSet::from(["v2"]));
}

/// Load pattern: the same, and streams begin there before the entry tells.
#[tokio::test]
async fn stream_that_began_at_an_engine_that_started_again_is_of_its_new_version() {
    for closes_connections in [false, true] {
        let mut cluster = TestCluster::start_with_software(&["v1"], EVENT_INTERVAL).await;
        let gateway = cluster.one_gateway().await;
        start_again(&mut cluster).await;
        let engine = &cluster.engines[0];
        engine.set_closes_connections(closes_connections);
        let next = start_engine(1, EVENT_INTERVAL).await;
        let begin = begin_stream(&cluster, &gateway, "begun", "v2");
        let tell = async {
            tokio::time::sleep(RECOVERY_TIME).await;
            cluster.put_entry(engine, "llm", "zona-pa", "ready");
        };
        let (last_event, ()) = tokio::join!(begin, tell);
        // Another version serves beside it from now on.
        cluster.put_entry(&next, "llm", "zona-ct", "ready");
        eventually("both are listed", || gateway.handle.status().backends == 4).await;
        assert_resumed_at_v2(&gateway, "begun", last_event).await;
        assert!(next.runs().is_empty(), "closes: {closes_connections}");
    }
}

/// Load pattern: the same, while a stream that was placed there waits for its first event.
#[tokio::test]
async fn engine_that_starts_again_before_the_first_event_brings_no_other_version() {
    let mut cluster = TestCluster::start_with_software(&["v1"], EVENT_INTERVAL).await;
    let gateway = cluster.one_gateway().await;
    cluster.engines[0].set_run_time(MEETING_TIME);
    let restart = async {
        let engine = cluster.engines[0].clone();
        eventually("the stream is placed", || !engine.runs().is_empty()).await;
        start_again(&mut cluster).await;
        cluster.engines[0].set_run_time(Duration::ZERO);
        tokio::time::sleep(RECOVERY_TIME).await;
        let runs = cluster.engines[0].runs().len();
        cluster.put_entry(&cluster.engines[0], "llm", "zona-pa", "ready");
        runs
    };
    let ((begun, response), runs) = tokio::join!(serve_whole(&gateway), restart);
    assert_eq!(runs, 0, "it ran before the entry told");
    assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(writers(&response), BTreeSet::from(["v2"]));
    assert_resumed_at_v2(&gateway, &begun, 4).await;
}

/// Requests a stream until it is served; returns the id of the request that succeeded.
async fn serve_whole(gateway: &Gateway) -> (String, CallerResponse) {
    let mut attempt = 0;
    loop {
        let id = format!("begun-{attempt}");
        let response = gateway.call(&caller_head(&id, "/stream/1"), "POST").await;
        if response.status() == 200 {
            return (id, response);
        }
        attempt += 1;
        tokio::time::sleep(RECOVERY_TIME).await;
    }
}

/// Load pattern: engines close their connections after each response, so that reports need connections of their
/// own.
#[tokio::test]
async fn engine_that_closes_its_connections_serves_streams() {
    let cluster = TestCluster::start_with_software(&["v1"], EVENT_INTERVAL).await;
    let gateway = cluster.one_gateway().await;
    cluster.engines[0].set_closes_connections(true);
    let head = caller_head("begun", "/stream/1");
    let response = gateway.call(&head, "POST").await;
    assert_eq!(response.event_ids(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(cluster.run_count("begun"), 1);
}
