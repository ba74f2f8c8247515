//! Faults of a register or a rule set.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt},
};

/// One step of a [`KeyPath`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathStep {
    /// Key of a table.
    Key(String),
    /// Index into a list, from 0.
    Index(usize),
}

/// Path from the root of a file or part to a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyPath(pub Vec<PathStep>);

impl KeyPath {
    /// Path of a key of the root.
    pub fn root(key: &str) -> Self {
        KeyPath::default().key(key)
    }

    /// Path of a key below this path.
    pub fn key(&self, key: &str) -> Self {
        self.step(PathStep::Key(key.to_owned()))
    }

    /// Path of a list item below this path.
    pub fn item(&self, index: usize) -> Self {
        self.step(PathStep::Index(index))
    }

    /// Appends `inner` to this path.
    pub fn join(&self, inner: &KeyPath) -> Self {
        KeyPath(self.0.iter().chain(&inner.0).cloned().collect())
    }

    fn step(&self, step: PathStep) -> Self {
        KeyPath(self.0.iter().cloned().chain([step]).collect())
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Key(key) if position == 0 => write!(out, "{key}")?,
                PathStep::Key(key) => write!(out, ".{key}")?,
                PathStep::Index(index) => write!(out, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Type of a fault; each message names the remedy.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// the file cannot be parsed as {format}: {detail}; correct the syntax here
    Syntax {
        /// Expected format, TOML or JSON.
        format: String,
        /// Message of the parser.
        detail: String,
    },
    /// the file has no {part}; add the part or give another file
    MissingPart {
        /// Missing key, `register` or `rules`.
        part: String,
    },
    /// the value is invalid: {detail}; correct it here
    InvalidValue {
        /// Message of the deserializer.
        detail: String,
    },
    /// "{id}" is no valid name; use 1 to 63 letters, digits, dots, dashes or underscores
    InvalidName {
        /// Name as given in the file.
        id: String,
    },
    /// "{id}" is listed twice; keep one record or give each its own id
    DuplicateId {
        /// Repeated id.
        id: String,
    },
    /// no failure domain is listed; add at least one to failure_domains
    MissingDomain,
    /// failure domain "{id}" is not listed; add it to failure_domains or correct the name
    UnknownDomain {
        /// Name of the failure domain.
        id: String,
    },
    /// model "{id}" is not listed; add it to models or correct the name
    UnknownModel {
        /// Name of the model.
        id: String,
    },
    /// service "{id}" is not listed; add it to services or correct the name
    UnknownService {
        /// Name of the service.
        id: String,
    },
    /// organisation "{id}" is not in the register; load it there first or correct the name
    UnknownOrganisation {
        /// Name of the organisation.
        id: String,
    },
    /// address {address} is used twice; give each its own address and port
    DuplicateAddress {
        /// Repeated address.
        address: String,
    },
    /// address {address} has no port; give the port it answers on
    MissingPort {
        /// Address with port 0.
        address: String,
    },
    /// model "{id}" has no engine; name it in the models of an engine or remove it
    ModelWithoutServer {
        /// Name of the model.
        id: String,
    },
    /// service "{id}" has no server; name it in a server of kind service or remove it
    ServiceWithoutServer {
        /// Name of the service.
        id: String,
    },
    /// engine "{id}" names no model; list the models it may run
    EngineWithoutModel {
        /// Name of the server.
        id: String,
    },
    /// server "{id}" of kind service names no service; name the one it offers
    ServerWithoutService {
        /// Name of the server.
        id: String,
    },
    /// only an engine has models; remove them from "{id}" or change its kind
    UnexpectedModels {
        /// Name of the server.
        id: String,
    },
    /// only a server of kind service has a service; remove it from "{id}" or change its kind
    UnexpectedService {
        /// Name of the server.
        id: String,
    },
    /// {value} is not allowed; give {allowed}
    OutOfRange {
        /// Value in the file.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// "{digest}" is no SHA-256; give 64 lower-case hexadecimal digits, as `oleandermountctl keys organisation` prints them
    InvalidDigest {
        /// Text in the file.
        digest: String,
    },
    /// the key digest is listed for "{first}" already; give each organisation keys of its own
    DuplicateDigest {
        /// Organisation for which the digest is listed first.
        first: String,
    },
    /// method "{method}" is not known; give an HTTP method in capitals such as POST, or *
    UnknownMethod {
        /// Method in the file.
        method: String,
    },
    /// path "{path}" does not start with a slash; write it as callers send it after the service's name, such as /bookings
    InvalidPath {
        /// Path in the file.
        path: String,
    },
    /// the same call has a rule already; keep one of the two
    DuplicateCall,
}

impl Error for FaultKind {}

/// A fault with its position in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryFault {
    /// Line number, from 1.
    pub line: usize,
    /// Path of the value, such as `servers[2].models`; empty for syntax faults.
    pub key: String,
    /// Description of the fault and its remedy.
    pub message: String,
}

impl fmt::Display for InventoryFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.is_empty() {
            true => write!(out, "line {}: {}", self.line, self.message),
            false => write!(out, "line {}: {}: {}", self.line, self.key, self.message),
        }
    }
}

impl Error for InventoryFault {}

/// Faults with their paths relative to a part; the lines are resolved after validation.
#[derive(Clone, Debug, Default)]
pub struct FaultList(pub Vec<(KeyPath, FaultKind)>);

impl FaultList {
    /// Adds a fault at `path`.
    pub fn push(&mut self, path: KeyPath, kind: FaultKind) {
        self.0.push((path, kind));
    }
}
