//! A backend server that answers with bytes of the test's choice, then ends the connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time from the last byte of a response to a reset, which would discard bytes that were not read.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Response to a health check; its body is the state of an engine.
const HEALTH_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 31\r\n\r\n{\"model_version\":\"captions-v1\"}\n";

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    Close,
    Reset,
}

pub(crate) const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Close, ConnectionEnd::Reset];

/// The bytes of a response and the end of its connection.
pub(crate) type RawResponse = (Vec<u8>, ConnectionEnd);

/// Returns the response to run number `run` of the request that names this case.
type Script = dyn Fn(usize, usize) -> RawResponse + Send + Sync;

/// Serves requests that hold `case-NUMBER.` in their path or body.
#[derive(Clone)]
pub(crate) struct RawBackend {
    script: Arc<Script>,
    runs: Arc<Mutex<HashMap<usize, usize>>>,
}

impl RawBackend {
    /// Starts a server and returns its address.
    pub(crate) async fn start(
        script: impl Fn(usize, usize) -> RawResponse + Send + Sync + 'static,
    ) -> (Self, SocketAddr) {
        let server = Self {
            script: Arc::new(script),
            runs: Arc::default(),
        };
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
        let addr = listener.local_addr().expect("an address");
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((conn, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(conn));
            }
        });
        (server, addr)
    }

    /// Returns how often the request that names a case was run.
    pub(crate) fn runs_of(&self, case: usize) -> usize {
        let runs = self.runs.lock().expect("not poisoned");
        runs.get(&case).copied().unwrap_or_default()
    }

    async fn serve(self, mut conn: TcpStream) {
        let mut buf = Vec::new();
        let case = loop {
            match conn.read_buf(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let text = String::from_utf8_lossy(&buf);
            if text.starts_with("GET /state ") || text.starts_with("GET /healthz ") {
                let _ = conn.write_all(HEALTH_RESPONSE.as_bytes()).await;
                return;
            }
            let case = text.split_once("case-").and_then(|(_, rest)| {
                let (number, _) = rest.split_once('.')?;
                number.parse().ok()
            });
            if let Some(case) = case {
                break case;
            }
        };
        let run = {
            let mut runs = self.runs.lock().expect("not poisoned");
            let count = runs.entry(case).or_default();
            *count += 1;
            *count
        };
        let (bytes, end) = (self.script)(case, run);
        let _ = conn.write_all(&bytes).await;
        match end {
            ConnectionEnd::Close => {
                // Unread bytes of the request would turn the close into a reset.
                let _ = conn.shutdown().await;
                let _ = tokio::time::timeout(RESET_DELAY, conn.read_to_end(&mut buf)).await;
            }
            ConnectionEnd::Reset => {
                tokio::time::sleep(RESET_DELAY).await;
                let _ = SockRef::from(&conn).set_linger(Some(Duration::ZERO));
            }
        }
    }
}
