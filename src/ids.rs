//! Identifier types shared by all modules.

use serde::{Deserialize, Serialize};

/// Name of a VM of the system itself; each VM runs one daemon.
pub type VmId = String;
/// Name of a failure domain: a group of VMs that can become unreachable together.
pub type FailureDomainId = String;
/// Name of an organisation: the unit of billing, rate limits and cache isolation of callers.
pub type OrganisationId = String;
/// Name of a backend server: an engine, a plain service or a KV cache store.
pub type ServerId = String;
/// Name of a model, as callers give it in their requests.
pub type ModelId = String;
/// Name of an adapter loaded on top of a model.
pub type AdapterId = String;
/// Name of a plain service, which several backend servers may offer.
pub type ServiceId = String;
/// Version of a model's weights.
pub type WeightsVersion = String;
/// Version of a model's weights where operators number them; a higher number is newer.
pub type WeightsNumber = u64;
/// Version of the software that a backend server runs, as its list names it.
pub type SoftwareVersion = String;
/// Number assigned by the operator to a configuration document; the highest accepted one is active.
pub type DocumentNumber = u64;
/// Idempotency key of a caller, unique within one organisation.
pub type IdempotencyKey = String;
/// Identifier of an operator's change; every resend of the change carries the same one.
pub type OperationId = String;
/// Identifier of a caller's request, unique across all daemons.
pub type RequestId = String;
/// Identifier of one attempt to run a request at a backend server; unique across all daemons and
/// their restarts.
pub type AttemptId = u128;
/// Identifier of the lease of a backend server's slot, drawn at random by its holder.
pub type LeaseId = u64;
/// Incarnation of a process or a disk: a restart or an emptied disk starts a new one.
pub type Incarnation = u64;
/// Number of an accepted configuration; it never decreases.
pub type Revision = u64;
/// Raft term of a leader.
pub type Term = u64;
/// Position in the replicated log, from 1.
pub type LogIndex = u64;
/// SHA-256 digest in lower-case hexadecimal digits.
pub type DigestHex = String;

/// Fencing token of weight orders: an order with a lower number must not undo a later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber {
    /// Term of the leader that issued the order.
    pub term: Term,
    /// Log index of the desired weights that the order implements.
    pub index: LogIndex,
}
