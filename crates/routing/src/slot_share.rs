//! Division of the slots of an upstream between the nodes.
//!
//! `ServiceRouter` uses the number of slots only through this module.

/// Calls in flight per slot of an upstream; more than one, to keep it busy during network round
/// trips.
const IN_FLIGHT_PER_SLOT: u32 = 2;

/// One node's share of the slots of one upstream.
///
/// An upstream processes one request per slot at a time. The nodes share the slots evenly; each has
/// at least one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotShare {
    /// Calls of this node that the upstream processes concurrently.
    pub slots: u32,
    /// Maximum number of calls in flight from this node: those being processed and a short queue.
    pub max_in_flight: u32,
}

impl SlotShare {
    /// Divides `slots_per_upstream`, the number of requests that one upstream processes
    /// concurrently for all nodes together, between `sharing_nodes`.
    pub fn new(slots_per_upstream: u32, sharing_nodes: u32) -> Self {
        let nodes = sharing_nodes.max(1);
        let slots = slots_per_upstream.div_ceil(nodes).max(1);
        let max_in_flight =
            slots_per_upstream.saturating_mul(IN_FLIGHT_PER_SLOT).div_ceil(nodes).max(slots).max(2);
        Self { slots, max_in_flight }
    }
}
