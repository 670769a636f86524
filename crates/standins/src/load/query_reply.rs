//! Replies of a node to a caller, and their consistency check.

use mux_model::{FastSet, SnapshotId};
use serde::Deserialize;

/// Body of a reply to a query.
#[derive(Debug, Deserialize)]
pub(crate) struct QueryReply {
    /// `done`, `not_run` or `may_have_run`.
    pub(crate) verdict: String,
    /// Coverage of the answer, if the verdict is `done`.
    pub(crate) coverage: Option<CoverageReply>,
    /// Snapshot of the answer, if the verdict is `done`.
    pub(crate) snapshot: Option<SnapshotId>,
    /// One result for each contributing shard.
    #[serde(default)]
    results: Vec<ShardReply>,
    /// Error, if there is no answer.
    pub(crate) error: Option<ErrorReply>,
}

/// Coverage of an answer.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct CoverageReply {
    contributed: u32,
    total: u32,
    share: f64,
}

/// Error of a query without an answer.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorReply {
    /// Machine-readable error code.
    pub(crate) code: String,
}

#[derive(Debug, Deserialize)]
struct ShardReply {
    shard: u32,
    result: LeafReply,
}

/// Reply body of the upstream test double.
#[derive(Debug, Deserialize)]
struct LeafReply {
    shard: u32,
    snapshot: SnapshotId,
    query: serde_json::Value,
}

impl QueryReply {
    /// Returns the coverage of an answer, from 0 to 1.
    pub(crate) fn share(&self) -> Option<f64> {
        self.coverage.map(|it| it.share)
    }

    /// Returns whether an answer is consistent: each shard occurs once, each upstream reply names
    /// `query`, the shard it is listed under and the answer's snapshot, and the stated coverage
    /// matches the results.
    pub(crate) fn is_consistent(&self, query: &serde_json::Value) -> bool {
        let Some(coverage) = self.coverage else {
            return false;
        };
        let shards: FastSet<u32> = self.results.iter().map(|it| it.shard).collect();
        let contributed = usize::try_from(coverage.contributed).unwrap_or(usize::MAX);
        let share = f64::from(coverage.contributed) / f64::from(coverage.total.max(1));
        shards.len() == self.results.len()
            && shards.len() == contributed
            && (share - coverage.share).abs() < 1e-6
            && self.results.iter().all(|it| self.is_result_consistent(it, query))
    }

    fn is_result_consistent(&self, reply: &ShardReply, query: &serde_json::Value) -> bool {
        reply.shard == reply.result.shard
            && Some(reply.result.snapshot) == self.snapshot
            && reply.result.query == *query
    }
}
