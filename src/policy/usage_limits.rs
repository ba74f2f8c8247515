//! Usage limits of organisations, in requests or tokens a second, summed over all entries.
//!
//! The load is an organisation that asks for several times its usual, with callers at any entry. What is
//! within its cap is served and the rest refused at once, with a delay after which there is room.
//!
//! One entry, the organisation's *usage arbiter*, holds its token bucket; the entries with callers ask it
//! for units. So that the sum holds without contact, each entry in use also has a *share*, a fraction of the
//! rate for [`SHARE_TERM`]; all shares of an organisation add up to at most 1. While an entry and its
//! arbiter hear of each other, the arbiter spends the share. After [`SILENCE_LIMIT`] the arbiter stops, and
//! the entry spends it: it lends it to the next entry in the order of arbiters that it reaches, since
//! the shares of many entries together are enough for a request where each alone is not.

mod arbiter;
mod holder;

pub use self::{arbiter::UsageArbiter, holder::UsageHolder};

use {
    crate::ids::{OrganisationId, VmId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// How long a share lasts after it was last confirmed, and how long a new arbiter waits before it knows that
/// no share of a former one is left.
pub const SHARE_TERM: Duration = Duration::from_secs(8);

/// After this time without a message, a share belongs to its holder and not to the arbiter.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// Time between two reports about a share that is in use; two of them fit into [`SILENCE_LIMIT`].
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(225);

/// An arbiter acts as one for this time after the control VMs have confirmed it. They name another one no
/// earlier.
pub const CONFIRM_TERM: Duration = Duration::from_secs(6);

/// Time for which an entry asks in advance when demand is steady.
pub const AHEAD_TIME: Duration = Duration::from_millis(250);

/// Delays of refused requests are at most this long: the cap may change meanwhile.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Delays of refused requests are at least this long.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What a usage limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageUnit {
    /// Each request is one unit.
    Requests,
    /// Each token that a request reads or may make is one unit.
    Tokens,
}

/// The usage limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageLimit {
    /// Units a second; positive and finite.
    pub rate: f64,
    /// Units that may be used at once; not negative.
    pub burst: f64,
    /// What is counted.
    pub unit: UsageUnit,
    /// Tokens of a request that names none.
    pub plain_tokens: u32,
}

impl UsageLimit {
    /// Returns the units of a request with this sum of tokens.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            UsageUnit::Requests => 1.0,
            UsageUnit::Tokens => tokens.unwrap_or(u64::from(self.plain_tokens)) as f64,
        }
    }
}

/// A share as its holder reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Whose cap.
    pub organisation: OrganisationId,
    /// The fraction that the receiver last granted, or 0.
    pub held: f64,
    /// Whether the holder spends the fraction without the receiver, or has lent it to another entry.
    pub in_use: bool,
    /// Whether the holder has callers of the organisation. If not, it holds no share of the receiver any more.
    pub wanted: bool,
    /// The fraction of another arbiter that is lent to the receiver until it ends, or 0.
    pub lent: f64,
    /// When the lent fraction ends.
    pub lent_for: Duration,
}

/// A request for units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageRequest {
    /// The share, and whose cap.
    pub report: ShareReport,
    /// Units of the request.
    pub cost: f64,
    /// Further units that the entry expects to need within [`AHEAD_TIME`].
    pub ahead: f64,
}

/// The share that an arbiter grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Whose cap.
    pub organisation: OrganisationId,
    /// The fraction from now on; `None` if it isn't renewed and ends at its time.
    pub share: Option<f64>,
}

/// The reply of an arbiter to a [`UsageRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UsageReply {
    /// The request may run; units beyond its cost are for further requests.
    Granted {
        /// Units granted; at least the cost.
        units: f64,
        /// As in [`ShareGrant`].
        share: Option<f64>,
    },
    /// The request is beyond the cap.
    Refused {
        /// When there will be room.
        retry_after: Duration,
        /// Whether more than the rate of a second was used in excess, so that repeats have to end, too.
        in_debt: bool,
        /// As in [`ShareGrant`].
        share: Option<f64>,
    },
    /// The organisation has no cap, by a newer document than the holder's or an older one.
    Uncapped,
    /// The entry has no document that the control VMs have confirmed.
    NotArbiter,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageDecision {
    /// Its organisation has no cap.
    Unlimited,
    /// It may run; its units are paid.
    Granted,
    /// An arbiter has to be asked, which may be this entry itself.
    Ask {
        /// The entry to ask.
        arbiter: VmId,
        /// What to ask.
        request: UsageRequest,
    },
    /// It is beyond the cap and has not run.
    Refused {
        /// When there will be room.
        retry_after: Duration,
    },
}

/// Chooses the usage arbiter of an organisation among the entries by a hash, so that few organisations get
/// another one when an entry comes or goes.
pub fn choose_usage_arbiter<'a>(
    organisation: &OrganisationId,
    arbiters: impl IntoIterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    arbiters.into_iter().max_by_key(|vm| rank(organisation, vm))
}

/// The rank of an entry as arbiter of an organisation; the highest is chosen.
fn rank(organisation: &OrganisationId, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64(organisation.as_bytes()))
}

/// A delay of this many seconds within the bounds of such delays.
fn retry_after(seconds: f64) -> Duration {
    let delay = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
    delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
