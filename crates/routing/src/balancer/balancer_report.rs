//! Counts of one balancer.

#[cfg(doc)]
use crate::AcquireError;

/// Call counts of one balancer since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BalancerReport {
    /// First calls that reserved a connection.
    pub first_calls: u64,
    /// Calls that replace calls that were never sent.
    pub resent_calls: u64,
    /// Hedges and retries that reserved a connection.
    pub extra_calls: u64,
    /// Hedges and retries rejected by the retry budget.
    pub budget_refusals: u64,
    /// Attempts to reserve a connection that failed with [`AcquireError::Saturated`]; a waiting
    /// call counts once per attempt. Calls that yielded to more urgent ones are not counted.
    pub saturated: u64,
    /// Calls to upstreams that stated a rate limit.
    pub rate_limited_calls: u64,
    /// Calls to cold upstreams under a bound.
    pub cold_calls: u64,
}
