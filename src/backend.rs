//! Clients for backend servers: engines, plain services and prompt-keep.
//!
//! docs/BACKENDS.md describes the interfaces spoken here.

pub mod cache_key;
pub mod connection;
pub mod engine;
pub mod service;
pub mod sse;

pub use self::{
    connection::{BackendError, OpenResponse},
    engine::{EngineCall, EngineEvent, EngineStream},
    service::{ServiceRequest, ServiceResponse},
};

/// Carries the attempt id to a backend server, which repeats it in its answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
