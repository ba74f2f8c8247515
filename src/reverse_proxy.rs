//! HTTP reverse proxy that forwards requests to backend servers by route.
//!
//! A request is buffered, placed by the daemon's [`crate::policy::Dispatcher`], and its response is
//! relayed unchanged. Only the [`dialect::WireDialect`] depends on the names and the meaning of the
//! headers of a deployment.

pub mod accept;
pub mod body_reader;
pub mod core;
pub mod dial;
pub mod dialect;
pub mod exchange;
pub mod headers;
pub mod listener;
pub mod pool;
pub mod raw_head;
pub mod recheck;
pub mod rejection_limits;
pub mod relay;
pub mod reported_weights;
pub mod request;
pub mod response;
pub mod response_buffer;
pub mod server_demands;
pub mod server_link;
pub mod shared_machines;
pub mod slot_lease;
pub mod store_monitor;
pub mod stream_origin;
pub mod timeout_stream;
pub mod usage_limit;
pub mod view;

pub use self::{
    core::ProxyCore,
    dialect::{BackendCall, CallerRequest, PromptWork, ProxyRefusal, ResponseVerdict, WireDialect},
    listener::CallerListener,
};
