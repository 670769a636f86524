//! Limits and timeouts of the upstream pool.

use std::time::Duration;

/// Limits and timeouts of an [`UpstreamPool`](crate::UpstreamPool).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// Maximum time from the start of a dial to the first byte from the upstream.
    pub dial_timeout: Duration,
    /// Time without a byte from the upstream after which an HTTP/2 ping is sent.
    pub ping_interval: Duration,
    /// Time without a byte after which new calls prefer other connections.
    pub suspect_timeout: Duration,
    /// Time without a byte after which a connection is aborted if another one to the same upstream
    /// receives bytes.
    pub sibling_silence_timeout: Duration,
    /// Time without a byte after which a connection is aborted if no other one receives bytes.
    pub silence_timeout: Duration,
    /// Time from the start of the last call after which a connection without calls is closed,
    /// unless it is the only one to its upstream.
    pub idle_timeout: Duration,
    /// Another connection is opened once every open one has this many calls in flight.
    pub calls_per_connection_target: u32,
    /// Maximum number of calls in flight on one connection.
    pub calls_per_connection_limit: u32,
    /// Maximum length of a reply body, in bytes.
    pub reply_bytes_limit: usize,
    /// Maximum duration of a status request.
    pub status_timeout: Duration,
    /// Delay after the first failed dial; doubles with each subsequent failure.
    pub backoff_min: Duration,
    /// Maximum delay after a failed dial.
    pub backoff_max: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            dial_timeout: Duration::from_millis(1_000),
            ping_interval: Duration::from_millis(300),
            suspect_timeout: Duration::from_millis(500),
            sibling_silence_timeout: Duration::from_millis(700),
            silence_timeout: Duration::from_millis(1_100),
            idle_timeout: Duration::from_secs(30),
            calls_per_connection_target: 8,
            calls_per_connection_limit: 100,
            reply_bytes_limit: 16 << 20,
            status_timeout: Duration::from_millis(1_000),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}
