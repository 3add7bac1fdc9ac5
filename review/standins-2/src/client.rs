//! Clients of the system.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_body, read_head};

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";

/// Encodes the head of a request.
pub fn request_head(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCactusbarrow-Request-Id: {id}\r\n\
         Cactusbarrow-Deadline-Ms: {deadline_ms}\r\nCactusbarrow-Key: {key}\r\n"
    )
}

/// Encodes a request without a body.
pub fn request(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64) -> String {
    let head = request_head(method, path, id, key, deadline_ms);
    if method == "GET" {
        format!("{head}\r\n")
    } else {
        format!("{head}Content-Length: 0\r\n\r\n")
    }
}

/// Sends a request on a new connection and reads the response.
pub fn send(to: SocketAddr, request: &str, timeout: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head, true)?;
    Ok((head, body))
}
