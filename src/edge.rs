//! Serves callers that speak plain HTTP by route, in front of backend servers that do as well.
//!
//! A request is read whole, placed by the one [`crate::policy::Dispatcher`], and its answer passed
//! on unchanged. What the installation's headers are called, and what they mean, only the
//! [`dialect::WireDialect`] knows.

pub mod accept;
pub mod answer;
pub mod core;
pub mod dialect;
pub mod exchange;
pub mod guard;
pub mod headers;
pub mod keep_watch;
pub mod pool;
pub mod port;
pub mod raw_head;
pub mod recheck;
pub mod relay;
pub mod request;
pub mod view;

pub use self::{
    core::EdgeCore,
    dialect::{AnswerVerdict, BackendCall, CallerRequest, EdgeRefusal, PromptWork, WireDialect},
    port::CallerPort,
};
