//! Decisions under load: whom to serve, where, and when to refuse.
//!
//! Everything here is pure: time, chance and findings come in as arguments, decisions go out as
//! values. The daemon's driver and the virtual-time tests run the same [`Dispatcher`].

pub mod action;
pub mod admission;
pub mod dispatcher;
pub mod fairness;
pub mod input;
pub mod outlier;
pub mod placement;
pub mod prefix;
pub mod retry;
pub mod rollout;
pub mod safeguard;
pub mod suspect;
pub mod window;

pub use self::{
    action::{CacheStoreUse, DidRun, PolicyAction, RefusalReason, RetryReason, SendOrder},
    dispatcher::{Dispatcher, DispatcherSettings},
    input::{
        AttemptFailure, CacheEvent, DomainDigest, LoadReport, PolicyInput, PolicyView, PrefixLevel,
        RequestTicket, RequestWork, ServerHealth, ServerView,
    },
    safeguard::{PolicySafeguard, SafeguardError, SafeguardSet},
};
