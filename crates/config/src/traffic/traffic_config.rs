//! One version of the operators' routes and limits.

use std::time::Duration;

use mux_model::{FastMap, RevisionNumber, ServiceName};

use super::RouteRule;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Most bytes in the head of a request.
    pub header_bytes: usize,
    /// Most bytes in the body of a request.
    pub body_bytes: usize,
    /// Longest time that the head of a request may take.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficConfig {
    /// Its version; a later one is higher.
    pub version: RevisionNumber,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// Connections that one upstream of a service accepts from all nodes together.
    pub connection_limits: FastMap<ServiceName, u32>,
    /// Bounds for callers.
    pub request_limits: RequestLimits,
}
