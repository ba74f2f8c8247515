//! Grants units of the usage limits of the organisations of which this entry is the arbiter.

use {
    crate::{
        ids::{OrganisationId, VmId},
        policy::usage_limits::{
            ShareGrant, ShareReport, UsageArbiter, UsageLimit, UsageReply, UsageRequest,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

struct GrantState {
    arbiter: UsageArbiter,
    random: Xoshiro256PlusPlus,
}

/// The usage limits of the organisations of which this entry is the arbiter.
pub struct UsageGranter(Mutex<GrantState>);

impl UsageGranter {
    /// Creates the arbiter of the entry `own`, which grants nothing until it is configured.
    pub fn new(own: VmId) -> Self {
        let random = Xoshiro256PlusPlus::from_os_rng();
        UsageGranter(Mutex::new(GrantState { arbiter: UsageArbiter::new(own), random }))
    }

    /// Replaces the caps and the entries among which arbiters are chosen.
    pub fn configure(&self, caps: BTreeMap<OrganisationId, UsageLimit>, arbiters: BTreeSet<VmId>) {
        self.lock().arbiter.configure(Instant::now(), caps, arbiters);
    }

    /// Records that the control VMs named this entry in a reply to a request of this time.
    pub fn confirm(&self, sent: Instant) {
        self.lock().arbiter.confirm(sent);
    }

    /// Grants units to `holder`, or refuses them.
    pub fn acquire(&self, holder: &VmId, request: &UsageRequest) -> UsageReply {
        let mut state = self.lock();
        // The highest 53 bits fill the mantissa, so that the quotient is less than 1.
        let chance = (state.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        state.arbiter.acquire(Instant::now(), holder, request, chance)
    }

    /// Records the shares of a holder and returns those that it has from now on.
    pub fn renew(&self, holder: &VmId, reports: Vec<ShareReport>) -> Vec<ShareGrant> {
        self.lock().arbiter.renew(Instant::now(), holder, reports)
    }

    /// Takes back units that were not used; negative ones were used in excess.
    pub fn give_back(&self, units: Vec<(OrganisationId, f64)>) {
        self.lock().arbiter.give_back(Instant::now(), units);
    }

    /// Ends all shares of an entry that stops.
    pub fn release(&self, holder: &VmId) {
        self.lock().arbiter.release(Instant::now(), holder);
    }

    /// Forgets the organisations that are not in use; to be called once a second.
    pub fn expire(&self) {
        self.lock().arbiter.expire(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, GrantState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
