//! Guards against responses of a faulty backend server that belong to another request: an earlier refusal that
//! is written once more must not count for the request that was sent, which runs.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactusbarrow_adapter_standins::entry_json;
use common::{Gateway, TestCluster, caller_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time from a request to its own response.
const RUN_TIME: Duration = Duration::from_millis(60);

/// When a server writes bytes that belong to no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// As soon as a connection is open.
    Accepted,
    /// When the head of a request has arrived, in place of its response.
    Requested,
    /// When the head of a request has arrived, after an interim response.
    Interim,
}

#[derive(Debug, Default)]
struct State {
    foreign: Option<(Moment, Vec<u8>)>,
    /// Ids of the requests that ran.
    runs: Vec<String>,
}

/// A plain service that runs each request that it gets.
#[derive(Clone, Debug, Default)]
struct FaultyServer(Arc<Mutex<State>>);

impl FaultyServer {
    /// Starts the server as the only one of its service.
    async fn start(cluster: &TestCluster) -> Self {
        let server = Self::default();
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
        let addr = listener.local_addr().expect("an address");
        let cx = server.clone();
        tokio::spawn(async move {
            while let Ok((conn, _)) = listener.accept().await {
                tokio::spawn(cx.clone().serve(conn));
            }
        });
        for app in &cluster.apps {
            cluster.store.delete(&format!("servers/{}", app.instance()));
        }
        let entry = entry_json("app", addr, "zona-pa", "ready");
        cluster.store.put("servers/faulty", &entry);
        server
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().expect("not poisoned")
    }

    fn set_foreign(&self, foreign: Option<(Moment, Vec<u8>)>) {
        self.state().foreign = foreign;
    }

    fn runs_of(&self, id: &str) -> usize {
        self.state().runs.iter().filter(|run| *run == id).count()
    }

    async fn serve(self, mut conn: TcpStream) {
        let foreign = self.state().foreign.clone();
        let foreign_at = |moment| {
            let bytes = foreign.as_ref().filter(|(at, _)| *at == moment);
            bytes.map(|(_, bytes)| bytes.clone()).unwrap_or_default()
        };
        let _ = conn.write_all(&foreign_at(Moment::Accepted)).await;
        let mut buf = Vec::new();
        while !buf.windows(4).any(|window| window == b"\r\n\r\n") {
            match conn.read_buf(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        let head = String::from_utf8_lossy(&buf).to_lowercase();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("cactusbarrow-request-id: "));
        let id = id.unwrap_or_default().trim().to_owned();
        if id.is_empty() {
            let health = "HTTP/1.1 200 OK\r\ncactusbarrow-instance-id: faulty\r\ncontent-length: 2\r\n\r\n{}";
            let _ = conn.write_all(health.as_bytes()).await;
            return;
        }
        self.state().runs.push(id.clone());
        if !foreign_at(Moment::Interim).is_empty() {
            let _ = conn.write_all(b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
        }
        let _ = conn.write_all(&foreign_at(Moment::Interim)).await;
        let _ = conn.write_all(&foreign_at(Moment::Requested)).await;
        tokio::time::sleep(RUN_TIME).await;
        let response = format!(
            "HTTP/1.1 200 OK\r\ncactusbarrow-request-id: {id}\r\n\
             cactusbarrow-server-signature: faulty.{id}\r\ncontent-length: 4\r\n\r\ndone"
        );
        let _ = conn.write_all(response.as_bytes()).await;
        // The connection stays open as long as the gateway keeps it.
        let _ = conn.read_buf(&mut buf).await;
    }
}

/// Returns refusals of earlier requests, and one that names none.
fn refusals() -> Vec<(u16, &'static str)> {
    let other = "cactusbarrow-request-id: earlier\r\n";
    vec![
        (503, other),
        (429, other),
        (421, other),
        (408, other),
        (503, ""),
        (421, ""),
    ]
}

fn encode((status, id): (u16, &str)) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} Refused\r\n{id}cactusbarrow-not-executed: 1\r\nretry-after: 30\r\n\
         server-leaving: 1\r\nserver-limit: 0\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Checks that nothing is believed of the foreign response: the server is used again at once.
async fn assert_used_again(gateway: &Gateway, server: &FaultyServer, id: &str) {
    server.set_foreign(None);
    let id = format!("{id}-next");
    let response = gateway.call(&caller_head(&id, "/write/1"), "POST").await;
    assert_eq!((response.status(), server.runs_of(&id)), (200, 1), "{id}");
}

#[tokio::test]
async fn unrepeatable_call_that_runs_is_never_reported_as_not_run() {
    let cluster = TestCluster::start(0).await;
    let server = FaultyServer::start(&cluster).await;
    let gateway = cluster.one_gateway().await;
    for moment in [Moment::Accepted, Moment::Requested, Moment::Interim] {
        for (i, refusal) in refusals().into_iter().enumerate() {
            server.set_foreign(Some((moment, encode(refusal))));
            let id = format!("{moment:?}-{i}").to_lowercase();
            let response = gateway.call(&caller_head(&id, "/write/1"), "POST").await;
            let runs = server.runs_of(&id);
            assert!(runs <= 1, "{id}: {runs} runs");
            if moment != Moment::Accepted {
                assert_eq!(runs, 1, "{id}");
            }
            let status = response.status();
            assert!(
                [502, 504].contains(&status) || (status == 200 && runs == 1),
                "{id}: {status}, {runs} runs"
            );
            assert_used_again(&gateway, &server, &id).await;
        }
    }
}

#[tokio::test]
async fn earlier_refusal_does_not_send_a_lookup_on_for_free() {
    let cluster = TestCluster::start(0).await;
    let server = FaultyServer::start(&cluster).await;
    let gateway = cluster.one_gateway().await;
    for (i, refusal) in refusals().into_iter().enumerate() {
        server.set_foreign(Some((Moment::Requested, encode(refusal))));
        let id = format!("read-{i}");
        let response = gateway.call(&caller_head(&id, "/read/1"), "GET").await;
        assert_eq!(
            response.status(),
            502,
            "{id}: it ran, and no other server is left"
        );
        assert_used_again(&gateway, &server, &id).await;
    }
}
