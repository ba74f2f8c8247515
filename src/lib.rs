//! oleandermount routes language-model traffic with long shared prompts.
//!
//! The library holds everything; the two binaries only parse options and start it. `policy` and
//! `control` are pure state machines: they see no network, no clock and no task.

pub mod backend;
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
