//! Explains what happened to one request, from the log lines of gateways.

use std::collections::HashSet;
use std::io::Read;
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::exit::ClientError;

/// Length of the period before a request's first log line in which lines about its backend servers
/// and about dependencies are included.
const LOOKBACK_MS: u64 = 3_000;

/// Fields left out of the list of fields: printed elsewhere in the line, or not about the request.
const HIDDEN_FIELDS: [&str; 6] = [
    "unix_ms",
    "level",
    "target",
    "message",
    "process",
    "request_id",
];

/// Fields of one log line.
type LogLine = Map<String, Value>;

/// Returns the log lines that concern a request, oldest first: its own lines, and the lines that
/// its gateway logged in the same period about the backend servers it used or about dependencies.
///
/// Reads standard input if no file is given. Skips lines that contain no JSON object.
pub(crate) fn explain(request_id: &str, files: &[PathBuf]) -> Result<Vec<String>, ClientError> {
    let text = read_logs(files)?;
    let lines: Vec<LogLine> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.get(line.find('{')?..)?).ok())
        .collect();
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| field(line, "request_id") == Some(request_id))
        .collect();
    let Some(first_ms) = request_lines.iter().map(|line| unix_ms(line)).min() else {
        let message = format!("no log line found for request {request_id}");
        return Err(ClientError::NotFound(message));
    };
    let last_ms = request_lines
        .iter()
        .map(|line| unix_ms(line))
        .max()
        .unwrap_or(first_ms);
    let servers: HashSet<&str> = request_lines
        .iter()
        .flat_map(|line| ["instance", "copy", "holder"].map(|name| field(line, name)))
        .flatten()
        .collect();
    let process = request_lines
        .first()
        .and_then(|line| field(line, "process"));
    let is_relevant = |line: &&LogLine| {
        if field(line, "request_id").is_some() {
            return field(line, "request_id") == Some(request_id);
        }
        let time_ms = unix_ms(line);
        let is_in_period = time_ms + LOOKBACK_MS >= first_ms && time_ms <= last_ms;
        let is_server = field(line, "instance").is_some_and(|i| servers.contains(i));
        let is_dependency = line.contains_key("dependency");
        is_in_period && field(line, "process") == process && (is_server || is_dependency)
    };
    let mut relevant: Vec<&LogLine> = lines.iter().filter(is_relevant).collect();
    relevant.sort_by_key(|line| unix_ms(line));
    Ok(relevant
        .into_iter()
        .map(|line| format_line(line, first_ms))
        .collect())
}

fn read_logs(files: &[PathBuf]) -> Result<String, ClientError> {
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|e| ClientError::NotFound(format!("read standard input: {e}")))?;
    }
    for file in files {
        let content = std::fs::read_to_string(file)
            .map_err(|e| ClientError::NotFound(format!("read {}: {e}", file.display())))?;
        text.push_str(&content);
        text.push('\n');
    }
    Ok(text)
}

fn field<'a>(line: &'a LogLine, name: &str) -> Option<&'a str> {
    line.get(name)?.as_str()
}

fn unix_ms(line: &LogLine) -> u64 {
    line.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

/// Formats a line with its time relative to the first line of the request.
fn format_line(line: &LogLine, first_ms: u64) -> String {
    let offset_ms = unix_ms(line) as f64 - first_ms as f64;
    let fields: Vec<String> = line
        .iter()
        .filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let message = field(line, "message").unwrap_or("");
    let process = field(line, "process").unwrap_or("");
    format!(
        "{offset_ms:>+8.0} ms  {process}  {message}  {}",
        fields.join(" ")
    )
}
