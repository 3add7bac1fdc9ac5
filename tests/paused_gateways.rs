//! Guards against a gateway that stands still while a version joins, and then continues streams of that version at
//! another one.

#[path = "../crates/cactusbarrow_gateway/tests/common/mod.rs"]
mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;

use cactusbarrow_adapter_standins::{CallerHead, reserved_network, settings_yaml};
use cactusbarrow_net::{Body, HttpClient, HttpVersion};
use common::streams::{begin_stream, writers};
use common::{
    CallerResponse, EVENTS, KillableGateway, TestCluster, caller_head, eventually, free_ports,
};
use rustix::process::{Pid, Signal, kill_process};

const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which gateways know one another and have written their pages.
const MEETING_TIME: Duration = Duration::from_millis(1_500);

/// Number of backend servers before the new version joins: two engines and two plain ones.
const BACKENDS: usize = 4;

/// A gateway that runs as a process, which is killed when dropped.
struct GatewayProcess {
    child: Child,
    addr: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // It may have exited already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl GatewayProcess {
    fn start(ip: &str, base: u16, seed: &str, store: SocketAddr) -> Self {
        let settings = settings_yaml(&format!("front-{ip}"), ip, base, seed, store);
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("paused-{base}.yaml"));
        std::fs::write(&file, settings).expect("a file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_cactusbarrowd"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdout(std::process::Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let addr = format!("{ip}:{base}").parse().expect("an address");
        Self { child, addr }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the process runs");
    }

    /// Sends the request of a caller that resumes a stream after `last_event`, which it need not name.
    async fn resume(&self, id: &str, resumes: Option<&str>, last_event: u64) -> CallerResponse {
        let last_event = last_event.to_string();
        let mut extra = vec![("last-event-id", &*last_event)];
        extra.extend(resumes.map(|resumes| ("resumes", resumes)));
        let head = CallerHead {
            extra: &extra,
            ..caller_head(id, "/stream/1")
        };
        let req = head.encode(self.addr, "POST", Body::full("the body"));
        let res = HttpClient::new(HttpVersion::Http1).send("call", req).await;
        CallerResponse::collect(res.expect("the gateway responds")).await
    }

    /// Waits until the gateway takes up streams of an only version.
    async fn wait_until_ready(&self) {
        let deadline = tokio::time::Instant::now() + common::EVENTUALLY_TIMEOUT;
        while tokio::net::TcpStream::connect(self.addr).await.is_err() {
            assert!(tokio::time::Instant::now() < deadline, "it does not listen");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(MEETING_TIME).await;
        let response = self.resume("ready", None, EVENTS - 1).await;
        assert_eq!(response.event_ids(), [EVENTS], "the only version goes on");
    }
}

/// Returns an address of a loopback network of this process; the port for metrics is the same for all gateways.
fn gateway_ip(case: u64, host: u8) -> &'static str {
    let network = reserved_network();
    format!("127.{network}.{case}.{host}").leak()
}

/// Checks the case of a pause of so many milliseconds, which may begin while pages are read.
async fn assert_not_mixed_after(pause_ms: u64, reads_pages: bool) {
    let cluster = TestCluster::start_with_software(&["v1", "v1", "v2"], EVENT_INTERVAL).await;
    cluster.store.delete("servers/engine-2");
    let case = 1 + pause_ms / 100;
    let ips = [gateway_ip(case, 1), gateway_ip(case, 2)];
    let (base, store) = (free_ports(ips[0]), cluster.store.addr());
    let first = KillableGateway::start(ips[0], base, ips[1], store).await;
    let second = GatewayProcess::start(ips[1], base, ips[0], store);
    second.wait_until_ready().await;

    let stand_still = async {
        if reads_pages {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        second.signal(Signal::STOP);
        cluster.put_entry(&cluster.engines[2], "llm", "zona-pa", "ready");
        eventually("the new version is listed", || {
            first.gateway.handle.status().backends > BACKENDS
        })
        .await;
        let last_event = begin_stream(&cluster, &first.gateway, "begun", "v2").await;
        let (early, named) = ("early-unnamed", "early-named");
        let resumed = async {
            tokio::join!(
                second.resume(early, None, last_event),
                second.resume(named, Some("begun"), last_event),
            )
        };
        let resume = async {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            second.signal(Signal::CONT);
        };
        let ((unnamed, begun), ()) = tokio::join!(resumed, resume);
        let mut responses = vec![(early, unnamed), (named, begun)];
        for (id, resumes) in [("late-unnamed", None), ("late-named", Some("begun"))] {
            responses.push((id, second.resume(id, resumes, last_event).await));
        }
        responses
    };
    let read = async {
        if reads_pages {
            // It may be continued: its version is not known to the test.
            second.resume("other", None, EVENTS - 1).await;
        }
    };
    let (responses, ()) = tokio::join!(stand_still, read);
    for (id, response) in responses {
        if response.status() == 200 {
            assert_eq!(writers(&response), BTreeSet::from(["v2"]), "{id}");
        } else {
            let ran = cluster.run_count(id);
            assert_eq!((response.status(), ran), (503, 0), "{id}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_that_stood_still_while_a_version_joined_continues_at_no_other() {
    for reads_pages in [false, true] {
        let after = |pause_ms| assert_not_mixed_after(pause_ms, reads_pages);
        tokio::join!(after(0), after(500), after(3_000), after(5_500));
    }
}
