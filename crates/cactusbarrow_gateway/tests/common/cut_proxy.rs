//! A TCP proxy that can be cut, as a network between two hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections to one address, unless it is cut.
pub(crate) struct CutProxy {
    addr: SocketAddr,
    is_cut: watch::Sender<bool>,
    /// Number of times that all connections of the time were stalled.
    stalls: watch::Sender<u64>,
    forwarded: Arc<AtomicUsize>,
}

impl CutProxy {
    /// Starts a proxy for `target` on a loopback address.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("bind the proxy");
        let proxy = Self {
            addr: listener.local_addr().expect("the address of the proxy"),
            is_cut: watch::Sender::new(false),
            stalls: watch::Sender::default(),
            forwarded: Arc::default(),
        };
        let (is_cut, forwarded) = (proxy.is_cut.clone(), proxy.forwarded.clone());
        let stalls = proxy.stalls.clone();
        tokio::spawn(async move {
            while let Ok((conn, _)) = listener.accept().await {
                if !*is_cut.borrow() {
                    forwarded.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(forward(
                        conn,
                        target,
                        is_cut.subscribe(),
                        stalls.subscribe(),
                    ));
                }
            }
        });
        proxy
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections, or lets new ones through again.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    /// Keeps all present connections open without forwarding any more bytes; later ones are sound.
    pub(crate) fn stall_connections(&self) {
        self.stalls.send_modify(|stalls| *stalls += 1);
    }

    /// Returns the number of connections that were forwarded so far.
    pub(crate) fn forwarded(&self) -> usize {
        self.forwarded.load(Ordering::Relaxed)
    }
}

async fn forward(
    mut conn: TcpStream,
    target: SocketAddr,
    mut is_cut: watch::Receiver<bool>,
    mut stalls: watch::Receiver<u64>,
) {
    let Ok(mut target) = TcpStream::connect(target).await else {
        return;
    };
    let stalled = tokio::select! {
        _ = copy_bidirectional(&mut conn, &mut target) => return,
        _ = is_cut.wait_for(|is_cut| *is_cut) => return,
        stalled = stalls.changed() => stalled,
    };
    if stalled.is_ok() {
        // The connections are open until this returns.
        drop(is_cut.wait_for(|is_cut| *is_cut).await);
    }
}
