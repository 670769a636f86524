//! What a router has reserved for one call.

use mux_model::{ShardIndex, UpstreamId};

/// A slot or connection that is reserved for one call.
///
/// Whoever ends the call returns the reservation itself: several shards may list the same address, so
/// the address does not tell where the reservation was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReservation {
    /// The shard for which the call is made.
    pub shard: ShardIndex,
    /// The upstream to call.
    pub upstream: UpstreamId,
}
