//! Whole nodes of an installation whose backend servers are listed by a platform: entries, which
//! serve callers by route, and control VMs, which keep the state that all share.
//!
//! What such an installation's messages look like comes in through small traits; see
//! [`crate::edge::dialect`], [`crate::fleet::watch::FleetSource`] and [`control::EngineClient`].

pub mod control;
pub mod control_directory;
pub mod entry;
pub mod file_watch;
pub mod fleet_orders;
pub mod health;
pub mod operator_service;
pub mod required_weights;

use {
    crate::{ids::VmId, transport::TransportError},
    displaydoc::Display,
    rand_core::{OsRng, TryRngCore},
    std::{
        io,
        net::{IpAddr, SocketAddr},
    },
};

/// Why a node did not start.
#[derive(Debug, Display)]
pub enum NodeError {
    /// {purpose}: {address} cannot be listened on: {reason}; give a free address of this VM
    Listen {
        /// What it is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        reason: io::Error,
    },
    /// the network between daemons did not start: {0}
    Network(TransportError),
    /// the replica did not start: {0}
    Replica(crate::daemon::control_driver::DriverError),
}

impl std::error::Error for NodeError {}

/// The name of a VM that is known by its address alone, in a form that certificates carry.
pub fn vm_from_address(address: IpAddr) -> VmId {
    format!("vm-{}", address.to_string().replace(['.', ':'], "-"))
}

/// The IPv4 address of a VM named by [`vm_from_address`].
pub fn address_from_vm(vm: &str) -> Option<IpAddr> {
    vm.strip_prefix("vm-")?.replace('-', ".").parse().ok()
}

fn random_seed() -> u64 {
    OsRng.try_next_u64().expect("the kernel's random numbers are always there on supported systems")
}
