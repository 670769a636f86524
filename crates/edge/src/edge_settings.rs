//! Validated settings of a node.

use std::{net::SocketAddr, time::Duration};

use mux_logs::LogSettings;
use mux_placement::NodeRecord;
use mux_routing::balancer::RetryBudgetLimits;

/// Addresses that a node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Address for callers' address requests.
    pub directory: SocketAddr,
    /// Address at which other nodes read this node's copy of the store; `None` if it offers none.
    pub relay: Option<SocketAddr>,
    /// Address for metrics; `None` if metrics are not served.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// The record that the node announces to the other nodes.
    pub node: NodeRecord,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Limits of the budget for hedges and retries.
    pub retry: RetryBudgetLimits,
    /// Longest lifetime of an address answer that callers accept.
    pub max_address_lifetime: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_grace_period: Duration,
    /// Time within which a stored configuration has to become active.
    pub config_apply_limit: Duration,
    /// Minimum lifetime of a lease that the store grants.
    pub min_lease_lifetime: Duration,
    /// Log output.
    pub logs: LogSettings,
}
