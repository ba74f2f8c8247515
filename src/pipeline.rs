//! Request processing stages: identify, limit, deduplicate, admit, place and relay.
//!
//! Each stage is one module. A stage that rejects a request ends the processing with a
//! [`CallerRefusal`], which states whether the request may have run.

pub mod caller_budget;
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
    core::{CoreDependencies, PipelineCore, ServingConfig},
    dispatch::{DispatchDirective, DispatcherHandle},
    drain::DrainGate,
    refusal::CallerRefusal,
    trace::TraceLog,
    usage::UsageTracker,
};
