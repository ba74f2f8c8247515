//! Result of a command, as JSON and as text.

use {super::table::TextTable, serde::Serialize, serde_json::Value as JsonValue};

/// Result of a command in both formats.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReport {
    json: JsonValue,
    table: String,
}

impl ClientReport {
    /// Creates a result that is displayed as a table.
    pub fn from_table(value: &impl Serialize, table: &TextTable) -> Self {
        ClientReport::from_text(value, table.render())
    }

    /// Creates a result that is displayed as lines of text.
    pub fn from_text(value: &impl Serialize, text: String) -> Self {
        let json = serde_json::to_value(value).expect("results have string keys only");
        ClientReport { json, table: text }
    }

    /// Formats the result as one line of JSON.
    pub fn json_text(&self) -> String {
        format!("{}\n", self.json)
    }

    /// Returns the table or text to display.
    pub fn table_text(&self) -> String {
        self.table.clone()
    }
}
