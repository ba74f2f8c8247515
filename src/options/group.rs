//! The daemons a daemon starts from, and the state it keeps on disk.

use {
    super::{
        DaemonRole, IdentityOptions, OptionFault,
        values::{NAME_REMEDY, is_name, report_invalid, text},
    },
    crate::ids::VmId,
    bpaf::{Parser, construct},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        path::PathBuf,
    },
};

/// Voters may fail one at a time with three, two at a time with five, three with seven; more
/// only make each write slower.
const MAX_FOUNDERS: usize = 7;

/// The daemons a daemon starts from, and the state it keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupOptions {
    /// Daemons to ask first, by VM; the register names the others later. Never holds this VM.
    pub peers: BTreeMap<VmId, SocketAddr>,
    /// The voters that form the control group the first time. Each is this VM or one of `peers`.
    /// Later starts go by what is on disk.
    pub founders: BTreeSet<VmId>,
    /// Where a control replica keeps its state. Present when `role` is control and when this VM
    /// is a founder.
    pub data_dir: Option<PathBuf>,
}

#[derive(Clone, Debug)]
pub(super) struct RawGroup {
    peers: Option<String>,
    founders: Option<String>,
    data_dir: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawGroup> {
    let peers = text(
        "peers",
        "OLEANDERMOUNT_PEERS",
        "VM=IP:PORT,…",
        "Other daemons to ask first, by the addresses of their --peer-listen",
    );
    let founders = text(
        "founders",
        "OLEANDERMOUNT_FOUNDERS",
        "VM,…",
        "The voters that form the control group the first time; the same list on each of them",
    );
    let data_dir = text(
        "data-dir",
        "OLEANDERMOUNT_DATA_DIR",
        "PATH",
        "The data folder; with it the daemon is a control replica as well",
    );
    construct!(RawGroup { peers, founders, data_dir })
}

pub(super) fn check(
    raw: RawGroup,
    identity: &IdentityOptions,
    faults: &mut Vec<OptionFault>,
) -> GroupOptions {
    let mut peers = peer_map(raw.peers, faults);
    peers.remove(&identity.vm);
    let founders = founder_set(raw.founders, faults);
    for founder in &founders {
        if *founder != identity.vm && !peers.contains_key(founder) {
            let remedy = "name its address in --peers, or correct the name";
            report_invalid(faults, "--founders", founder, remedy);
        }
    }
    let data_dir = raw.data_dir.map(PathBuf::from);
    if let Some(path) = data_dir.as_ref().filter(|path| path.exists() && !path.is_dir()) {
        report_invalid(faults, "--data-dir", path.display(), "this is a file; give a folder");
    }
    if data_dir.is_none() {
        require_data_dir(identity, &founders, faults);
    }
    GroupOptions { peers, founders, data_dir }
}

fn require_data_dir(
    identity: &IdentityOptions,
    founders: &BTreeSet<VmId>,
    faults: &mut Vec<OptionFault>,
) {
    let remedy = match identity.role {
        DaemonRole::Control => "a control VM keeps state; give a folder on a disk",
        DaemonRole::Entry if founders.contains(&identity.vm) => {
            "this VM is a founder and keeps state; give a folder on a disk"
        }
        DaemonRole::Entry => return,
    };
    faults
        .push(OptionFault::Missing { option: "--data-dir".to_owned(), remedy: remedy.to_owned() });
}

fn list_items(given: Option<String>) -> Vec<String> {
    given
        .iter()
        .flat_map(|list| list.split(','))
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(str::to_owned)
        .collect()
}

fn peer_map(given: Option<String>, faults: &mut Vec<OptionFault>) -> BTreeMap<VmId, SocketAddr> {
    let mut peers = BTreeMap::new();
    for item in list_items(given) {
        let parts = item.split_once('=');
        let address = parts.and_then(|(_, address)| address.parse::<SocketAddr>().ok());
        match (parts, address) {
            (Some((vm, _)), Some(address)) if is_name(vm) => {
                if peers.insert(vm.to_owned(), address).is_some() {
                    report_invalid(faults, "--peers", vm, "it is named twice; keep one address");
                }
            }
            _ => {
                let remedy = "give each daemon as VM=IP:PORT, such as ub-north-1=10.0.0.7:8082";
                report_invalid(faults, "--peers", item, remedy);
            }
        }
    }
    peers
}

fn founder_set(given: Option<String>, faults: &mut Vec<OptionFault>) -> BTreeSet<VmId> {
    let mut founders = BTreeSet::new();
    for item in list_items(given) {
        if !is_name(&item) {
            report_invalid(faults, "--founders", &item, NAME_REMEDY);
        }
        if !founders.insert(item.clone()) {
            report_invalid(faults, "--founders", item, "it is named twice; name each voter once");
        }
    }
    if founders.len() > MAX_FOUNDERS {
        let remedy = format!("name at most {MAX_FOUNDERS} voters, spread over failure domains");
        report_invalid(faults, "--founders", founders.len(), remedy);
    }
    founders
}
