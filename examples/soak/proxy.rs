//! A loopback proxy that harms the connections through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkFault {
    /// Server to which new connections lead.
    target: SocketAddr,
    /// Delay of each chunk, in both directions.
    pub(crate) delay: Duration,
    /// Holds back what the client sends.
    pub(crate) is_upstream_cut: bool,
    /// Holds back what the server sends.
    pub(crate) is_downstream_cut: bool,
    /// Resets new connections.
    pub(crate) is_refusing: bool,
    /// Connections of older generations are reset.
    pub(crate) generation: u64,
}

impl LinkFault {
    fn none(target: SocketAddr, generation: u64) -> Self {
        Self {
            target,
            delay: Duration::ZERO,
            is_upstream_cut: false,
            is_downstream_cut: false,
            is_refusing: false,
            generation,
        }
    }
}

/// A proxy before one server.
#[derive(Debug)]
pub(crate) struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

impl Proxy {
    /// Starts a proxy before `target`.
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

    /// Returns the address at which the server appears.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what happens to connections.
    pub(crate) fn set(&self, change: impl FnOnce(&mut LinkFault)) {
        self.fault.send_modify(change);
    }

    /// Ends all faults; connections that were reset stay so.
    pub(crate) fn heal(&self) {
        self.set(|fault| *fault = LinkFault::none(fault.target, fault.generation));
    }

    /// Puts another server behind the address; connections to the old one are reset.
    pub(crate) fn retarget(&self, target: SocketAddr) {
        self.set(|fault| *fault = LinkFault::none(target, fault.generation + 1));
    }
}

async fn relay(client: TcpStream, mut faults: watch::Receiver<LinkFault>) {
    let LinkFault {
        generation: born,
        target,
        is_refusing,
        ..
    } = *faults.borrow_and_update();
    // The client sees a reset instead of an orderly end.
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
    let is_up_cut = |fault: &LinkFault| fault.is_upstream_cut;
    let is_down_cut = |fault: &LinkFault| fault.is_downstream_cut;
    let up = pump(client_rx, server_tx, faults.clone(), is_up_cut);
    let down = pump(server_rx, client_tx, faults.clone(), is_down_cut);
    let both = async { tokio::join!(up, down) };
    tokio::select! {
        (to_server, to_client) = both => {
            // Both sides ended in order, so nothing is reset.
            for half in [to_server, to_client].into_iter().flatten() {
                let socket = socket2::SockRef::from(half.as_ref());
                let _unset = socket.set_linger(None);
            }
        }
        _ = faults.wait_for(|fault| fault.generation != born) => {}
    }
}

fn reset_on_close(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_linger(Some(Duration::ZERO)) {
        eprintln!("proxy cannot set linger: {e}");
    }
}

/// Moves bytes until the sender ends; `None` if a connection failed.
async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFault>,
    is_cut: impl Fn(&LinkFault) -> bool,
) -> Option<OwnedWriteHalf> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = rx.read(&mut buf).await.ok()?;
        let delay = faults.borrow_and_update().delay;
        tokio::time::sleep(delay).await;
        faults.wait_for(|fault| !is_cut(fault)).await.ok()?;
        if len == 0 {
            tx.shutdown().await.ok()?;
            return Some(tx);
        }
        tx.write_all(&buf[..len]).await.ok()?;
    }
}
