//! Periods and limits of the gossip protocol.

use std::time::Duration;

/// Periods and limits of the gossip protocol; the same at all nodes of a cluster.
#[derive(Debug, Clone)]
pub struct GossipSettings {
    /// Name of the cluster; messages of other clusters are dropped.
    pub cluster: String,
    /// Time between two probes by one node.
    pub probe_period: Duration,
    /// Time to wait for the answer to a direct probe before other members are asked to probe.
    pub ack_timeout: Duration,
    /// Members that are asked to probe on this node's behalf.
    pub indirect_probes: usize,
    /// Members to which news are sent at once.
    pub fanout: usize,
    /// Probe periods per decimal order of the member count before a suspect member is removed.
    pub suspicion_factor: f64,
    /// Time between two comparisons of the member table with that of another member.
    pub sync_period: Duration,
    /// Time for which a dead member is remembered and probed.
    pub dead_retention: Duration,
    /// Time for which an upstream note is remembered.
    pub drain_state_retention: Duration,
    /// Gap between two ticks that counts as a pause of this process.
    pub pause_limit: Duration,
    /// Reports on other members that one message carries.
    pub reports_per_message: usize,
}

impl GossipSettings {
    /// Creates the default settings for the cluster `cluster`.
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

    /// Returns how long a member stays suspect among `member_count` members before it is removed.
    pub fn suspicion_timeout(&self, member_count: usize) -> Duration {
        let count = u32::try_from(member_count).unwrap_or(u32::MAX);
        let order = f64::from(count.saturating_add(1)).log10().max(1.0);
        self.probe_period.mul_f64(self.suspicion_factor * order)
    }

    /// Returns how often one item is passed on among `member_count` members.
    pub fn retransmit_limit(&self, member_count: usize) -> u32 {
        let count = u32::try_from(member_count).unwrap_or(u32::MAX);
        4 * (count.saturating_add(1).ilog10() + 1)
    }
}
