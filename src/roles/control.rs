//! A control VM: replicates the shared state, reads the list of backend servers while it is the
//! leader, and answers the daemons that follow it.

use {
    super::{
        NodeError, address_from_vm,
        fleet_orders::{EngineClient, FLEET_TIMING, FleetOrders, update_plan},
        operator_service::OperatorService,
        random_seed,
    },
    crate::{
        clock,
        control::{
            Membership,
            healing::{RepairNeeds, next_repair, repair_needs, target_voters},
            replica::ReplicaStatus,
        },
        daemon::{
            control_driver::{ControlDriver, ControlHandle, DriverSettings, FoundingRule},
            weight_orders::WeightOrders,
        },
        fleet::watch::{FleetSource, FleetView, publish_list, read_list},
        follow::{
            FollowReply, FollowerKind, SharedState,
            evidence::evidence_digest,
            origin_service::copy_receiver,
            service::{ControlHandler, FollowService, control_vms},
            task::{FollowTask, FollowerPort},
        },
        ids::{FailureDomainId, Incarnation, ServiceId, VmId},
        observe::{events, memory::report_memory, pauses::log_pauses},
        transport::{PeerMessage, PeerNetwork, UnauthenticatedSettings},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::sleep,
    },
};

/// How often the leader checks whether a replica has to be replaced.
const REPAIR_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often a replica without a leader checks whether its search for the group has changed.
const SEARCH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Messages of the replica that wait for the network. Further ones are dropped; the replica sends
/// them again.
const OUTBOUND_QUEUE_LENGTH: usize = 4096;

/// The subfolder of the data folder that contains the journal of stream origins.
const ORIGINS_FOLDER: &str = "origins";

/// The name under which the leader's sample of entries is kept, since it replaces the sample of the
/// former leader. It is no name of a VM.
const LEADER_SAMPLE: &str = "(leader)";

/// Settings of a control VM.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The name of this VM.
    pub vm: VmId,
    /// The failure domain of this VM.
    pub failure_domain: FailureDomainId,
    /// The UDP address for other daemons.
    pub peer_listen: SocketAddr,
    /// The data folder, used by this replica only.
    pub data_dir: PathBuf,
    /// The control VMs that form the group, or are known to belong to it, with their addresses.
    pub founders: BTreeMap<VmId, SocketAddr>,
    /// Whether this VM may form a new group although its disk does not remember the first start. Set
    /// it only for the first start of a deployment: a replica with an empty disk that forms a group later
    /// would lose acknowledged changes.
    pub may_found: bool,
    /// Whether engines refuse orders whose fencing number is lower than one that they have seen.
    pub engines_check_fencing: bool,
}

/// A running control VM.
pub struct ControlNode {
    /// Handles the operators' requests.
    pub operators: OperatorService,
    network: PeerNetwork,
    founders: BTreeMap<VmId, SocketAddr>,
    /// The founders and the control VMs of the current settings.
    known_peers: watch::Sender<BTreeMap<VmId, SocketAddr>>,
    _tasks: JoinSet<()>,
}

