//! Log output as JSON lines.

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

/// Installs the global logger; fails if one is already installed.
pub(crate) fn start(
    process: String,
    level: log::LevelFilter,
    output: impl Into<fern::Output>,
) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = format_line(&process, &message.to_string(), record, SystemTime::now());
            out.finish(format_args!("{line}"));
        })
        .chain(output)
        .apply()?;
    Ok(())
}

fn format_line(process: &str, message: &str, record: &log::Record<'_>, time: SystemTime) -> String {
    let mut line = Map::new();
    let unix_ms = time
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    line.insert("unix_ms".to_owned(), unix_ms.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("process".to_owned(), process.into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.into());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
    Json::Object(line).to_string()
}

struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
