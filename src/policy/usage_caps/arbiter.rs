//! The token buckets of the organisations of which this entry is the usage arbiter, and the shares of the
//! entries that use them.

use {
    super::{ShareGrant, ShareReport, UsageCap, UsageReply, UsageRequest},
    crate::ids::{OrganisationId, VmId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// All organisations of which this entry is the arbiter.
#[derive(Clone, Debug)]
pub struct UsageArbiter {
    own: VmId,
}

impl UsageArbiter {
    /// Creates the arbiter that this entry is.
    pub fn new(own: VmId) -> Self {
        UsageArbiter { own }
    }

    /// Replaces the caps and the entries among which arbiters are chosen.
    pub fn configure(
        &mut self,
        _now: Instant,
        _caps: BTreeMap<OrganisationId, UsageCap>,
        _arbiters: BTreeSet<VmId>,
    ) {
    }

    /// Records that the control VMs named this entry in a reply to a request of this time.
    pub fn confirm(&mut self, _sent: Instant) {}

    /// Requests units; `chance` is random, from 0 (inclusive) to 1 (exclusive).
    pub fn acquire(
        &mut self,
        _now: Instant,
        _holder: &VmId,
        _request: &UsageRequest,
        _chance: f64,
    ) -> UsageReply {
        UsageReply::NotArbiter
    }

    /// Records the shares of a holder and returns those that it has from now on.
    pub fn renew(
        &mut self,
        _now: Instant,
        _holder: &VmId,
        _reports: impl IntoIterator<Item = ShareReport>,
    ) -> Vec<ShareGrant> {
        Vec::new()
    }

    /// Takes back units that were granted and not used; negative ones were used in excess.
    pub fn give_back(
        &mut self,
        _now: Instant,
        _units: impl IntoIterator<Item = (OrganisationId, f64)>,
    ) {
    }

    /// Ends all shares of an entry that stops.
    pub fn release(&mut self, _now: Instant, _holder: &VmId) {}

    /// Forgets the organisations that are not in use; to be called once a second.
    pub fn expire(&mut self, _now: Instant) {}

    /// The number of organisations with state.
    pub fn accounts(&self) -> usize {
        self.own.len() * 0
    }
}
