//! The course of one request, from the log lines of gateways.

use std::collections::HashSet;
use std::io::Read;
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::exit::ClientError;

/// Time before a request's first line from which lines about its backend servers count.
const BEFORE_MS: u64 = 3_000;

/// Fields that stand in front of a line or say nothing about the request.
const HIDDEN: [&str; 6] = [
    "unix_ms",
    "level",
    "target",
    "message",
    "process",
    "request_id",
];

/// One line of a log.
type Line = Map<String, Value>;

/// Finds what the log tells about a request: its own lines, and what happened meanwhile
/// to the backend servers that it met.
///
/// Reads standard input if no file is given. Lines that are no JSON are passed over.
pub(crate) fn explain(request_id: &str, files: &[PathBuf]) -> Result<Vec<String>, ClientError> {
    let text = read(files)?;
    let lines: Vec<Line> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.get(line.find('{')?..)?).ok())
        .collect();
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| field(line, "request_id") == Some(request_id))
        .collect();
    let Some(first) = own.iter().map(|line| unix_ms(line)).min() else {
        let message = format!("no line of the log names request {request_id}");
        return Err(ClientError::NotFound(message));
    };
    let last = own.iter().map(|line| unix_ms(line)).max().unwrap_or(first);
    let servers: HashSet<&str> = own
        .iter()
        .flat_map(|line| ["instance", "copy", "holder"].map(|name| field(line, name)))
        .flatten()
        .collect();
    let process = own.first().and_then(|line| field(line, "process"));
    let is_told = |line: &&Line| {
        if field(line, "request_id").is_some() {
            return field(line, "request_id") == Some(request_id);
        }
        let at = unix_ms(line);
        let is_meanwhile = at + BEFORE_MS >= first && at <= last;
        let is_server = field(line, "instance").is_some_and(|i| servers.contains(i));
        let is_dependency = line.contains_key("dependency");
        is_meanwhile && field(line, "process") == process && (is_server || is_dependency)
    };
    let mut told: Vec<&Line> = lines.iter().filter(is_told).collect();
    told.sort_by_key(|line| unix_ms(line));
    Ok(told.into_iter().map(|line| print(line, first)).collect())
}

fn read(files: &[PathBuf]) -> Result<String, ClientError> {
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|e| ClientError::NotFound(format!("read standard input: {e}")))?;
    }
    for file in files {
        let part = std::fs::read_to_string(file)
            .map_err(|e| ClientError::NotFound(format!("read {}: {e}", file.display())))?;
        text.push_str(&part);
        text.push('\n');
    }
    Ok(text)
}

fn field<'a>(line: &'a Line, name: &str) -> Option<&'a str> {
    line.get(name)?.as_str()
}

fn unix_ms(line: &Line) -> u64 {
    line.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

/// Prints a line with its time relative to the request's first.
fn print(line: &Line, first: u64) -> String {
    let at = unix_ms(line) as f64 - first as f64;
    let fields: Vec<String> = line
        .iter()
        .filter(|(name, _)| !HIDDEN.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let message = field(line, "message").unwrap_or("");
    let process = field(line, "process").unwrap_or("");
    format!("{at:>+8.0} ms  {process}  {message}  {}", fields.join(" "))
}
