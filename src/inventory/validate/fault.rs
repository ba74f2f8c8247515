//! What can be wrong with a register or a rule set.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{error::Error, fmt},
};

/// One step from a part of a file to a value in it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathStep {
    /// Into the value of a key.
    Key(String),
    /// Into an item of a list, from 0.
    Index(usize),
}

/// The way from the root of a file to a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyPath(pub Vec<PathStep>);

impl KeyPath {
    /// The path of a key of the root.
    pub fn root(key: &str) -> Self {
        KeyPath::default().key(key)
    }

    /// The path of a key below this one.
    pub fn key(&self, key: &str) -> Self {
        self.step(PathStep::Key(key.to_owned()))
    }

    /// The path of an item below this one.
    pub fn item(&self, index: usize) -> Self {
        self.step(PathStep::Index(index))
    }

    /// The path of `inner` when its root is at this path.
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

/// What is wrong; each message names the remedy.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// the file cannot be read as {format}: {detail}; correct the syntax here
    Syntax {
        /// TOML or JSON.
        format: String,
        /// What the parser found.
        detail: String,
    },
    /// the file has no {part}; add the part or give another file
    MissingPart {
        /// `register` or `rules`.
        part: String,
    },
    /// the value does not fit: {detail}; correct it here
    InvalidValue {
        /// What the reader found.
        detail: String,
    },
    /// "{id}" is no valid name; use 1 to 63 letters, digits, dots, dashes or underscores
    InvalidName {
        /// The name.
        id: String,
    },
    /// "{id}" is listed twice; keep one record or give each its own id
    DuplicateId {
        /// The id.
        id: String,
    },
    /// no failure domain is listed; add at least one to failure_domains
    MissingDomain,
    /// failure domain "{id}" is not listed; add it to failure_domains or correct the name
    UnknownDomain {
        /// The domain.
        id: String,
    },
    /// model "{id}" is not listed; add it to models or correct the name
    UnknownModel {
        /// The model.
        id: String,
    },
    /// service "{id}" is not listed; add it to services or correct the name
    UnknownService {
        /// The service.
        id: String,
    },
    /// organisation "{id}" is not in the register; load it there first or correct the name
    UnknownOrganisation {
        /// The organisation.
        id: String,
    },
    /// address {address} is used twice; give each its own address and port
    DuplicateAddress {
        /// The address.
        address: String,
    },
    /// address {address} has no port; give the port it answers on
    MissingPort {
        /// The address.
        address: String,
    },
    /// model "{id}" has no engine; name it in the models of an engine or remove it
    ModelWithoutServer {
        /// The model.
        id: String,
    },
    /// service "{id}" has no server; name it in a server of kind service or remove it
    ServiceWithoutServer {
        /// The service.
        id: String,
    },
    /// engine "{id}" names no model; list the models it may run
    EngineWithoutModel {
        /// The server.
        id: String,
    },
    /// server "{id}" of kind service names no service; name the one it offers
    ServerWithoutService {
        /// The server.
        id: String,
    },
    /// only an engine has models; remove them from "{id}" or change its kind
    UnexpectedModels {
        /// The server.
        id: String,
    },
    /// only a server of kind service has a service; remove it from "{id}" or change its kind
    UnexpectedService {
        /// The server.
        id: String,
    },
    /// {value} is not allowed; give {wanted}
    OutOfRange {
        /// What stands there.
        value: String,
        /// What may stand there.
        wanted: String,
    },
    /// "{digest}" is no SHA-256; give 64 lower-case hexadecimal digits, as `oleandermountctl keys organisation` prints them
    InvalidDigest {
        /// The text.
        digest: String,
    },
    /// the key digest is listed for "{first}" already; give each organisation keys of its own
    DuplicateDigest {
        /// Where it is listed first.
        first: String,
    },
    /// method "{method}" is not known; give an HTTP method in capitals such as POST, or *
    UnknownMethod {
        /// The method.
        method: String,
    },
    /// path "{path}" does not start with a slash; write it as callers send it after the service's name, such as /bookings
    InvalidPath {
        /// The path.
        path: String,
    },
    /// the same call has a rule already; keep one of the two
    DuplicateCall,
}

impl Error for FaultKind {}

/// One fault and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryFault {
    /// The line, from 1.
    pub line: usize,
    /// The key, such as `servers[2].models`.
    pub key: String,
    /// What is wrong, with the remedy.
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

/// Faults with their paths inside a part; lines are looked up at the end.
#[derive(Clone, Debug, Default)]
pub struct FaultList(pub Vec<(KeyPath, FaultKind)>);

impl FaultList {
    /// Notes one more fault.
    pub fn push(&mut self, path: KeyPath, kind: FaultKind) {
        self.0.push((path, kind));
    }
}
