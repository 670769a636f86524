//! What the log line of a request says about its calls.

use std::{fmt::Write, time::Duration};

use mux_model::ServiceName;
use mux_quarantine::AttemptKind;

use super::call_driver::CallDriverResult;

/// Maximum number of shard failures in one log line.
const MAX_LOGGED_FAILURES: usize = 6;

/// Summary of the calls of a request, for the log.
#[derive(Debug, Default)]
pub(super) struct DispatchSummary {
    pub(super) calls: u32,
    pub(super) shards: u32,
    pub(super) replied_shards: usize,
    /// The shards without an accepted reply, with the causes.
    pub(super) missing: String,
    /// The nodes to which the request was forwarded, with the results.
    pub(super) helpers: String,
    /// Longest time after which one of them may take requests again.
    pub(super) retry_after: Option<Duration>,
    /// How the quarantine let this node make the attempt; `None` if it made none.
    pub(super) attempt: Option<AttemptKind>,
}

impl DispatchSummary {
    pub(super) fn new(driver_result: &CallDriverResult, services: &[ServiceName]) -> Self {
        Self {
            calls: driver_result.fan_out_result.calls,
            shards: driver_result.fan_out_result.coverage.total,
            replied_shards: driver_result.replies.len(),
            missing: describe_missing_shards(driver_result, services),
            ..Self::default()
        }
    }
}

/// Lists the failures of the shards without an accepted reply.
fn describe_missing_shards(driver_result: &CallDriverResult, services: &[ServiceName]) -> String {
    let mut text = String::new();
    let missing =
        driver_result.failures.iter().filter(|it| !driver_result.replies.contains_key(&it.shard));
    for failure in missing.take(MAX_LOGGED_FAILURES) {
        let idx = usize::try_from(failure.shard.0).unwrap_or(usize::MAX);
        let service = services.get(idx).map_or("?", ServiceName::as_str);
        // Writing to a string does not fail.
        let _ = write!(text, "{service}: {}; ", failure.cause);
    }
    text
}
