//! A node as input of placement decisions.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, NodeId};

/// A node considered in placement decisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateNode {
    /// Name of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub availability_zone: AvailabilityZone,
    /// Address at which the node accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Queries in flight, as last reported by the node.
    pub load: u16,
    /// Whether callers may be directed to the node; false while it is suspect or leaving.
    pub available: bool,
}
