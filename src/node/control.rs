//! A control VM: keeps the replicated state, reads the list of backend servers while it leads, and
//! answers the daemons that follow it.

use {
    super::{
        NodeError, address_of,
        operators::OperatorDesk,
        orders::{EngineOrders, FLEET_TIMING, FleetOrders, follow_plan},
        random_seed,
    },
    crate::{
        control::{
            Membership,
            healing::{RepairNeeds, next_repair, repair_needs, target_voters},
            replica::ReplicaStatus,
        },
        daemon::{
            control_driver::{ControlDriver, ControlHandle, DriverSettings},
            weight_orders::WeightOrders,
        },
        fleet::watch::{FleetSource, FleetView, publish_list, read_list},
        follow::{
            FollowReply, FollowerKind, SharedState,
            service::{ControlHandler, FollowService},
            task::{FollowTask, FollowerPort},
        },
        ids::{FailureDomainId, Incarnation, VmId},
        observe::events,
        transport::{OpenNetworkSettings, PeerMessage, PeerNetwork},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        path::PathBuf,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::sleep,
    },
};

/// How often the leader looks whether a replica is to be replaced.
const HEAL_EVERY: Duration = Duration::from_millis(250);
/// How often a replica without a leader looks whether its search is to be told of.
const SEARCH_LOOK: Duration = Duration::from_secs(1);
/// Messages of the replica that wait for the network; further ones are lost and sent again.
const OUTBOUND_BOUND: usize = 4096;

/// What a control VM needs to start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it listens for other daemons.
    pub peer_listen: SocketAddr,
    /// The folder that its replica alone uses.
    pub data_dir: PathBuf,
    /// The control VMs that found the group together, or are known to belong to it, and where they
    /// listen.
    pub founders: BTreeMap<VmId, SocketAddr>,
    /// Whether this VM may found a group: only where the whole installation starts for the first
    /// time. An empty disk that founds one later would forget what was acknowledged.
    pub may_found: bool,
    /// Whether engines refuse orders with a lower fencing number than one that they have seen.
    pub engines_check_fencing: bool,
}

/// A running control VM.
pub struct ControlNode {
    /// What operators can ask.
    pub desk: OperatorDesk,
    network: PeerNetwork,
    founders: BTreeMap<VmId, SocketAddr>,
    /// The founders and the VMs that the settings name now.
    known: watch::Sender<BTreeMap<VmId, SocketAddr>>,
    _tasks: JoinSet<()>,
}

impl ControlNode {
    /// Starts a control VM; it waits for nobody.
    ///
    /// # Errors
    /// When an address or the data folder cannot be used.
    pub fn start(
        settings: ControlSettings,
        source: Arc<dyn FleetSource>,
        engines: Arc<dyn EngineOrders>,
    ) -> Result<Self, NodeError> {
        let mut tasks = JoinSet::new();
        let board = Arc::new(FleetView::default());
        let desk =
            Arc::new(FollowService::new(settings.failure_domain.clone(), Arc::clone(&board)));
        let place = OpenNetworkSettings {
            vm: settings.vm.clone(),
            listen: settings.peer_listen,
            peers: settings.founders.clone(),
        };
        let handler = Arc::new(ControlHandler { service: Arc::clone(&desk) });
        let network = PeerNetwork::start_open(place, handler).map_err(NodeError::Network)?;
        let replica = start_replica(&settings, &network, &mut tasks)?;
        desk.open(replica.clone());
        let leads = replica.clone();
        tasks.spawn(read_list(Arc::clone(&board), source, move || leads.lease_valid()));
        tasks.spawn(publish_list(Arc::clone(&board)));
        spawn_follower(&settings, &network, &replica, &desk, &board, &mut tasks);
        let (known, known_watch) = watch::channel(settings.founders.clone());
        tasks.spawn(tell_search(replica.clone(), known_watch.clone()));
        tasks.spawn(follow_members(network.clone(), replica.clone(), known_watch));
        let founders = settings.founders.len();
        tasks.spawn(heal(settings.vm.clone(), replica.clone(), founders));
        spawn_orders(&settings, &replica, &board, engines, &mut tasks);
        tasks.spawn(tell_leaders(settings.vm.clone(), replica.clone()));
        tasks.spawn(tell_members(settings.vm.clone(), replica.clone()));
        log::info!(vm = settings.vm.as_str(), founders = settings.founders.len();
            "control VM started");
        let desk = OperatorDesk::new(settings.vm, replica);
        Ok(ControlNode { desk, network, founders: settings.founders, known, _tasks: tasks })
    }

