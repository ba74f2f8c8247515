//! What this daemon has last heard of each backend server.

use {
    crate::{
        ids::ServerId,
        policy::{LoadReport, PolicyInput, ServerHealth},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// The last news of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// Its health, if anybody looked.
    pub health: Option<ServerHealth>,
    /// Its last report.
    pub report: Option<LoadReport>,
}

impl ServerEntry {
    /// The name that operators see.
    pub fn health_name(&self) -> &'static str {
        match self.health {
            None => "unknown",
            Some(ServerHealth::Alive { .. }) => "alive",
            Some(ServerHealth::Reserved { .. }) => "reserved",
            Some(ServerHealth::Leaving) => "leaving",
            Some(ServerHealth::Dead) => "dead",
        }
    }
}

/// News by server; bounded by the register, see [`ServerTable::keep`].
#[derive(Default)]
pub struct ServerTable {
    entries: Mutex<BTreeMap<ServerId, ServerEntry>>,
}

impl ServerTable {
    /// Notes what goes to the dispatcher, if it is news of a server.
    pub fn note(&self, input: &PolicyInput) {
        match input {
            PolicyInput::Health { server, health } => {
                self.lock().entry(server.clone()).or_default().health = Some(*health);
            }
            PolicyInput::Load(report) => {
                self.lock().entry(report.server.clone()).or_default().report = Some(report.clone());
            }
            _ => {}
        }
    }

    /// Forgets servers that left the register.
    pub fn keep(&self, servers: &BTreeSet<ServerId>) {
        self.lock().retain(|server, _| servers.contains(server));
    }

    /// The news of one server.
    pub fn entry(&self, server: &ServerId) -> Option<ServerEntry> {
        self.lock().get(server).cloned()
    }

    /// All news.
    pub fn snapshot(&self) -> BTreeMap<ServerId, ServerEntry> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, ServerEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
