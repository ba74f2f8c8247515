//! Serves callers that speak plain HTTP by route, in front of backend servers that do as well.
//!
//! A request is read whole, placed by the one [`crate::policy::Dispatcher`], and its answer passed
//! on unchanged. What the installation's headers are called, and what they mean, only the
//! [`dialect::WireDialect`] knows.

pub mod accept;
pub mod core;
pub mod dialect;
pub mod exchange;
pub mod headers;
pub mod listener;
pub mod pool;
pub mod raw_head;
pub mod recheck;
pub mod relay;
pub mod request;
pub mod response;
pub mod store_monitor;
pub mod timeout_stream;
pub mod view;

pub use self::{
    core::ProxyCore,
    dialect::{BackendCall, CallerRequest, PromptWork, ProxyRefusal, ResponseVerdict, WireDialect},
    listener::CallerListener,
};
