//! Periods and limits of the gossip protocol.

use std::time::Duration;

/// Periods and limits of the gossip protocol; all nodes of a cluster use the same values.
#[derive(Debug, Clone)]
pub struct GossipSettings {
    /// Name of the cluster; messages from other clusters are dropped.
    pub cluster: String,
    /// Interval between two probes sent by one node, and the time limit of a probe.
    pub probe_period: Duration,
    /// Time without an answer to a direct probe after which indirect probes are sent.
    pub ack_timeout: Duration,
    /// Number of members through which an indirect probe is sent.
    pub indirect_probes: usize,
    /// Number of members to which updates are pushed at a time.
    pub fanout: usize,
    /// The suspicion timeout is this factor times log10(member count + 1), or times 1 if the
    /// logarithm is less, in probe periods.
    pub suspicion_factor: f64,
    /// Mean interval between two periodic anti-entropy syncs started by one node.
    pub sync_period: Duration,
    /// Time for which a dead member is kept in the table and probed.
    pub dead_retention: Duration,
    /// Time for which the drain state of an upstream is kept.
    pub drain_state_retention: Duration,
    /// Gap between two ticks above which the process is considered to have been paused.
    pub pause_limit: Duration,
    /// Maximum number of status reports of other members relayed in one message.
    pub reports_per_message: usize,
}

impl GossipSettings {
    /// Returns the default settings for the cluster named `cluster`.
    pub fn new(cluster: &str) -> Self {
        Self {
            cluster: cluster.to_owned(),
            probe_period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            fanout: 4,
            suspicion_factor: 4.0,
            sync_period: Duration::from_secs(10),
            dead_retention: Duration::from_secs(3_600),
            drain_state_retention: Duration::from_secs(600),
            pause_limit: Duration::from_millis(1_500),
            reports_per_message: 16,
        }
    }

    /// Returns the suspicion timeout in a cluster of `member_count` members.
    pub fn suspicion_timeout(&self, member_count: usize) -> Duration {
        let count = u32::try_from(member_count).unwrap_or(u32::MAX);
        let order = f64::from(count.saturating_add(1)).log10().max(1.0);
        self.probe_period.mul_f64(self.suspicion_factor * order)
    }

    /// Returns how many times a node sends one update in a cluster of `member_count` members.
    pub fn retransmit_limit(&self, member_count: usize) -> u32 {
        let count = u32::try_from(member_count).unwrap_or(u32::MAX);
        4 * (count.saturating_add(1).ilog10() + 1)
    }
}