impl ControlNode {
    /// Starts a control VM without waiting for other VMs.
    ///
    /// # Errors
    /// When an address cannot be bound or the data folder cannot be used.
    pub fn start(
        settings: ControlSettings,
        source: Arc<dyn FleetSource>,
        engines: Arc<dyn EngineClient>,
    ) -> Result<Self, NodeError> {
        let mut tasks = JoinSet::new();
        let fleet_view = Arc::new(FleetView::default());
        let follow_service =
            Arc::new(FollowService::new(settings.failure_domain.clone(), Arc::clone(&fleet_view)));
        let origins_folder = settings.data_dir.join(ORIGINS_FOLDER);
        if let Some(journal) = follow_service.origins().open_journal(&origins_folder) {
            tasks.spawn(Arc::clone(follow_service.origins()).run_journal(journal));
        }
        let network_settings = UnauthenticatedSettings {
            vm: settings.vm.clone(),
            listen: settings.peer_listen,
            peers: settings.founders.clone(),
        };
        let handler = Arc::new(ControlHandler { service: Arc::clone(&follow_service) });
        let network = PeerNetwork::start_unauthenticated(network_settings, handler)
            .map_err(NodeError::Network)?;
        let replica = start_replica(&settings, &network, &mut tasks)?;
        follow_service.open(replica.clone());
        let lease = replica.clone();
        let entries_service = Arc::clone(&follow_service);
        tasks.spawn(read_list(
            Arc::clone(&fleet_view),
            source,
            move || lease.lease_valid(),
            move || entries_service.directory().all(Instant::now()),
        ));
        tasks.spawn(publish_list(Arc::clone(&fleet_view)));
        let (evidence, status) = (Arc::clone(follow_service.evidence()), replica.status_watch());
        tasks.spawn({
            let (evidence, network) = (Arc::clone(&evidence), network.clone());
            let leader = move || status.borrow().leader.clone();
            async move { evidence.report_to_leader(network, leader).await }
        });
        spawn_origins(&follow_service, &network, &replica, &fleet_view, &mut tasks);
        let service = Arc::clone(&follow_service);
        tasks.spawn(async move { evidence.publish(move || service.follower_count()).await });
        spawn_follower(&settings, &network, &replica, &follow_service, &fleet_view, &mut tasks);
        let (known_peers, known_peer_watch) = watch::channel(settings.founders.clone());
        tasks.spawn(log_group_search(replica.clone(), known_peer_watch.clone()));
        tasks.spawn(update_peers(network.clone(), replica.clone(), known_peer_watch));
        let founders = settings.founders.len();
        tasks.spawn(repair_replicas(settings.vm.clone(), replica.clone(), founders));
        spawn_orders(&settings, &replica, &fleet_view, engines, &mut tasks);
        tasks.spawn(report_memory());
        tasks.spawn(log_pauses());
        tasks.spawn(log_leader_changes(settings.vm.clone(), replica.clone()));
        tasks.spawn(log_member_changes(settings.vm.clone(), replica.clone()));
        log::info!(vm = settings.vm.as_str(), founders = settings.founders.len();
            "control VM started");
        let operators = OperatorService::new(settings.vm, replica);
        Ok(ControlNode {
            operators,
            network,
            founders: settings.founders,
            known_peers,
            _tasks: tasks,
        })
    }

    /// Applies the control VMs of reloaded settings. A replica with an empty disk whose first settings
    /// named VMs that no longer exist finds the group through these VMs. The founders stay reachable:
    /// until the group is formed, each of them waits for all others.
    pub fn set_known_peers(&self, control: BTreeMap<VmId, SocketAddr>) {
        let founders = self.founders.clone().into_iter();
        self.known_peers.send_replace(founders.chain(control).collect());
    }

    /// The control VMs known from the settings, independent of the replicas' membership.
    pub fn known_peers(&self) -> BTreeMap<VmId, SocketAddr> {
        self.known_peers.borrow().clone()
    }

    /// Closes the connections to other daemons, so that they do not have to wait for a timeout.
    pub async fn stop(self) {
        self.network.close().await;
        log::info!("stopped");
    }
}

fn start_replica(
    settings: &ControlSettings,
    network: &PeerNetwork,
    tasks: &mut JoinSet<()>,
) -> Result<ControlHandle, NodeError> {
    let (outbound, mut messages) = mpsc::channel(OUTBOUND_QUEUE_LENGTH);
    let founding = match settings.may_found {
        true => FoundingRule::FirstStart,
        false => FoundingRule::LaterStart,
    };
    let founders = settings.founders.keys().cloned().collect();
    let data_dir = settings.data_dir.clone();
    let driver = DriverSettings {
        founding,
        ..DriverSettings::new(settings.vm.clone(), founders, data_dir, random_seed())
    };
    let handle = ControlDriver::start(driver, outbound).map_err(NodeError::Replica)?;
    let network = network.clone();
    tasks.spawn(async move {
        while let Some((to, message)) = messages.recv().await {
            network.send(&to, PeerMessage::Replica(Box::new(message)));
        }
    });
    Ok(handle)
}

/// Follows the leader to get the server list and the number of entries.
fn spawn_follower(
    settings: &ControlSettings,
    network: &PeerNetwork,
    replica: &ControlHandle,
    follow_service: &Arc<FollowService>,
    fleet_view: &Arc<FleetView>,
    tasks: &mut JoinSet<()>,
) {
    let (candidates, candidate_watch) = watch::channel(Vec::new());
    let (vm, mut status) = (settings.vm.clone(), replica.status_watch());
    tasks.spawn(async move {
        loop {
            let leader = status.borrow_and_update().leader.clone();
            let others: Vec<VmId> = leader.into_iter().filter(|leader| *leader != vm).collect();
            candidates.send_if_modified(|known| {
                let changed = *known != others;
                *known = others;
                changed
            });
            if status.changed().await.is_err() {
                return;
            }
        }
    });
    let port = Arc::new(ControlFollower {
        follow_service: Arc::clone(follow_service),
        fleet_view: Arc::clone(fleet_view),
        evidence: AtomicU64::new(0),
    });
    let (state, _) = watch::channel(SharedState::default());
    let domain = settings.failure_domain.clone();
    let task = FollowTask::new(network.clone(), domain, candidate_watch, state, port);
    tasks.spawn(task.run());
}

