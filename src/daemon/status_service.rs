//! Answers operators' requests to a running daemon.

use {
    super::{
        peer_service::DaemonComponents, peer_status::fetch_statuses, server_table::ServerTable,
    },
    crate::{
        http_api::operator::{
            SourceError, StatusSource,
            wire::{
                ConfigChange, DaemonState, DaemonStatus, OrganisationStatus, ReplicaEntry,
                ServerStatus, VmRevision,
            },
        },
        ids::{RequestId, VmId},
        options::{DaemonRole, IdentityOptions},
        transport::{PeerNetwork, PeerReply, PeerRequest},
    },
    futures::future::BoxFuture,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time limit of a request to one daemon, which takes a round trip.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers operators' requests at one daemon.
pub struct StatusService {
    /// The identity of the daemon.
    pub identity: IdentityOptions,
    /// The time at which the daemon started.
    pub started: Instant,
    /// The components whose state is reported.
    pub components: DaemonComponents,
    /// The last known state of each backend server.
    pub server_table: Arc<ServerTable>,
    /// The network to the other daemons.
    pub network: PeerNetwork,
}

impl StatusSource for StatusService {
    fn status(&self) -> DaemonStatus {
        let replica = self.components.replica.as_ref().map(|replica| replica.status());
        let revision = self.components.revision();
        let state = match (self.components.core.gate.is_draining(), revision) {
            (true, _) => DaemonState::Draining,
            (false, 0) => DaemonState::Starting,
            (false, _) => DaemonState::Serving,
        };
        let role = match self.identity.role {
            DaemonRole::Entry => "entry",
            DaemonRole::Control => "control",
        };
        DaemonStatus {
            vm: self.identity.vm.clone(),
            failure_domain: self.identity.failure_domain.clone(),
            role: role.to_owned(),
            state,
            revision,
            replica: replica.as_ref().map_or("none", |status| status.role.as_str()).to_owned(),
            leader: replica.as_ref().and_then(|status| status.leader.clone()),
            term: replica.map_or(0, |status| status.term),
            in_flight: self.components.core.gate.in_flight() as u64,
            uptime_seconds: self.started.elapsed().as_secs(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }

    fn servers(&self) -> Vec<ServerStatus> {
        let serving = self.components.core.serving();
        let in_flight = self.components.core.usage.in_flight();
        let reports = self.server_table.snapshot();
        let servers = serving.config.register.servers.iter();
        servers
            .map(|record| {
                let entry = reports.get(&record.id).cloned().unwrap_or_default();
                let report = entry.report.as_ref();
                ServerStatus {
                    id: record.id.clone(),
                    failure_domain: record.failure_domain.clone(),
                    kind: record.kind,
                    health: entry.health_name().to_owned(),
                    incarnation: report.map(|report| report.incarnation),
                    weights: report.map(|report| report.weights.clone()).unwrap_or_default(),
                    in_flight: in_flight.get(&record.id).copied().unwrap_or(0),
                    window: None,
                    running: report.map(|report| u64::from(report.running)),
                    waiting: report.map(|report| u64::from(report.waiting)),
                }
            })
            .collect()
    }

    fn organisations(&self, limit: usize) -> Vec<OrganisationStatus> {
        let heaviest = self.components.core.usage.busiest_organisations(limit);
        heaviest
            .into_iter()
            .map(|(id, usage)| OrganisationStatus {
                id,
                requests: usage.requests,
                answered: usage.answered,
                refused: usage.requests.saturating_sub(usage.answered + usage.in_flight),
                tokens: usage.tokens,
                in_flight: usage.in_flight,
            })
            .collect()
    }

    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaEntry>> {
        let status = self.components.replica.as_ref().map(|replica| replica.status());
        let entries = status.map(|status| {
            let own = (self.identity.vm.clone(), status.applied);
            let members = [(true, &status.members.voters), (false, &status.members.learners)];
            members
                .into_iter()
                .flat_map(|(voter, members)| members.iter().map(move |member| (voter, member)))
                .map(|(voter, (vm, incarnation))| ReplicaEntry {
                    vm: vm.clone(),
                    incarnation: *incarnation,
                    voter,
                    leader: status.leader.as_ref() == Some(vm),
                    applied: (*vm == own.0).then_some(own.1),
                })
                .collect()
        });
        Box::pin(async move { entries.unwrap_or_default() })
    }

    fn history(&self) -> BoxFuture<'_, Vec<ConfigChange>> {
        let history = self.components.replica.as_ref().map(|replica| replica.history());
        let changes = history.iter().flat_map(|changes| changes.iter());
        let changes = changes.map(|change| ConfigChange {
            revision: change.revision,
            part: change.part.as_str().to_owned(),
            operation: change.operation.clone(),
            digest: change.digest.clone(),
        });
        let changes: Vec<ConfigChange> = changes.collect();
        Box::pin(async move { changes })
    }

    fn revisions(&self) -> BoxFuture<'_, Vec<VmRevision>> {
        Box::pin(async move {
            // The list always contains this daemon: before its first register it knows no other,
            // and an empty list would look as if the revision were in force everywhere.
            let own = VmRevision {
                vm: self.identity.vm.clone(),
                failure_domain: self.identity.failure_domain.clone(),
                revision: Some(self.components.revision()),
            };
            let serving = self.components.core.serving();
            let others = serving.config.register.vms.iter().filter(|vm| vm.id != own.vm);
            let names: Vec<VmId> = others.clone().map(|vm| vm.id.clone()).collect();
            let answers = fetch_statuses(&self.network, names).await;
            let others = others.map(|vm| VmRevision {
                vm: vm.id.clone(),
                failure_domain: vm.failure_domain.clone(),
                revision: answers
                    .get(&vm.id)
                    .and_then(Option::as_ref)
                    .map(|status| status.revision),
            });
            std::iter::once(own.clone()).chain(others).collect()
        })
    }

    fn drain(&self, vm: VmId) -> BoxFuture<'_, Result<(), SourceError>> {
        Box::pin(async move {
            if vm == self.identity.vm {
                self.components.core.gate.begin_drain();
                return Ok(());
            }
            let known = self
                .components
                .core
                .serving()
                .config
                .register
                .vms
                .iter()
                .any(|record| record.id == vm);
            if !known {
                return Err(SourceError::UnknownVm(vm));
            }
            match self.network.call(&vm, PeerRequest::Drain, PEER_TIMEOUT).await {
                Ok(PeerReply::Draining) => Ok(()),
                Ok(_) => Err(SourceError::OutcomeUnknown(vm)),
                Err(error) if error.definitely_not_sent() => Err(SourceError::Unreachable(vm)),
                Err(_) => Err(SourceError::OutcomeUnknown(vm)),
            }
        })
    }

    fn explain(
        &self,
        request: RequestId,
    ) -> BoxFuture<'_, Result<BTreeMap<VmId, Vec<String>>, SourceError>> {
        Box::pin(async move {
            // A request id consists of VM, incarnation and count, joined by dots; the name of the
            // VM may contain dots itself.
            let vm = request.rsplitn(3, '.').nth(2).unwrap_or_default().to_owned();
            let lines = if vm == self.identity.vm {
                self.components.core.trace.lines(&request)
            } else {
                let question = PeerRequest::Explain { request: request.clone() };
                match self.network.call(&vm, question, PEER_TIMEOUT).await {
                    Ok(PeerReply::Explained(lines)) => lines,
                    _ => return Err(SourceError::Unreachable(vm)),
                }
            };
            match lines.is_empty() {
                true => Err(SourceError::UnknownRequest(request)),
                false => Ok(BTreeMap::from([(vm, lines)])),
            }
        })
    }
}
