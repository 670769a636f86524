//! The successive fan-outs of one query.

use mux_model::{CallId, SnapshotId, Verdict};

use crate::{FanOutResult, FanOutStopReason};

/// Maximum number of fan-outs of one query.
const MAX_ATTEMPTS: usize = 3;

/// Decides whether a query restarts on another snapshot, and combines the results of its fan-outs.
#[derive(Debug, Default)]
pub struct QueryAttempts {
    unavailable_snapshots: Vec<SnapshotId>,
    calls: u32,
    last_result: Option<FanOutResult>,
}

impl QueryAttempts {
    /// Creates the record of a query that has not started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the snapshots that the upstreams no longer hold; the query must not use them again.
    pub fn unavailable_snapshots(&self) -> &[SnapshotId] {
        &self.unavailable_snapshots
    }

    /// Returns the identity of the first call of the next fan-out.
    pub fn next_call(&self) -> CallId {
        CallId(self.calls)
    }

    /// Records the end of a fan-out and returns the query's result; `None` if the query has to
    /// restart on another snapshot.
    pub fn finish(&mut self, result: FanOutResult) -> Option<FanOutResult> {
        let is_unavailable = result.stop == Some(FanOutStopReason::SnapshotUnavailable);
        let snapshot = result.snapshot;
        let result = self.combine(result);
        self.calls = result.calls;
        if !is_unavailable || MAX_ATTEMPTS <= self.unavailable_snapshots.len() + 1 {
            return Some(result);
        }
        self.unavailable_snapshots.push(snapshot);
        self.last_result = Some(result);
        None
    }

    /// Returns the combined result of the fan-outs so far, for a query that should restart but has
    /// no other snapshot to use.
    pub fn into_last_result(self) -> Option<FanOutResult> {
        self.last_result
    }

    /// Adds the verdict and calls of earlier fan-outs, any of which may have run the request.
    fn combine(&self, mut result: FanOutResult) -> FanOutResult {
        let Some(earlier) = &self.last_result else {
            return result;
        };
        if result.verdict != Verdict::Done {
            result.verdict = result.verdict.combine(earlier.verdict);
        }
        result.calls = result.calls.saturating_add(earlier.calls);
        result
    }
}
