//! Guards against streams that an error ends or enters: what follows a stream that broke off is the rest of it, or
//! the caller sees that the stream is not complete.

mod common;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cactusbarrow_adapter_standins::{CallerHead, DEFAULT_SOFTWARE, entry_json_with_software};
use cactusbarrow_net::Body;
use common::{Gateway, TestCluster, caller_head, eventually, zone};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of events of the whole stream.
const LAST: u64 = 9;

/// Last event before a stream breaks off.
const BROKEN_AT: u64 = 4;

/// Text of an error, which must not reach the caller beside events.
const ERROR: &str = "engine exploded";

/// Stands for a pause of a sound engine in the bytes of a response.
const PAUSE: &str = "PAUSE";

/// Time for which the engine then sends nothing, longer than the time-out of a stall.
const PAUSE_TIME: Duration = Duration::from_millis(3_500);

/// How an engine ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// The exact bytes of a response. `ID` stands for the id of the request.
#[derive(Clone, Debug)]
struct Reply {
    name: String,
    bytes: String,
    end: End,
}

fn reply(name: &str, bytes: String) -> Reply {
    Reply {
        name: name.to_owned(),
        bytes,
        end: End::Closed,
    }
}

fn head(status: &str, extra: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncactusbarrow-request-id: ID\r\ncactusbarrow-server-signature: raw.ID\r\n{extra}\r\n"
    )
}

fn stream_head(extra: &str) -> String {
    head(
        "200 OK",
        &format!("content-type: text/event-stream\r\n{extra}"),
    )
}

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Returns a stream of chunks that ends in order.
fn chunked(text: &str) -> String {
    let chunks = if text.is_empty() {
        String::new()
    } else {
        chunk(text)
    };
    format!("{}{chunks}0\r\n\r\n", stream_head(CHUNKED))
}

fn with_length(status: &str, extra: &str, body: &str) -> String {
    let length = format!("content-length: {}\r\n{extra}", body.len());
    format!("{}{body}", head(status, &length))
}

/// Returns the rest of the stream after `last`.
fn rest(last: u64) -> Reply {
    reply("rest", chunked(&events(last + 1, LAST)))
}

/// Returns a stream that breaks off in the middle of an event.
fn broken_off() -> Reply {
    let text = events(1, BROKEN_AT) + "id: 5\ndata: to";
    reply("broken off", stream_head(CHUNKED) + &chunk(&text))
}

/// Returns responses that do not end a stream after event `last`, in any number.
fn errors(last: u64) -> Vec<Reply> {
    let mut replies = other_statuses(last);
    replies.extend(other_texts(last));
    replies.extend(other_bodies(last));
    replies
}

/// Returns responses with statuses other than 200.
fn other_statuses(last: u64) -> Vec<Reply> {
    let next = last + 1;
    let mut replies = Vec::new();
    let statuses = [
        "101 Switching Protocols",
        "201 Created",
        "202 Accepted",
        "203 Non-Authoritative Information",
        "205 Reset Content",
        "206 Partial Content",
        "302 Found",
        "400 Bad Request",
        "404 Not Found",
        "500 Internal Server Error",
        "503 Service Unavailable",
    ];
    for status in statuses {
        for body in [ERROR.to_owned(), events(next, next), String::new()] {
            let name = format!("{status}, {} bytes", body.len());
            replies.push(reply(&name, with_length(status, "", &body)));
        }
        replies.push(reply(
            &format!("{status}, closed"),
            head(status, "") + ERROR,
        ));
        let unsigned = format!("HTTP/1.1 {status}\r\ncontent-length: 15\r\n\r\n{ERROR}");
        replies.push(reply(&format!("{status}, unsigned"), unsigned));
    }
    replies.push(reply("204", head("204 No Content", "")));
    replies
}

