//! What a router has reserved for one call.

use mux_model::{InstanceId, ShardIndex, UpstreamId};

/// A slot or connection that is reserved for one call.
///
/// Whoever ends the call returns the reservation itself. Several records may have the same address, of
/// two shards or of two processes one after the other, so that the address does not tell where the
/// reservation was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReservation {
    /// The shard for which the call is made.
    pub shard: ShardIndex,
    /// The upstream to call, and what is reserved there.
    pub slot: UpstreamSlot,
}

impl CallReservation {
    /// Returns the address of the upstream to call.
    pub fn upstream(&self) -> UpstreamId {
        self.slot.upstream
    }
}

/// What is reserved at one upstream for one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSlot {
    /// Address of the upstream.
    pub upstream: UpstreamId,
    /// Number of the upstream in its balancer; never used for another one.
    pub(crate) entry: u64,
    /// Number of the call among those of the balancer.
    pub(crate) call: u64,
}

impl UpstreamSlot {
    /// Returns a slot of a router whose service lists each address once, and which needs no more than the
    /// address to release it.
    pub fn at_address(upstream: UpstreamId) -> Self {
        Self { upstream, entry: 0, call: 0 }
    }
}

/// Identity of an upstream at one address: a process that moves to another address has connections of its
/// own there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamKey {
    /// The instance that is registered.
    pub instance: InstanceId,
    /// Its address.
    pub upstream: UpstreamId,
}
