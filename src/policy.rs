//! Request scheduling and routing: admission, queueing, server selection, retries and overload
//! protection.
//!
//! This module is deterministic and performs no I/O: the current time, the random seed and all
//! observations are passed in, and decisions are returned as values. The daemon and the
//! virtual-time tests run the same [`Dispatcher`].

pub mod action;
pub mod admission;
pub mod bounded_time;
pub mod caller_memory;
pub mod dispatcher;
pub mod fairness;
pub mod input;
pub mod outlier;
pub mod pacing;
pub mod placement;
pub mod prefix;
pub mod queue_delay;
pub mod reachability;
pub mod retry;
pub mod rollout;
pub mod safeguard;
pub mod server_rest;
pub mod slot_leases;
pub mod software_history;
pub mod store_choice;
pub mod suspect;
pub mod tunnel_peers;
pub mod usage_limits;
pub mod window;
pub mod work_time;

pub use self::{
    action::{CacheStoreUse, DidRun, PolicyAction, RefusalReason, RetryReason, SendOrder},
    dispatcher::{Dispatcher, DispatcherSettings, MAX_BUSY_SERVERS},
    input::{
        AttemptFailure, CacheEvent, DomainDigest, LoadReport, PolicyInput, PolicyView, PrefixLevel,
        RequestTicket, RequestWork, ServerHealth, ServerView,
    },
    safeguard::{PolicySafeguard, SafeguardError, SafeguardSet},
};