/// Returns texts that are no events of the stream.
fn texts(last: u64) -> Vec<(String, String)> {
    let next = last + 1;
    let texts = [
        ("text", format!("{ERROR}\n\n")),
        (
            "text before the id",
            format!("{ERROR}\nid: {next}\ndata: x\n\n"),
        ),
        ("comment", format!(": {ERROR}\n\n")),
        ("retry", "retry: 10\n\n".to_owned()),
        ("error event", format!("event: error\ndata: {ERROR}\n\n")),
        (
            "error event with the next id",
            format!("id: {next}\nevent: error\ndata: {ERROR}\n\n"),
        ),
        (
            "two ids",
            format!("id: {next}\nid: {next}\ndata: {ERROR}\n\n"),
        ),
        (
            "head in an event",
            format!("id: {next}\ndata: toHTTP/1.1 500 {ERROR}\r\ncontent-length: 0\r\n\r\n"),
        ),
        (
            "bare head in an event",
            format!("id: {next}\ndata: toHTTP/1.1 500 {ERROR}\r\n\r\n"),
        ),
        (
            "head after a line of an event",
            format!("id: {next}\nHTTP/1.1 500 {ERROR}\r\ncontent-length: 0\r\n\r\n"),
        ),
        (
            "head",
            format!("HTTP/1.1 500 {ERROR}\r\ncontent-length: 0\r\n\r\n"),
        ),
    ];
    let mut texts = Vec::from(texts.map(|(name, text)| (name.to_owned(), text)));
    // A stream may begin with any id.
    if last > 0 {
        for (name, id) in [
            ("jumps", next + 1),
            ("repeats", last),
            ("goes back", last - 1),
        ] {
            let text = format!("id: {id}\ndata: {ERROR}\n\n");
            texts.push((format!("id that {name}"), text));
        }
    }
    texts
}

/// Returns streams of texts that are no events, in each framing.
fn other_texts(last: u64) -> Vec<Reply> {
    let mut replies = Vec::new();
    for (name, text) in texts(last) {
        replies.push(reply(&format!("{name}, chunked"), chunked(&text)));
        replies.push(reply(
            &format!("{name}, length"),
            with_length("200 OK", "", &text),
        ));
        replies.push(reply(&format!("{name}, closed"), stream_head("") + &text));
    }
    replies
}

/// Returns responses whose body is no event stream, or is cut.
fn other_bodies(last: u64) -> Vec<Reply> {
    let events_of_next = events(last + 1, last + 1);
    let json = "content-type: application/json\r\n";
    let html = "content-type: text/html\r\n";
    let mut replies = vec![
        reply("html", with_length("200 OK", html, ERROR)),
        reply("empty html", with_length("200 OK", html, "")),
        reply("empty json", with_length("200 OK", json, "")),
        reply(
            "events as json",
            with_length("200 OK", json, &events_of_next),
        ),
        reply(
            "unsigned",
            "HTTP/1.1 200 OK\r\ncactusbarrow-request-id: ID\r\n\r\n".to_owned(),
        ),
        reply(
            "half a head",
            "HTTP/1.1 200 OK\r\ncactusbarrow-req".to_owned(),
        ),
        reply(
            "chunks without their end",
            stream_head(CHUNKED) + &chunk(&events_of_next),
        ),
        reply(
            "half a length",
            stream_head("content-length: 999\r\n") + &events_of_next,
        ),
    ];
    for text in [String::new(), events_of_next] {
        replies.push(Reply {
            name: format!("reset after {} bytes", text.len()),
            bytes: stream_head("") + &text,
            end: End::Reset,
        });
    }
    replies
}

/// Returns responses that end in order before the end of a stream that has got as far as `last`.
fn early_ends(last: u64) -> Vec<Reply> {
    let one = events(last + 1, last + 1);
    vec![
        reply("empty, length", with_length("200 OK", "", "")),
        reply("empty, chunked", chunked("")),
        reply("empty, closed", stream_head("")),
        reply("one event, closed", stream_head("") + &one),
    ]
}

/// Responses in the order of requests; engines that have none left complete the stream.
#[derive(Debug, Default)]
struct Script {
    replies: VecDeque<Reply>,
    /// Response to all requests once there are none left.
    always: Option<Reply>,
}

/// Engines that write exact bytes.
struct RawEngines {
    /// Holds the store.
    _cluster: TestCluster,
    gateway: Gateway,
    script: Arc<Mutex<Script>>,
}

impl RawEngines {
    async fn start(engines: usize) -> Self {
        let cluster = TestCluster::start(0).await;
        let script = Arc::<Mutex<Script>>::default();
        for i in 0..engines {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
            let addr = listener.local_addr().expect("an address");
            let entry = entry_json_with_software("llm", addr, zone(i), "ready", DEFAULT_SOFTWARE);
            cluster.store.put(&format!("servers/raw-{i}"), &entry);
            let script = script.clone();
            tokio::spawn(async move {
                while let Ok((conn, _)) = listener.accept().await {
                    tokio::spawn(serve(conn, i, script.clone()));
                }
            });
        }
        let gateway = cluster.one_gateway().await;
        let listed = engines + cluster.apps.len();
        eventually("all are listed", || {
            gateway.handle.status().backends == listed
        })
        .await;
        Self {
            _cluster: cluster,
            gateway,
            script,
        }
    }

    fn set_script(&self, replies: &[Reply], always: Option<&Reply>) {
        let mut script = self.script.lock().expect("not poisoned");
        script.replies = replies.iter().cloned().collect();
        script.always = always.cloned();
    }

