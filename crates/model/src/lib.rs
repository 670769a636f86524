//! Types shared by all crates: identifiers, call failures, verdicts, coverage, shard maps, time
//! points and hash collections.

mod call;
mod coverage;
mod fast_map;
mod ids;
mod shard_map;
mod time_point;
mod verdict;

pub use call::{CallFailure, CallId, NotRunReason};
pub use coverage::Coverage;
pub use fast_map::{FastHasher, FastMap, FastSet};
pub use ids::{
    AvailabilityZone, ChangeId, InstanceId, NodeId, NodeIncarnation, RequestId, RevisionNumber,
    ServiceName, ShardIndex, SnapshotId, UpstreamId, WorkspaceName,
};
pub use shard_map::SnapshotMap;
pub use time_point::TimePoint;
pub use verdict::Verdict;
