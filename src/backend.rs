//! HTTP clients for backend servers: engines and plain services.
//!
//! docs/BACKENDS.md describes the interfaces of the servers.

pub mod cache_key;
pub mod connection;
pub mod engine;
pub mod read_meter;
pub mod service;
pub mod sse;

pub use self::{
    connection::{BackendError, OpenResponse},
    engine::{EngineCall, EngineEvent, EngineStream},
    service::{ServiceRequest, ServiceResponse},
};

/// Header with the attempt id; a backend server repeats it in its response.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
