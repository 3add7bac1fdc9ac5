//! An engine that serves generations and calls as the platform's pages describe.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http1::{Head, Reader};

/// Tokens in one event of a stream.
const TOKENS_PER_EVENT: u64 = 8;

/// How an engine works.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Prompt tokens that are read in a millisecond.
    pub prompt_tokens_per_ms: u64,
    /// Time between two events.
    pub event_interval: Duration,
    /// Time for which a call runs.
    pub call_time: Duration,
    /// Path of requests under which the process ends when it begins to run one.
    pub deadly_path: Option<String>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 5,
            event_interval: Duration::from_millis(30),
            call_time: Duration::from_millis(30),
            deadly_path: None,
        }
    }
}

/// A request that reached the engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// Whether the whole answer was written, once that is known.
    pub is_complete: Option<bool>,
}

/// An engine on a loopback address.
#[derive(Clone, Debug)]
pub struct Engine {
    pub instance: String,
    pub addr: SocketAddr,
    cfg: EngineConfig,
    runs: Arc<Mutex<Vec<Run>>>,
    has_ended: watch::Sender<bool>,
}

impl Engine {
    /// Starts an engine at a free port.
    pub async fn start(instance: &str, cfg: EngineConfig) -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), instance, cfg).await
    }

    /// Starts an engine at an address.
    pub async fn start_at(
        addr: SocketAddr,
        instance: &str,
        cfg: EngineConfig,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let engine = Self {
            instance: instance.to_owned(),
            addr: listener.local_addr()?,
            cfg,
            runs: Arc::default(),
            has_ended: watch::Sender::new(false),
        };
        let cx = engine.clone();
        tokio::spawn(async move {
            let mut ended = cx.has_ended.subscribe();
            loop {
                tokio::select! {
                    _ = ended.wait_for(|ended| *ended) => return,
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(cx.clone().serve_until_end(stream));
                        }
                    }
                }
            }
        });
        Ok(engine)
    }

    /// Waits until the process has ended.
    pub async fn ended(&self) {
        let _ = self.has_ended.subscribe().wait_for(|ended| *ended).await;
    }

    async fn serve_until_end(self, stream: TcpStream) {
        let mut ended = self.has_ended.subscribe();
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => {}
            () = self.serve(stream) => {}
        }
    }

    /// Returns all requests that reached the engine and were not rejected.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the entry with which the engine registers itself.
    pub fn entry(&self, service: &str, zone: &str, version: &str) -> String {
        json!({
            "service": service, "address": self.addr.to_string(), "zone": zone, "version": version,
            "slots": 96, "state": "ready", "coldLeftMs": 0, "sequence": 4,
            "born": 1_790_000_000_000_u64,
        })
        .to_string()
    }

    fn begin(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(Run {
            id: id.to_owned(),
            at: Instant::now(),
            is_complete: None,
        });
        runs.len() - 1
    }

    fn end(&self, run: usize, is_complete: bool) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[run].is_complete = Some(is_complete);
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        while let Some(head) = reader.head().await {
            if !reader.body(&head, |_| {}).await {
                return;
            }
            // The engine stops its work when the channel closes.
            let is_kept = tokio::select! {
                is_kept = self.respond(&head, &mut write) => is_kept,
                () = reader.closed() => false,
            };
            if !is_kept {
                return;
            }
        }
    }

    /// Responds to one request; returns whether the channel is kept.
    async fn respond(&self, head: &Head, write: &mut OwnedWriteHalf) -> bool {
        let path = head.word(1).split('?').next().unwrap_or("").to_owned();
        match path.as_str() {
            "/health" => {
                let extra = format!("Cactusbarrow-Instance-Id: {}\r\n", self.instance);
                return answer(write, "200 OK", &extra, "").await;
            }
            "/report" => {
                let body = json!({
                    "stage": "unified", "models": [], "busy": false, "sequence": 1, "waiting": 0,
                    "running": 1, "kvUsed": 1000, "kvTotal": 55_000, "handles": 0,
                });
                return answer(write, "200 OK", "", &body.to_string()).await;
            }
            "/kv-list" => {
                let body = r#"{"epoch":1,"next":1,"held":[]}"#;
                return answer(write, "200 OK", "", body).await;
            }
            "/kv-move" => return answer(write, "503 Service Unavailable", "", "{}").await,
            path if path.starts_with("/kv-handle/") => {
                return answer(write, "200 OK", "", "{}").await;
            }
            _ => {}
        }
        let id = head.get("cactusbarrow-request-id").unwrap_or("").to_owned();
        let echo = format!("Cactusbarrow-Request-Id: {id}\r\n");
        if head
            .get("cactusbarrow-expect-instance")
            .is_some_and(|i| i != self.instance)
        {
            let extra = format!("{echo}Cactusbarrow-Not-Executed: 1\r\n");
            return answer(write, "421 Misdirected Request", &extra, "").await;
        }
        let run = self.begin(&id);
        if self.cfg.deadly_path.as_deref() == Some(path.as_str()) {
            tokio::time::sleep(self.cfg.call_time).await;
            self.has_ended.send_replace(true);
            return std::future::pending().await;
        }
        let number = |name: &str| head.get(name).and_then(|v| v.parse::<u64>().ok());
        let deadline = Duration::from_millis(number("cactusbarrow-deadline-ms").unwrap_or(60_000));
        let proof = format!(
            "{echo}Cactusbarrow-Server-Signature: {}.{id}\r\n",
            self.instance
        );
        let work = async {
            if path.starts_with("/stream/") {
                self.stream(head, write, &proof).await
            } else {
                tokio::time::sleep(self.cfg.call_time).await;
                let is_sent = answer(write, "200 OK", &proof, &format!("answer to {id}")).await;
                is_sent.then_some(())
            }
        };
        let done = RunEnd { engine: self, run };
        let is_complete = matches!(tokio::time::timeout(deadline, work).await, Ok(Some(())));
        done.engine.end(done.run, is_complete);
        is_complete
    }

    /// Sends a stream of events; returns `None` if it could not be written.
    async fn stream(&self, head: &Head, write: &mut OwnedWriteHalf, proof: &str) -> Option<()> {
        let usage = head.get("cactusbarrow-token-usage").unwrap_or("0,0");
        let (prompt, output) = usage.split_once(',').unwrap_or(("0", "0"));
        let prompt: u64 = prompt.trim().parse().unwrap_or(0);
        let events = output
            .trim()
            .parse::<u64>()
            .unwrap_or(0)
            .div_ceil(TOKENS_PER_EVENT);
        let last = head
            .get("last-event-id")
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(
            prompt / self.cfg.prompt_tokens_per_ms,
        ))
        .await;
        let text = format!(
            "HTTP/1.1 200 OK\r\n{proof}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        write.write_all(text.as_bytes()).await.ok()?;
        for id in last + 1..=events {
            tokio::time::sleep(self.cfg.event_interval).await;
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write.write_all(chunk.as_bytes()).await.ok()?;
        }
        write.write_all(b"0\r\n\r\n").await.ok()
    }
}

/// Identifies a run that is about to end.
struct RunEnd<'a> {
    engine: &'a Engine,
    run: usize,
}

async fn answer(write: &mut OwnedWriteHalf, status: &str, extra: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {length}\r\n\r\n{body}");
    write.write_all(text.as_bytes()).await.is_ok()
}
