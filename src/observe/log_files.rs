//! Reads log files in JSON Lines format, with an optional prefix before the object on a line.

use {
    super::{events, logs::REQUEST_ID},
    serde_json::{Map, Value},
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::Path,
        time::SystemTime,
    },
};

/// A parsed log record.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Process that wrote the record: the last word before the JSON object, or the name of the file
    /// without its extension if the line has no prefix.
    pub source: String,
    /// Time at which the record was written.
    pub time: SystemTime,
    /// All key-value pairs of the record.
    pub fields: Map<String, Value>,
}

impl LogRecord {
    /// Name of the event, one of [`events`]; empty if the record has no message.
    pub fn event_name(&self) -> &str {
        self.text(events::MESSAGE)
    }

    /// Id of the request that the record refers to; empty if there is none.
    pub fn request_id(&self) -> &str {
        self.text(REQUEST_ID)
    }

    /// Value of a text field; empty if the field is missing.
    pub fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// Value of a numeric field; 0 if the field is missing.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// Iterates over the records of a file. Lines without a record are skipped, since the file may
/// contain other output.
///
/// # Errors
/// When the file cannot be opened. Iteration ends at a line that cannot be read.
pub fn read_records(path: &Path) -> io::Result<impl Iterator<Item = LogRecord> + use<>> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let lines = BufReader::new(File::open(path)?).lines().map_while(Result::ok);
    Ok(lines.filter_map(move |line| read_record(&name, &line)))
}

fn read_record(name: &str, line: &str) -> Option<LogRecord> {
    let (before, object) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let time = fields.get("time").and_then(Value::as_str)?;
    let time = humantime::parse_rfc3339(time).ok()?;
    // Where several processes write to one file, the last word before the object names the process.
    let source = before.split_whitespace().last().unwrap_or(name).to_owned();
    Some(LogRecord { source, time, fields })
}
