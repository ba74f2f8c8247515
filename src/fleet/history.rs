//! The latest lists that followers were given, so that they are told differences.
//!
//! Load pattern: new weights change hundreds of servers within seconds, one after the other, while
//! hundreds of daemons follow the list. Sent whole to each of them at each change, it takes so much of a
//! control VM's processor that the leader's heartbeats come too late.

use {
    super::{FleetSnapshot, ListedServer},
    crate::ids::ServerId,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Lists kept: some seconds of changes. A follower that holds an older one is given the whole list.
const KEPT_LISTS: usize = 64;

/// What makes one list out of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDelta {
    /// The digest of the list that it applies to.
    pub base: u64,
    /// The digest of the list that comes out.
    pub digest: u64,
    /// Servers that are new or differ.
    pub changed: Vec<ListedServer>,
    /// Servers that are no longer listed.
    #[serde(rename = "gone")]
    pub removed: Vec<ServerId>,
}

/// What a follower of the list lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// It holds a list that was given a short while ago.
    Delta(Arc<FleetDelta>),
    /// It holds none, or one that is not known here.
    Full(Arc<FleetSnapshot>),
}

/// Lists by their digests.
#[derive(Debug, Default)]
pub struct FleetHistory {
    /// The lists that followers were given, oldest first; at most [`KEPT_LISTS`]. The last is the
    /// present one.
    given: VecDeque<(u64, Arc<FleetSnapshot>)>,
    /// Differences to the present list by their base; at most one for each list that is kept.
    deltas: BTreeMap<u64, Arc<FleetDelta>>,
}

impl FleetHistory {
    /// What a follower that holds the list of digest `held` lacks of `present`; `None` if nothing.
    pub fn change_since(&mut self, held: u64, present: &Arc<FleetSnapshot>) -> Option<FleetChange> {
        let digest = self.note(present);
        if digest == 0 || digest == held {
            return None;
        }
        if let Some(delta) = self.deltas.get(&held) {
            return Some(FleetChange::Delta(Arc::clone(delta)));
        }
        let Some((_, base)) = self.given.iter().find(|(known, _)| *known == held) else {
            return Some(FleetChange::Full(Arc::clone(present)));
        };
        let delta = Arc::new(difference((held, base), (digest, present)));
        self.deltas.insert(held, Arc::clone(&delta));
        Some(FleetChange::Delta(delta))
    }

    /// The digest of the present list, which is counted once however many followers ask.
    fn note(&mut self, present: &Arc<FleetSnapshot>) -> u64 {
        if let Some((digest, last)) = self.given.back()
            && Arc::ptr_eq(last, present)
        {
            return *digest;
        }
        let digest = present.digest();
        self.deltas.clear();
        self.given.retain(|(known, _)| *known != digest);
        if self.given.len() >= KEPT_LISTS {
            self.given.pop_front();
        }
        self.given.push_back((digest, Arc::clone(present)));
        digest
    }
}

fn difference(
    (base, former): (u64, &FleetSnapshot),
    (digest, present): (u64, &FleetSnapshot),
) -> FleetDelta {
    let by_id = |list: &FleetSnapshot, id: &ServerId| {
        list.servers.binary_search_by(|server| server.id.cmp(id)).ok()
    };
    let changed = present.servers.iter().filter(|server| {
        let known = by_id(former, &server.id).map(|index| &former.servers[index]);
        known != Some(*server)
    });
    let gone = former.servers.iter().filter(|server| by_id(present, &server.id).is_none());
    FleetDelta {
        base,
        digest,
        changed: changed.cloned().collect(),
        removed: gone.map(|server| server.id.clone()).collect(),
    }
}

impl FleetSnapshot {
    /// This list with the changes of `delta`.
    pub fn apply(&self, delta: &FleetDelta) -> FleetSnapshot {
        let mut servers: BTreeMap<&ServerId, &ListedServer> =
            self.servers.iter().map(|server| (&server.id, server)).collect();
        for gone in &delta.removed {
            servers.remove(gone);
        }
        servers.extend(delta.changed.iter().map(|server| (&server.id, server)));
        FleetSnapshot::new(servers.into_values().cloned().collect())
    }
}
