//! What a node is told at its start, already checked.

use std::{net::SocketAddr, time::Duration};

use mux_logs::LogSettings;
use mux_placement::NodeRecord;
use mux_routing::balancer::RetryBudgetLimits;

/// Addresses that a node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the question whether the node is ready.
    pub readiness: SocketAddr,
    /// For the question which addresses to use.
    pub directory: SocketAddr,
    /// For metrics; `None`: not served.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// What the node says of itself to the others.
    pub node: NodeRecord,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Budget for calls beyond the first.
    pub retry: RetryBudgetLimits,
    /// Longest lifetime of an address answer that callers heed.
    pub max_address_lifetime: Duration,
    /// Time after a request to stop at which the process is killed.
    pub stop_grace_period: Duration,
    /// Time within which a configuration that was stored has to be in force.
    pub config_apply_limit: Duration,
    /// Shortest time for which a lease can be granted.
    pub min_lease_lifetime: Duration,
    /// Log output.
    pub logs: LogSettings,
}
