//! Accepts connections until a listener stops.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::server::LISTEN_BACKLOG;
use crate::{ConnectionLimit, Holding};

/// Delay after a failed accept, for instance when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest number of connections that are taken from the listen queue at the stop: the backlog of the listener,
/// so that callers which keep connecting cannot delay it.
const MAX_QUEUED_CONNECTIONS: usize = LISTEN_BACKLOG as usize;

/// Accepts connections until `stop` is cancelled, then those in the listen queue, and closes the listener.
///
/// A connection for which there is no room is closed before anything of it is read.
///
/// The peers of connections in the queue are connected and may have sent requests, which closing the listener
/// would reset.
pub async fn accept_until(
    listener: TcpListener,
    stop: &CancellationToken,
    limit: &ConnectionLimit,
    mut on_accept: impl FnMut(TcpStream, SocketAddr, Holding),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => match limit.admit().await {
                Some(holding) => on_accept(stream, peer, holding),
                None => log::warn!(step = "accept", peer:% = peer; "no room for a connection"),
            },
            Err(e) => {
                log::warn!(step = "accept"; "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = accept_queued(listener, limit, on_accept) {
        log::warn!(step = "accept"; "cannot accept the connections in the listen queue: {e}");
    }
}

/// Accepts the connections in the listen queue, also those of which the runtime has not been notified yet.
fn accept_queued(
    listener: TcpListener,
    limit: &ConnectionLimit,
    mut on_accept: impl FnMut(TcpStream, SocketAddr, Holding),
) -> io::Result<()> {
    let listener = listener.into_std()?;
    for _ in 0..MAX_QUEUED_CONNECTIONS {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                if let Some(holding) = limit.admit_now() {
                    on_accept(TcpStream::from_std(stream)?, peer, holding);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
