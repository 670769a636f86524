//! Members that vanished without a planned stop.

use std::time::Duration;

use mux_membership::{MemberRecord, MemberState};
use mux_model::{FastMap, FastSet, NodeId, TimePoint};

const RETENTION: Duration = Duration::from_secs(3_600);

/// Remembers which members vanished, since they may be running out of reach.
#[derive(Debug, Default)]
pub(super) struct LostMembers {
    leaving: FastSet<NodeId>,
    lost: FastMap<NodeId, TimePoint>,
}

impl LostMembers {
    /// Takes in the state of a member that is there.
    pub(super) fn on_present(&mut self, member: &MemberRecord) {
        self.lost.remove(member.node());
        if member.state == MemberState::Leaving {
            self.leaving.insert(member.node().clone());
        } else if member.state == MemberState::Alive {
            self.leaving.remove(member.node());
        }
    }

    /// Takes in that a member was removed.
    pub(super) fn on_removed(&mut self, now: TimePoint, member: &MemberRecord) {
        if !self.leaving.remove(member.node()) {
            self.lost.insert(member.node().clone(), now);
        }
    }

    /// Returns how many vanished members may still be running.
    pub(super) fn count(&mut self, now: TimePoint) -> usize {
        self.lost.retain(|_, lost_at| now.since(*lost_at) < RETENTION);
        self.lost.len()
    }
}
