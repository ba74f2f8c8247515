//! Processes of a deployment whose platform lists the backend servers: entries, which serve callers
//! by route, and control VMs, which replicate the shared state.
//!
//! The deployment's message formats are supplied by small traits; see
//! [`crate::reverse_proxy::dialect`], [`crate::fleet::watch::FleetSource`] and
//! [`fleet_orders::EngineClient`].

pub mod control;
pub mod control_directory;
pub mod entry;
pub mod entry_service;
pub mod file_watch;
pub mod fleet_orders;
pub mod health;
pub mod operator_service;
pub mod origin_client;
pub mod required_weights;
pub mod slot_arbiter;
pub mod slot_client;
pub mod tunnel_client;
pub mod tunnel_service;
pub mod usage_arbiter;
pub mod usage_client;

use {
    crate::{ids::VmId, transport::TransportError},
    displaydoc::Display,
    rand_core::{OsRng, TryRngCore},
    std::{
        io,
        net::{IpAddr, SocketAddr},
    },
};

/// Why a node failed to start.
#[derive(Debug, Display)]
pub enum NodeError {
    /// {purpose}: cannot listen on {address}: {reason}; set a free address of this VM
    Listen {
        /// The purpose of the port, such as `callers`.
        purpose: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        reason: io::Error,
    },
    /// the peer network did not start: {0}
    Network(TransportError),
    /// the replica did not start: {0}
    Replica(crate::daemon::control_driver::DriverError),
}

impl std::error::Error for NodeError {}

/// The name of a VM that is known only by its address, in a form that is valid in certificates.
pub fn vm_from_address(address: IpAddr) -> VmId {
    format!("vm-{}", address.to_string().replace(['.', ':'], "-"))
}

/// The IPv4 address of a VM named by [`vm_from_address`]; `None` for any other name.
pub fn address_from_vm(vm: &str) -> Option<IpAddr> {
    vm.strip_prefix("vm-")?.replace('-', ".").parse().ok()
}

fn random_seed() -> u64 {
    OsRng
        .try_next_u64()
        .expect("the kernel's random number generator is available on supported systems")
}