/// Records the software versions of servers, and copies the origins of streams to another control VM.
fn spawn_origins(
    follow_service: &Arc<FollowService>,
    network: &PeerNetwork,
    replica: &ControlHandle,
    fleet_view: &Arc<FleetView>,
    tasks: &mut JoinSet<()>,
) {
    let origins = follow_service.origins();
    tasks.spawn(Arc::clone(origins).run_lists(Arc::clone(fleet_view)));
    let (status, own) = (replica.status_watch(), network.vm().clone());
    let next = move || copy_receiver(&own, &control_vms(&status.borrow())).cloned();
    tasks.spawn(Arc::clone(origins).run_copies(network.clone(), next));
}

fn spawn_orders(
    settings: &ControlSettings,
    replica: &ControlHandle,
    fleet_view: &Arc<FleetView>,
    engines: Arc<dyn EngineClient>,
    tasks: &mut JoinSet<()>,
) {
    let (plan, plans) = watch::channel(Arc::default());
    let fenced = settings.engines_check_fencing;
    tasks.spawn(update_plan(fleet_view.subscribe(), replica.documents(), plan, fenced));
    let orders = Arc::new(FleetOrders::new(Arc::clone(fleet_view), engines));
    let desired = replica.desired_weights();
    let orders = WeightOrders::new(Arc::new(replica.clone()), orders, plans, desired);
    tasks.spawn(orders.with_timing(FLEET_TIMING).run());
}

/// Keeps the peers of the network up to date: members, VMs that ask to join, and VMs that the
/// settings or other control VMs name.
async fn update_peers(
    network: PeerNetwork,
    replica: ControlHandle,
    mut settings: watch::Receiver<BTreeMap<VmId, SocketAddr>>,
) {
    let port = network.local_address().port();
    let mut status = replica.status_watch();
    let (mut current, mut last_configured) = (BTreeMap::new(), BTreeMap::new());
    loop {
        let peers = {
            let configured = settings.borrow_and_update().clone();
            if configured != last_configured {
                replica.set_configured_peers(configured.keys().cloned().collect());
                last_configured.clone_from(&configured);
            }
            let status = status.borrow_and_update();
            let members = status.members.members().map(|(vm, _)| vm);
            let named = members
                .chain(status.non_members.keys())
                .chain(&status.contacts)
                .filter_map(|vm| Some((vm.clone(), SocketAddr::new(address_from_vm(vm)?, port))));
            named.chain(configured).collect::<BTreeMap<_, _>>()
        };
        if peers != current {
            network.set_peers(peers.clone());
            current = peers;
        }
        let ended = tokio::select! {
            changed = status.changed() => changed.is_err(),
            changed = settings.changed() => changed.is_err(),
        };
        if ended {
            return;
        }
    }
}

