//! Puts each new configuration in force in all parts of a daemon.

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

/// Follows the configuration of one daemon.
pub struct ConfigApplier {
    /// The pipeline.
    pub core: Arc<PipelineCore>,
    /// The network, whose peers the register names.
    pub network: PeerNetwork,
    /// Where the configuration comes from.
    pub spread: ConfigDissemination,
    /// The watch over backend servers.
    pub watch: ServerMonitor,
    /// News of servers, bounded by the register.
    pub board: Arc<ServerTable>,
    /// The daemon's settings.
    pub options: DaemonOptions,
}

impl ConfigApplier {
    /// Runs until the spread ends.
    pub async fn run(self) {
        let mut watch = self.spread.watch();
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
        self.spread.set_view(self.view(&config)).await;
        self.board.keep(&config.register.servers.iter().map(|one| one.id.clone()).collect());
        self.core.configure(Arc::clone(&config));
        self.watch.configure(&self.options.identity.vm, &config).await;
    }

    /// Addresses from the settings and the register; the register wins.
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
