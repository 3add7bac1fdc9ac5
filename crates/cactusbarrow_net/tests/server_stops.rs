//! A stopping server answers the requests of all connections that were established before.

use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::Duration;

use cactusbarrow_net::{
    Body, ConnectionLimit, RequestBody, ServeConfig, accept_until, listen, serve,
};
use http::{Request, Response};
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const BODY: &str = "whole body";
const HANDLER_TIME: Duration = Duration::from_millis(2);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Stops of each test.
const ROUNDS: u64 = 60;
/// Callers of each round.
const CALLERS: u64 = 12;
/// Longest pause of a caller before its request, in microseconds.
const MAX_PAUSE_US: u64 = 3_000;

/// How a caller's last request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    Answered,
    /// The server closed the connection before it sent anything.
    Closed,
    Broken(String),
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn respond(_: Request<RequestBody>) -> Result<Response<Body>, Infallible> {
    tokio::time::sleep(HANDLER_TIME).await;
    Ok(Response::new(Body::full(BODY)))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let conn = TcpStream::connect(addr).expect("connect");
    conn.set_read_timeout(Some(READ_TIMEOUT))
        .expect("a time-out");
    conn
}

fn exchange(conn: &mut TcpStream) -> End {
    let mut text = Vec::new();
    if let Err(e) = conn.write_all(REQUEST) {
        let is_closed = e.kind() == ErrorKind::BrokenPipe;
        return if is_closed {
            End::Closed
        } else {
            End::Broken(format!("request not sent: {e}"))
        };
    }
    let mut buf = [0; 1024];
    while !text.ends_with(BODY.as_bytes()) {
        match conn.read(&mut buf) {
            Ok(0) if text.is_empty() => return End::Closed,
            Ok(0) => return End::Broken("closed in the response".to_owned()),
            Ok(count) => text.extend_from_slice(&buf[..count]),
            Err(e) => return End::Broken(format!("after {} bytes: {e}", text.len())),
        }
    }
    End::Answered
}

/// Pause of a caller, spread over the time around the stop.
fn pause(round: u64, caller: u64) -> Duration {
    Duration::from_micros((round * 7_919 + caller * 104_729) % MAX_PAUSE_US)
}

/// Stops a server while the connections of all callers are established, and returns how their requests ended.
async fn stop_beside(round: u64, uses_connection_before: bool) -> Vec<End> {
    let (listener, addr) = listen(any_port()).await.expect("listen");
    let shutdown = CancellationToken::new();
    let server = serve(
        listener,
        tower::service_fn(respond),
        ServeConfig::default(),
        shutdown.clone(),
    );
    let server = tokio::spawn(server);
    let barrier = Arc::new(Barrier::new(CALLERS as usize + 1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let barrier = barrier.clone();
            tokio::task::spawn_blocking(move || {
                if uses_connection_before {
                    let mut conn = connect(addr);
                    assert_eq!(exchange(&mut conn), End::Answered);
                    barrier.wait();
                    std::thread::sleep(pause(round, caller));
                    exchange(&mut conn)
                } else {
                    barrier.wait();
                    let mut conn = connect(addr);
                    barrier.wait();
                    std::thread::sleep(pause(round, caller));
                    exchange(&mut conn)
                }
            })
        })
        .collect();
    let stop = tokio::task::spawn_blocking(move || {
        barrier.wait();
        if uses_connection_before {
            std::thread::sleep(Duration::from_micros(MAX_PAUSE_US / 2));
        } else {
            barrier.wait();
        }
        shutdown.cancel();
    });
    stop.await.expect("the server is stopped");
    let mut ends = Vec::new();
    for caller in callers {
        ends.push(caller.await.expect("the caller ends"));
    }
    assert!(server.await.expect("the server ends"), "unclean stop");
    ends
}

/// Connections without a request were closed, and those in the listen queue were reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_on_new_connections_are_answered_in_a_stop() {
    let mut lost = Vec::new();
    for round in 0..ROUNDS {
        let ends = stop_beside(round, false).await;
        lost.extend(ends.into_iter().filter(|end| *end != End::Answered));
    }
    assert!(lost.is_empty(), "{}: {lost:?}", lost.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn kept_connections_are_closed_cleanly_in_a_stop() {
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let ends = stop_beside(round, true).await;
        broken.extend(ends.into_iter().filter(|end| matches!(end, End::Broken(_))));
    }
    assert!(broken.is_empty(), "{}: {broken:?}", broken.len());
}

/// Closing the listener reset connections that its peers had established.
#[tokio::test]
async fn connections_in_the_listen_queue_are_accepted_at_the_stop() {
    let (listener, addr) = listen(any_port()).await.expect("listen");
    let callers: Vec<_> = (0..CALLERS).map(|_| connect(addr)).collect();
    let stop = CancellationToken::new();
    stop.cancel();
    let mut accepted = Vec::new();
    let limit = ConnectionLimit::default();
    accept_until(listener, &stop, &limit, |stream, _, _| {
        accepted.push(stream);
    })
    .await;
    assert_eq!(accepted.len(), callers.len());
    let refused = TcpStream::connect(addr).expect_err("the listener is closed");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
}

/// A connection that brings no request is not awaited until the drain time-out.
#[tokio::test]
async fn silent_connections_do_not_hold_up_a_stop() {
    let (listener, addr) = listen(any_port()).await.expect("listen");
    let _silent = connect(addr);
    let shutdown = CancellationToken::new();
    shutdown.cancel();
    let service = tower::service_fn(respond);
    let is_clean = serve(listener, service, ServeConfig::default(), shutdown).await;
    assert!(is_clean);
}