    /// Takes over where the settings say that control VMs are now. A replica of an empty disk that
    /// was told of VMs which are gone makes itself known to these. The founders stay reachable: while
    /// the group is not founded, each of them waits for all others.
    pub fn renew_known(&self, control: BTreeMap<VmId, SocketAddr>) {
        let founders = self.founders.clone().into_iter();
        self.known.send_replace(founders.chain(control).collect());
    }

    /// The VMs that it knows without the replicas' membership.
    pub fn known(&self) -> BTreeMap<VmId, SocketAddr> {
        self.known.borrow().clone()
    }

    /// Ends the connections to other daemons, so that they need not wait for their silence.
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
    let (outbound, mut messages) = mpsc::channel(OUTBOUND_BOUND);
    // A replica founds nothing that it is no founder of.
    let own = |vm: &&VmId| settings.may_found || **vm != settings.vm;
    let founders = settings.founders.keys().filter(own).cloned().collect();
    let driver = DriverSettings::new(
        settings.vm.clone(),
        founders,
        settings.data_dir.clone(),
        random_seed(),
    );
    let handle = ControlDriver::start(driver, outbound).map_err(NodeError::Replica)?;
    let network = network.clone();
    tasks.spawn(async move {
        while let Some((to, message)) = messages.recv().await {
            network.send(&to, PeerMessage::Replica(Box::new(message)));
        }
    });
    Ok(handle)
}

/// Follows the leader for the server list and the number of entries.
fn spawn_follower(
    settings: &ControlSettings,
    network: &PeerNetwork,
    replica: &ControlHandle,
    desk: &Arc<FollowService>,
    board: &Arc<FleetView>,
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
    let port = Arc::new(ControlFollower { desk: Arc::clone(desk), board: Arc::clone(board) });
    let (state, _) = watch::channel(SharedState::default());
    let domain = settings.failure_domain.clone();
    let task = FollowTask::new(network.clone(), domain, candidate_watch, state, port);
    tasks.spawn(task.run());
}

fn spawn_orders(
    settings: &ControlSettings,
    replica: &ControlHandle,
    board: &Arc<FleetView>,
    engines: Arc<dyn EngineOrders>,
    tasks: &mut JoinSet<()>,
) {
    let (plan, plans) = watch::channel(Arc::default());
    let fenced = settings.engines_check_fencing;
    tasks.spawn(follow_plan(board.subscribe(), replica.documents(), plan, fenced));
    let orders = Arc::new(FleetOrders::new(Arc::clone(board), engines));
    let desired = replica.desired_weights();
    let orders = WeightOrders::new(Arc::new(replica.clone()), orders, plans, desired);
    tasks.spawn(orders.timed(FLEET_TIMING).run());
}

