//! Recently published server lists, so that followers receive differences instead of full lists.
//!
//! During a rollout of weights, hundreds of servers change one after the other within seconds while
//! hundreds of daemons follow the list. Sending the full list to each of them at each change takes
//! so much CPU time of a control VM that the leader's heartbeats are delayed.

use {
    super::{FleetSnapshot, ListedServer},
    crate::ids::ServerId,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Number of retained lists, which covers several seconds of changes. A follower with an older list
/// receives the full list.
const MAX_LISTS: usize = 64;

/// Difference between two server lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDelta {
    /// Digest of the list to which the difference applies.
    pub base: u64,
    /// Digest of the resulting list.
    pub digest: u64,
    /// Servers that are new or changed.
    pub changed: Vec<ListedServer>,
    /// Names of servers that are no longer listed.
    #[serde(rename = "gone")]
    pub removed: Vec<ServerId>,
}

/// Update from the list that a follower holds to the current list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetChange {
    /// Difference to a recently published list.
    Delta(Arc<FleetDelta>),
    /// Full list, for a follower that holds none or an unknown one.
    Full(Arc<FleetSnapshot>),
}

impl FleetChange {
    /// Whether it is a full list without servers.
    pub fn is_empty(&self) -> bool {
        matches!(self, FleetChange::Full(list) if list.servers.is_empty())
    }
}

/// Published lists by their digests.
#[derive(Debug, Default)]
pub struct FleetHistory {
    /// Published lists, oldest first; at most [`MAX_LISTS`]. The last one is the current list.
    published: VecDeque<(u64, Arc<FleetSnapshot>)>,
    /// Differences to the current list by the digest of their base; at most one for each retained
    /// list.
    deltas: BTreeMap<u64, Arc<FleetDelta>>,
}

impl FleetHistory {
    /// Returns the update from the list with digest `held`, 0 for none, to the list `current`; `None`
    /// if the lists are equal.
    pub fn change_since(&mut self, held: u64, current: &Arc<FleetSnapshot>) -> Option<FleetChange> {
        let digest = self.record_list(current);
        if digest == held {
            return None;
        }
        if let Some(delta) = self.deltas.get(&held) {
            return Some(FleetChange::Delta(Arc::clone(delta)));
        }
        let Some((_, base)) = self.published.iter().find(|(known, _)| *known == held) else {
            return Some(FleetChange::Full(Arc::clone(current)));
        };
        let delta = Arc::new(difference((held, base), (digest, current)));
        self.deltas.insert(held, Arc::clone(&delta));
        Some(FleetChange::Delta(delta))
    }

    /// Returns the digest of the current list, which is computed once regardless of the number of
    /// followers.
    fn record_list(&mut self, current: &Arc<FleetSnapshot>) -> u64 {
        if let Some((digest, last)) = self.published.back()
            && Arc::ptr_eq(last, current)
        {
            return *digest;
        }
        let digest = current.digest();
        self.deltas.clear();
        self.published.retain(|(known, _)| *known != digest);
        if self.published.len() >= MAX_LISTS {
            self.published.pop_front();
        }
        self.published.push_back((digest, Arc::clone(current)));
        digest
    }
}

fn difference(
    (base, previous): (u64, &FleetSnapshot),
    (digest, current): (u64, &FleetSnapshot),
) -> FleetDelta {
    let by_id = |list: &FleetSnapshot, id: &ServerId| {
        list.servers.binary_search_by(|server| server.id.cmp(id)).ok()
    };
    let changed = current.servers.iter().filter(|server| {
        let known = by_id(previous, &server.id).map(|index| &previous.servers[index]);
        known != Some(*server)
    });
    let removed = previous.servers.iter().filter(|server| by_id(current, &server.id).is_none());
    FleetDelta {
        base,
        digest,
        changed: changed.cloned().collect(),
        removed: removed.map(|server| server.id.clone()).collect(),
    }
}

impl FleetSnapshot {
    /// Applies a difference to this list.
    pub fn apply(&self, delta: &FleetDelta) -> FleetSnapshot {
        let mut servers: BTreeMap<&ServerId, &ListedServer> =
            self.servers.iter().map(|server| (&server.id, server)).collect();
        for removed in &delta.removed {
            servers.remove(removed);
        }
        servers.extend(delta.changed.iter().map(|server| (&server.id, server)));
        FleetSnapshot::new(servers.into_values().cloned().collect())
    }
}
