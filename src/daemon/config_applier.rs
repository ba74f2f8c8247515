//! Applies each new configuration to all components of a daemon.

use {
    super::{
        config_dissemination::{ConfigDissemination, dissemination_core::PeerView},
        server_monitor::ServerMonitor,
        server_table::ServerTable,
    },
    crate::{
        ids::VmId, inventory::ActiveConfig, options::DaemonOptions, pipeline::PipelineCore,
        transport::PeerNetwork,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Applies configurations to the components of one daemon.
pub struct ConfigApplier {
    /// The request pipeline.
    pub core: Arc<PipelineCore>,
    /// The peer network; its addresses come from the settings and the register.
    pub network: PeerNetwork,
    /// The source of configurations.
    pub dissemination: ConfigDissemination,
    /// The health monitor of backend servers.
    pub monitor: ServerMonitor,
    /// The last known state of each server of the register.
    pub server_table: Arc<ServerTable>,
    /// The daemon's settings.
    pub options: DaemonOptions,
}

impl ConfigApplier {
    /// Runs until the dissemination task ends.
    pub async fn run(self) {
        let mut watch = self.dissemination.watch();
        loop {
            let config = watch.borrow_and_update().clone();
            if config.revision > 0 {
                self.apply(config).await;
            }
            if watch.changed().await.is_err() {
                return;
            }
        }
    }

    async fn apply(&self, config: Arc<ActiveConfig>) {
        log::info!(revision = config.revision; "configuration in force");
        self.network.set_peers(self.addresses(&config));
        self.dissemination.set_view(self.view(&config)).await;
        self.server_table
            .retain(&config.register.servers.iter().map(|server| server.id.clone()).collect());
        self.core.configure(Arc::clone(&config));
        self.monitor.configure(&self.options.identity.vm, &config).await;
    }

    /// Addresses from the settings and the register; the register takes precedence.
    fn addresses(&self, config: &ActiveConfig) -> BTreeMap<VmId, SocketAddr> {
        let registered = config.register.vms.iter().map(|vm| (vm.id.clone(), vm.peer_address));
        self.options.group.peers.clone().into_iter().chain(registered).collect()
    }

    fn view(&self, config: &ActiveConfig) -> PeerView {
        let identity = &self.options.identity;
        let vms = config.register.vms.iter().filter(|vm| vm.id != identity.vm);
        let (domain, others): (Vec<_>, Vec<_>) =
            vms.partition(|vm| vm.failure_domain == identity.failure_domain);
        let founders = &self.options.group.founders;
        let domain: Vec<VmId> = domain.into_iter().map(|vm| vm.id.clone()).collect();
        PeerView {
            durable_peers: domain.iter().filter(|vm| founders.contains(*vm)).cloned().collect(),
            domain,
            others: others.into_iter().map(|vm| vm.id.clone()).collect(),
        }
    }
}
