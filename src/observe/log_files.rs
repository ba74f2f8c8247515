//! Reads log files back: JSON lines, whatever stands before the object on a line.

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

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Which process wrote it: what stands before the object on its line, or the file's name.
    pub source: String,
    /// When.
    pub time: SystemTime,
    /// Its key-values.
    pub fields: Map<String, Value>,
}

impl LogRecord {
    /// The event's name.
    pub fn event(&self) -> &str {
        self.text(events::MESSAGE)
    }

    /// The request that it is about; empty if about none.
    pub fn request(&self) -> &str {
        self.text(REQUEST_ID)
    }

    /// A field of text; empty if it is missing.
    pub fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field that is a number; 0 if it is missing.
    pub fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// The records of a file, one after the other; lines that hold none are passed over, since other
/// output may stand among them.
///
/// # Errors
/// When the file cannot be opened. A line that cannot be read ends the records.
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
    // The last word before the object is the process where several write to one file.
    let source = before.split_whitespace().last().unwrap_or(name).to_owned();
    Some(LogRecord { source, time, fields })
}
