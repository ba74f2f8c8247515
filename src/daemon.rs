//! Assembles the components of one running daemon.

pub mod config_applier;
pub mod config_dissemination;
pub mod control_driver;
pub mod control_port;
pub mod dispatch_tasks;
pub mod lifecycle;
pub mod peer_service;
pub mod peer_status;
pub mod remote_proposer;
pub mod server_monitor;
pub mod server_probe;
pub mod server_table;
pub mod server_updates;
pub mod status_service;
pub mod voter_poller;
pub mod weight_orders;

pub use self::{
    control_port::{ConfigWatch, ControlPort, UnavailableControl},
    lifecycle::{Daemon, DaemonError, DrainReport, Draining, Serving, Starting},
};
