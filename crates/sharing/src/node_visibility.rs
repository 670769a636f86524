//! Whether the other nodes see this one.

use std::time::Duration;

use mux_model::TimePoint;

use crate::NodeStanding;

/// Time since the last reply of the store above which it may be unreachable for all nodes.
const MAX_STORE_REPLY_AGE: Duration = Duration::from_secs(3);

/// What decides whether the other nodes count this one among those that share bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeVisibility {
    /// Whether callers are directed to this node.
    pub is_advertised: bool,
    /// Until when the store shows this node's entry unless its lease is renewed; `None` if it has not
    /// shown it to this process.
    pub listed_until: Option<TimePoint>,
    /// Time for which nodes count one whose entry they no longer see.
    pub hold_time: Duration,
    /// Time since the last reply of the store; `None` before the first one.
    pub store_reply_age: Option<Duration>,
}

impl NodeVisibility {
    /// Returns whether the other nodes count this one.
    ///
    /// Answers an outage of the store, and a restart of all nodes: the leases of entries end, or belong
    /// to the processes before, while the other nodes still count their nodes. With the share of one
    /// that is not counted, all nodes together would use a quarter of each bound.
    pub fn standing(&self, now: TimePoint) -> NodeStanding {
        if !self.is_advertised {
            return NodeStanding::NotAdvertised;
        }
        let is_counted = self.listed_until.is_some_and(|it| now < it + self.hold_time);
        // While the store answers no node, no node sees that entries have expired.
        let is_store_reachable = self.store_reply_age.is_some_and(|it| it < MAX_STORE_REPLY_AGE);
        if is_counted || !is_store_reachable { NodeStanding::Counted } else { NodeStanding::Hidden }
    }
}
