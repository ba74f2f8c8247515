//! Requests go through filters in order: identify, limit, deduplicate, admit, place, relay.
//!
//! Each filter is one module with one job; a refusal leaves the pipe at once as a
//! [`CallerRefusal`], which says truthfully whether the request ran.

pub mod core;
pub mod counters;
pub mod deduplicate;
pub mod dispatch;
pub mod drain;
pub mod identify;
pub mod limit;
pub mod prompt;
pub mod refusal;
pub mod relay;
pub mod send_state;
pub mod service_call;
pub mod trace;
pub mod usage;

pub use self::{
    core::{CoreParts, PipelineCore, ServingConfig},
    dispatch::{DispatchDirective, DispatcherHandle},
    drain::DrainGate,
    refusal::CallerRefusal,
    trace::TraceLog,
    usage::UsageTracker,
};
