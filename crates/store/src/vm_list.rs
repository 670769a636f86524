//! The platform's list of VMs, which lags behind their actual state.

use std::net::IpAddr;

use mux_model::AvailabilityZone;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

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
    /// Number of entries that were skipped, as they cannot be decoded.
    #[serde(skip)]
    pub skipped: usize,
}

/// The list with entries that are decoded one by one.
#[derive(Deserialize)]
struct RawVmList {
    vms: Vec<Box<RawValue>>,
}

impl VmList {
    /// Decodes the list from JSON. An entry that cannot be decoded, or has a port 0, is skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if `text` is no list.
    pub fn from_json(text: &str) -> serde_json::Result<Self> {
        let entries = serde_json::from_str::<RawVmList>(text)?.vms;
        let decoded = entries.iter().filter_map(|it| serde_json::from_str(it.get()).ok());
        let vms: Vec<VmEntry> = decoded.filter(|it: &VmEntry| !it.ports.contains(&0)).collect();
        Ok(Self { skipped: entries.len() - vms.len(), vms })
    }
}