/// Keeps the network's peers to the members, those that ask to become one, and those that the
/// settings or other control VMs name.
async fn follow_members(
    network: PeerNetwork,
    replica: ControlHandle,
    mut settings: watch::Receiver<BTreeMap<VmId, SocketAddr>>,
) {
    let port = network.local_address().port();
    let mut status = replica.status_watch();
    let (mut known, mut introduced) = (BTreeMap::new(), BTreeMap::new());
    loop {
        let peers = {
            let named_here = settings.borrow_and_update().clone();
            if named_here != introduced {
                replica.introduce(named_here.keys().cloned().collect());
                introduced.clone_from(&named_here);
            }
            let status = status.borrow_and_update();
            let members = status.members.members().map(|(vm, _)| vm);
            let named = members
                .chain(status.non_members.keys())
                .chain(&status.contacts)
                .filter_map(|vm| Some((vm.clone(), SocketAddr::new(address_of(vm)?, port))));
            named.chain(named_here).collect::<BTreeMap<_, _>>()
        };
        if peers != known {
            network.set_peers(peers.clone());
            known = peers;
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

/// Tells in the log who leads, from when to when.
async fn tell_leaders(vm: VmId, replica: ControlHandle) {
    let mut status = replica.status_watch();
    let mut known: Option<VmId> = None;
    loop {
        let (leader, term, commit) = {
            let status = status.borrow_and_update();
            (status.leader.clone(), status.term, status.commit)
        };
        if leader != known {
            let leads = |name: &Option<VmId>| name.as_ref() == Some(&vm);
            if leads(&known) {
                log::warn!(term = term, commit = commit; "{}", events::LEADERSHIP_ENDED);
            }
            match &leader {
                None => log::warn!(term = term, commit = commit, peer = known.as_deref();
                    "{}", events::LEADER_LOST),
                Some(_) if leads(&leader) => {
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

/// Tells in the log, on the leader, of which replicas the group consists.
async fn tell_members(vm: VmId, replica: ControlHandle) {
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

/// Replaces lost replicas while this one leads.
async fn heal(vm: VmId, replica: ControlHandle, founders: usize) {
    let mut told = None;
    loop {
        sleep(HEAL_EVERY).await;
        let status = replica.status();
        let voters = target_voters(&status, founders);
        tell_need(&mut told, repair_needs(Instant::now(), &status, voters));
        let Some(command) = next_repair(Instant::now(), &status, voters) else {
            continue;
        };
        log::warn!(vm = vm.as_str(), change:? = command; "replicas are mended");
        match replica.propose_local(command).await {
            Ok(outcome) => log::info!(outcome:? = outcome; "replicas: change decided"),
            Err(error) => log::info!(error:% = error; "replicas: change not decided"),
        }
    }
}

/// Tells in the log what the leader misses whenever that changes.
fn tell_need(told: &mut Option<RepairNeeds>, need: Option<RepairNeeds>) {
    if *told == need {
        return;
    }
    match &need {
        Some(need) => log::warn!(missing = need.missing, silent = need.unresponsive.join(","),
            standing_by = need.spares.join(","); "{}", events::REPAIR_NEEDED),
        None => log::info!("{}", events::REPAIR_DONE),
    }
    *told = need;
}

/// Whom a replica without a leader asks for a place in the group, and whom it hears.
#[derive(Debug, PartialEq, Eq)]
struct GroupSearch {
    asked: BTreeSet<VmId>,
    heard: BTreeSet<VmId>,
}

impl GroupSearch {
    /// `None` while a leader is known.
    fn of(status: &ReplicaStatus, named: &BTreeMap<VmId, SocketAddr>) -> Option<Self> {
        if status.leader.is_some() {
            return None;
        }
        let mut asked: BTreeSet<VmId> = named.keys().cloned().collect();
        asked.extend(status.members.members().map(|(vm, _)| vm.clone()));
        asked.extend(status.contacts.iter().cloned());
        Some(GroupSearch { asked, heard: status.non_members.keys().cloned().collect() })
    }
}

/// Tells in the log of the search for the group whenever it changes.
async fn tell_search(replica: ControlHandle, known: watch::Receiver<BTreeMap<VmId, SocketAddr>>) {
    let mut told = None;
    loop {
        sleep(SEARCH_LOOK).await;
        let search = GroupSearch::of(&replica.status(), &known.borrow());
        if search == told {
            continue;
        }
        if let Some(search) = &search {
            let names = |vms: &BTreeSet<VmId>| vms.iter().cloned().collect::<Vec<_>>().join(",");
            log::info!(asked = names(&search.asked), heard = names(&search.heard);
                "{}", events::MEMBERSHIP_REQUESTED);
        }
        told = search;
    }
}

struct ControlFollower {
    desk: Arc<FollowService>,
    board: Arc<FleetView>,
}

impl FollowerPort for ControlFollower {
    fn kind(&self) -> FollowerKind {
        FollowerKind::Control { entries: self.desk.own_entries() }
    }

    fn reply_received(&self, reply: &FollowReply, state: &SharedState) {
        self.desk.set_total_entries(reply.entries);
        if reply.list_fresh {
            self.board.apply_leader_list(state.fleet.clone());
        }
    }
}
