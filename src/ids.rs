//! Names and numbers that identify things across the system.

use serde::{Deserialize, Serialize};

/// A VM of the system itself; one daemon runs on each.
pub type VmId = String;
/// A failure domain: a group of VMs that can be cut off from the others as a whole.
pub type FailureDomainId = String;
/// An organisation: the caller that is billed, limited and kept apart from the others.
pub type OrganisationId = String;
/// A backend server: an engine, a plain service or a prompt-keep.
pub type ServerId = String;
/// A model that callers name in their requests.
pub type ModelId = String;
/// An adapter loaded on top of a model.
pub type AdapterId = String;
/// A plain service, which several backend servers may offer.
pub type ServiceId = String;
/// A version of a model's weights.
pub type WeightsVersion = String;
/// A version of a model's weights where operators number them; a higher one is newer.
pub type WeightsNumber = u64;
/// The number that an operator gave a document; the highest accepted one is in force.
pub type DocumentNumber = u64;
/// A caller's idempotency key, unique within one organisation.
pub type IdempotencyKey = String;
/// An operator's identifier of one change, the same in each resend of it.
pub type OperationId = String;
/// The identifier of one caller's request, unique over all daemons.
pub type RequestId = String;
/// One try of a request at one backend server; unique over all daemons and their restarts.
pub type AttemptId = u128;
/// One life of a process or of a disk: a restart or an emptied disk is a new incarnation.
pub type Incarnation = u64;
/// The number of an accepted configuration; it only grows.
pub type Revision = u64;
/// A leader's term of office.
pub type Term = u64;
/// A position in the replicated log, from 1.
pub type LogIndex = u64;
/// A SHA-256 digest in lower-case hexadecimal digits.
pub type DigestHex = String;

/// Orders weight changes: an order with a lower number must not undo a later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber {
    /// The term in which the order was given.
    pub term: Term,
    /// The log index of the desired weights that it carries out.
    pub index: LogIndex,
}
