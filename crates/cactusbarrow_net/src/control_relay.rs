//! Passes the bytes of control connections on to the server's socket, which by itself limits neither connections nor what
//! they hold.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection_limit::CONNECTION_BYTES;
use crate::{ConnectionLimit, Holding, accept_until};

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections until `stop` is cancelled, and relays each to `server` in one of `tasks`.
pub(crate) async fn run(
    listener: TcpListener,
    server: SocketAddr,
    limit: ConnectionLimit,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    accept_until(listener, &stop, &limit, |stream, peer, holding| {
        tasks.spawn(async move {
            let relayed = tokio::select! {
                relayed = relay(stream, server, &holding) => relayed,
                () = holding.given_up() => Ok(()),
            };
            if let Err(e) = relayed {
                log::debug!(step = "relay control connection", peer:% = peer; "connection ended: {e}");
            }
        });
    })
    .await;
}

/// Relays both directions of a connection until both have ended.
async fn relay(stream: TcpStream, server: SocketAddr, holding: &Holding) -> io::Result<()> {
    let server = TcpStream::connect(server).await?;
    stream.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_peer, to_peer) = stream.into_split();
    let (from_server, to_server) = server.into_split();
    let unanswered = Unanswered::new(holding);
    let requests = copy(from_peer, to_server, &unanswered, Direction::Requests);
    let replies = copy(from_server, to_peer, &unanswered, Direction::Replies);
    tokio::try_join!(requests, replies)?;
    Ok(())
}

/// What the bytes of one direction of a connection are.
#[derive(Clone, Copy, Debug)]
enum Direction {
    Requests,
    Replies,
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    unanswered: &Unanswered<'_>,
    direction: Direction,
) -> io::Result<()> {
    let mut buf = [0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        match direction {
            Direction::Requests => unanswered.record_request(count).await,
            Direction::Replies => unanswered.record_reply(),
        }
        to.write_all(&buf[..count]).await?;
    }
}

/// Counts what the server may hold of a connection: the bytes that its peer has sent since the last reply.
struct Unanswered<'a> {
    holding: &'a Holding,
    bytes: AtomicUsize,
}

impl<'a> Unanswered<'a> {
    fn new(holding: &'a Holding) -> Self {
        Self {
            holding,
            bytes: AtomicUsize::new(0),
        }
    }

    /// Records bytes of a request; waits until there is memory for them, or forever if the connection is given up.
    async fn record_request(&self, count: usize) {
        let bytes = self.bytes.fetch_add(count, Ordering::Relaxed) + count;
        self.holding.record_bytes(count);
        if !self.holding.grow(CONNECTION_BYTES + bytes).await {
            std::future::pending::<()>().await;
        }
    }

    fn record_reply(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.holding.resize(CONNECTION_BYTES);
        self.holding.record_progress();
    }
}
