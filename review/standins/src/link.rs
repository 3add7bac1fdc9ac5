//! A proxy in front of the store, which can be cut.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A link from one gateway to the store.
#[derive(Debug)]
pub struct Link {
    pub addr: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl Link {
    /// Starts to forward connections to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let is_cut = watch::Sender::new(false);
        let states = is_cut.subscribe();
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                let states = states.clone();
                tokio::spawn(async move {
                    let Ok(to) = TcpStream::connect(target).await else {
                        return;
                    };
                    let (from_read, from_write) = from.into_split();
                    let (to_read, to_write) = to.into_split();
                    tokio::select! {
                        () = forward(from_read, to_write, states.clone()) => {}
                        () = forward(to_read, from_write, states) => {}
                    }
                });
            }
        });
        Ok(Self { addr, is_cut })
    }

    /// Cuts the link silently, or heals it: nothing passes meanwhile.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut states: watch::Receiver<bool>,
) {
    let mut buf = vec![0; 64 << 10];
    loop {
        let Ok(n) = from.read(&mut buf).await else {
            return;
        };
        if states.wait_for(|is_cut| !is_cut).await.is_err() {
            return;
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
