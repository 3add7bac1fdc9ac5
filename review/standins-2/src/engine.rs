//! Stand-in for an engine or a plain service.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, respond};

/// A request that the engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub path: String,
}

/// How the engine runs a request; it writes the response to the connection, which is closed if it returns false.
pub type Handler = dyn Fn(&Head, &[u8], &mut TcpStream) -> bool + Send + Sync;

/// An engine that listens on a loopback address; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub instance: String,
    pub addr: SocketAddr,
    pub born: u64,
    runs: Arc<Mutex<Vec<Run>>>,
    has_crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    /// Starts an engine whose requests `handler` runs.
    pub fn start(instance: &str, ip: Ipv4Addr, handler: Arc<Handler>) -> Self {
        let listener = crate::listen(ip);
        let engine = Self {
            instance: instance.to_owned(),
            addr: listener.local_addr().expect("an address"),
            born: 1_796_000_000_000,
            runs: Arc::default(),
            has_crashed: Arc::default(),
            connections: Arc::default(),
        };
        listener.set_nonblocking(true).expect("a listener");
        let served = engine.clone();
        std::thread::spawn(move || {
            while !served.has_crashed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(stream) = stream.try_clone() {
                    served.connections.lock().expect("connections").push(stream);
                }
                let (engine, handler) = (served.clone(), handler.clone());
                std::thread::spawn(move || engine.serve(stream, &*handler));
            }
        });
        engine
    }

    /// Ends the engine: its connections close, and its address refuses new ones.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        for stream in self.connections.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the engine has ended.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    /// Starts an engine that answers each call after `work`.
    pub fn start_plain(instance: &str, ip: Ipv4Addr, work: Duration) -> Self {
        let handler = move |head: &Head, _: &[u8], stream: &mut TcpStream| {
            std::thread::sleep(work);
            answer(head, stream, "200 OK", b"stamped")
        };
        Self::start(instance, ip, Arc::new(handler))
    }

    /// Returns the entry with which it registers itself.
    pub fn entry(&self, service: &str, zone: &str, state: &str, slots: u32) -> String {
        self.entry_of_version(service, zone, state, slots, "v1")
    }

    /// Returns the same with the version of its software.
    pub fn entry_of_version(
        &self,
        service: &str,
        zone: &str,
        state: &str,
        slots: u32,
        version: &str,
    ) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":4,\"born\":{}}}",
            self.addr, self.born
        )
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a connection");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head, false) else {
                return;
            };
            if !self.answer(&head, &body, &mut writer, handler) {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8], stream: &mut TcpStream, handler: &Handler) -> bool {
        let instance = [("Cactusbarrow-Instance-Id", self.instance.as_str())];
        match head.path() {
            "/health" => return respond(stream, "200 OK", &instance, b"").is_ok(),
            "/report" => {
                let report = format!("{{\"waiting\":0,\"running\":0,\"born\":{}}}", self.born);
                return respond(stream, "200 OK", &[], report.as_bytes()).is_ok();
            }
            "/kv-list" => {
                let list = b"{\"epoch\":1,\"next\":1,\"held\":[]}";
                return respond(stream, "200 OK", &[], list).is_ok();
            }
            _ => {}
        }
        let id = head.get("cactusbarrow-request-id").unwrap_or("").to_owned();
        let expected = head.get("cactusbarrow-expect-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            let headers = [instance[0], ("Cactusbarrow-Request-Id", &id)];
            return respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        self.runs.lock().expect("the runs").push(Run {
            at: Instant::now(),
            id,
            path: head.path().to_owned(),
        });
        handler(head, body, stream)
    }
}

/// Writes a signed response with a length; returns whether it was written.
pub fn answer(head: &Head, stream: &mut TcpStream, status: &str, body: &[u8]) -> bool {
    let id = head.get("cactusbarrow-request-id").unwrap_or("").to_owned();
    let signature = format!("3e1b.{id}");
    let headers = [
        ("Cactusbarrow-Request-Id", id.as_str()),
        ("Cactusbarrow-Server-Signature", &signature),
    ];
    respond(stream, status, &headers, body).is_ok()
}

/// Writes the head of a chunked event stream.
pub fn begin_stream(head: &Head, stream: &mut TcpStream) -> bool {
    let id = head.get("cactusbarrow-request-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 200 OK\r\nCactusbarrow-Request-Id: {id}\r\nCactusbarrow-Server-Signature: 3e1b.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes one chunk of a body; an empty one ends it.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> bool {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    stream.write_all(&out).is_ok()
}
