//! Limits and periods of the upstream pool.

use std::time::Duration;

/// Limits and periods of an [`UpstreamPool`](crate::UpstreamPool).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// Longest time from the start of a dial to the first byte from the upstream.
    pub dial_limit: Duration,
    /// Time without a byte from the upstream after which the connection is probed.
    pub probe_interval: Duration,
    /// Time without a byte after which a connection takes no new call if another can.
    pub suspect_limit: Duration,
    /// Time without a byte after which a connection is retired although a sibling makes progress.
    pub sibling_silence_limit: Duration,
    /// Time without a byte after which a connection is retired in any case.
    pub silence_limit: Duration,
    /// Time without a call after which a connection beyond the first is closed.
    pub idle_limit: Duration,
    /// Calls in flight on each connection from which another connection is opened.
    pub calls_per_connection_target: u32,
    /// Calls in flight on one connection beyond which a call is refused.
    pub calls_per_connection_limit: u32,
    /// Longest reply body, in bytes.
    pub reply_bytes_limit: usize,
    /// Longest time that a status request takes.
    pub status_limit: Duration,
    /// Delay after the first failed dial; doubles with each further one.
    pub backoff_min: Duration,
    /// Longest delay after a failed dial.
    pub backoff_max: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            dial_limit: Duration::from_millis(1_000),
            probe_interval: Duration::from_millis(300),
            suspect_limit: Duration::from_millis(500),
            sibling_silence_limit: Duration::from_millis(700),
            silence_limit: Duration::from_millis(1_100),
            idle_limit: Duration::from_secs(30),
            calls_per_connection_target: 8,
            calls_per_connection_limit: 100,
            reply_bytes_limit: 16 << 20,
            status_limit: Duration::from_millis(1_000),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}