/// Logs each change of the leader.
async fn log_leader_changes(vm: VmId, replica: ControlHandle) {
    let mut status = replica.status_watch();
    let mut known: Option<VmId> = None;
    loop {
        let (leader, term, commit) = {
            let status = status.borrow_and_update();
            (status.leader.clone(), status.term, status.commit)
        };
        if leader != known {
            let is_own = |name: &Option<VmId>| name.as_ref() == Some(&vm);
            if is_own(&known) {
                log::warn!(term = term, commit = commit; "{}", events::LEADERSHIP_ENDED);
            }
            match &leader {
                None => log::warn!(term = term, commit = commit, peer = known.as_deref();
                    "{}", events::LEADER_LOST),
                Some(_) if is_own(&leader) => {
                    log::info!(term = term, commit = commit; "{}", events::LEADERSHIP_STARTED);
                }
                Some(peer) => log::info!(peer = peer.as_str(), term = term, commit = commit;
                    "{}", events::LEADER_KNOWN),
            }
            known = leader;
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// Logs each change of the group's members; only the leader does so.
async fn log_member_changes(vm: VmId, replica: ControlHandle) {
    let mut status = replica.status_watch();
    let mut known = Membership::default();
    loop {
        {
            let status = status.borrow_and_update();
            if status.leader.as_ref() == Some(&vm) && status.members != known {
                known = status.members.clone();
                let names = |replicas: &BTreeMap<VmId, Incarnation>| {
                    replicas.keys().cloned().collect::<Vec<_>>().join(",")
                };
                log::info!(voters = names(&known.voters), learners = names(&known.learners);
                    "{}", events::MEMBERSHIP_CHANGED);
            }
        }
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// Replaces lost replicas while this VM is the leader.
async fn repair_replicas(vm: VmId, replica: ControlHandle, founders: usize) {
    let mut logged = None;
    loop {
        sleep(REPAIR_CHECK_INTERVAL).await;
        let status = replica.status();
        let voters = target_voters(&status, founders);
        let now = clock::now();
        log_repair_need(&mut logged, repair_needs(now, &status, voters));
        let Some(command) = next_repair(now, &status, voters) else {
            continue;
        };
        log::warn!(vm = vm.as_str(), change:? = command; "replicas are mended");
        match replica.propose_local(command).await {
            Ok(outcome) => log::info!(outcome:? = outcome; "replicas: change decided"),
            Err(error) => log::info!(error:% = error; "replicas: change not committed"),
        }
    }
}

/// Logs a change of the replicas that the leader lacks.
fn log_repair_need(logged: &mut Option<RepairNeeds>, need: Option<RepairNeeds>) {
    if *logged == need {
        return;
    }
    match &need {
        Some(need) => log::warn!(missing = need.missing, silent = need.unresponsive.join(","),
            standing_by = need.spares.join(","); "{}", events::REPAIR_NEEDED),
        None => log::info!("{}", events::REPAIR_DONE),
    }
    *logged = need;
}

/// The state of a leaderless replica's search for the group.
#[derive(Debug, PartialEq, Eq)]
struct GroupSearch {
    /// VMs that the replica asks to be admitted to the group.
    asked: BTreeSet<VmId>,
    /// VMs that the replica receives messages from.
    responding: BTreeSet<VmId>,
}

impl GroupSearch {
    /// The search of a replica with this status; `None` while it knows a leader.
    fn of(status: &ReplicaStatus, named: &BTreeMap<VmId, SocketAddr>) -> Option<Self> {
        if status.leader.is_some() {
            return None;
        }
        let mut asked: BTreeSet<VmId> = named.keys().cloned().collect();
        asked.extend(status.members.members().map(|(vm, _)| vm.clone()));
        asked.extend(status.contacts.iter().cloned());
        Some(GroupSearch { asked, responding: status.non_members.keys().cloned().collect() })
    }
}

/// Logs each change of the search for the group.
async fn log_group_search(
    replica: ControlHandle,
    known: watch::Receiver<BTreeMap<VmId, SocketAddr>>,
) {
    let mut logged = None;
    loop {
        sleep(SEARCH_CHECK_INTERVAL).await;
        let search = GroupSearch::of(&replica.status(), &known.borrow());
        if search == logged {
            continue;
        }
        if let Some(search) = &search {
            let names = |vms: &BTreeSet<VmId>| vms.iter().cloned().collect::<Vec<_>>().join(",");
            log::info!(asked = names(&search.asked), heard = names(&search.responding);
                "{}", events::MEMBERSHIP_REQUESTED);
        }
        logged = search;
    }
}

struct ControlFollower {
    follow_service: Arc<FollowService>,
    fleet_view: Arc<FleetView>,
    /// The digest of the leader's last crash reports.
    evidence: AtomicU64,
}

impl FollowerPort for ControlFollower {
    fn kind(&self) -> FollowerKind {
        FollowerKind::Control { entries: self.follow_service.own_entries() }
    }

    fn evidence_digest(&self) -> u64 {
        self.evidence.load(Ordering::Relaxed)
    }

    fn limited_services(&self) -> BTreeSet<ServiceId> {
        self.follow_service.limited_services()
    }

    fn tunnel_peers(&self) -> Vec<VmId> {
        self.follow_service.directory().own_sample(Instant::now())
    }

    fn reply_received(&self, reply: &FollowReply, state: &SharedState) {
        let directory = self.follow_service.directory();
        directory.record_sample(
            Instant::now(),
            &LEADER_SAMPLE.to_owned(),
            reply.tunnel_peers.clone(),
        );
        if let Some(reports) = &reply.evidence {
            self.evidence.store(evidence_digest(reports), Ordering::Relaxed);
            self.follow_service.evidence().merge(reports);
        }
        self.follow_service.record_ages(reply.weights_ages.clone());
        self.follow_service.set_leader_limits(reply.limited_services.clone());
        self.follow_service.set_total_entries(reply.entries);
        if reply.list_fresh {
            self.fleet_view.apply_leader_list(state.fleet.clone());
        }
    }
}
