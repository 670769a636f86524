//! The fan-outs of one query, from the first to the one that answers.

use mux_model::{CallId, SnapshotId, Verdict};

use crate::{FanOutResult, FanOutStopReason};

/// Fan-outs that one query may take.
const MAX_ATTEMPTS: usize = 3;

/// Starts a query over when its snapshot is gone, and keeps its result true over all attempts.
#[derive(Debug, Default)]
pub struct QueryAttempts {
    unavailable_snapshots: Vec<SnapshotId>,
    calls: u32,
    last: Option<FanOutResult>,
}

impl QueryAttempts {
    /// Creates the record of a query that has not started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the snapshots that the query must not be pinned to again.
    pub fn unavailable_snapshots(&self) -> &[SnapshotId] {
        &self.unavailable_snapshots
    }

    /// Returns the number of the first call of the next fan-out.
    pub fn next_call(&self) -> CallId {
        CallId(self.calls)
    }

    /// Takes in the end of a fan-out; `None`: the query is to be pinned anew and started over.
    pub fn finish(&mut self, result: FanOutResult) -> Option<FanOutResult> {
        let is_gone = result.stop == Some(FanOutStopReason::SnapshotUnavailable);
        let snapshot = result.snapshot;
        let result = self.combine(result);
        self.calls = result.calls;
        if !is_gone || MAX_ATTEMPTS <= self.unavailable_snapshots.len() + 1 {
            return Some(result);
        }
        self.unavailable_snapshots.push(snapshot);
        self.last = Some(result);
        None
    }

    /// Returns the result of the last fan-out, for a query that finds no other snapshot.
    pub fn into_last_result(self) -> Option<FanOutResult> {
        self.last
    }

    /// Adds what earlier fan-outs did: a request that one of them may have run may have run.
    fn combine(&self, mut result: FanOutResult) -> FanOutResult {
        let Some(earlier) = &self.last else {
            return result;
        };
        if result.verdict != Verdict::Done {
            result.verdict = result.verdict.combine(earlier.verdict);
        }
        result.calls = result.calls.saturating_add(earlier.calls);
        result
    }
}
