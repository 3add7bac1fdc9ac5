//! An engine as a process of its own, whose answers have no length and end with their channel, as engines may have
//! them: streams of events on paths below /stream/, plain bodies on others.
//!
//! usage: plain_engine ADDRESS INSTANCE BORN EVENTS INTERVAL_MS

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

struct Engine {
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

/// Sends a body of as many lines as a stream has events, as it is made; it ends with the connection.
fn answer(engine: &Engine, id: &str, out: &mut TcpStream) -> std::io::Result<()> {
    let instance = &engine.instance;
    write!(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nCactusbarrow-Request-Id: {id}\r\n\
         Cactusbarrow-Server-Signature: {instance}.{id}\r\nConnection: close\r\n\r\n"
    )?;
    for line in 1..=engine.events {
        std::thread::sleep(engine.interval);
        out.write_all(format!("line {line} of {} by {instance}\n", engine.events).as_bytes())?;
    }
    Ok(())
}

/// Sends the events after `last`; the stream ends with the connection.
fn run(engine: &Engine, id: &str, last: u64, out: &mut TcpStream) -> std::io::Result<()> {
    let instance = &engine.instance;
    write!(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCactusbarrow-Request-Id: {id}\r\n\
         Cactusbarrow-Server-Signature: {instance}.{id}\r\nConnection: close\r\n\r\n"
    )?;
    for event in last + 1..=engine.events {
        std::thread::sleep(engine.interval);
        out.write_all(format!("id: {event}\ndata: token {event} by {instance}\n\n").as_bytes())?;
    }
    Ok(())
}
