//! Validated settings of a node.

use std::{net::SocketAddr, time::Duration};

use mux_http::connections_within;
use mux_logs::LogSettings;
use mux_placement::NodeRecord;
use mux_routing::balancer::{RetryBudgetLimits, WarmUpBounds};
use mux_workspaces::QuotaBounds;

use crate::upstream::BUFFERED_BYTES_LIMIT;

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

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Share of the memory for the bodies of requests, in percent.
    const BODY_SHARE_PERCENT: usize = 25;
    /// Share of the memory for the connections of callers, in percent.
    const CONNECTION_SHARE_PERCENT: usize = 35;
    /// Share of the memory for the bodies of replies, in percent.
    const REPLY_SHARE_PERCENT: usize = 25;
    /// Connections that callers may have open whatever the memory.
    const MIN_CONNECTIONS: usize = 16;
    /// Buffers of the longest head that a connection fills at most: the one that is read into, one that
    /// waits for the reader of a body, and one whose bytes are being copied.
    const READ_BUFFERS: usize = 3;
    /// Memory of a connection besides these, in bytes.
    const IDLE_CONNECTION_BYTES: usize = 16 * 1_024;

    /// Returns the memory for the bodies of requests, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.memory_bytes / 100 * Self::BODY_SHARE_PERCENT
    }

    /// Returns the memory for the bodies of replies, in bytes.
    pub(crate) fn reply_bytes(&self) -> usize {
        BUFFERED_BYTES_LIMIT.min(self.memory_bytes / 100 * Self::REPLY_SHARE_PERCENT)
    }

    /// Returns the number of connections that callers may have open, each of which buffers up to
    /// `buffer_bytes` at a time.
    pub(crate) fn connections(&self, buffer_bytes: usize) -> usize {
        let memory = self.memory_bytes / 100 * Self::CONNECTION_SHARE_PERCENT;
        let connection_bytes = Self::READ_BUFFERS
            .saturating_mul(buffer_bytes)
            .saturating_add(Self::IDLE_CONNECTION_BYTES);
        let within_memory = (memory / connection_bytes).max(Self::MIN_CONNECTIONS);
        connections_within(self.descriptors).min(within_memory)
    }
}

impl Default for ProcessLimits {
    /// Returns the limits of a small machine.
    fn default() -> Self {
        Self { memory_bytes: 256 << 20, descriptors: 4_096 }
    }
}

/// Limits of a node, which may change while its process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuntimeLimits {
    /// What the process may use.
    pub process: ProcessLimits,
    /// Limits of the budget for hedges and retries.
    pub retry: RetryBudgetLimits,
    /// Longest lifetime of an address answer that callers accept.
    pub max_address_lifetime: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_grace_period: Duration,
    /// Time within which a stored configuration has to become active.
    pub config_apply_limit: Duration,
    /// Time within which calls to an upstream that announced its exit have to end.
    pub drain_limit: Duration,
    /// Minimum lifetime of a lease that the store grants.
    pub min_lease_lifetime: Duration,
    /// Time within which nothing more is sent to the upstreams of an evacuated availability zone; `None`
    /// if evacuations are not obeyed.
    pub evacuation: Option<Duration>,
    /// How far workspaces may exceed their quotas; `None` if quotas are not enforced.
    pub quota: Option<QuotaBounds>,
    /// Margin of the bound on calls to cold upstreams; `None` if they are not bounded.
    pub warm_up: Option<WarmUpBounds>,
}

impl RuntimeLimits {
    /// Returns the time within which the strictest of the operators' changes has to take effect.
    pub(crate) fn change_limit(&self) -> Duration {
        self.evacuation.map_or(self.config_apply_limit, |it| it.min(self.config_apply_limit))
    }
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// The record that the node announces to the other nodes.
    pub node: NodeRecord,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Limits.
    pub limits: RuntimeLimits,
    /// Log output.
    pub logs: LogSettings,
}

/// The names of the settings that differ between two versions of a settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingsChange {
    /// Settings that take effect in the running process.
    pub applied: Vec<&'static str>,
    /// Settings that take effect at the next start.
    pub deferred: Vec<&'static str>,
}

impl SettingsChange {
    /// Compares the settings of the running process with those of the changed file.
    pub fn between(current: &EdgeSettings, changed: &EdgeSettings) -> Self {
        let (old, new) = (&current.limits, &changed.limits);
        let limits = [
            ("limits of the process", old.process != new.process),
            ("retry budget", old.retry != new.retry),
            ("maximum address lifetime", old.max_address_lifetime != new.max_address_lifetime),
            ("stop grace period", old.stop_grace_period != new.stop_grace_period),
            ("time limit of a configuration", old.config_apply_limit != new.config_apply_limit),
            ("drain limit", old.drain_limit != new.drain_limit),
            ("minimum lease lifetime", old.min_lease_lifetime != new.min_lease_lifetime),
            ("evacuation of availability zones", old.evacuation != new.evacuation),
            ("quota bounds", old.quota != new.quota),
            ("bound on calls to cold upstreams", old.warm_up != new.warm_up),
        ];
        let others = [
            ("node", current.node != changed.node),
            ("listen addresses", current.listen != changed.listen),
            ("logs", current.logs != changed.logs),
        ];
        let changed_names = |rows: &[(&'static str, bool)]| {
            rows.iter().filter(|(_, is_changed)| *is_changed).map(|(name, _)| *name).collect()
        };
        Self { applied: changed_names(&limits), deferred: changed_names(&others) }
    }
}
