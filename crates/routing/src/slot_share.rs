//! The one place that reads the number of slots of an upstream.

/// Calls in flight at an upstream, for each slot, that keep the slot busy while a reply travels.
const IN_FLIGHT_PER_SLOT: u32 = 2;

/// How many calls one node may have in flight at one upstream.
///
/// `slots` is read as the number of requests that one upstream works on at once, for all nodes
/// together. The nodes share it evenly, each with at least one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotShare {
    /// Calls that the upstream works on at once for this node.
    pub working: u32,
    /// Calls in flight that this node never exceeds: those worked on and a short queue.
    pub ceiling: u32,
}

impl SlotShare {
    /// Divides `slots` between `sharing_nodes`.
    pub fn new(slots: u32, sharing_nodes: u32) -> Self {
        let nodes = sharing_nodes.max(1);
        let working = slots.div_ceil(nodes).max(1);
        let ceiling = slots.saturating_mul(IN_FLIGHT_PER_SLOT).div_ceil(nodes).max(working).max(2);
        Self { working, ceiling }
    }
}
