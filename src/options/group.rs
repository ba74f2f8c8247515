//! Options of the control group: initial peers, founders and data folder.

use {
    super::{
        DaemonRole, IdentityOptions, OptionFault,
        values::{NAME_REMEDY, is_valid_name, report_invalid, text},
    },
    crate::ids::VmId,
    bpaf::{Parser, construct},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        path::PathBuf,
    },
};

/// A group of three voters tolerates one failure, five tolerate two and seven tolerate three; more
/// voters only slow down each write.
const MAX_FOUNDERS: usize = 7;

/// Initial peers, founders and data folder of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupOptions {
    /// Addresses of the daemons to contact first, by VM; other daemons are found in the register.
    /// Does not contain this VM.
    pub peers: BTreeMap<VmId, SocketAddr>,
    /// Initial voters of the control group, each of which is this VM or one of `peers`. A daemon with
    /// state on disk ignores them.
    pub founders: BTreeSet<VmId>,
    /// Folder for the state of a control replica. Present if `role` is control or if this VM is a
    /// founder.
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
        "Addresses of other daemons to contact first, as in their --peer-listen",
    );
    let founders = text(
        "founders",
        "OLEANDERMOUNT_FOUNDERS",
        "VM,…",
        "Initial voters of the control group; must be the same list on each of them",
    );
    let data_dir = text(
        "data-dir",
        "OLEANDERMOUNT_DATA_DIR",
        "PATH",
        "Data folder; if given, the daemon is a control replica as well",
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
            let remedy = "add its address to --peers, or correct the name";
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
        DaemonRole::Control => "a control VM stores state; give a folder on a disk",
        DaemonRole::Entry if founders.contains(&identity.vm) => {
            "this VM is a founder and stores state; give a folder on a disk"
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
            (Some((vm, _)), Some(address)) if is_valid_name(vm) => {
                if peers.insert(vm.to_owned(), address).is_some() {
                    report_invalid(faults, "--peers", vm, "it is listed twice; keep one address");
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
        if !is_valid_name(&item) {
            report_invalid(faults, "--founders", &item, NAME_REMEDY);
        }
        if !founders.insert(item.clone()) {
            report_invalid(faults, "--founders", item, "it is listed twice; list each voter once");
        }
    }
    if founders.len() > MAX_FOUNDERS {
        let remedy = format!("list at most {MAX_FOUNDERS} voters, in different failure domains");
        report_invalid(faults, "--founders", founders.len(), remedy);
    }
    founders
}
