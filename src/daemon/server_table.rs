//! The last known state of each backend server at this daemon.

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

/// The last known state of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// Its health; `None` before the first finding.
    pub health: Option<ServerHealth>,
    /// Its last load report; `None` before the first.
    pub report: Option<LoadReport>,
}

impl ServerEntry {
    /// The name of the health state in the operators' API.
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

/// States by server, bounded by the register through [`ServerTable::retain`].
#[derive(Default)]
pub struct ServerTable {
    entries: Mutex<BTreeMap<ServerId, ServerEntry>>,
}

impl ServerTable {
    /// Records the health or load in an input of the dispatcher; other inputs are ignored.
    pub fn record(&self, input: &PolicyInput) {
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

    /// Removes all servers but these, which are those of the register.
    pub fn retain(&self, servers: &BTreeSet<ServerId>) {
        self.lock().retain(|server, _| servers.contains(server));
    }

    /// The state of one server; `None` if nothing is known of it.
    pub fn entry(&self, server: &ServerId) -> Option<ServerEntry> {
        self.lock().get(server).cloned()
    }

    /// A copy of all states.
    pub fn snapshot(&self) -> BTreeMap<ServerId, ServerEntry> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, ServerEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
