//! A client that keeps connections, and sends and reads at different paces.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cactusbarrow_net::{Body, BodySender};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::net::{TcpSocket, TcpStream};

use crate::balancer::Balancer;
use crate::process::gateway_ip;

/// Probability that a request is sent on the connection of the one before, if it is still open.
const REUSE_PROBABILITY: f64 = 0.6;

/// Probability that a new connection is opened some time before its first request.
const EARLY_PROBABILITY: f64 = 0.3;

/// Time between such a connection and its first request, in milliseconds.
const EARLY_MS: Range<u64> = 0..2_500;

/// Time-out of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Receive buffer of a client that reads slowly, in bytes.
const SLOW_READER_BUFFER: u32 = 4_096;

/// Probability that a client reads slowly.
const SLOW_READER_PROBABILITY: f64 = 0.15;

/// Pause of a client that reads slowly before each part of a response, in milliseconds.
const SLOW_READ_MS: Range<u64> = 10..80;

/// Probabilities that a body is sent in chunks, and that these come slowly.
const CHUNKED_PROBABILITY: f64 = 0.4;
const SLOW_CHUNKS_PROBABILITY: f64 = 0.4;

/// Pauses before the chunks of a body, in milliseconds.
const FAST_CHUNK_MS: Range<u64> = 0..30;
const SLOW_CHUNK_MS: Range<u64> = 50..250;
const LATE_CHUNK_MS: Range<u64> = 100..1_500;

/// When the last byte of a request was handed over for sending.
pub(crate) type SentWhole = Arc<Mutex<Option<Instant>>>;

struct Connection {
    gateway: usize,
    sender: SendRequest<Body>,
    is_slow_reader: bool,
}

/// A client of the load balancer.
pub(crate) struct Client {
    balancer: Arc<Balancer>,
    port: u16,
    connection: Option<Connection>,
    /// Gateway that refused the request of the client, which retries elsewhere.
    refused_by: Option<usize>,
    /// Whether the next request is sent on the connection that is open, or was.
    is_bound: bool,
    /// Pauses before the chunks of a body that is sent slowly, in milliseconds.
    slow_chunk_ms: Range<u64>,
}

impl Client {
    pub(crate) fn new(balancer: Arc<Balancer>, port: u16) -> Self {
        Self {
            balancer,
            port,
            connection: None,
            refused_by: None,
            is_bound: false,
            slow_chunk_ms: SLOW_CHUNK_MS,
        }
    }

    /// Connects to a gateway, for the next request only.
    ///
    /// Its body may arrive much later than its head.
    pub(crate) async fn bind_to(&mut self, gateway: usize) {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(gateway, false)).await;
        self.connection = opened.ok().and_then(Result::ok);
        self.is_bound = true;
        self.slow_chunk_ms = LATE_CHUNK_MS;
    }

    /// Records whether a gateway refused the request that is retried.
    pub(crate) fn record_refusal(&mut self, gateway: Option<usize>) {
        self.refused_by = gateway;
    }

    /// Chooses the connection of the next request; returns its gateway, whether or not it can be reached.
    pub(crate) async fn choose_gateway(&mut self, rng: &mut StdRng) -> usize {
        let is_usable = |connection: &Connection| !connection.sender.is_closed();
        let is_bound = std::mem::take(&mut self.is_bound);
        if let Some(kept) = self.connection.as_ref()
            && (is_bound || is_usable(kept) && rng.random_bool(REUSE_PROBABILITY))
        {
            return kept.gateway;
        }
        let gateway = self.balancer.choose(self.refused_by, rng);
        let is_slow_reader = rng.random_bool(SLOW_READER_PROBABILITY);
        let opened = self.connect(gateway, is_slow_reader);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opened).await;
        self.connection = opened.ok().and_then(Result::ok);
        if rng.random_bool(EARLY_PROBABILITY) {
            let early = Duration::from_millis(rng.random_range(EARLY_MS));
            tokio::time::sleep(early).await;
        }
        gateway
    }

    async fn connect(&self, gateway: usize, is_slow_reader: bool) -> anyhow::Result<Connection> {
        let addr: SocketAddr = format!("{}:{}", gateway_ip(gateway), self.port).parse()?;
        let socket = TcpSocket::new_v4()?;
        if is_slow_reader {
            socket.set_recv_buffer_size(SLOW_READER_BUFFER)?;
        }
        let stream: TcpStream = socket.connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) = handshake(TokioIo::new(stream)).await?;
        // The request on it notices when it fails.
        tokio::spawn(async move { drop(conn.await) });
        Ok(Connection {
            gateway,
            sender,
            is_slow_reader,
        })
    }

    /// Sends a request on the chosen connection; returns the head of the response.
    pub(crate) async fn send(&mut self, req: Request<Body>) -> Option<Response<Incoming>> {
        let connection = self.connection.as_mut()?;
        let mut req = req;
        let target = req.uri().path_and_query()?.as_str().parse().ok()?;
        *req.uri_mut() = target;
        connection.sender.ready().await.ok()?;
        connection.sender.send_request(req).await.ok()
    }

    /// Draws how a body is sent: at once, or in chunks; `sent_whole` records when its last byte was handed over.
    pub(crate) fn draw_body(&self, text: &str, sent_whole: &SentWhole, rng: &mut StdRng) -> Body {
        if !rng.random_bool(CHUNKED_PROBABILITY) {
            record_sent_whole(sent_whole);
            return Body::full(text.to_owned());
        }
        let is_slow = rng.random_bool(SLOW_CHUNKS_PROBABILITY);
        let pauses = if is_slow {
            self.slow_chunk_ms.clone()
        } else {
            FAST_CHUNK_MS
        };
        let mut chunks = Vec::new();
        for piece in text.as_bytes().chunks(3) {
            let pause = Duration::from_millis(rng.random_range(pauses.clone()));
            chunks.push((pause, piece.to_vec()));
        }
        let (tx, body) = Body::channel();
        tokio::spawn(send_chunks(tx, chunks, sent_whole.clone()));
        body
    }

    /// Draws the pause before the next part of a response is read.
    pub(crate) fn read_pause(&self, rng: &mut StdRng) -> Option<Duration> {
        let connection = self.connection.as_ref()?;
        let pause = || Duration::from_millis(rng.random_range(SLOW_READ_MS));
        connection.is_slow_reader.then(pause)
    }
}

async fn send_chunks(tx: BodySender, chunks: Vec<(Duration, Vec<u8>)>, sent_whole: SentWhole) {
    for (pause, chunk) in chunks {
        tokio::time::sleep(pause).await;
        if !tx.send(chunk.into()).await {
            return;
        }
    }
    record_sent_whole(&sent_whole);
    tx.finish();
}

fn record_sent_whole(sent_whole: &SentWhole) {
    let mut sent_whole = sent_whole.lock().unwrap_or_else(PoisonError::into_inner);
    sent_whole.get_or_insert_with(Instant::now);
}
