//! An engine as a process of its own. If its start is an even number, each 20th of its answers has no length and ends with its channel, as engines may
//! have them; the others are chunked. It sends streams of events on paths below /stream/, plain bodies on others.
//!
//! usage: plain_engine ADDRESS INSTANCE BORN EVENTS INTERVAL_MS

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Of so many answers one has no length.
const ANSWERS_PER_UNFRAMED: u64 = 20;

struct Engine {
    answers: std::sync::atomic::AtomicU64,
    instance: String,
    born: u64,
    events: u64,
    interval: Duration,
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let [_, address, instance, born, events, interval_ms] = args.as_slice() else {
        eprintln!("usage: plain_engine ADDRESS INSTANCE BORN EVENTS INTERVAL_MS");
        std::process::exit(2);
    };
    let number = |text: &str| text.parse::<u64>().unwrap_or(0);
    let engine: &'static Engine = Box::leak(Box::new(Engine {
        answers: std::sync::atomic::AtomicU64::new(0),
        instance: instance.clone(),
        born: number(born),
        events: number(events),
        interval: Duration::from_millis(number(interval_ms)),
    }));
    let listener = TcpListener::bind(address.as_str())?;
    for stream in listener.incoming() {
        let stream = stream?;
        std::thread::spawn(move || {
            // A caller that leaves ends its request.
            let _ = serve(engine, stream);
        });
    }
    Ok(())
}

fn serve(engine: &Engine, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if line.trim().is_empty() {
                break;
            }
            head.push(line.trim().to_owned());
        }
        let header = |name: &str| {
            head.iter().skip(1).find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        let length = header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        let path = head
            .first()
            .and_then(|line| line.split(' ').nth(1))
            .unwrap_or("")
            .to_owned();
        let id = header("cactusbarrow-request-id").unwrap_or_default();
        let Engine { instance, born, .. } = engine;
        if path == "/report" {
            let report = format!(
                "{{\"stage\":\"unified\",\"models\":[],\"waiting\":0,\"running\":1,\"born\":{born}}}"
            );
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
                report.len()
            )?;
        } else if path == "/health" {
            write!(
                out,
                "HTTP/1.1 200 OK\r\nCactusbarrow-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
            )?;
        } else if path == "/kv-list" {
            let list = "{\"epoch\":1,\"next\":1,\"held\":[]}";
            write!(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            )?;
        } else if path.starts_with("/kv-") {
            write!(
                out,
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
            )?;
        } else if header("cactusbarrow-expect-instance")
            .is_some_and(|expected| expected != *instance)
        {
            write!(
                out,
                "HTTP/1.1 421 Misdirected Request\r\nCactusbarrow-Request-Id: {id}\r\nCactusbarrow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
        } else {
            if !path.starts_with("/stream/") {
                return answer(engine, &id, &mut out);
            }
            let last = header("last-event-id")
                .and_then(|last| last.parse().ok())
                .unwrap_or(0);
            return run(engine, &id, last, &mut out);
        }
    }
}

/// An answer, with chunks or without a length.
struct Answer<'a> {
    out: &'a mut TcpStream,
    is_framed: bool,
}

impl<'a> Answer<'a> {
    /// Sends the head of an answer.
    fn begin(
        engine: &Engine,
        id: &str,
        kind: &str,
        out: &'a mut TcpStream,
    ) -> std::io::Result<Self> {
        let number = engine
            .answers
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let is_unframed = number % ANSWERS_PER_UNFRAMED == ANSWERS_PER_UNFRAMED / 2;
        // Half of the engines, by their starts, have such answers.
        let is_framed = !(is_unframed && engine.born % 2 == 0);
        let instance = &engine.instance;
        let framing = if is_framed {
            "Transfer-Encoding: chunked\r\n"
        } else {
            ""
        };
        write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nCactusbarrow-Request-Id: {id}\r\n\
             Cactusbarrow-Server-Signature: {instance}.{id}\r\nConnection: close\r\n{framing}\r\n"
        )?;
        Ok(Self { out, is_framed })
    }

    fn send(&mut self, text: &str) -> std::io::Result<()> {
        if self.is_framed {
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            self.out.write_all(chunk.as_bytes())
        } else {
            self.out.write_all(text.as_bytes())
        }
    }

    fn end(self) -> std::io::Result<()> {
        if self.is_framed {
            self.out.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

/// Sends a body of as many lines as a stream has events, as it is made.
fn answer(engine: &Engine, id: &str, out: &mut TcpStream) -> std::io::Result<()> {
    let mut answer = Answer::begin(engine, id, "text/plain", out)?;
    for line in 1..=engine.events {
        std::thread::sleep(engine.interval);
        answer.send(&format!(
            "line {line} of {} by {}\n",
            engine.events, engine.instance
        ))?;
    }
    answer.end()
}

/// Sends the events after `last`.
fn run(engine: &Engine, id: &str, last: u64, out: &mut TcpStream) -> std::io::Result<()> {
    let mut answer = Answer::begin(engine, id, "text/event-stream", out)?;
    for event in last + 1..=engine.events {
        std::thread::sleep(engine.interval);
        answer.send(&format!(
            "id: {event}\ndata: token {event} by {}\n\n",
            engine.instance
        ))?;
    }
    answer.end()
}
