//! Callers that keep a process from ending their requests, many at once.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Longest time for which a crowd is waited for: a caller that cannot send more has done its part.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Connects that are under way at once, fewer than a listen queue holds.
const CONNECTS_AT_ONCE: usize = 200;

/// Handshake of nng's protocol for requests and replies, by a peer that sends requests.
const REQUEST_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 0x30, 0, 0];

const PIECE_BYTES: usize = 60_000;

/// What each caller of a crowd sends before it stops, with its connection open.
#[allow(dead_code, reason = "each test file uses some of the requests")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrowdRequest {
    /// Nothing.
    Silent,
    /// The first half of a head.
    HalfHead,
    /// A body with its length stated, short of its last byte.
    StalledBody {
        bytes: usize,
    },
    /// A body with its length stated.
    WholeBody {
        bytes: usize,
    },
    /// Chunks of a body, without the last one.
    StalledChunks {
        chunk_bytes: usize,
        chunks: usize,
    },
    /// A single chunk, short of its last byte.
    StalledChunk {
        bytes: usize,
    },
    /// The first `sent` bytes of a body whose stated length is far more.
    Announced {
        bytes: u64,
        sent: usize,
    },
    /// A head that asks whether to send a body of the stated length.
    ExpectContinue {
        bytes: usize,
    },
    /// A whole request, then `sent` bytes that belong to none.
    Pipelined {
        sent: usize,
    },
    /// A chunk with an extension of `sent` bytes, or as many bytes of trailers, without an end.
    ChunkExtension {
        sent: usize,
    },
    Trailers {
        sent: usize,
    },
    /// The handshake of a control connection, then a message short of its last byte.
    StalledControlMessage {
        bytes: usize,
    },
    /// A request whose response the caller does not read.
    UnreadResponse,
}

/// The head of a crowd's requests, without the lines that state the length of a body.
#[derive(Clone, Debug)]
pub(crate) struct CrowdHead {
    /// First line and headers, each with its line end.
    pub(crate) lines: String,
    /// Header that names a request, without its value.
    pub(crate) id_header: &'static str,
}

impl CrowdHead {
    fn encode(&self, id: usize, extra: &str) -> Vec<u8> {
        let name = self.id_header;
        format!("{}{name}: crowd-{id}\r\n{extra}\r\n", self.lines).into_bytes()
    }
}

/// Callers whose connections are open until they are dropped.
pub(crate) struct CallerCrowd {
    _callers: JoinSet<()>,
    _stop: watch::Sender<()>,
}

impl CallerCrowd {
    /// Connects `count` callers, which send their part of a request; returns once they have, or were turned away.
    pub(crate) async fn start(
        addr: SocketAddr,
        head: &CrowdHead,
        request: CrowdRequest,
        count: usize,
    ) -> Self {
        let (stop_tx, stop_rx) = watch::channel(());
        let (sent_tx, mut sent_rx) = mpsc::channel::<()>(1);
        let connecting = std::sync::Arc::new(tokio::sync::Semaphore::new(CONNECTS_AT_ONCE));
        let mut callers = JoinSet::new();
        for i in 0..count {
            let (head, sent_tx) = (head.clone(), sent_tx.clone());
            let (connecting, mut stop_rx) = (connecting.clone(), stop_rx.clone());
            callers.spawn(async move {
                let conn = {
                    let _permit = connecting.acquire().await.expect("not closed");
                    TcpStream::connect(addr).await
                };
                let Ok(mut conn) = conn else {
                    return;
                };
                let sent = send(&mut conn, &head, request, i).await;
                drop(sent_tx);
                if sent.is_ok() {
                    tokio::select! {
                        () = read(&mut conn, request) => {}
                        _ = stop_rx.changed() => {}
                    }
                }
            });
        }
        drop(sent_tx);
        let _ = tokio::time::timeout(SEND_TIMEOUT, sent_rx.recv()).await;
        Self {
            _callers: callers,
            _stop: stop_tx,
        }
    }
}

