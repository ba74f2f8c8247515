//! HTTP towards callers and operators.

pub mod caller;
pub mod completion;
pub mod operator;
pub mod response;
pub mod server;

pub use self::{caller::caller_router, server::HttpServer};
