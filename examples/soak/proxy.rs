//! A loopback proxy that injects faults into the connections through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer of each direction of a connection.
const CHUNK_BYTES: usize = 16 << 10;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkFault {
    /// Server to which new connections are made.
    target: SocketAddr,
    /// Delay of each chunk, in both directions.
    pub(crate) delay: Duration,
    /// Holds back the bytes that the client sends.
    pub(crate) is_upstream_blocked: bool,
    /// Holds back the bytes that the server sends.
    pub(crate) is_downstream_blocked: bool,
    /// Resets new connections.
    pub(crate) is_refusing: bool,
    /// Connections that were made under another generation are reset.
    pub(crate) generation: u64,
}

impl LinkFault {
    fn none(target: SocketAddr, generation: u64) -> Self {
        Self {
            target,
            delay: Duration::ZERO,
            is_upstream_blocked: false,
            is_downstream_blocked: false,
            is_refusing: false,
            generation,
        }
    }
}

/// A proxy in front of one server.
#[derive(Debug)]
pub(crate) struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let fault = watch::Sender::new(LinkFault::none(target, 0));
        let faults = fault.subscribe();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, faults.clone()));
            }
        });
        Ok(Self { addr, fault })
    }

    /// Returns the address at which clients reach the server.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the faults of connections.
    pub(crate) fn set(&self, change: impl FnOnce(&mut LinkFault)) {
        self.fault.send_modify(change);
    }

    /// Clears all faults; connections that were reset stay reset.
    pub(crate) fn clear_faults(&self) {
        self.set(|fault| *fault = LinkFault::none(fault.target, fault.generation));
    }

    /// Directs the address to another server; connections to the old one are reset.
    pub(crate) fn retarget(&self, target: SocketAddr) {
        self.set(|fault| *fault = LinkFault::none(target, fault.generation + 1));
    }
}

async fn relay(client: TcpStream, mut faults: watch::Receiver<LinkFault>) {
    let LinkFault {
        generation: initial_generation,
        target,
        is_refusing,
        ..
    } = *faults.borrow_and_update();
    // The client sees a reset instead of an orderly close.
    reset_on_close(&client);
    if is_refusing {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    reset_on_close(&server);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let is_upstream_blocked = |fault: &LinkFault| fault.is_upstream_blocked;
    let is_downstream_blocked = |fault: &LinkFault| fault.is_downstream_blocked;
    let up = pump(client_rx, server_tx, faults.clone(), is_upstream_blocked);
    let down = pump(server_rx, client_tx, faults.clone(), is_downstream_blocked);
    let both = async { tokio::join!(up, down) };
    tokio::select! {
        (to_server, to_client) = both => {
            // Both sides closed in order, so neither is reset.
            for half in [to_server, to_client].into_iter().flatten() {
                let socket = socket2::SockRef::from(half.as_ref());
                let _unset = socket.set_linger(None);
            }
        }
        _ = faults.wait_for(|fault| fault.generation != initial_generation) => {}
    }
}

fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_linger(Some(Duration::ZERO)) {
        eprintln!("proxy cannot set SO_LINGER: {e}");
    }
}

/// Copies bytes until the end of the stream; returns `None` if a connection failed.
async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFault>,
    is_blocked: impl Fn(&LinkFault) -> bool,
) -> Option<OwnedWriteHalf> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = rx.read(&mut buf).await.ok()?;
        let delay = faults.borrow_and_update().delay;
        tokio::time::sleep(delay).await;
        faults.wait_for(|fault| !is_blocked(fault)).await.ok()?;
        if len == 0 {
            tx.shutdown().await.ok()?;
            return Some(tx);
        }
        tx.write_all(&buf[..len]).await.ok()?;
    }
}