/// Reads until the connection is closed, unless the request is one whose response is not read.
async fn read(conn: &mut TcpStream, request: CrowdRequest) {
    if request == CrowdRequest::UnreadResponse {
        return std::future::pending().await;
    }
    let mut buf = [0; 4_096];
    while matches!(conn.read(&mut buf).await, Ok(count) if count > 0) {}
}

async fn send(
    conn: &mut TcpStream,
    head: &CrowdHead,
    request: CrowdRequest,
    id: usize,
) -> std::io::Result<()> {
    const CHUNKED: &str = "transfer-encoding: chunked\r\n";
    let with_length = |bytes: u64| head.encode(id, &format!("content-length: {bytes}\r\n"));
    match request {
        CrowdRequest::Silent => Ok(()),
        CrowdRequest::HalfHead => {
            let head = head.encode(id, "");
            conn.write_all(&head[..head.len() / 2]).await
        }
        CrowdRequest::StalledBody { bytes } => {
            conn.write_all(&with_length(bytes as u64)).await?;
            send_bytes(conn, bytes - 1).await
        }
        CrowdRequest::WholeBody { bytes } => {
            conn.write_all(&with_length(bytes as u64)).await?;
            send_bytes(conn, bytes).await
        }
        CrowdRequest::StalledChunks {
            chunk_bytes,
            chunks,
        } => {
            conn.write_all(&head.encode(id, CHUNKED)).await?;
            let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
            chunk.resize(chunk.len() + chunk_bytes, b'x');
            chunk.extend_from_slice(b"\r\n");
            let chunks_at_once = (PIECE_BYTES / chunk.len()).max(1);
            let piece = chunk.repeat(chunks_at_once);
            for _ in 0..chunks / chunks_at_once {
                conn.write_all(&piece).await?;
            }
            Ok(())
        }
        CrowdRequest::StalledChunk { bytes } => {
            conn.write_all(&head.encode(id, CHUNKED)).await?;
            conn.write_all(format!("{bytes:x}\r\n").as_bytes()).await?;
            send_bytes(conn, bytes - 1).await
        }
        CrowdRequest::Announced { bytes, sent } => {
            conn.write_all(&with_length(bytes)).await?;
            send_bytes(conn, sent).await
        }
        CrowdRequest::ExpectContinue { bytes } => {
            let extra = format!("content-length: {bytes}\r\nexpect: 100-continue\r\n");
            conn.write_all(&head.encode(id, &extra)).await
        }
        CrowdRequest::Pipelined { sent } => {
            conn.write_all(&with_length(0)).await?;
            send_bytes(conn, sent).await
        }
        CrowdRequest::ChunkExtension { sent } => {
            conn.write_all(&head.encode(id, CHUNKED)).await?;
            conn.write_all(b"1;").await?;
            send_bytes(conn, sent).await
        }
        CrowdRequest::Trailers { sent } => {
            conn.write_all(&head.encode(id, CHUNKED)).await?;
            conn.write_all(b"1\r\nx\r\n0\r\n").await?;
            let line = b"a-trailer: with a value\r\n";
            for _ in 0..sent / line.len() {
                conn.write_all(line).await?;
            }
            Ok(())
        }
        CrowdRequest::StalledControlMessage { bytes } => {
            conn.write_all(&REQUEST_HANDSHAKE).await?;
            conn.write_all(&(bytes as u64).to_be_bytes()).await?;
            send_bytes(conn, bytes - 1).await
        }
        CrowdRequest::UnreadResponse => conn.write_all(&with_length(0)).await,
    }
}

async fn send_bytes(conn: &mut TcpStream, count: usize) -> std::io::Result<()> {
    let piece = vec![b'x'; PIECE_BYTES.min(count)];
    let mut left = count;
    while left > 0 {
        let len = left.min(piece.len());
        conn.write_all(&piece[..len]).await?;
        left -= len;
    }
    Ok(())
}
