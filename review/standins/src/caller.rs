//! A caller that sends one request on a channel of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::http1::Reader;

/// Time that callers allow for a new channel.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    /// Prompt tokens and maximum output tokens.
    pub tokens: (u64, u64),
    pub last_event: Option<u64>,
    /// Request that brought the first event of the stream that is taken up.
    pub resumes: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// No channel could be opened.
    NotConnected,
    /// A complete answer.
    Complete {
        status: u16,
        retry_after: Option<f64>,
        events: u64,
        body: String,
    },
    /// The channel ended before a complete answer.
    Cut { had_head: bool, events: u64 },
    /// The time budget passed first.
    TimedOut,
}

/// Sends a request; returns when its last byte was sent, when it ended and how.
pub async fn send(gateway: SocketAddr, call: &Call) -> (Instant, Instant, Answer) {
    let started = Instant::now();
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(gateway)).await;
    let Ok(Ok(stream)) = connect else {
        return (started, Instant::now(), Answer::NotConnected);
    };
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let body = "the request's body";
    let last = call
        .last_event
        .map_or_else(String::new, |id| format!("Last-Event-Id: {id}\r\n"));
    let resumes = call
        .resumes
        .as_ref()
        .map_or_else(String::new, |id| format!("Resumes: {id}\r\n"));
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: ficu.example\r\nCactusbarrow-Request-Id: {}\r\n\
         Cactusbarrow-Key: {}\r\nCactusbarrow-Deadline-Ms: {}\r\n\
         Cactusbarrow-Token-Usage: {},{}\r\n{last}{resumes}Content-Length: {}\r\n\r\n{body}",
        call.method,
        call.path,
        call.id,
        call.key,
        call.deadline.as_millis(),
        call.tokens.0,
        call.tokens.1,
        body.len(),
    );
    if write.write_all(text.as_bytes()).await.is_err() {
        let cut = Answer::Cut {
            had_head: false,
            events: 0,
        };
        return (Instant::now(), Instant::now(), cut);
    }
    let sent = Instant::now();
    let mut reader = Reader::new(read);
    let read = async {
        let Some(head) = reader.head().await else {
            return Answer::Cut {
                had_head: false,
                events: 0,
            };
        };
        let mut bytes = Vec::new();
        let is_complete = reader
            .body(&head, |data| bytes.extend_from_slice(data))
            .await;
        let body = String::from_utf8_lossy(&bytes).into_owned();
        let events = body.matches("\n\n").count() as u64;
        if !is_complete {
            return Answer::Cut {
                had_head: true,
                events,
            };
        }
        Answer::Complete {
            status: head.word(1).parse().unwrap_or(0),
            retry_after: head.get("retry-after").and_then(|v| v.parse().ok()),
            events,
            // The events of a stream are counted instead.
            body: if events > 0 { String::new() } else { body },
        }
    };
    let answer = tokio::time::timeout(call.deadline, read).await;
    (sent, Instant::now(), answer.unwrap_or(Answer::TimedOut))
}
