//! One version of the routes and limits that operators configure.

use std::time::Duration;

use mux_model::{FastMap, RevisionNumber, ServiceName};
use mux_workspaces::WorkspaceRule;
use serde::{Deserialize, Serialize};

use super::RouteRule;

/// Size and time limits of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// What a cold upstream of a service sustains.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUpLimit {
    /// Time for which an upstream is cold after its start.
    pub period: Duration,
    /// Requests per second that it sustains in this time, from all nodes together; above 0.
    pub rate_per_s: f64,
}

/// One version of the configuration of routes and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrafficConfig {
    /// Version of the configuration; later ones have higher versions.
    pub version: RevisionNumber,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Total number of connections that one upstream of a service accepts from all nodes.
    pub connection_limits: FastMap<ServiceName, u32>,
    /// Limits of callers' requests.
    pub request_limits: RequestLimits,
    /// Workspaces; if there are none, requests need no key.
    pub workspaces: Vec<WorkspaceRule>,
    /// Limits of cold upstreams, by service; without one, calls are not bounded.
    pub warm_up_limits: FastMap<ServiceName, WarmUpLimit>,
}
