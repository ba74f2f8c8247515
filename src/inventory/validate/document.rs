//! Register and rules files as generic values, with the line of each value.

use {
    super::fault::{FaultKind, FaultList, InventoryFault, KeyPath, PathStep},
    serde_json::{Map, Value as JsonValue, value::RawValue},
    std::collections::BTreeMap,
    toml::de::{DeTable, DeValue},
};

/// The part of a file that is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilePart {
    /// Asset register.
    Register,
    /// Rule set.
    Rules,
}

impl FilePart {
    /// Key of the part in a file that contains both.
    pub fn as_str(self) -> &'static str {
        match self {
            FilePart::Register => "register",
            FilePart::Rules => "rules",
        }
    }
}

/// One part of a document.
#[derive(Clone, Debug)]
pub struct DocumentPart {
    /// Path of the part in the file.
    base: KeyPath,
    /// Value of the part; an empty object if the file does not contain the part.
    pub value: JsonValue,
    /// Faults outside of the part, with paths relative to the root of the file.
    outside_faults: Vec<(KeyPath, FaultKind)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DocumentFormat {
    Toml,
    Json,
}

/// A parsed file.
#[derive(Clone, Debug)]
pub struct SourceDocument<'t> {
    text: &'t str,
    format: DocumentFormat,
    value: JsonValue,
}

impl<'t> SourceDocument<'t> {
    /// Parses `text` as JSON if it starts with a brace, which no TOML text does, and as TOML
    /// otherwise.
    ///
    /// # Errors
    /// All syntax faults that the parser reports.
    pub fn parse(text: &'t str) -> Result<Self, Vec<InventoryFault>> {
        if text.trim_start().starts_with('{') {
            let value = serde_json::from_str(text)
                .map_err(|error| vec![syntax_fault("JSON", error.line(), &error.to_string())])?;
            return Ok(SourceDocument { text, format: DocumentFormat::Json, value });
        }
        let (_, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(errors.iter().map(|error| toml_fault(text, error)).collect());
        }
        let value = toml::from_str(text).map_err(|error| vec![toml_fault(text, &error)])?;
        Ok(SourceDocument { text, format: DocumentFormat::Toml, value })
    }

    /// Whether the file has a register or a rule set under its own key.
    pub fn is_combined(&self) -> bool {
        [FilePart::Register, FilePart::Rules]
            .iter()
            .any(|part| self.value.get(part.as_str()).is_some_and(JsonValue::is_object))
    }

    /// Returns one part of the file. A file without the keys `register` and `rules` contains only that
    /// part.
    pub fn part(&self, file_part: FilePart) -> DocumentPart {
        if !self.is_combined() {
            let value = self.value.clone();
            return DocumentPart { base: KeyPath::default(), value, outside_faults: Vec::new() };
        }
        let base = KeyPath::root(file_part.as_str());
        let value = self.value.get(file_part.as_str()).cloned();
        let mut outside_faults = self.unknown_keys();
        if value.is_none() {
            let part = file_part.as_str().to_owned();
            outside_faults.push((KeyPath::default(), FaultKind::MissingPart { part }));
        }
        let value = value.unwrap_or_else(|| JsonValue::Object(Map::new()));
        DocumentPart { base, value, outside_faults }
    }

    fn unknown_keys(&self) -> Vec<(KeyPath, FaultKind)> {
        let parts = [FilePart::Register, FilePart::Rules].map(FilePart::as_str);
        let detail = "a file with register and rules must not have other keys";
        self.value
            .as_object()
            .into_iter()
            .flat_map(|object| object.keys())
            .filter(|key| !parts.contains(&key.as_str()))
            .map(|key| (KeyPath::root(key), FaultKind::InvalidValue { detail: detail.to_owned() }))
            .collect()
    }

    /// Resolves the paths of `faults` to lines.
    ///
    /// # Errors
    /// The faults ordered by line, if there are any.
    pub fn resolve_faults(
        &self,
        part: DocumentPart,
        faults: FaultList,
    ) -> Result<(), Vec<InventoryFault>> {
        let inside = faults.0.into_iter().map(|(path, kind)| (part.base.join(&path), kind));
        let mut found: Vec<InventoryFault> = inside
            .chain(part.outside_faults)
            .map(|(path, kind)| {
                let line = self.line_of(&path);
                InventoryFault { line, key: path.to_string(), message: kind.to_string() }
            })
            .collect();
        found.sort_by_key(|fault| fault.line);
        if found.is_empty() { Ok(()) } else { Err(found) }
    }

    /// Line of the value at `path`, or of its innermost ancestor that exists.
    fn line_of(&self, path: &KeyPath) -> usize {
        let offset = match self.format {
            DocumentFormat::Toml => toml_offset(self.text, path),
            DocumentFormat::Json => json_offset(self.text, path),
        };
        line_at(self.text, offset)
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

fn syntax_fault(format: &str, line: usize, detail: &str) -> InventoryFault {
    let kind = FaultKind::Syntax { format: format.to_owned(), detail: detail.to_owned() };
    InventoryFault { line, key: String::new(), message: kind.to_string() }
}

fn toml_fault(text: &str, error: &toml::de::Error) -> InventoryFault {
    let offset = error.span().map_or(0, |span| span.start);
    syntax_fault("TOML", line_at(text, offset), error.message())
}

fn toml_offset(text: &str, path: &KeyPath) -> usize {
    let Ok(root) = DeTable::parse(text) else { return 0 };
    let mut offset = root.span().start;
    let mut value = &DeValue::Table(root.into_inner());
    for step in &path.0 {
        match (step, value) {
            (PathStep::Key(key), DeValue::Table(table)) => {
                let entry = table.iter().find(|(name, _)| name.get_ref() == key);
                let Some((name, found)) = entry else { break };
                offset = name.span().start;
                value = found.get_ref();
            }
            (PathStep::Index(index), DeValue::Array(items)) => {
                let Some(found) = items.get(*index) else { break };
                offset = found.span().start;
                value = found.get_ref();
            }
            _ => break,
        }
    }
    offset
}

/// Raw values borrow from the text, so the offset of a value is the difference of the addresses.
fn json_offset(text: &str, path: &KeyPath) -> usize {
    let Ok(mut raw) = serde_json::from_str::<&RawValue>(text) else { return 0 };
    for step in &path.0 {
        let found = match step {
            PathStep::Key(key) => serde_json::from_str::<BTreeMap<String, &RawValue>>(raw.get())
                .ok()
                .and_then(|mut object| object.remove(key)),
            PathStep::Index(index) => serde_json::from_str::<Vec<&RawValue>>(raw.get())
                .ok()
                .and_then(|items| items.get(*index).copied()),
        };
        let Some(found) = found else { break };
        raw = found;
    }
    raw.get().as_ptr().addr() - text.as_ptr().addr()
}
