//! The order in which requests wait for a lease: by urgency, then by arrival. Less urgent ones get a
//! turn after some grants to more urgent ones, so that no class waits for ever.

use {
    super::{LeaseUrgency, MemoryDemand, ReadingDemand},
    crate::ids::{LeaseId, VmId},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
};

/// Maximum requests that wait for a lease of one server.
pub(super) const MAX_WAITING: usize = 64;

/// Number of grants to more urgent requests after which those of an urgency are first.
const TURN_GRANTS: u32 = 8;

/// A request that waits for a lease.
#[derive(Clone, Debug)]
pub(super) struct WaitingLease {
    pub(super) lease: LeaseId,
    pub(super) holder: VmId,
    pub(super) memory: MemoryDemand,
    pub(super) reading: Option<ReadingDemand>,
    pub(super) until: Instant,
}

impl WaitingLease {
    fn urgency(&self) -> LeaseUrgency {
        urgency_of(self.reading.as_ref())
    }
}

/// The urgency of a demand; all are equal at servers that do not share their machines.
pub(super) fn urgency_of(reading: Option<&ReadingDemand>) -> LeaseUrgency {
    reading.map_or(0, |reading| reading.urgency)
}

/// Sums over requests that wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitingLoad {
    pub(super) requests: usize,
    /// Tokens of memory, without shared parts.
    pub(super) memory: u64,
    /// Prompt tokens to be read.
    pub(super) computed: u64,
}

/// Requests that wait for leases of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    /// By urgency, then by arrival; at most [`MAX_WAITING`].
    waiting: VecDeque<WaitingLease>,
    /// Grants to more urgent requests since the last one to an urgency that waits.
    passed: BTreeMap<LeaseUrgency, u32>,
}

impl WaitQueue {
    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Whether a new request of this urgency may get a lease before all that wait.
    pub(super) fn is_passed_by(&self, urgency: LeaseUrgency) -> bool {
        self.waiting.front().is_none_or(|first| first.urgency() > urgency)
            && !self.passed.values().any(|passed| *passed >= TURN_GRANTS)
    }

    pub(super) fn has_more_urgent(&self, urgency: LeaseUrgency) -> bool {
        self.waiting.front().is_some_and(|first| first.urgency() < urgency)
    }

    /// What waits before a new request of this urgency.
    pub(super) fn load_before(&self, urgency: LeaseUrgency) -> WaitingLoad {
        let before = self.waiting.iter().take_while(|waiting| waiting.urgency() <= urgency);
        before.fold(WaitingLoad::default(), |load, waiting| WaitingLoad {
            requests: load.requests + 1,
            memory: load.memory + u64::from(waiting.memory.own_tokens),
            computed: load.computed
                + waiting.reading.map_or(0, |reading| u64::from(reading.computed)),
        })
    }

    pub(super) fn push(&mut self, waiting: WaitingLease) {
        let urgency = waiting.urgency();
        let position = self.waiting.partition_point(|known| known.urgency() <= urgency);
        self.waiting.insert(position, waiting);
        self.passed.entry(urgency).or_default();
    }

    /// Removes the last request that is less urgent than this.
    pub(super) fn displace(&mut self, urgency: LeaseUrgency) -> Option<WaitingLease> {
        if self.waiting.back()?.urgency() <= urgency {
            return None;
        }
        let last = self.waiting.pop_back();
        self.forget_passed();
        last
    }

    pub(super) fn remove(&mut self, lease: LeaseId) {
        self.waiting.retain(|waiting| waiting.lease != lease);
        self.forget_passed();
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.waiting.retain(|waiting| now < waiting.until);
        self.forget_passed();
    }

    /// The first request of each urgency, with its position, in the order in which they get room.
    pub(super) fn heads(&self) -> Vec<(usize, &WaitingLease)> {
        let mut heads: Vec<(usize, &WaitingLease)> = Vec::new();
        for (position, waiting) in self.waiting.iter().enumerate() {
            if heads.last().is_none_or(|(_, last)| last.urgency() != waiting.urgency()) {
                heads.push((position, waiting));
            }
        }
        let has_turn =
            |urgency| self.passed.get(&urgency).is_some_and(|passed| *passed >= TURN_GRANTS);
        heads.sort_by_key(|(_, waiting)| !has_turn(waiting.urgency()));
        heads
    }

    /// Removes a request that gets a lease.
    pub(super) fn take(&mut self, position: usize) -> Option<WaitingLease> {
        let taken = self.waiting.remove(position)?;
        self.record_grant(taken.urgency());
        self.forget_passed();
        Some(taken)
    }

    /// Records that a request of this urgency got a lease.
    pub(super) fn record_grant(&mut self, urgency: LeaseUrgency) {
        for (waiting, passed) in &mut self.passed {
            match *waiting > urgency {
                true => *passed += 1,
                false if *waiting == urgency => *passed = 0,
                false => {}
            }
        }
    }

    fn forget_passed(&mut self) {
        let waiting = &self.waiting;
        self.passed.retain(|urgency, _| waiting.iter().any(|known| known.urgency() == *urgency));
    }
}
