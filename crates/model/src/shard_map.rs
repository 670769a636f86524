//! Replica locations of the shards of one snapshot.

use crate::{ShardIndex, SnapshotId, UpstreamId};

/// The shards of one index snapshot and the upstreams that hold a replica of each.
///
/// The number of shards is the denominator of coverage for every query pinned to the snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotMap {
    snapshot: SnapshotId,
    replicas: Vec<Vec<UpstreamId>>,
}

impl SnapshotMap {
    /// Creates a map from the replicas of each shard, in shard order.
    pub fn new(snapshot: SnapshotId, replicas: Vec<Vec<UpstreamId>>) -> Self {
        Self { snapshot, replicas }
    }

    /// Returns the snapshot that the map describes.
    pub fn snapshot(&self) -> SnapshotId {
        self.snapshot
    }

    /// Returns the number of shards, including those without a known replica.
    pub fn shard_count(&self) -> u32 {
        u32::try_from(self.replicas.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of shards that have at least one known replica.
    pub fn located_count(&self) -> u32 {
        let count = self.replicas.iter().filter(|it| !it.is_empty()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the shards in ascending order.
    pub fn shards(&self) -> impl Iterator<Item = ShardIndex> + use<> {
        (0..self.shard_count()).map(ShardIndex)
    }

    /// Returns the replicas of `shard`; empty if the shard is unknown or has no known replica.
    pub fn replicas(&self, shard: ShardIndex) -> &[UpstreamId] {
        let idx = usize::try_from(shard.0).unwrap_or(usize::MAX);
        self.replicas.get(idx).map_or(&[], Vec::as_slice)
    }
}
