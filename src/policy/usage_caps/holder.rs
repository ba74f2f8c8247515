//! What this entry holds of the caps of the organisations whose callers it serves.

use {
    super::{ShareGrant, ShareReport, UsageCap, UsageDecision, UsageReply, UsageRequest},
    crate::ids::{OrganisationId, VmId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// What this entry holds of all caps.
#[derive(Clone, Debug, Default)]
pub struct UsageHolder {
    caps: BTreeMap<OrganisationId, UsageCap>,
}

impl UsageHolder {
    /// Replaces the caps, the entries among which arbiters are chosen and the number of all entries.
    pub fn configure(
        &mut self,
        _now: Instant,
        _caps: BTreeMap<OrganisationId, UsageCap>,
        _arbiters: BTreeSet<VmId>,
        _entries: usize,
    ) {
    }

    /// The cap of an organisation.
    pub fn cap(&self, organisation: &OrganisationId) -> Option<&UsageCap> {
        self.caps.get(organisation)
    }

    /// Decides about a request of `cost` units.
    pub fn decide(
        &mut self,
        _now: Instant,
        _organisation: &OrganisationId,
        _cost: f64,
    ) -> UsageDecision {
        UsageDecision::Unlimited
    }

    /// Records the reply to a request that was sent at `sent`.
    pub fn record_reply(
        &mut self,
        _now: Instant,
        _arbiter: &VmId,
        _request: &UsageRequest,
        _sent: Instant,
        _reply: UsageReply,
    ) -> UsageDecision {
        UsageDecision::Unlimited
    }

    /// Records that a request had no reply. The decision may be to ask another entry.
    pub fn record_failure(
        &mut self,
        _now: Instant,
        _arbiter: &VmId,
        _request: &UsageRequest,
    ) -> UsageDecision {
        UsageDecision::Unlimited
    }

    /// Records that a request that was granted has not run.
    pub fn not_run(&mut self, _now: Instant, _organisation: &OrganisationId, _cost: f64) {}

    /// Charges a repeat of a request that has run, or may have. Returns whether it may run again.
    pub fn charge_repeat(
        &mut self,
        _now: Instant,
        _organisation: &OrganisationId,
        _cost: f64,
    ) -> bool {
        true
    }

    /// The reports that are due, by entry; to be called every 25 ms.
    pub fn due(&mut self, _now: Instant) -> BTreeMap<VmId, Vec<ShareReport>> {
        BTreeMap::new()
    }

    /// Records the reply to reports that were sent at `sent`.
    pub fn record_renewal(
        &mut self,
        _now: Instant,
        _arbiter: &VmId,
        _sent: Instant,
        _grants: impl IntoIterator<Item = ShareGrant>,
    ) {
    }

    /// Units to give back, by entry; negative ones were used in excess.
    pub fn returns(&mut self, _now: Instant) -> BTreeMap<VmId, Vec<(OrganisationId, f64)>> {
        BTreeMap::new()
    }

    /// The number of organisations with state.
    pub fn accounts(&self) -> usize {
        0
    }
}
