//! HTTP API for callers, in the OpenAI form, and for operators.

pub mod caller;
pub mod completion;
pub mod held_connection;
pub mod operator;
pub mod response;
pub mod server;

pub use self::{caller::caller_router, server::HttpServer};
