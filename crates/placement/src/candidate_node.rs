//! A node as placement sees it.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, NodeId};

/// A live node that may be given work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateNode {
    /// Name.
    pub node: NodeId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Queries in flight that the node last reported.
    pub load: u16,
    /// Whether callers may be sent to the node; false while it is suspect or leaving.
    pub available: bool,
}
