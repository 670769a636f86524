//! The platform's lagging list of VMs.

use std::net::IpAddr;

use mux_model::AvailabilityZone;
use serde::{Deserialize, Serialize};

/// What the platform says about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is to stop soon.
    Leaving,
}

/// One VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// IP address.
    pub ip: IpAddr,
    /// Ports on which the VM's process is known to listen; the first is the main one
    /// (an upstream's calls, a node's peer listener).
    pub ports: Vec<u16>,
    /// What runs there: `node` or `upstream`.
    pub role: String,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// State.
    pub state: VmState,
}

/// All VMs that the platform lists.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The entries.
    pub vms: Vec<VmEntry>,
}
