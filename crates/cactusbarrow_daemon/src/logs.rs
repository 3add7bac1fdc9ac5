//! Logs as JSON lines.

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// Starts logging; fails if it was started before.
pub(crate) fn start(
    process: String,
    level: log::LevelFilter,
    output: impl Into<fern::Output>,
) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = line_of(&process, &message.to_string(), record, SystemTime::now());
            out.finish(format_args!("{line}"));
        })
        .chain(output)
        .apply()?;
    Ok(())
}

fn line_of(process: &str, message: &str, record: &log::Record<'_>, at: SystemTime) -> String {
    let mut line = Map::new();
    let ms = at
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64);
    line.insert("unix_ms".to_owned(), ms.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("process".to_owned(), process.into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.into());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    Json::Object(line).to_string()
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
