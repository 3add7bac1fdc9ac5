//! Guards against streams that cannot be resumed because their origins ended with their gateway.

mod common;

use std::time::Duration;

use cactusbarrow_adapter_standins::StoreMode;
use cactusbarrow_protocol::generated::{StreamOriginMessage, StreamOriginPage, StreamOriginRecord};
use common::cut_proxy::CutProxy;
use common::streams::{MOSTLY_V2, assert_resumed_at_v1, begin_streams, resume_stream};
use common::{EVENTS, KillableGateway, TestCluster, eventually, free_ports};
use prost::Message;
use tokio::net::UdpSocket;

const EVENT_INTERVAL: Duration = Duration::from_millis(20);

const IPS: [&str; 3] = ["127.0.0.1", "127.0.0.2", "127.0.0.3"];

/// Port for messages of other gateways, after the first one of a gateway.
const PEERS_PORT_OFFSET: u16 = 2;

/// Time after which gateways know one another.
const MEETING_TIME: Duration = Duration::from_millis(1_000);

/// Time after which the other gateways write the origins of a gateway that does not.
const ADOPTION_TIME: Duration = Duration::from_millis(3_500);

/// Gateways that reach the store by proxies of their own.
struct Gateways {
    cluster: TestCluster,
    base: u16,
    links: Vec<CutProxy>,
    gateways: Vec<KillableGateway>,
}

impl Gateways {
    async fn start() -> Self {
        let cluster = TestCluster::start_with_software(&MOSTLY_V2, EVENT_INTERVAL).await;
        let base = free_ports("127.0.0.1");
        let mut links = Vec::new();
        let mut gateways = Vec::new();
        for (i, ip) in IPS.into_iter().enumerate() {
            let link = CutProxy::start(cluster.store.addr()).await;
            let seed = IPS[usize::from(i == 0)];
            gateways.push(KillableGateway::start(ip, base, seed, link.addr()).await);
            links.push(link);
        }
        tokio::time::sleep(MEETING_TIME).await;
        Self {
            cluster,
            base,
            links,
            gateways,
        }
    }

    /// Has the first gateway begin streams.
    async fn begin_streams(&self) -> Vec<(String, u64)> {
        begin_streams(&self.cluster, &self.gateways[0].gateway).await
    }

    fn kill_first(&mut self) {
        self.gateways.remove(0).kill();
    }

    fn kill_all(&mut self) {
        for gateway in self.gateways.drain(..) {
            gateway.kill();
        }
    }

    /// Returns the streams that one of the other gateways resumes.
    async fn assert_resumed_by_others(&self, begun: &[(String, u64)]) {
        for (i, stream) in begun.iter().enumerate() {
            let gateway = &self.gateways[i % self.gateways.len()].gateway;
            assert_resumed_at_v1(gateway, std::slice::from_ref(stream)).await;
        }
    }

    /// Starts a further gateway, which reaches the store.
    async fn start_next(&self) -> KillableGateway {
        let ip = "127.0.0.4";
        KillableGateway::start(ip, self.base, ip, self.cluster.store.addr()).await
    }
}

/// Load pattern: review/1.
#[tokio::test]
async fn streams_of_a_gateway_that_was_cut_off_resume_after_its_end() {
    let mut gateways = Gateways::start().await;
    gateways.links[0].set_cut(true);
    let begun = gateways.begin_streams().await;
    gateways.kill_first();
    gateways.assert_resumed_by_others(&begun).await;
}

/// Load pattern: one write is slow, or the gateway ends right after the first event.
#[tokio::test]
async fn streams_resume_although_their_gateway_ends_before_it_wrote_their_origins() {
    let mut gateways = Gateways::start().await;
    gateways.cluster.store.set_mode(StoreMode::Busy);
    let begun = gateways.begin_streams().await;
    gateways.kill_first();
    gateways.assert_resumed_by_others(&begun).await;
}

/// Load pattern: a gateway that is cut off from the store ends, and soon after all others end.
#[tokio::test]
async fn other_gateways_write_the_origins_that_their_gateway_does_not() {
    let mut gateways = Gateways::start().await;
    gateways.links[0].set_cut(true);
    let begun = gateways.begin_streams().await;
    tokio::time::sleep(ADOPTION_TIME).await;
    gateways.kill_all();
    let next = gateways.start_next().await;
    assert_resumed_at_v1(&next.gateway, &begun).await;
}

/// Load pattern: a gateway that has just started, and has not read the list, holds the origins of one that ends.
#[tokio::test]
async fn gateway_without_the_list_writes_no_page() {
    let cluster = TestCluster::start_with_software(&["v1"], EVENT_INTERVAL).await;
    let base = free_ports("127.0.0.1");
    cluster.store.set_mode(StoreMode::Busy);
    let ip = "127.0.0.1";
    let gateway = cluster.gateway(ip, base, ip).await;
    let origin = StreamOriginMessage {
        incarnation: 7,
        announced: Some(StreamOriginRecord::default()),
        ..StreamOriginMessage::default()
    };
    let datagram = [vec![0], origin.encode_to_vec()].concat();
    let peer = UdpSocket::bind(("127.0.0.2", 0)).await.expect("bind");
    let peers = (ip, base + PEERS_PORT_OFFSET);
    peer.send_to(&datagram, peers).await.expect("send");
    tokio::time::sleep(ADOPTION_TIME).await;
    cluster.store.set_mode(StoreMode::Serving);
    gateway.wait_until_ready().await;
    // The gateway backs off before it calls the store again, for longer the longer the store was busy.
    eventually("the gateway writes its page", || {
        assert_pages_tell_versions(&cluster) > 0
    })
    .await;
    tokio::time::sleep(MEETING_TIME).await;
    assert_pages_tell_versions(&cluster);
}

/// Asserts that each page names its store's era and the versions that serve; returns the number of pages.
fn assert_pages_tell_versions(cluster: &TestCluster) -> usize {
    let pages = cluster.store.values("streams/");
    for page in &pages {
        let page = StreamOriginPage::decode(&**page).expect("a page");
        assert!(page.store_era > 0 && !page.served.is_empty(), "{page:?}");
    }
    pages.len()
}

/// Load pattern: the store returns to an older copy after the end of the gateway.
#[tokio::test]
async fn streams_of_an_ended_gateway_resume_after_a_restore_of_the_store() {
    let mut gateways = Gateways::start().await;
    let copy = gateways.cluster.store.copy();
    let begun = gateways.begin_streams().await;
    tokio::time::sleep(MEETING_TIME).await;
    gateways.kill_first();
    gateways.cluster.store.restore(&copy);
    gateways.assert_resumed_by_others(&begun).await;
}

/// A gateway that was cut off from the store and its peers takes its origins along.
#[tokio::test]
async fn streams_that_nobody_else_knows_are_refused() {
    let mut gateways = Gateways::start().await;
    gateways.cluster.store.set_mode(StoreMode::Busy);
    let begun = gateways.begin_streams().await;
    gateways.kill_all();
    gateways.cluster.store.set_mode(StoreMode::Serving);
    let next = gateways.start_next().await;
    eventually("all engines are listed", || {
        next.gateway.handle.status().backends >= MOSTLY_V2.len()
    })
    .await;
    for (id, last_event) in &begun {
        let again = format!("{id}-again");
        let response = resume_stream(&next.gateway, &again, id, *last_event).await;
        assert_eq!(response.status(), 503, "{last_event} of {EVENTS} events");
        assert_eq!(gateways.cluster.run_count(&again), 0);
    }
}
