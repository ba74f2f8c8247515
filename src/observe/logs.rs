//! Logs to standard error in JSON Lines format: one object per line with time, level, target,
//! message and the key-value pairs of the record.
//!
//! Records never contain prompts or API keys of callers. A request is identified by its id under
//! [`REQUEST_ID`], which is the same on all daemons that process it.

use {
    env_logger::Builder,
    log::{
        LevelFilter, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    serde_json::{Map, Value as JsonValue},
    std::{io::Write, time::SystemTime},
};

/// Key of the request id in a record.
pub const REQUEST_ID: &str = "request_id";
/// Key of the logging VM in a record.
pub const VM: &str = "vm";

/// Installs a logger of records of `level` and more severe ones to standard error. A second call has
/// no effect, so that several daemons can run in one test process.
pub fn install(level: LevelFilter) {
    let installed = Builder::new()
        .filter_level(level)
        .format(|out, record| writeln!(out, "{}", json_line(record, SystemTime::now())))
        .try_init();
    if installed.is_err() {
        log::debug!("a logger is already installed");
    }
}

/// Formats a record as a JSON object without line breaks.
pub fn json_line(record: &Record<'_>, time: SystemTime) -> String {
    let mut fields = KeyValues::default();
    let visited = record.key_values().visit(&mut fields);
    let mut line = fields.object;
    if let Err(error) = visited {
        line.insert("key_values_error".to_owned(), JsonValue::from(error.to_string()));
    }
    let time = humantime::format_rfc3339_millis(time).to_string();
    line.insert("time".to_owned(), JsonValue::from(time));
    line.insert("level".to_owned(), JsonValue::from(record.level().as_str()));
    line.insert("target".to_owned(), JsonValue::from(record.target()));
    line.insert("message".to_owned(), JsonValue::from(record.args().to_string()));
    JsonValue::Object(line).to_string()
}

#[derive(Default)]
struct KeyValues {
    object: Map<String, JsonValue>,
}

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value =
            serde_json::to_value(&value).unwrap_or_else(|_| JsonValue::from(value.to_string()));
        self.object.insert(key.to_string(), value);
        Ok(())
    }
}
