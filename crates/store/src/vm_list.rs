//! The platform's list of VMs, which lags behind their actual state.

use std::net::IpAddr;

use mux_model::AvailabilityZone;
use serde::{Deserialize, Serialize};

/// State of a VM as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will stop soon.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// IP address.
    pub ip: IpAddr,
    /// Ports on which the VM's process is known to listen; the first port of a node is its
    /// peer port, and each port of an upstream accepts calls.
    pub ports: Vec<u16>,
    /// Role of the process on the VM: `node` or `upstream`.
    pub role: String,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// State reported by the platform.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The entries.
    pub vms: Vec<VmEntry>,
}
