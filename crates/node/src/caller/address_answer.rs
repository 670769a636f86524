//! The reply to a request for addresses.

use std::net::SocketAddr;

use mux_model::{AvailabilityZone, NodeId, ServiceName};
use mux_placement::AddressEntry as PlannedAddress;
use serde::Serialize;

/// Addresses to which queries of a service can be sent.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AddressAnswer {
    /// Name of the service.
    pub(crate) service: ServiceName,
    /// Addresses, the best one first.
    pub(crate) addresses: Vec<AddressEntry>,
    /// Time for which the answer may be used, in milliseconds.
    pub(crate) lifetime_ms: u64,
    /// Session for requests that are not idempotent.
    pub(crate) session: SessionGrant,
}

/// Address of one node.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AddressEntry {
    /// Node that listens on the address.
    pub(crate) node: NodeId,
    /// Availability zone of the node.
    pub(crate) availability_zone: AvailabilityZone,
    /// Address for queries.
    pub(crate) address: SocketAddr,
}

/// A session and the address of the node that minted it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SessionGrant {
    /// Token to send with each request.
    pub(crate) token: String,
    /// Address of the node that minted the session; other nodes forward requests to it.
    pub(crate) address: SocketAddr,
    /// Time for which the session may be used, in milliseconds; 0 while the node is stopping.
    pub(crate) lifetime_ms: u64,
}

impl From<PlannedAddress> for AddressEntry {
    fn from(planned: PlannedAddress) -> Self {
        let PlannedAddress { node, availability_zone, address } = planned;
        Self { node, availability_zone, address }
    }
}
