//! A router for language-model traffic with long shared prompts.
//!
//! All logic is in this library; the two binaries parse their options and call it. `policy` and
//! `control` are deterministic state machines without access to network, clock or tasks.

pub mod backend;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod fleet;
pub mod follow;
pub mod http_api;
pub mod ids;
pub mod inventory;
pub mod observe;
pub mod operator_client;
pub mod options;
pub mod pipeline;
pub mod policy;
pub mod reverse_proxy;
pub mod roles;
pub mod routing;
pub mod storage;
pub mod transport;
