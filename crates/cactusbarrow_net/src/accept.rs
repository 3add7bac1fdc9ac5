//! Accepts connections until a listener stops.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for instance when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest number of connections that are taken from the listen queue at the stop: the backlog of the listener,
/// so that callers which keep connecting cannot delay it.
const MAX_QUEUED_CONNECTIONS: usize = 1_024;

/// Accepts connections until `stop` is cancelled, then those in the listen queue, and closes the listener.
///
/// The peers of connections in the queue are connected and may have sent requests, which closing the listener
/// would reset.
pub async fn accept_until(
    listener: TcpListener,
    stop: &CancellationToken,
    mut on_accept: impl FnMut(TcpStream, SocketAddr),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => on_accept(stream, peer),
            Err(e) => {
                log::warn!(step = "accept"; "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = accept_queued(listener, on_accept) {
        log::warn!(step = "accept"; "cannot accept the connections in the listen queue: {e}");
    }
}

/// Accepts the connections in the listen queue, also those of which the runtime has not been notified yet.
fn accept_queued(
    listener: TcpListener,
    mut on_accept: impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    let listener = listener.into_std()?;
    for _ in 0..MAX_QUEUED_CONNECTIONS {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                on_accept(TcpStream::from_std(stream)?, peer);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