    async fn stream(&self, id: &str, extra: &[(&'static str, &str)]) -> Received {
        let head = CallerHead {
            extra,
            ..caller_head(id, "/stream/1")
        };
        let req = head.encode(self.gateway.addr, "POST", Body::full("the body"));
        let sent = self.gateway.http.send("call", req).await;
        let res = sent.expect("the gateway responds");
        let status = res.status().as_u16();
        let mut body = res.into_body();
        let mut bytes = Vec::new();
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    bytes.extend_from_slice(&frame.into_data().unwrap_or_else(|_| Bytes::new()));
                }
                end => {
                    return Received {
                        status,
                        text: String::from_utf8(bytes).expect("the response is text"),
                        is_complete: end.is_none(),
                    };
                }
            }
        }
    }

    /// Resumes a complete stream after its event `last`.
    async fn resume(&self, last: u64) -> Received {
        let last = last.to_string();
        let extra = [("last-event-id", &*last), ("resumes", "whole")];
        self.stream("again", &extra).await
    }

    /// Serves a whole stream, so that the gateway knows the version which a caller resumes.
    async fn begin(&self) {
        self.set_script(&[], None);
        let whole = self.stream("whole", &[]).await;
        assert_eq!(whole.text, events(1, LAST));
    }
}

#[derive(Debug)]
struct Received {
    status: u16,
    text: String,
    is_complete: bool,
}

impl Received {
    /// Returns whether the stream after event `last` is whole, or visibly not.
    fn is_honest(&self, last: u64) -> bool {
        let is_prefix = events(last + 1, LAST).starts_with(&self.text);
        self.status != 200 || (is_prefix && !self.is_complete) || self.is_whole(last)
    }

    /// Returns whether the stream after event `last` is whole.
    fn is_whole(&self, last: u64) -> bool {
        self.status == 200 && self.is_complete && self.text == events(last + 1, LAST)
    }
}

/// Collects what callers received in the cases that failed.
#[derive(Default)]
struct Failures(Vec<String>);

impl Failures {
    fn check(&mut self, is_right: bool, case: &Reply, received: &Received) {
        if !is_right {
            self.0.push(format!("{}: {received:?}", case.name));
        }
    }

    fn assert_none(&self) {
        let failures = self.0.join("\n");
        assert!(self.0.is_empty(), "{} failed:\n{failures}", self.0.len());
    }
}

