//! A connection that stayed reserved without a call.

use std::time::Duration;

use mux_model::{InstanceId, UpstreamId};

/// A connection that was reserved for a call that has not begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostReservation {
    /// The instance at which the connection is reserved.
    pub instance: InstanceId,
    /// Its address.
    pub upstream: UpstreamId,
    /// Whether the instance is eligible for new calls.
    pub is_active: bool,
    /// Time since the reservation.
    pub age: Duration,
    /// Connections to the instance that this node has reserved besides this one.
    pub reserved: u32,
    /// Maximum number of connections to the instance that this node reserves.
    pub max_connections: u32,
}
