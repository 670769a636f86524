//! Members that were removed without a planned stop.

use std::time::Duration;

use mux_membership::{MemberRecord, MemberState};
use mux_model::{FastMap, FastSet, NodeId, TimePoint};

const RETENTION: Duration = Duration::from_secs(3_600);

/// Tracks members that were removed without a planned stop: they may still be running, but
/// unreachable from this node.
#[derive(Debug, Default)]
pub(super) struct FailedMembers {
    leaving: FastSet<NodeId>,
    failed: FastMap<NodeId, TimePoint>,
}

impl FailedMembers {
    /// Records the state of a member that joined or changed.
    pub(super) fn on_updated(&mut self, member: &MemberRecord) {
        self.failed.remove(member.node());
        if member.state == MemberState::Leaving {
            self.leaving.insert(member.node().clone());
        } else if member.state == MemberState::Alive {
            self.leaving.remove(member.node());
        }
    }

    /// Records that a member was removed.
    pub(super) fn on_removed(&mut self, now: TimePoint, member: &MemberRecord) {
        if !self.leaving.remove(member.node()) {
            self.failed.insert(member.node().clone(), now);
        }
    }

    /// Returns how many failed members may still be running.
    pub(super) fn count(&mut self, now: TimePoint) -> usize {
        self.failed.retain(|_, failed_at| now.since(*failed_at) < RETENTION);
        self.failed.len()
    }
}
