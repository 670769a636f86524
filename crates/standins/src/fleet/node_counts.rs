//! Counters of a node at one moment.

use std::{io, ops::Sub};

use super::node_fleet::FleetNode;
use crate::load::CallerClient;

/// Counters of a node since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NodeCounts {
    /// Gossip datagrams sent.
    pub(crate) datagrams_out: u64,
    /// Gossip payload bytes sent.
    pub(crate) bytes_out: u64,
    /// Gossip payload bytes received.
    pub(crate) bytes_in: u64,
    /// Calls to the key-value service.
    pub(crate) store_calls: u64,
    /// Processor time, in clock ticks.
    pub(crate) cpu_ticks: u64,
}

impl NodeCounts {
    /// Reads the counters of a running node.
    ///
    /// # Errors
    ///
    /// Fails if the node has exited or a metric is missing.
    pub(crate) async fn read(client: &CallerClient, node: &FleetNode) -> io::Result<Self> {
        let text = client.get_text(node.metrics, "/metrics").await;
        let text = text.ok_or_else(|| io::Error::other("the metrics of the node can't be read"))?;
        Ok(Self {
            datagrams_out: find_metric(&text, "mustardmux_gossip_datagrams_out")?,
            bytes_out: find_metric(&text, "mustardmux_gossip_bytes_out")?,
            bytes_in: find_metric(&text, "mustardmux_gossip_bytes_in")?,
            store_calls: find_metric(&text, "mustardmux_store_calls")?,
            cpu_ticks: node.process.cpu_ticks()?,
        })
    }
}

impl Sub for NodeCounts {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            datagrams_out: self.datagrams_out - earlier.datagrams_out,
            bytes_out: self.bytes_out - earlier.bytes_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            store_calls: self.store_calls - earlier.store_calls,
            cpu_ticks: self.cpu_ticks - earlier.cpu_ticks,
        }
    }
}

fn find_metric(text: &str, name: &str) -> io::Result<u64> {
    let values = text.lines().filter_map(|it| it.split_once(' '));
    let value = values.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok());
    value.ok_or_else(|| io::Error::other(format!("the metrics of the node lack {name}")))
}