async fn serve(mut conn: TcpStream, engine: usize, script: Arc<Mutex<Script>>) {
    let mut buf = Vec::new();
    let head = loop {
        buf.clear();
        while !buf.windows(4).any(|window| window == b"\r\n\r\n") || !is_read(&buf) {
            match conn.read_buf(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        let head = String::from_utf8_lossy(&buf).to_lowercase();
        if head.contains("\r\ncactusbarrow-request-id: ") {
            break head;
        }
        // A report or a health check, which is answered soundly.
        let health = format!(
            "HTTP/1.1 200 OK\r\ncactusbarrow-instance-id: raw-{engine}\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        if conn.write_all(health.as_bytes()).await.is_err() {
            return;
        }
    };
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let id = header("cactusbarrow-request-id: ").unwrap_or_default();
    let last = header("last-event-id: ").map_or(0, |last| last.parse().expect("a number"));
    let reply = {
        let mut script = script.lock().expect("not poisoned");
        let next = script.replies.pop_front();
        next.or_else(|| script.always.clone())
            .unwrap_or_else(|| rest(last))
    };
    let bytes = reply.bytes.replace("ID", id);
    let mut parts = bytes.split(PAUSE);
    let first = parts.next().unwrap_or("");
    let _ = conn.write_all(first.as_bytes()).await;
    for part in parts {
        tokio::time::sleep(PAUSE_TIME).await;
        let _ = conn.write_all(part.as_bytes()).await;
    }
    if reply.end == End::Reset {
        // What was written arrives first.
        tokio::time::sleep(Duration::from_millis(30)).await;
        let _ = socket2::SockRef::from(&conn).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// Returns whether the request, whose body is always the same, has been read.
fn is_read(buf: &[u8]) -> bool {
    !buf.starts_with(b"POST") || buf.ends_with(b"the body")
}

fn all_cases(last: u64) -> Vec<Reply> {
    let mut cases = errors(last);
    cases.extend(early_ends(last));
    cases
}

/// Returns whether the caller gets the response itself, since its stream has not begun.
fn is_rejection(case: &Reply) -> bool {
    case.name.starts_with("30") || case.name.starts_with("40")
}

#[tokio::test]
async fn stream_that_broke_off_is_completed_past_any_error() {
    let mut failures = Failures::default();
    for case in all_cases(BROKEN_AT) {
        let engines = RawEngines::start(4).await;
        engines.set_script(&[broken_off(), case.clone()], None);
        let received = engines.stream("broken", &[]).await;
        failures.check(received.is_whole(0), &case, &received);
    }
    failures.assert_none();
}

#[tokio::test]
async fn stream_that_broke_off_is_never_completed_by_an_error() {
    let mut failures = Failures::default();
    for case in all_cases(BROKEN_AT) {
        let engines = RawEngines::start(2).await;
        engines.set_script(&[broken_off()], Some(&case));
        let received = engines.stream("broken", &[]).await;
        failures.check(received.is_honest(0), &case, &received);
    }
    failures.assert_none();
}

#[tokio::test]
async fn stream_that_a_caller_resumes_is_completed_past_any_error() {
    let mut failures = Failures::default();
    let mut cases = errors(BROKEN_AT);
    // No attempt broke off, so an event and a close may be the end of a response without length.
    cases.extend(early_ends(BROKEN_AT).into_iter().take(3));
    for case in cases.iter().filter(|case| !is_rejection(case)) {
        let engines = RawEngines::start(3).await;
        engines.begin().await;
        engines.set_script(std::slice::from_ref(case), None);
        let received = engines.resume(BROKEN_AT).await;
        failures.check(received.is_whole(BROKEN_AT), case, &received);
    }
    failures.assert_none();
}

#[tokio::test]
async fn stream_that_has_not_begun_is_completed_past_any_error() {
    let mut failures = Failures::default();
    let mut cases = errors(0);
    cases.extend(early_ends(0).into_iter().take(3));
    for case in cases.iter().filter(|case| !is_rejection(case)) {
        let engines = RawEngines::start(3).await;
        engines.set_script(std::slice::from_ref(case), None);
        let received = engines.stream("first", &[]).await;
        failures.check(received.is_whole(0), case, &received);
    }
    failures.assert_none();
}

/// A caller that has all events learns so, from two engines or from the only one there is.
#[tokio::test]
async fn caller_that_has_all_events_gets_the_end() {
    let mut failures = Failures::default();
    for (count, ends) in [(1, 2), (2, 3)] {
        for case in &early_ends(LAST)[..ends] {
            let engines = RawEngines::start(count).await;
            engines.begin().await;
            engines.set_script(&[], Some(case));
            let received = engines.resume(LAST).await;
            failures.check(received.is_whole(LAST), case, &received);
        }
    }
    failures.assert_none();
}

/// An engine may be lost between its last event and the end of its framing.
#[tokio::test]
async fn stream_that_broke_off_behind_its_last_event_is_complete() {
    let mut failures = Failures::default();
    for case in &early_ends(LAST)[..3] {
        let engines = RawEngines::start(4).await;
        let all = stream_head(CHUNKED) + &chunk(&events(1, LAST));
        engines.set_script(&[reply("all", all)], Some(case));
        let received = engines.stream("behind", &[]).await;
        failures.check(received.is_whole(0), case, &received);
    }
    failures.assert_none();
}

/// A response without length ends with its connection unless that is reset.
#[tokio::test]
async fn stream_without_length_is_complete_when_closed() {
    let mut failures = Failures::default();
    let engines = RawEngines::start(2).await;
    let case = reply("closed", stream_head("") + &events(1, LAST));
    engines.set_script(std::slice::from_ref(&case), None);
    let received = engines.stream("closed", &[]).await;
    failures.check(received.is_whole(0), &case, &received);
    failures.assert_none();
}

/// Guards against whole streams that are taken for broken off: what was rejected or only suspected is no break.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_length_is_complete_after_rejected_bytes_or_a_pause() {
    let engines = RawEngines::start(2).await;
    let whole = reply("closed", stream_head("") + &events(1, LAST));
    let foreign = reply("foreign bytes", chunked(&format!("{ERROR}\n\n")));
    engines.set_script(&[foreign, whole], None);
    let received = engines.stream("rejected", &[]).await;
    assert!(received.is_whole(0), "{received:?}");

    let (before, after) = (events(1, BROKEN_AT), events(BROKEN_AT + 1, LAST));
    let paused = reply("paused", stream_head("") + &before + PAUSE + &after);
    let not_executed = "cactusbarrow-not-executed: 1\r\n";
    let full = with_length("503 Service Unavailable", not_executed, "");
    engines.set_script(&[paused], Some(&reply("full", full)));
    let received = engines.stream("paused", &[]).await;
    assert!(received.is_whole(0), "{received:?}");
}
