//! The weights that the responses of servers have reported.

use {
    crate::{
        fleet::ListedServer,
        ids::{Incarnation, ModelId, ServerId, WeightsNumber},
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// What one server has reported.
#[derive(Debug)]
struct ServerReport {
    /// The incarnation that it belongs to.
    incarnation: Incarnation,
    /// By model; at most those that the server list names for the server.
    models: BTreeMap<ModelId, WeightsNumber>,
}

/// The reports of all servers of the view, which bounds their number.
#[derive(Debug, Default)]
pub struct WeightsReports(Mutex<BTreeMap<ServerId, ServerReport>>);

impl WeightsReports {
    /// The weights of a model that the present incarnation of a server has reported.
    pub fn get(&self, listed: &ListedServer, model: &ModelId) -> Option<WeightsNumber> {
        let reports = self.lock();
        let report = reports.get(&listed.id)?;
        let models = (report.incarnation == listed.incarnation).then_some(&report.models)?;
        models.get(model).copied()
    }

    /// Records the weights of a model. Those of a model that the list does not name for the server are ignored.
    pub fn set(&self, listed: &ListedServer, model: &ModelId, version: WeightsNumber) {
        if !listed.weights.contains_key(model) {
            return;
        }
        let incarnation = listed.incarnation;
        let mut reports = self.lock();
        let report = reports
            .entry(listed.id.clone())
            .or_insert_with(|| ServerReport { incarnation, models: BTreeMap::new() });
        if report.incarnation != incarnation {
            *report = ServerReport { incarnation, models: BTreeMap::new() };
        }
        report.models.insert(model.clone(), version);
    }

    /// Forgets the weights of a model.
    pub fn remove(&self, server: &ServerId, model: &ModelId) {
        if let Some(report) = self.lock().get_mut(server) {
            report.models.remove(model);
        }
    }

    /// Forgets the servers that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&ServerId) -> bool) {
        self.lock().retain(|server, _| is_listed(server));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, ServerReport>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
