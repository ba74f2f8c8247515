//! Plain-text tables for terminals.

/// A table with a header row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextTable {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows; titles are converted to upper case.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|title| title.to_uppercase()).collect();
        TextTable { head, rows: Vec::new() }
    }

    /// Adds a row; missing cells at its end stay empty.
    pub fn push_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the table, with columns padded to their widest cell.
    pub fn render(&self) -> String {
        let widths: Vec<usize> = (0..self.head.len())
            .map(|column| {
                let cells = self.rows.iter().chain([&self.head]).filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        [&self.head]
            .into_iter()
            .chain(&self.rows)
            .map(|row| {
                let cells = row.iter().zip(&widths);
                let line: Vec<String> =
                    cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
                format!("{}\n", line.join("  ").trim_end())
            })
            .collect()
    }
}

/// Formats a value; `None` becomes a dash.
pub fn text_or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
